package repair

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// maxConcurrent bounds the repairs of one box at a time. The first ones reach the replacements
	// before the rest, and boxes with many streams do not fill the replacements' queues at once.
	maxConcurrent = 8
	// maxConcurrentPerServer bounds those of streams with the same first server, which is asked to
	// move them. If it does not respond, its streams do not hold up those of others.
	maxConcurrentPerServer = 4
)

// Queue holds the streams of a box that wait for their repair and those under repair, by a key K
// for each stream. The zero value is empty. It is not safe for concurrent use.
type Queue[K comparable] struct {
	waiting []waitingStream[K]
	// ordered is set while waiting is in the order of repair.
	ordered bool
	// running maps the streams under repair to their first servers.
	running map[K]slatebridge.ServerID
}

// waitingStream is a stream that waits for its repair.
type waitingStream[K comparable] struct {
	key    K
	first  slatebridge.ServerID
	stream Stream
}

// Add queues a stream, whose first server is first. If the stream is waiting already, it waits once
// with the new values. If it is under repair, it waits until that repair has ended.
func (q *Queue[K]) Add(key K, first slatebridge.ServerID, s Stream) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingStream[K]) bool { return w.key == key })
	q.waiting = append(q.waiting, waitingStream[K]{key, first, s})
	q.ordered = false
}

// Sort puts the waiting streams in order. It returns their number, and how many of them are
// expected to be in time.
func (q *Queue[K]) Sort(now time.Time) (total, inTime int) {
	streams := make([]Stream, 0, len(q.waiting))
	for _, w := range q.waiting {
		streams = append(streams, w.stream)
	}
	order, inTime := Order(streams, now)
	sorted := make([]waitingStream[K], 0, len(order))
	for _, i := range order {
		sorted = append(sorted, q.waiting[i])
	}
	q.waiting, q.ordered = sorted, true

	return len(sorted), inTime
}

// Next removes the first stream whose repair may start now, and counts it as under repair until
// Done. It returns false if there is none.
func (q *Queue[K]) Next(now time.Time) (K, bool) {
	var none K
	if len(q.running) >= maxConcurrent {
		return none, false
	}
	if !q.ordered {
		q.Sort(now)
	}
	i := slices.IndexFunc(q.waiting, q.mayStart)
	if i < 0 {
		return none, false
	}
	next := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if q.running == nil {
		q.running = make(map[K]slatebridge.ServerID, maxConcurrent)
	}
	q.running[next.key] = next.first

	return next.key, true
}

// mayStart reports whether the stream is not under repair, and fewer streams of its first server
// are than allowed.
func (q *Queue[K]) mayStart(w waitingStream[K]) bool {
	if _, running := q.running[w.key]; running {
		return false
	}
	n := 0
	for _, first := range q.running {
		if first == w.first {
			n++
		}
	}

	return n < maxConcurrentPerServer
}

// Done records that the repair of a stream has ended.
func (q *Queue[K]) Done(key K) { delete(q.running, key) }

// Clear drops the waiting streams. Repairs that have started go on.
func (q *Queue[K]) Clear() { q.waiting = nil }
