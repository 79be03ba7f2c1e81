package ownload

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of a Limiter.
type Metrics struct {
	closed prometheus.Counter
}

// NewMetrics registers the metrics of a limiter.
func NewMetrics(reg prometheus.Registerer, l *Limiter) *Metrics {
	m := &Metrics{closed: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "slatebridge_connections_closed_unread_total", Help: "Connections of callers that were closed unread because the box was late with its own work.",
	})}
	reg.MustRegister(m.closed,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_own_lag_seconds", Help: "How late the box last did what was due.",
		}, func() float64 { return l.State().Lag.Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_own_limit", Help: "Limit on the requests in flight of the box while it is late, or 0 if there is none.",
		}, func() float64 { return float64(l.State().Limit) }),
	)

	return m
}

// ConnectionClosed counts a connection that was closed unread.
func (m *Metrics) ConnectionClosed() { m.closed.Inc() }
