package repair

import (
	"maps"
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
	// maxConcurrentSilent bounds those of streams whose first servers are known not to respond to
	// moves, together.
	maxConcurrentSilent = maxConcurrent / 2
	// maxPaused bounds the repairs that wait for a retry and do not count toward maxConcurrent.
	maxPaused = 16
	// sortInterval is the minimum interval between two sorts of the waiting streams, as sorting is
	// expensive for many streams.
	sortInterval = 2 * time.Millisecond
	// silenceTTL is how long a first server that is not asked any more counts as silent. Streams
	// that were to leave a server at that time have ended.
	silenceTTL = 10 * time.Second
)

// Queue holds the streams of a box that wait for their repair and those under repair, by a key K
// for each stream. The zero value is empty. It is not safe for concurrent use.
type Queue[K comparable] struct {
	waiting []waitingStream[K]
	// ordered is set while waiting is in the order of repair.
	ordered bool
	// sortedAt is when it was last put in that order.
	sortedAt time.Time
	// running maps the streams under repair to their first servers.
	running map[K]slatebridge.ServerID
	// paused maps those that do not count toward maxConcurrent for a while.
	paused map[K]slatebridge.ServerID
	// silent maps the first servers that have not responded to the last move to the time of that.
	silent map[slatebridge.ServerID]time.Time
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
	q.waiting, q.ordered, q.sortedAt = sorted, true, now

	return len(sorted), inTime
}

// Next removes the first stream whose repair may start now, and counts it as under repair until
// Done. It returns false if there is none.
func (q *Queue[K]) Next(now time.Time) (K, bool) {
	var none K
	if silent, others := q.countRunning(); min(silent, maxConcurrentSilent)+others >= maxConcurrent {
		return none, false
	}
	if !q.ordered && now.Sub(q.sortedAt) >= sortInterval {
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
	if q.underRepair(w.key) {
		return false
	}
	n := q.runningAt(w.first)
	if !q.isSilent(w.first) {
		return n < maxConcurrentPerServer
	}
	silent, others := q.countRunning()

	return n == 0 && silent < maxConcurrentSilent && silent+others < maxConcurrent
}

// runningAt returns the number of streams of the first server that are under repair.
func (q *Queue[K]) runningAt(first slatebridge.ServerID) int {
	n := 0
	for _, s := range q.running {
		if s == first {
			n++
		}
	}

	return n
}

// countRunning returns the number of streams under repair whose first servers are silent, and that
// of the others.
func (q *Queue[K]) countRunning() (silent, others int) {
	for _, first := range q.running {
		if q.isSilent(first) {
			silent++
		} else {
			others++
		}
	}

	return silent, others
}

func (q *Queue[K]) isSilent(first slatebridge.ServerID) bool {
	_, silent := q.silent[first]

	return silent
}

// RecordSilence records that a first server has not responded to a move in time. Until it responds,
// one of its streams is repaired at a time.
func (q *Queue[K]) RecordSilence(first slatebridge.ServerID, now time.Time) {
	if q.silent == nil {
		q.silent = make(map[slatebridge.ServerID]time.Time)
	}
	maps.DeleteFunc(q.silent, func(_ slatebridge.ServerID, at time.Time) bool { return now.Sub(at) > silenceTTL })
	q.silent[first] = now
}

// ClearSilence ends the limit on the repairs of a first server that did not respond.
func (q *Queue[K]) ClearSilence(first slatebridge.ServerID) { delete(q.silent, first) }

// Keep reports whether the repair of a stream may go on after its first server has not responded.
// If others of that server are under repair as well, its repair has ended.
func (q *Queue[K]) Keep(key K) bool {
	first, running := q.running[key]
	if !running || !q.isSilent(first) || q.runningAt(first) == 1 {
		return true
	}
	delete(q.running, key)

	return false
}

// Pause stops counting a stream under repair toward maxConcurrent until Resume, and reports whether it
// did.
// It does not if too many have done so.
func (q *Queue[K]) Pause(key K) bool {
	first, running := q.running[key]
	if !running || len(q.paused) >= maxPaused {
		return false
	}
	if q.paused == nil {
		q.paused = make(map[K]slatebridge.ServerID, maxPaused)
	}
	q.paused[key] = first
	delete(q.running, key)

	return true
}

// Resume continues a paused repair at once, also if that makes more repairs than otherwise run at a
// time.
func (q *Queue[K]) Resume(key K) {
	if first, paused := q.paused[key]; paused {
		q.running[key] = first
		delete(q.paused, key)
	}
}

func (q *Queue[K]) underRepair(key K) bool {
	_, running := q.running[key]
	_, paused := q.paused[key]

	return running || paused
}

// Has reports whether the stream waits or is under repair.
func (q *Queue[K]) Has(key K) bool {
	return q.underRepair(key) || slices.ContainsFunc(q.waiting, func(w waitingStream[K]) bool { return w.key == key })
}

// Done records that the repair of a stream has ended.
func (q *Queue[K]) Done(key K) {
	delete(q.running, key)
	delete(q.paused, key)
}

// DropWaiting drops the waiting streams for which drop returns true.
func (q *Queue[K]) DropWaiting(drop func(K) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingStream[K]) bool { return drop(w.key) })
}

// Clear drops the waiting streams. Repairs that have started go on.
func (q *Queue[K]) Clear() { q.waiting = nil }
