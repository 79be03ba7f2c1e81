// Package observe keeps recent measurements of a varying duration, such as the time between two
// events of a stream, so that limits can adapt to it.
package observe

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/slatebridge/slatebridge/clock"
)

const (
	// maxDuration is the longest duration that is recorded; longer ones are recorded as
	// maxDuration.
	maxDuration = 10 * time.Minute
	// significantDigits is the precision of the histogram, in decimal digits.
	significantDigits = 2
)

// DurationHistogram keeps each recorded duration for at least one span and, if it is called often,
// for at most about two. Spans end only when Record or Quantile is called: after a time without
// calls, a duration may be kept for up to three spans. It is safe for concurrent use.
type DurationHistogram struct {
	span time.Duration
	now  func() time.Time

	mu sync.Mutex
	// current has the values recorded since start, and previous those of the span before.
	current, previous *hdrhistogram.Histogram
	start             time.Time
}

// Option configures a DurationHistogram.
type Option func(*DurationHistogram)

// WithClock replaces clock.Now.
func WithClock(now func() time.Time) Option {
	return func(h *DurationHistogram) { h.now = now }
}

// NewDurationHistogram returns an empty histogram; see DurationHistogram for the effect of span.
func NewDurationHistogram(span time.Duration, opts ...Option) *DurationHistogram {
	h := &DurationHistogram{span: span, now: clock.Now, current: newHistogram(), previous: newHistogram()}
	for _, o := range opts {
		o(h)
	}
	h.start = h.now()

	return h
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

// Record adds a duration.
func (h *DurationHistogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	// RecordValue fails only for values out of range.
	_ = h.current.RecordValue(min(max(d, 0), maxDuration).Microseconds())
}

// Quantile returns the q-quantile of the recorded durations, with q from 0 to 1, and their number.
// Both are zero if there are none.
func (h *DurationHistogram) Quantile(q float64) (time.Duration, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	const percent = 100
	all := hdrhistogram.Import(h.previous.Export())
	all.Merge(h.current)

	return time.Duration(all.ValueAtQuantile(percent*q)) * time.Microsecond, all.TotalCount()
}

// rotate starts a new span if the current one is over. The caller must hold mu.
func (h *DurationHistogram) rotate() {
	elapsed := h.now().Sub(h.start)
	if elapsed < h.span {
		return
	}
	h.previous, h.current = h.current, h.previous
	h.current.Reset()
	if elapsed >= 2*h.span {
		h.previous.Reset()
	}
	h.start = h.now()
}
