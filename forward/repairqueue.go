package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/repair"
)

// repairedInOrder reports whether streams of the route are repaired in order: it states which pause
// is acceptable, and another server may continue its streams.
func repairedInOrder(r *catalog.Route) bool {
	return r != nil && r.MaxEventInterval > 0 && r.Resumable
}

// repairGatherTime is how long the first repair waits for further streams that lost servers at the
// same moment, so that they can be put in order.
const repairGatherTime = 2 * time.Millisecond

// repairQueue holds the streams of this box that wait for their repair. The zero value is empty.
type repairQueue struct {
	mu    sync.Mutex
	queue repair.Queue[*streamAttempt]
	// found holds what is known of the waiting streams.
	found map[*streamAttempt]repairFinding
	// gathering is set while repairGatherTime runs.
	gathering bool
}

// repairFinding is what is known of a stream that waits for its repair.
type repairFinding struct {
	failed []slatebridge.ServerID
	since  time.Time
}

// clear drops the waiting streams.
func (q *repairQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Clear()
	clear(q.found)
}

// add queues a stream with the servers that it lost.
func (q *repairQueue) add(a *streamAttempt, first slatebridge.ServerID, s repair.Stream, failed []slatebridge.ServerID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.found == nil {
		q.found = make(map[*streamAttempt]repairFinding)
	}
	known, ok := q.found[a]
	if !ok {
		known.since = now
	}
	known.failed = append(slices.Clone(known.failed), failed...)
	q.found[a] = known
	q.queue.Add(a, first, s)
}

// next returns the stream whose repair starts now.
func (q *repairQueue) next(now time.Time) (*streamAttempt, repairFinding, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a, ok := q.queue.Next(now)
	if !ok {
		return nil, repairFinding{}, false
	}
	f := q.found[a]
	delete(q.found, a)

	return a, f, true
}

func (q *repairQueue) done(a *streamAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Done(a)
}

// beginGather reports whether the caller is to start the repairs after repairGatherTime.
func (q *repairQueue) beginGather() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.gathering {
		return false
	}
	q.gathering = true

	return true
}

// endGather returns the number of waiting streams, and how many of them are expected to be in time.
func (q *repairQueue) endGather(now time.Time) (total, inTime int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gathering = false

	return q.queue.Sort(now)
}

// queueRepair queues a stream that lost servers of its path, and starts its repair when it is its
// turn.
func (h *Handler) queueRepair(ctx context.Context, a *streamAttempt, path fleet.Path, failed []slatebridge.ServerID) {
	s := a.repairStream()
	s.Turn = h.fleet.Takeover(path, failed, a.kvTokens).Turn
	h.repairs.add(a, path[0].Server.ID, s, failed, clock.Now())
	if !h.repairs.beginGather() {
		return
	}
	time.Sleep(repairGatherTime)
	if total, inTime := h.repairs.endGather(clock.Now()); total > 1 {
		event.Log(h.logger, event.RepairsQueued, zap.Int("streams", total), zap.Int("late", total-inTime))
	}
	h.startRepairs(ctx)
}

// startRepairs starts all repairs whose turn it is.
func (h *Handler) startRepairs(ctx context.Context) {
	for {
		now := clock.Now()
		a, found, ok := h.repairs.next(now)
		if !ok {
			return
		}
		h.metrics.repairStarted(now.Sub(found.since))
		go func() {
			h.repairNow(ctx, a, found.failed)
			h.repairs.done(a)
			h.startRepairs(ctx)
		}()
	}
}

// repairNow repairs a stream that has waited for its turn, by what is known now: it may have ended
// or left the servers, they may be trusted again, and further ones may have failed.
func (h *Handler) repairNow(ctx context.Context, a *streamAttempt, found []slatebridge.ServerID) {
	path, started, _ := a.state()
	failed := h.stillFailed(path, found)
	if len(failed) == 0 || a.hasEnded() {
		h.metrics.repairDone(repairNotNeeded)

		return
	}
	h.leaveServers(ctx, a, path, started, failed)
}

