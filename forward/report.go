package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
)

// Timing of report queries to servers.
const (
	// reportTTL is how long a server's report is shared between streams, since every query costs
	// the server work.
	reportTTL = 300 * time.Millisecond
	// progressWindow is how recent the progress of a stream must be for its servers to count as
	// alive, and progressingReportTTL is the TTL of the reports of such servers. Many streams pass
	// a slow server, and each would query it.
	progressWindow       = 60 * time.Millisecond
	progressingReportTTL = 1500 * time.Millisecond
	// reportTimeout bounds how long a server may take to report.
	reportTimeout = 100 * time.Millisecond
)

// Report is a server's report on itself and on the streams that began at it.
type Report struct {
	// StalledOn maps the ID of a stalled request to the address of the server that it waits for.
	StalledOn map[string]string
	// Slowness is the ratio of the server's processing time to the usual one; 1 is usual.
	Slowness float64
	// Incarnation is the incarnation of the server; empty if it is not stated.
	Incarnation string
	// ExecutingOrder is set while the server is carrying out an order, by which the leader assigns
	// the layers that it is to load.
	ExecutingOrder bool
	// OrdersStarted counts the orders that the server has begun since its start.
	OrdersStarted int64
	// Notice is what the server announces about itself. It is set even if the response is not a
	// valid report.
	Notice fleet.Notice
}

// ErrMalformedResponse marks errors of queries to which a server responded with a body that cannot
// be decoded. The server is alive.
var ErrMalformedResponse = errors.New("malformed response")

// ErrNoReport marks errors of queries that a server rejected. Servers without a model have no report.
var ErrNoReport = errors.New("the server has no report")

// errRestarted is the error of a query to which another incarnation of the server responded: the
// queried one has ended.
var errRestarted = errors.New("another incarnation of the server responded")

// responded reports whether a query that ended with err received a response of the server, valid or
// not and from whichever incarnation. A rejection shows like any other response that the server lives.
func responded(err error) bool {
	return err == nil || errors.IsAny(err, ErrMalformedResponse, ErrNoReport, errRestarted)
}

// notQueried reports whether err shows that the server was not queried, so that it says nothing
// about the server.
func notQueried(err error) bool { return errors.Is(err, ErrServerNotAccepting) }

// ServerClient makes the calls to servers that are not forwarded requests.
type ServerClient struct {
	Report func(ctx context.Context, s catalog.Server) (Report, error)
	// MoveStream moves a running stream to another path with the same first server.
	MoveStream func(ctx context.Context, first catalog.Server, id string, p fleet.Path) (fleet.Notice, error)
}

// queryPath queries the report of every server of the path. It returns the servers that did not
// respond, and the stalled requests that the first server reported. Slow servers get fewer new
// streams; running streams stay, since another server would have to prefill all their tokens again.
func (h *Handler) queryPath(ctx context.Context, path fleet.Path) (silent []slatebridge.ServerID, stalled map[string]string) {
	began := clock.Now()
	queries := h.collectReports(ctx, path)
	for i, q := range queries {
		id := path[i].Server.ID
		switch {
		case (q == nil || q.err != nil) && h.fleet.ProgressedSince(id, began):
			// The server is alive; its response is late or lost.
		case q != nil && notQueried(q.err):
		case q == nil || !responded(q.err):
			silent = append(silent, id)
		case q.err == nil && q.report.Slowness >= slownessThreshold:
			h.recordSlow(ctx, id, q.report.Slowness)
		}
	}
	if queries[0] != nil {
		stalled = queries[0].report.StalledOn
	}

	return silent, stalled
}

const (
	// earlySilenceTimeout is the time after which the servers of a path that have not responded
	// count as silent, if the queries of more than half of the path have ended, all of them within
	// quickResponse, and this process has not stalled. A small, busy box
	// reads responses late. The timeout is fixed, since one derived from recent response
	// times suspects several healthy servers at once.
	earlySilenceTimeout = 35 * time.Millisecond
	// quickResponse is the longest response time that counts as quick. If responses take longer,
	// this process itself may be slow, and waits until all queries have ended.
	quickResponse = 20 * time.Millisecond
)

// collectReports queries the servers of the path and returns the finished queries; nil stands for
// no response in time.
func (h *Handler) collectReports(ctx context.Context, path fleet.Path) []*reportQuery {
	type finished struct {
		i int
		q *reportQuery
	}
	began := clock.Now()
	results := make(chan finished, len(path))
	for i, s := range path {
		go func() { results <- finished{i, h.query(ctx, s.Server, h.maxReportAge(s.Server.ID))} }()
	}
	queries := make([]*reportQuery, len(path))
	slowest, n := time.Duration(0), 0
	early := time.NewTimer(earlySilenceTimeout)
	defer early.Stop()
	for n < len(path) {
		select {
		case f := <-results:
			queries[f.i], slowest = f.q, clock.Since(began)
			n++
		case <-early.C:
			if n > len(path)/2 && slowest < quickResponse && !h.stalledSince(began, earlySilenceTimeout) {
				return queries
			}
		}
	}

	return queries
}

// reportQuery is a query of a server's report, shared between streams.
type reportQuery struct {
	sentAt time.Time
	done   chan struct{}
	report Report
	err    error
}

