package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/repair"
)

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
	for _, id := range failed {
		if !slices.Contains(known.failed, id) {
			known.failed = append(known.failed, id)
		}
	}
	q.found[a] = known
	q.queue.Add(a, first, s)
}

// next returns the stream whose repair starts now. Streams whose first server is suspect are restarted,
// not moved, so its silence limits them no longer.
func (q *repairQueue) next(now time.Time, suspects []slatebridge.ServerID) (*streamAttempt, repairFinding, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range suspects {
		q.queue.ClearSilence(id)
	}
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

// recordMove records whether a first server responded to a move.
func (q *repairQueue) recordMove(first slatebridge.ServerID, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered {
		q.queue.ClearSilence(first)
	} else {
		q.queue.RecordSilence(first, clock.Now())
	}
}

// keep reports whether the repair of the stream may go on after its first server has not responded.
func (q *repairQueue) keep(a *streamAttempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.queue.Keep(a)
}

// pause stops counting the repair toward the concurrent ones until resume, and reports whether it did.
func (q *repairQueue) pause(a *streamAttempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.queue.Pause(a)
}

func (q *repairQueue) resume(a *streamAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Resume(a)
}

// has reports whether the stream waits for its repair or is under repair.
func (q *repairQueue) has(a *streamAttempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.queue.Has(a)
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

// endGather drops the streams that have ended, and returns their number, that of the others, and how
// many of these are expected to be in time.
func (q *repairQueue) endGather(now time.Time) (ended, total, inTime int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gathering = false
	q.queue.DropWaiting(func(a *streamAttempt) bool {
		if !a.hasEnded() {
			return false
		}
		ended++
		delete(q.found, a)

		return true
	})
	total, inTime = q.queue.Sort(now)

	return ended, total, inTime
}

// queueRepair queues a stream that lost servers of its path, and starts its repair when it is its
// turn.
func (h *Handler) queueRepair(ctx context.Context, a *streamAttempt, path fleet.Path, failed []slatebridge.ServerID) {
	s := a.repairStream()
	s.RepairTime = h.fleet.Takeover(path, failed, a.kvTokens).RepairInterval
	h.repairs.add(a, path[0].Server.ID, s, failed, clock.Now())
	if !h.repairs.beginGather() {
		return
	}
	time.Sleep(repairGatherTime)
	ended, total, inTime := h.repairs.endGather(clock.Now())
	for range ended {
		h.metrics.repairDone(repairNotNeeded)
	}
	if total > 1 {
		event.Log(h.logger, event.RepairsQueued, zap.Int("streams", total), zap.Int("late", total-inTime))
	}
	h.startRepairs(ctx)
}

// startRepairs starts all repairs that are next in the order.
func (h *Handler) startRepairs(ctx context.Context) {
	for {
		now := clock.Now()
		a, found, ok := h.repairs.next(now, h.fleet.Suspects())
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

// repairNow repairs a stream that has waited for its repair, by what is known now: it may have ended
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
