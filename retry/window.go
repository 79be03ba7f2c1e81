package retry

import "time"

const (
	// slots is into how many parts a window is divided.
	slots = 20
	// kept is how many parts are kept: the newest is not whole yet, so one more
	// than a window has is needed to cover any window that ends now.
	kept = slots + 1
)

// window counts what was sent in each part of a sliding window.
type window struct {
	// length is that of one part.
	length time.Duration
	// at is the number of the newest part.
	at    int64
	parts [kept]Usage
}

// slot returns the newest part.
func (w *window) slot() *Usage { return &w.parts[w.at%kept] }

// sum adds up the parts that cover the last time up to now.
func (w *window) sum(last time.Duration) Usage {
	n := min(kept, int64(last/w.length)+1)
	var sum Usage
	for i := range n {
		sum = sum.plus(w.parts[(w.at-i+kept)%kept])
	}

	return sum
}

// advance empties the parts between the last use and the given one.
func (w *window) advance(at int64) {
	if at-w.at >= kept || at < w.at {
		*w = window{length: w.length, at: at}

		return
	}
	for w.at < at {
		w.at++
		w.parts[w.at%kept] = Usage{}
	}
}
