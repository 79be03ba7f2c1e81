package forward

import "sync/atomic"

// underWay counts the requests that are served and the questions that servers are asked. While
// there are any, the box looks often whether it stood still and how its streams do.
type underWay struct {
	n atomic.Int64
	// began has an element once the first of them has begun.
	began chan struct{}
}

// begin notes that one begins, and returns what ends it.
func (u *underWay) begin() (end func()) {
	if u.n.Add(1) == 1 {
		select {
		case u.began <- struct{}{}:
		default:
		}
	}

	return func() { u.n.Add(-1) }
}

// idle reports whether there are none.
func (u *underWay) idle() bool { return u.n.Load() == 0 }
