package forward

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/priority"
	"github.com/slatebridge/slatebridge/result"
)

// Metrics counts requests, attempts and notices of servers.
type Metrics struct {
	requests       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	retriesDenied  *prometheus.CounterVec
	streamMoves    *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	firstEvent     prometheus.Histogram
	longestPause   prometheus.Histogram
	repairs        *prometheus.CounterVec
	repairDelay    prometheus.Histogram
	stalls         prometheus.Counter
	notices        *prometheus.CounterVec
	grants         *prometheus.CounterVec
	roomClaims     *prometheus.CounterVec
	returns        *prometheus.CounterVec
	returnDelay    prometheus.Histogram
	priorities     *prometheus.CounterVec
	suspectQueries *prometheus.CounterVec
	streamsBroken  *prometheus.CounterVec
}

// codeLabel is the label for result codes.
const codeLabel = "code"

// NewMetrics returns metrics that are registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_requests_total", Help: "Requests that ended, by kind of call and result code.",
		}, []string{"kind", codeLabel}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_attempts_total", Help: "Attempts at servers, by kind of call and outcome.",
		}, []string{"kind", "fate"}),
		retriesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_retry_budget_empty_total", Help: "Retries that were not made because the budget was used up, by service.",
		}, []string{"service"}),
		streamMoves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_stream_moves_total", Help: "Streams that continued in another attempt (resumed) or over another path (moved).",
		}, []string{"how"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "slatebridge_request_seconds", Help: "Time from the request to the end of its response, by kind of call.",
			Buckets: []float64{.01, .025, .05, .1, .2, .3, .5, 1, 2, 5, 10, 20},
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "slatebridge_stream_first_event_seconds", Help: "Time from the request to the first event, for complete streams.",
			Buckets: []float64{.025, .05, .1, .2, .3, .5, 1, 2},
		}),
		longestPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "slatebridge_stream_longest_pause_seconds", Help: "Longest pause between two events, for complete streams.",
			Buckets: []float64{.05, .1, .15, .2, .25, .3, .5, 1, 2},
		}),
	}
	m.repairs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_stream_repairs_total", Help: "Repairs of streams that lost servers of their path, by outcome (moved, refused, restarted, waits, not needed).",
	}, []string{"outcome"})
	m.repairDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "slatebridge_stream_repair_queue_seconds", Help: "Time that streams waited for the repairs of streams before them in this box.",
		Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1},
	})
	m.stalls = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "slatebridge_stream_stalls_total", Help: "Checks of streams that made no progress. The log has a line only for new findings.",
	})
	reg.MustRegister(m.repairs, m.repairDelay, m.stalls)
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_server_notices_total", Help: "Responses with a notice of the backend server about itself, by kind of notice (leaving, rest, limit, unreadable).",
	}, []string{"what"})
	m.grants = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_grants_total", Help: "Requests for grants for rate-limited backend servers, by outcome (taken, refused, unanswered, given back).",
	}, []string{"what"})
	m.roomClaims = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_room_claims_total", Help: "Claims of room at nearly full backend servers, by outcome (granted, refused, unanswered).",
	}, []string{"what"})
	m.returns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_returns_planned_total", Help: "Streams refused for lack of room, by service and how their return was planned (turn, late, unplanned).",
	}, []string{"service", "plan"})
	m.returnDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "slatebridge_return_delay_seconds", Help: "Time after which the callers of streams refused for lack of room were told to return.",
		Buckets: []float64{.5, 1, 2, 3, 5, 10, 20},
	})
	m.priorities = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_priority_requests_total", Help: "Streams of services with requests of several priorities, by priority and what was decided (offered, admitted, refused for the room kept for more urgent ones, preferred because their class or account was admitted rarely).",
	}, []string{"priority", "what"})
	m.suspectQueries, m.streamsBroken = newSuspectQueries(), newStreamsBroken()
	reg.MustRegister(m.suspectQueries, m.streamsBroken, m.roomClaims, m.returns, m.returnDelay, m.priorities, m.grants, m.notices, m.requests, m.attempts, m.retriesDenied, m.streamMoves, m.latency, m.firstEvent, m.longestPause)

	return m
}

