package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/slatebridge/slatebridge/result"
)

// metrics holds the Prometheus metrics of a gateway.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	tokens   prometheus.Counter
	attempts prometheus.Counter
}

func newMetrics(r prometheus.Registerer, g *Gateway) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_requests_total",
			Help: "Requests that have their final answer, by kind and result code.",
		}, []string{"kind", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "slatebridge_request_seconds",
			Help:    "Time from the arrival of a request to its final answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"kind"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "slatebridge_tokens_total",
			Help: "Tokens delivered to callers.",
		}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "slatebridge_attempts_total",
			Help: "Stream attempts started.",
		}),
	}
	r.MustRegister(m.requests, m.duration, m.tokens, m.attempts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_requests_in_flight",
			Help: "Requests in flight at the box.",
		}, func() float64 { return float64(g.limiter.InFlight()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_claim_keys",
			Help: "Idempotency keys in the claim table.",
		}, func() float64 { return float64(g.claimer.KeyCount()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_config_applied",
			Help: "Configuration offset of the routing snapshot in use.",
		}, func() float64 { return float64(g.snapshot.Load().Revision.AppliedOffset) }),
	)

	return m
}

// observe records a request that has its final response.
func (m *metrics) observe(kind string, code result.Code, elapsed time.Duration) {
	m.requests.WithLabelValues(kind, strconv.Itoa(int(code))).Inc()
	m.duration.WithLabelValues(kind).Observe(elapsed.Seconds())
}