// reusable reports whether the query can serve callers that accept a report of the given age.
// Failures are shared for reportTTL at most.
func (q *reportQuery) reusable(maxAge time.Duration) bool {
	elapsed := clock.Since(q.sentAt)
	if elapsed < reportTTL {
		return true
	}
	select {
	case <-q.done:
		return elapsed < maxAge && q.err == nil
	default:
		return false
	}
}

// maxReportAge returns how old a server's report may be. A server that has just made progress on
// another stream is alive, and only its slowness is of interest.
func (h *Handler) maxReportAge(id slatebridge.ServerID) time.Duration {
	if h.fleet.ProgressedSince(id, clock.Now().Add(-progressWindow)) {
		return progressingReportTTL
	}

	return reportTTL
}

// query returns a report of the server that is no older than maxAge.
func (h *Handler) query(ctx context.Context, s catalog.Server, maxAge time.Duration) *reportQuery {
	return h.queryUnless(ctx, s, func(q *reportQuery) bool { return q.reusable(maxAge) })
}

// queryAfter returns a report that was queried at the given time or later. Older reports do not
// tell whether the server has ended since.
func (h *Handler) queryAfter(ctx context.Context, s catalog.Server, at time.Time) *reportQuery {
	return h.queryUnless(ctx, s, func(q *reportQuery) bool { return !q.sentAt.Before(at) })
}

// queryUnless queries the server's report unless its latest query is reusable.
func (h *Handler) queryUnless(ctx context.Context, s catalog.Server, reusable func(q *reportQuery) bool) *reportQuery {
	h.monitor.mu.Lock()
	q, ok := h.monitor.queries[s.ID]
	if ok && reusable(q) {
		h.monitor.mu.Unlock()
		<-q.done

		return q
	}
	q = &reportQuery{sentAt: clock.Now(), done: make(chan struct{})}
	h.monitor.queries[s.ID] = q
	h.monitor.mu.Unlock()
	defer h.activity.begin()()
	for range maxQueryAttempts {
		began := clock.Now()
		q.report, q.err = h.requestReport(ctx, s)
		if responded(q.err) || notQueried(q.err) || !h.stalledSince(began, reportTimeout) {
			break
		}
	}
	if q.err == nil && otherIncarnation(s, q.report) {
		// The queried incarnation was known before the query, so the one that responded is newer.
		h.recordRestart(s, q.report.Incarnation)
		q.err = errRestarted
	}
	if !notQueried(q.err) {
		h.recordQueryError(s, q.err)
	}
	close(q.done)

	return q
}

// FetchReport returns a server's report. It fails if another incarnation of the server responds.
func (h *Handler) FetchReport(ctx context.Context, s catalog.Server) (Report, error) {
	q := h.query(ctx, s, reportTTL)

	return q.report, q.err
}

// recordRestart records that an incarnation of a server other than the queried one responded.
func (h *Handler) recordRestart(queried catalog.Server, incarnation string) {
	known := h.fleet.IsRetired(queried.ID)
	h.fleet.RetireIncarnation(queried.ID)
	if !known {
		h.handleServerEnd(queried, "another incarnation responds")
	}
	h.onServerRestart(queried, incarnation)
}

// recordQueryError records whether the error of a query, nil for a response, shows that the server
// has ended.
func (h *Handler) recordQueryError(s catalog.Server, err error) {
	if h.monitor.setRefusing(s.ID, errors.Is(err, syscall.ECONNREFUSED)) {
		h.handleServerEnd(s, "its host refuses connections")
	}
}

func (h *Handler) requestReport(ctx context.Context, s catalog.Server) (Report, error) {
	if h.fleet.Eligibility(s.ID) == fleet.IneligibleCoolingDown {
		return Report{}, errors.Wrap(ErrServerNotAccepting, "question")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	began := clock.Now()
	r, err := h.serverClient.Report(ctx, s)
	if !otherIncarnation(s, r) {
		times := exchangeTimes{read: clock.Now()}
		if err == nil {
			times.sent = began
		}
		h.applyNotice(s.ID, r.Notice, times)
	}

	return r, err
}

// otherIncarnation reports whether an incarnation of the server other than the queried one made the
// report.
func otherIncarnation(queried catalog.Server, r Report) bool {
	return queried.Incarnation != "" && r.Incarnation != "" && r.Incarnation != queried.Incarnation
}

const (
	// maxSchedulingDelay is how late this process may be with its own work. If it is later, it
	// cannot tell whether a server was late.
	maxSchedulingDelay = 25 * time.Millisecond
	// maxQueryAttempts bounds how often a server is queried if this process itself was late.
	maxQueryAttempts = 3
)

// stalledSince reports whether this process has stalled since it began an operation that should
// take no longer than due: the operation has taken over maxSchedulingDelay longer, or WatchStreams
// has noticed a stall since. The process may have been denied CPU time or busy, for example parsing
// a large configuration.
func (h *Handler) stalledSince(began time.Time, due time.Duration) bool {
	return clock.Since(began) > due+maxSchedulingDelay || h.stalledAt.Load() > began.UnixNano()
}
