package forward

import (
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/observe"
	"github.com/slatebridge/slatebridge/overload"
)

const (
	// latencyWindow is the time over which durations are observed. One box completes some hundred
	// streams in it, enough for the quantiles.
	latencyWindow = 30 * time.Second
	// streamDurationQuantile is the quantile that StreamDurationP95 returns.
	streamDurationQuantile = 0.95

	medianQuantile = 0.5
)

// latencyStats holds durations observed by this box.
type latencyStats struct {
	// streams holds the durations of complete streams.
	streams *observe.DurationHistogram
	// gaps holds the times between two events of a stream, and responses the times until the
	// complete response of a single server, both by service.
	gaps      *sync.Map
	responses *sync.Map
	// answerSizes holds the sizes of whole answers that were too large to buffer, by service.
	answerSizes *sync.Map
}

func newLatencyStats() latencyStats {
	return latencyStats{streams: observe.NewDurationHistogram(latencyWindow), gaps: &sync.Map{}, responses: &sync.Map{}, answerSizes: &sync.Map{}}
}

// histogramOf returns the histogram of the service, and creates it if needed.
func histogramOf(byService *sync.Map, service string) *observe.DurationHistogram {
	v, ok := byService.Load(service)
	if !ok {
		v, _ = byService.LoadOrStore(service, observe.NewDurationHistogram(latencyWindow))
	}

	return v.(*observe.DurationHistogram)
}

// StreamDurationP95 returns the 95th percentile of recent stream durations; zero if there are none.
func (h *Handler) StreamDurationP95() time.Duration {
	d, _ := h.latencies.streams.Quantile(streamDurationQuantile)

	return d
}

// eventGaps returns the times between two events of the service's streams.
func (h *Handler) eventGaps(service string) *observe.DurationHistogram {
	return histogramOf(h.latencies.gaps, service)
}

// responseTimes returns the response times of single servers to requests for the service.
func (h *Handler) responseTimes(service string) *observe.DurationHistogram {
	return histogramOf(h.latencies.responses, service)
}

// answerSizes returns the size of the service's largest whole answer among those too large to buffer.
func (h *Handler) answerSizes(service string) *observe.Maximum {
	v, ok := h.latencies.answerSizes.Load(service)
	if !ok {
		v, _ = h.latencies.answerSizes.LoadOrStore(service, observe.NewMaximum(answerSizeWindow))
	}

	return v.(*observe.Maximum)
}

// medianGap returns the median time between two events of the service's streams; zero if there are
// none. It is the initial estimate for a new stream. With a shorter one, the servers of each new
// stream would be queried before its second event.
func (h *Handler) medianGap(service string) time.Duration {
	d, _ := h.eventGaps(service).Quantile(medianQuantile)

	return d
}

const (
	// minGapSamples is the number of gaps required to derive a gap factor from them.
	minGapSamples = 200
	// A silence must exceed the gapQuantile quantile of the gaps by the factor gapMargin.
	gapQuantile = 0.98
	gapMargin   = 1.2
	// halfwayPeers is the number of other boxes in a hall at which the factor is halfway between
	// that of a single box and that of one among very many.
	halfwayPeers = 8
)

// gapFactor returns how many times its mean gap a stream of the service may be silent until its
// servers are queried. A single box waits longest: a premature query is wasted work, and there is
// no other box that would learn sooner of a dead server. In a hall of many boxes, the first to
// detect a dead server tell the others. Therefore, the more boxes there are, the closer the wait is
// to gapMargin times the 98th percentile of the recent gaps.
//
// Scenario: servers of a large fleet with many boxes crash. Routes allow a pause of 200 to 300 ms,
// which is four to seven mean gaps. If all boxes wait for maxGapFactor gaps, half of the pause of a
// moved stream passes before the dead server is detected.
func (h *Handler) gapFactor(service string) float64 {
	typical, _ := h.eventGaps(service).Quantile(medianQuantile)
	high, n := h.eventGaps(service).Quantile(gapQuantile)
	if n < minGapSamples || typical <= 0 {
		return maxGapFactor
	}
	observed := min(maxGapFactor, max(minGapFactor, gapMargin*float64(high)/float64(typical)))
	peers := float64(h.hallPeers.Load())

	return maxGapFactor - (maxGapFactor-observed)*peers/(peers+halfwayPeers)
}

// capacityRetryAfter returns when the caller of a request without a path should retry.
func (h *Handler) capacityRetryAfter() time.Duration {
	typical, _ := h.latencies.streams.Quantile(medianQuantile)

	return overload.CapacityRetryAfter(typical, h.random())
}
