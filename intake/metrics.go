package intake

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of a Memory and of the Listener that uses it.
type Metrics struct {
	closed prometheus.Counter
}

// NewMetrics registers the metrics of a memory.
func NewMetrics(reg prometheus.Registerer, mem *Memory) *Metrics {
	m := &Metrics{closed: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "slatebridge_connections_closed_for_room_total", Help: "Connections of callers that were closed because there were too many.",
	})}
	reg.MustRegister(m.closed,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_held_bytes", Help: "Bytes that requests of callers hold.",
		}, func() float64 { return float64(mem.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "slatebridge_held_bytes_limit", Help: "Bytes that requests of callers may hold together.",
		}, func() float64 { return float64(mem.Capacity()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "slatebridge_held_bytes_refused_total", Help: "Requests, or parts of one, that did not fit.",
		}, func() float64 { return float64(mem.Refused()) }),
	)

	return m
}

// ConnectionClosed counts a connection that was closed because there were too many.
func (m *Metrics) ConnectionClosed() { m.closed.Inc() }
