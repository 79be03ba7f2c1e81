package forward

import "sync/atomic"

// activity counts the requests being served and the queries in progress. While there are any,
// WatchStreams runs at its short interval.
type activity struct {
	count atomic.Int64
	// started receives an element when the count rises from zero.
	started chan struct{}
}

// begin counts an activity, and returns the function that ends it.
func (a *activity) begin() (end func()) {
	if a.count.Add(1) == 1 {
		select {
		case a.started <- struct{}{}:
		default:
		}
	}

	return func() { a.count.Add(-1) }
}

// idle reports whether there are no activities.
func (a *activity) idle() bool { return a.count.Load() == 0 }