// stillFailed returns the servers of the path that have ended or are suspect now, and those found
// failed before that have no entry any more.
func (h *Handler) stillFailed(path fleet.Path, found []slatebridge.ServerID) []slatebridge.ServerID {
	suspects := h.fleet.Suspects()
	failed := h.fleet.EndedInPath(path)
	for _, s := range path {
		id := s.Server.ID
		_, listed := h.fleet.Server(id)
		if slices.Contains(suspects, id) || (!listed && slices.Contains(found, id) && !slices.Contains(failed, id)) {
			failed = append(failed, id)
		}
	}

	return failed
}

const (
	// repairRetryInterval is the pause between two rounds of repairs of streams that wait.
	repairRetryInterval = 100 * time.Millisecond
	// maxRetriedRepairs bounds the streams in such a round, and what their searches cost the box.
	// The others are tried at the regular checks of silent streams.
	maxRetriedRepairs = 4
)

// retryWaiting queues the first of the streams that wait for a repair once more.
//
// Load pattern: the replacements of lost servers are full, and streams of all boxes wait for room
// there. With a pause that doubles from check to check, those that have waited longest notice last
// that a stream has ended, and later ones take its memory.
func (w *watcher) retryWaiting(ctx context.Context, attempts []*streamAttempt, now time.Time) {
	if now.Before(w.nextRetryAt) {
		return
	}
	var waiting []*streamAttempt
	var streams []repair.Stream
	for _, a := range attempts {
		if a.waits() {
			waiting = append(waiting, a)
			streams = append(streams, a.repairStream())
		}
	}
	if len(waiting) == 0 {
		return
	}
	w.nextRetryAt = now.Add(repairRetryInterval)
	order, _ := repair.Order(streams, now)
	for _, i := range order[:min(len(order), maxRetriedRepairs)] {
		a := waiting[i]
		path, _, _ := a.state()
		if failed := w.h.stillFailed(path, nil); len(failed) > 0 {
			go w.h.queueRepair(ctx, a, path, failed)
		} else {
			a.setWaits(false)
		}
	}
}

// setWaits records whether the stream waits for a repair since the last one failed.
func (a *streamAttempt) setWaits(waits bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waitsForRepair = waits
}

// waits reports whether the stream waits for a repair.
func (a *streamAttempt) waits() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.waitsForRepair && !a.ended && a.nextPath == nil
}

// repairStream describes the stream for its place in the order of repairs.
func (a *streamAttempt) repairStream() repair.Stream {
	a.mu.Lock()
	events := a.eventsBefore + a.events
	a.mu.Unlock()
	c := a.request
	s := repair.Stream{PauseEnds: a.pauseEnds(), CallerLeaves: a.callerLeaves(), RemainingTokens: max(0, a.expectedTokens()-events)}
	if c.prioritized {
		s.Priority = c.priority
	}

	return s
}

// expectedTokens returns the expected size of the output.
func (a *streamAttempt) expectedTokens() int {
	c := a.request
	expected := c.ExpectedTokens
	if expected == 0 && c.state.Catalog != nil {
		if s := c.state.Catalog.Service(a.service); s != nil && s.Model != nil {
			expected = s.Model.MeanOutputTokens
		}
	}
	if c.MaxTokens > 0 {
		expected = min(expected, c.MaxTokens)
	}

	return expected
}

// pauseEnds returns when the acceptable pause of the stream is over; before the first event, when
// its latency objective is.
func (a *streamAttempt) pauseEnds() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pauseFrom.IsZero() {
		return a.request.startedAt.Add(cmp.Or(a.request.route.LatencyObjective, defaultObjective))
	}

	return a.pauseFrom.Add(a.request.route.MaxEventInterval)
}

// callerLeaves returns when the caller is expected to give up.
func (a *streamAttempt) callerLeaves() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	leaves := a.request.deadline
	if a.pauseFrom.IsZero() {
		return leaves
	}
	if at := a.pauseFrom.Add(abandonSilence); at.Before(leaves) {
		leaves = at
	}

	return leaves
}

// hasEnded reports whether the attempt has ended, or is about to in favor of another one.
func (a *streamAttempt) hasEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended || a.nextPath != nil
}

// logLimiter bounds how often findings about a stream are logged. The zero value is ready for use.
type logLimiter struct {
	mu    sync.Mutex
	state repair.LogState
}

// due reports whether the finding should be logged now, and if so counts it as logged.
func (l *logLimiter) due(finding string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due bool
	l.state, due = l.state.WithFinding(finding, clock.Now())

	return due
}