func (m *Metrics) requestDone(c *inboundRequest, code result.Code) {
	kind := "none"
	if c.route != nil {
		kind = c.route.Kind.String()
		m.latency.WithLabelValues(kind).Observe(clock.Since(c.startedAt).Seconds())
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(int(code))).Inc()
}

func newStreamsBroken() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_streams_broken_total", Help: "Streams that were aborted after their first event, by result code.",
	}, []string{codeLabel})
}

// streamBroken counts a stream that is aborted after its first event.
func (m *Metrics) streamBroken(code result.Code) {
	m.streamsBroken.WithLabelValues(strconv.Itoa(int(code))).Inc()
}

// streamCompleted records the durations of a complete stream.
func (m *Metrics) streamCompleted(first, pause time.Duration) {
	m.firstEvent.Observe(first.Seconds())
	m.longestPause.Observe(pause.Seconds())
}

func (m *Metrics) attemptDone(c *inboundRequest, f fate) {
	m.attempts.WithLabelValues(c.route.Kind.String(), f.String()).Inc()
}

// noticeReceived counts the parts of a server's notice.
func (m *Metrics) noticeReceived(n fleet.Notice) {
	if n.Leaving {
		m.notices.WithLabelValues("leaving").Inc()
	}
	if n.Cooldown > 0 {
		m.notices.WithLabelValues("rest").Inc()
	}
	if n.Limited {
		m.notices.WithLabelValues("limit").Inc()
	}
	if n.InvalidCooldown != "" || n.InvalidLimit != "" {
		m.notices.WithLabelValues("unreadable").Inc()
	}
}

func (m *Metrics) retryDenied(service string) {
	m.retriesDenied.WithLabelValues(service).Inc()
}

func (m *Metrics) streamMoved(how string) {
	m.streamMoves.WithLabelValues(how).Inc()
}

// roomClaimed counts a claim of room by its outcome.
func (m *Metrics) roomClaimed(outcome string) { m.roomClaims.WithLabelValues(outcome).Inc() }

// Outcomes of a repair.
const (
	repairMoved     = "moved"
	repairRefused   = "refused"
	repairRestarted = "restarted"
	repairWaits     = "waits"
	repairNotNeeded = "not needed"
)

func (m *Metrics) repairDone(outcome string) { m.repairs.WithLabelValues(outcome).Inc() }

// repairStarted records how long a stream waited for its repair to start.
func (m *Metrics) repairStarted(waited time.Duration) { m.repairDelay.Observe(waited.Seconds()) }

func newSuspectQueries() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "slatebridge_suspect_queries_total", Help: "Queries of suspected backend servers, by outcome (answered, rejected, silent, not sent).",
	}, []string{"outcome"})
}

// Outcomes of a query of a suspected server.
const (
	suspectAnswered = "answered"
	suspectRejected = "rejected"
	suspectSilent   = "silent"
	suspectNotSent  = "not sent"
)

// suspectQueried counts a query of a suspected server that ended with err.
func (m *Metrics) suspectQueried(err error) {
	outcome := suspectSilent
	switch {
	case notQueried(err):
		outcome = suspectNotSent
	case errors.Is(err, ErrNoReport):
		outcome = suspectRejected
	case responded(err):
		outcome = suspectAnswered
	}
	m.suspectQueries.WithLabelValues(outcome).Inc()
}

func (m *Metrics) streamStalled() { m.stalls.Inc() }

// grantRequested counts a request for a grant by its outcome.
func (m *Metrics) grantRequested(outcome string) { m.grants.WithLabelValues(outcome).Inc() }

// returnPlanned counts a refused stream by how the return of its caller was planned.
func (m *Metrics) returnPlanned(service string, plan overload.ReturnPlan, delay time.Duration) {
	m.returns.WithLabelValues(service, plan.String()).Inc()
	m.returnDelay.Observe(delay.Seconds())
}

// Values of the label "what" of slatebridge_priority_requests_total.
const (
	priorityOffered   = "offered"
	priorityAdmitted  = "admitted"
	priorityRefused   = "refused"
	priorityPreferred = "preferred"
)

// priorityCounter returns the counter of requests by their priority and what was decided about them.
func (m *Metrics) priorityCounter(class int, what string) prometheus.Counter {
	return m.priorities.WithLabelValues(strconv.Itoa(priority.ClassIndex(class)), what)
}
