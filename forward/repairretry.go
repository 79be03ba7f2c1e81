package forward

import (
	"context"
	"time"

	"github.com/slatebridge/slatebridge/repair"
)

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
		if a.waits() && !w.h.repairs.has(a) {
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
