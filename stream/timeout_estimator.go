package stream

import (
	"math"
	"sync"
	"time"
)

// Gains of the smoothed mean and deviation, and the number of deviations added to the mean. The
// values are those of the TCP retransmission timer (RFC 6298).
const (
	meanGain        = 0.125
	deviationGain   = 0.25
	deviationFactor = 4
)

// TimeoutEstimator derives the timeout for the next frame from the intervals observed so far. It is
// safe for concurrent use.
type TimeoutEstimator struct {
	// InitialTimeout is the timeout before the first observation.
	InitialTimeout time.Duration
	// MinTimeout and MaxTimeout bound the timeout after that.
	MinTimeout time.Duration
	MaxTimeout time.Duration

	mu        sync.Mutex
	observed  bool
	mean      float64
	deviation float64
}

// Observe adds one observed interval.
func (e *TimeoutEstimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := float64(d)
	if !e.observed {
		e.observed = true
		e.mean = v
		e.deviation = v / 2

		return
	}
	e.deviation += deviationGain * (math.Abs(v-e.mean) - e.deviation)
	e.mean += meanGain * (v - e.mean)
}

// Timeout returns how long to wait for the next frame.
func (e *TimeoutEstimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.observed {
		return e.InitialTimeout
	}
	d := time.Duration(e.mean + deviationFactor*e.deviation)

	return min(max(d, e.MinTimeout), e.MaxTimeout)
}
