package box

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/room"
)

// metrics are the Prometheus metrics of the control plane.
type metrics struct {
	configVersionGauge prometheus.Gauge
	configAge          prometheus.Gauge
	servers            prometheus.Gauge
	suspects           prometheus.Gauge
	resting            prometheus.Gauge
	leaving            prometheus.Gauge
	limited            prometheus.Gauge
	boxes              prometheus.Gauge
	electionToken      prometheus.Gauge
	ready              prometheus.Gauge
	inFlight           prometheus.Gauge
	storeCalls         *prometheus.CounterVec
	refusedEntries     *prometheus.CounterVec
	retriesRequested   *prometheus.CounterVec
	retriesAnswered    *prometheus.CounterVec
	claimsAnswered     *prometheus.CounterVec
	poolHandovers      *prometheus.CounterVec
	meshErrors         prometheus.Counter
	messagesSent       prometheus.Counter
	bytesSent          prometheus.Counter
	messagesReceived   prometheus.Counter
	bytesReceived      prometheus.Counter
	suspendedTime      prometheus.Counter
	quarantined        prometheus.Gauge
	storeEra           prometheus.Gauge
}

// labelResult is the label for the result of a call or request.
const labelResult = "result"

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "slatebridge_" + name, Help: help})
		reg.MustRegister(g)

		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "slatebridge_" + name, Help: help})
		reg.MustRegister(c)

		return c
	}
	m := &metrics{
		configVersionGauge: gauge("config_version", "Version of the configuration in force."),
		configAge:          gauge("config_age_seconds", "Time since the configuration was last confirmed current."),
		servers:            gauge("servers", "Backend servers that have an entry in the store."),
		suspects:           gauge("servers_suspected", "Backend servers that are suspected dead."),
		resting:            gauge("servers_resting", "Backend servers that are in a cooldown for this box."),
		leaving:            gauge("servers_leaving", "Backend servers that are leaving, according to their responses or their entries."),
		limited:            gauge("servers_limited", "Backend servers that announce a rate limit for all boxes together."),
		boxes:              gauge("boxes", "Live boxes, including this one."),
		electionToken:      gauge("election_token", "Fencing token of the newest election known."),
		ready:              gauge("ready", "1 if the box accepts client requests, otherwise 0."),
		inFlight:           gauge("requests_in_flight", "Requests that are being served."),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_store_calls_total", Help: "Calls to the platform's store, by topic and result.",
		}, []string{"topic", labelResult}),
		refusedEntries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_entries_refused_total", Help: "Server, configuration and quarantine entries that were rejected as invalid, by reason.",
		}, []string{"reason"}),
		retriesRequested: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_retries_asked_total", Help: "Retries that this box requested from the shared pool, by service and result.",
		}, []string{"service", labelResult}),
		retriesAnswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_retries_given_total", Help: "Retry requests that this box decided as allocator of the pool, by service and result.",
		}, []string{"service", labelResult}),
		claimsAnswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_room_answers_total", Help: "Claims of room that this box decided as holder of the ledger, by service and result.",
		}, []string{"service", labelResult}),
		poolHandovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_retry_pool_handovers_total", Help: "Retry pools that this box took over from the allocator before it, or handed over to the one after it, by service and result.",
		}, []string{"service", labelResult}),
		meshErrors:       counter("mesh_errors_total", "Messages between boxes that could not be sent or read."),
		messagesSent:     counter("mesh_sent_total", "Messages sent to other boxes."),
		bytesSent:        counter("mesh_sent_bytes_total", "Bytes of messages sent to other boxes."),
		messagesReceived: counter("mesh_received_total", "Messages received from other boxes."),
		bytesReceived:    counter("mesh_received_bytes_total", "Bytes of messages received from other boxes."),
		quarantined:      gauge("requests_quarantined", "Requests that are held back or sent only as trials because servers crashed under them."),
		storeEra:         gauge("store_era", "Number of times the store has rolled back to an older copy, as far as this box knows."),
		suspendedTime:    counter("suspended_seconds_total", "Time for which the machine of the box was suspended."),
	}
	reg.MustRegister(m.storeCalls, m.refusedEntries, m.retriesRequested, m.retriesAnswered, m.claimsAnswered, m.poolHandovers)

	return m
}

// Results of retry requests.
const (
	retryGranted    = "given"
	retryRefused    = "refused"
	retryUnanswered = "unanswered"
)

// Results of handovers of retry pools.
const (
	poolTaken     = "taken over"
	poolGiven     = "handed over"
	poolUnchanged = "refused"
)

// retryResult returns the result label of an answered retry request.
func retryResult(granted bool) string {
	if granted {
		return retryGranted
	}

	return retryRefused
}

func (m *metrics) retryRequested(service, result string) {
	m.retriesRequested.WithLabelValues(service, result).Inc()
}

func (m *metrics) retryAnswered(service, result string) {
	m.retriesAnswered.WithLabelValues(service, result).Inc()
}

// roomAnswered counts a decision on a claim of room.
func (m *metrics) roomAnswered(service string, d room.Decision) {
	result := "undecided"
	switch {
	case d.Granted:
		result = "granted"
	case len(d.Full) > 0:
		result = "refused"
	}
	m.claimsAnswered.WithLabelValues(service, result).Inc()
}

func (m *metrics) entryRefused(reason string) { m.refusedEntries.WithLabelValues(reason).Inc() }

func (m *metrics) configVersion(v int64) { m.configVersionGauge.Set(float64(v)) }

func (m *metrics) meshError(error) { m.meshErrors.Inc() }

func (m *metrics) meshSent(messages, size int) {
	m.messagesSent.Add(float64(messages))
	m.bytesSent.Add(float64(messages * size))
}

func (m *metrics) meshReceived(size int) {
	m.messagesReceived.Inc()
	m.bytesReceived.Add(float64(size))
}

func (m *metrics) storeCall(topic string, err error) {
	m.storeCalls.WithLabelValues(topic, storeResult(err)).Inc()
}

func storeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, logstore.ErrNoValidResponse):
		return "no answer"
	case errors.Is(err, logstore.ErrRejected):
		return "refused"
	case errors.Is(err, logstore.ErrCompacted):
		return "gone"
	case errors.Is(err, logstore.ErrConflict):
		return "conflict"
	default:
		return "error"
	}
}

func (m *metrics) status(s Status) {
	m.configAge.Set(s.ConfigAge.Seconds())
	m.servers.Set(float64(s.Servers))
	m.suspects.Set(float64(len(s.Suspects)))
	m.resting.Set(float64(len(s.Resting)))
	m.leaving.Set(float64(len(s.Leaving)))
	m.limited.Set(float64(len(s.Limited)))
	m.boxes.Set(float64(s.Boxes))
	m.electionToken.Set(float64(s.FencingToken))
	m.inFlight.Set(float64(s.InFlight))
	m.quarantined.Set(float64(len(s.Quarantine)))
	m.ready.Set(0)
	if s.Ready {
		m.ready.Set(1)
	}
}
