package reach

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of an Observer.
type Metrics struct {
	dials    *prometheus.CounterVec
	isolated prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_server_dials_total", Help: "Connections that this box tried to open to backend servers itself, by result.",
		}, []string{"result"}),
		isolated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "slatebridge_servers_unreached", Help: "Backend servers that this box failed to reach if it reaches none at all, otherwise 0.",
		}),
	}
	reg.MustRegister(m.dials, m.isolated)

	return m
}

// Dialed counts a dial.
func (m *Metrics) Dialed(r Result) { m.dials.WithLabelValues(string(r)).Inc() }

// Changed records that the box became isolated, or that a server showed life again.
func (m *Metrics) Changed(isolated bool, failedServers int) {
	m.isolated.Set(0)
	if isolated {
		m.isolated.Set(float64(failedServers))
	}
}
