package forward

import (
	"context"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/repair"
)

const (
	// repairRetryInterval is the pause between two rounds of repairs of streams that wait.
	repairRetryInterval = 100 * time.Millisecond
	// maxRetriedRepairs is how many streams a round takes from the head of the order, and how many more
	// by the oldest last retry. It bounds the cost of their searches; the others are tried at the
	// regular checks of silent streams.
	maxRetriedRepairs = 4
)

// retryWaiting queues the first of the streams that wait for a repair once more, and those whose last
// retry is longest ago, as the first ones may be too large for any server.
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
		if a.waits() && !w.h.repairs.has(a) {
			waiting = append(waiting, a)
			streams = append(streams, a.repairStream())
		}
	}
	w.refreshLosses(attempts)
	if len(waiting) == 0 {
		return
	}
	w.nextRetryAt = now.Add(repairRetryInterval)
	order, _ := repair.Order(streams, now)
	ordered := make([]*streamAttempt, 0, len(order))
	for _, i := range order {
		ordered = append(ordered, waiting[i])
	}
	for _, a := range chooseRetried(ordered) {
		a.retriedAt = now
		path, _, _ := a.state()
		if failed := w.h.stillFailed(path, nil); len(failed) > 0 {
			go w.h.queueRepair(ctx, a, path, failed)
		} else {
			a.setWaits(false)
		}
	}
}

// refreshLosses keeps room for the streams that wait to leave lost servers.
func (w *watcher) refreshLosses(attempts []*streamAttempt) {
	lost := w.h.fleet.RecentLosses()
	if len(lost) == 0 {
		return
	}
	var needed []slatebridge.ServerID
	for _, a := range attempts {
		if !a.waits() {
			continue
		}
		path, _ := a.current()
		for _, id := range lost {
			if path.Contains(id) && !slices.Contains(needed, id) {
				needed = append(needed, id)
			}
		}
	}
	w.h.fleet.RefreshLosses(needed)
}

// chooseRetried returns the streams of a round, of those that wait in the order of repair.
func chooseRetried(waiting []*streamAttempt) []*streamAttempt {
	n := min(len(waiting), maxRetriedRepairs)
	first, others := waiting[:n:n], slices.Clone(waiting[n:])
	slices.SortStableFunc(others, func(a, b *streamAttempt) int { return a.retriedAt.Compare(b.retriedAt) })

	return append(first, others[:min(len(others), maxRetriedRepairs)]...)
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
