package tunnel

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Results of requests for tunnels, as in metrics.
const (
	resultConnected   = "connected"
	resultRefused     = "refused"
	resultTimedOut    = "timed out"
	resultUnavailable = "unavailable"
	resultForbidden   = "forbidden"
)

// Metrics are the Prometheus metrics of tunnels, as the box that opens them and as a helper.
type Metrics struct {
	dials, requests *prometheus.CounterVec
	open, carried   prometheus.Gauge
	bytes           prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_tunnel_dials_total", Help: "Tunnels to backend servers that this box asked other boxes for, by result.",
		}, []string{"result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slatebridge_tunnel_requests_total", Help: "Tunnels to backend servers that other boxes asked this one for, by result.",
		}, []string{"result"}),
		open:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "slatebridge_tunnels_open", Help: "Tunnels of this box through others."}),
		carried: prometheus.NewGauge(prometheus.GaugeOpts{Name: "slatebridge_tunnels_carried", Help: "Tunnels of other boxes through this one."}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "slatebridge_tunnel_bytes_total", Help: "Bytes that this box passed on for other boxes, in both directions.",
		}),
	}
	reg.MustRegister(m.dials, m.requests, m.open, m.carried, m.bytes)

	return m
}

// resultOf returns the result that an error stands for; nil is a tunnel.
func resultOf(err error) string {
	switch {
	case err == nil:
		return resultConnected
	case errors.Is(err, errServerRefused):
		return resultRefused
	case errors.Is(err, errServerTimedOut):
		return resultTimedOut
	case errors.Is(err, errForbidden):
		return resultForbidden
	default:
		return resultUnavailable
	}
}

func (m *Metrics) dialed(err error) { m.dials.WithLabelValues(resultOf(err)).Inc() }

func (m *Metrics) asked(err error) { m.requests.WithLabelValues(resultOf(err)).Inc() }

func (m *Metrics) opened(n int) { m.open.Add(float64(n)) }

func (m *Metrics) carrying(n int) { m.carried.Add(float64(n)) }

func (m *Metrics) passedOn(n int) { m.bytes.Add(float64(n)) }
