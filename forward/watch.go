package forward

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
)

const (
	// watchInterval is the pause between two checks of the streams in flight, and idleWatchInterval
	// that without any activity.
	watchInterval     = 20 * time.Millisecond
	idleWatchInterval = 250 * time.Millisecond
	// silenceShare is the share of the route's maximum event interval, usually 200 or 250 ms, for
	// which a running stream may be silent before its servers are queried. The rest is for
	// detecting the dead server and for another one to prefill all tokens. defaultSilence applies
	// to routes without such a maximum. minSilence keeps the usual gaps between events, which are
	// 15 to 35 ms, from counting as silence on routes with a short maximum.
	silenceShare   = 0.3
	defaultSilence = 70 * time.Millisecond
	minSilence     = 50 * time.Millisecond
	// maxSilence is the longest allowed silence of a stream with slow events.
	maxSilence = 180 * time.Millisecond
	// firstEventShare is the share of the latency objective after which the servers of a stream
	// without any event are queried. It leaves time to restart the stream elsewhere.
	firstEventShare = 0.36
	// slowFirstEventShare is the share of the latency objective after which a stream that waits for
	// its first event on a slow server is restarted elsewhere.
	slowFirstEventShare = 0.5
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = 500 * time.Millisecond
	// jitterPerPeer spreads the queries of boxes whose streams stall at the same moment, so that
	// the first one to detect a dead server can tell the others. Each box delays its queries by a
	// random time up to this one multiplied by the number of other boxes in its hall.
	jitterPerPeer = time.Millisecond
	// maxJitter bounds that delay.
	maxJitter = 15 * time.Millisecond
	// suspectSilence is the allowed silence of a stream with a confirmed suspect on its path, and
	// the lower bound of it with an unconfirmed one.
	suspectSilence = 45 * time.Millisecond
	// initialCheckBackoff is the pause between the first two checks of a stream; it doubles with
	// each check, up to maxCheckBackoff.
	initialCheckBackoff = 150 * time.Millisecond
	maxCheckBackoff     = 1200 * time.Millisecond
	// leavingMoveDelay is the time from when this box learned that a server is leaving until the
	// streams still on it are moved. A leaving server serves for two seconds or more, and most
	// streams end by then.
	leavingMoveDelay = 1700 * time.Millisecond
	// moveBackoff is the pause between two attempts to move a stream off a server.
	moveBackoff = 400 * time.Millisecond
	// At every leavingMoveTicks-th check, at most one stream is moved off a leaving server. The new
	// server prefills all tokens of the stream, which delays all its other work.
	leavingMoveTicks = 4
	// abandonSilence is the silence after which a stream is restarted elsewhere even if no cause
	// was found: callers leave after two seconds.
	abandonSilence = 1500 * time.Millisecond
	// answerWindow is how recently some server must have sent something for a box to end attempts of
	// which it knows only that they are silent.
	answerWindow = time.Second
)

// silenceLimits bounds how long a stream may be silent.
type silenceLimits struct {
	// running and first are the silence after which the servers are queried, with and without a
	// previous event; slow is the time without any event after which a stream leaves a slow server.
	running, first, slow time.Duration
}

// silenceLimitsFor derives the limits from the objectives of the route.
func silenceLimitsFor(r *catalog.Route) silenceLimits {
	l := silenceLimits{running: defaultSilence}
	if r.MaxEventInterval > 0 {
		l.running = max(minSilence, time.Duration(silenceShare*float64(r.MaxEventInterval)))
	}
	objective := float64(cmp.Or(r.LatencyObjective, defaultObjective))
	l.first, l.slow = time.Duration(firstEventShare*objective), time.Duration(slowFirstEventShare*objective)

	return l
}

// SetHallPeers sets the number of other boxes in the hall that may detect the same failure.
func (h *Handler) SetHallPeers(n int) {
	h.hallPeers.Store(int64(n))
	h.jitterBound.Store(int64(min(maxJitter, time.Duration(n)*jitterPerPeer)))
}

// jitter returns a random delay for querying servers.
func (h *Handler) jitter() time.Duration {
	return time.Duration(h.random() * float64(h.jitterBound.Load()))
}

// WatchStreams monitors the streams in flight until ctx ends, and moves stalled ones off failed
// servers.
func (h *Handler) WatchStreams(ctx context.Context) {
	ticker := time.NewTicker(idleWatchInterval)
	defer ticker.Stop()
	w := &watcher{h: h, interval: idleWatchInterval, lastTick: clock.Now(), suspendedTotal: clock.SuspendedTotal(), retiredCount: h.fleet.RetiredCount()}
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-h.livenessQueue:
			go h.checkLiveness(ctx, id)
		case <-h.activity.started:
			w.lastTick = clock.Now()
			w.tick(ctx, w.lastTick)
		case <-ticker.C:
			w.tick(ctx, clock.Now())
		}
		if w.adjustInterval() {
			ticker.Reset(w.interval)
		}
		// Only now is it known how long the interval is.
		h.load.Expect(w.lastTick.Add(w.interval))
	}
}

// watcher is the state of WatchStreams between two checks.
type watcher struct {
	h *Handler
	// interval is the pause between two checks, and lastTick the time of the last one.
	interval time.Duration
	lastTick time.Time
	// suspendedTotal is the total time for which the machine was suspended, and retiredCount the
	// number of ended incarnations of servers, both as of the last check.
	suspendedTotal time.Duration
	retiredCount   int64
	ticks          int
	// nextRetryAt is the earliest time of the next round of repairs of streams that wait.
	nextRetryAt time.Time
	// losses lists the recently lost servers as of the last check.
	losses []slatebridge.ServerID
}

// logLosses logs when new requests begin to leave room for the streams of more lost servers.
func (w *watcher) logLosses() {
	lost := w.h.fleet.RecentLosses()
	isNew := func(id slatebridge.ServerID) bool { return !slices.Contains(w.losses, id) && w.keepsRoom(id) }
	if slices.ContainsFunc(lost, isNew) {
		event.Log(w.h.logger, event.RepairRoomKept, zap.Any("without", lost))
	}
	w.losses = lost
}

// keepsRoom reports whether streams of a route to the service of a lost server are repaired in order.
func (w *watcher) keepsRoom(id slatebridge.ServerID) bool {
	c := w.h.state().Catalog

	return c != nil && c.HasRoute(w.h.fleet.ServiceOfLost(id), repairedInOrder)
}

// adjustInterval sets the interval according to the current activity, and reports whether it
// changed.
//
// Load pattern: a thousand boxes, each with one request every four seconds. Most of the work of a
// box is then what it does while idle.
func (w *watcher) adjustInterval() bool {
	previous := w.interval
	w.interval = watchInterval
	if w.h.activity.idle() {
		w.interval = idleWatchInterval
	}

	return w.interval != previous
}

// tick checks all streams in flight once.
func (w *watcher) tick(ctx context.Context, now time.Time) {
	h := w.h
	if now.Sub(w.lastTick) > w.interval+maxSchedulingDelay {
		h.stalledAt.Store(now.UnixNano())
	}
	lag := now.Sub(w.lastTick) - w.interval
	w.lastTick = now
	if total := clock.SuspendedTotal(); total > w.suspendedTotal {
		lag -= total - w.suspendedTotal
		w.suspendedTotal = total
		h.resumeFromSuspend(now)
	}
	h.load.Observe(max(0, lag), now)
	if n := h.fleet.RetiredCount(); n != w.retiredCount {
		w.retiredCount = n
		h.moveOffEnded(ctx)
	}
	w.logLosses()
	attempts := h.monitor.all()
	if len(attempts) == 0 {
		return
	}
	current := suspicions{suspects: h.fleet.Suspects(), confirmed: h.fleet.ConfirmedSuspects()}
	// Events that have arrived may not have been read yet.
	quietUntil := now.Add(-h.load.RecentLag(now))
	for _, a := range attempts {
		if a.checkDue(quietUntil, current) {
			go h.checkStalled(ctx, a)
		}
	}
	if w.ticks++; w.ticks%leavingMoveTicks == 0 {
		h.moveOneOffLeaving(ctx, now)
	}
	w.retryWaiting(ctx, attempts, now)
}

// moveOffEnded moves all streams with an ended incarnation on their path. The restarted server has
// lost their state but responds to queries, so that it does not count as silent.
//
// Scenario: a third of the servers restart within half a second, and hundreds of streams of many
// boxes use them.
func (h *Handler) moveOffEnded(ctx context.Context) {
	for _, a := range h.monitor.all() {
		path, started, silent := a.state()
		if ended := h.fleet.EndedInPath(path); len(ended) > 0 {
			_, ledgerAttempt := a.current()
			for _, id := range ended {
				h.recordCrash(newUnanswered(a.request, ledgerAttempt, nil), id)
			}
			go h.recoverStream(ctx, a, path, started, silent, ended)
		}
	}
}

// moveOneOffLeaving moves at most one stream off servers that are leaving, that are no longer
// listed, or whose entry no longer lists the layers that they run for it. The first server of a
// stream cannot be replaced.
func (h *Handler) moveOneOffLeaving(ctx context.Context, now time.Time) {
	leaving := h.fleet.LeavingBefore(now.Add(-leavingMoveDelay))
	for _, a := range h.monitor.all() {
		path, started, _ := a.state()
		if !started {
			continue
		}
		firstID := path[0].Server.ID
		leave := h.fleet.StaleInPath(path)
		for _, id := range leaving {
			if path.Contains(id) {
				leave = append(leave, id)
			}
		}
		// A stream cannot be moved off its first server.
		leave = slices.DeleteFunc(leave, func(id slatebridge.ServerID) bool { return id == firstID })
		if len(leave) == 0 || !a.startMove(now) {
			continue
		}
		go h.moveOffServers(ctx, a, path, leave)

		return
	}
}

// checkStalled finds out why a stream makes no progress, and reacts.
func (h *Handler) checkStalled(ctx context.Context, a *streamAttempt) {
	path, started, silent := a.state()
	failed, reachesServers := h.failedInPath(ctx, a, path)
	h.metrics.streamStalled()
	if a.stallLog.due(fmt.Sprint(path, failed)) {
		event.Log(h.logger, event.StreamStalled, zap.String("request", a.requestID), zap.Duration("silent_ms", silent),
			zap.Bool("started", started), zap.Stringer("path", path), zap.Any("dead", failed))
	}
	if len(failed) == 0 && !reachesServers && !h.serversAnsweredSince(clock.Now().Add(-answerWindow)) {
		// No other server would do better, and these may go on with the stream.
		return
	}
	h.recoverStream(ctx, a, path, started, silent, failed)
}

// recoverStream continues a stream without the failed servers of its path, if there are any, or
// restarts it elsewhere if it has been silent for too long. With failed servers, the stream is
// queued for repair if its route has streams repaired in order.
func (h *Handler) recoverStream(ctx context.Context, a *streamAttempt, path fleet.Path, started bool, silent time.Duration, failed []slatebridge.ServerID) {
	switch {
	case len(failed) > 0 && repairedInOrder(a.request.route):
		h.queueRepair(ctx, a, path, failed)
	case len(failed) > 0:
		h.leaveServers(ctx, a, path, started, failed)
	case silent >= abandonSilence:
		h.restartElsewhere(ctx, a, path, failed)
	case !started && silent >= a.limits.slow:
		// A slow server also prefills the prompts queued before this one; elsewhere the stream can
		// still start within its objective.
		if slow := h.fleet.SlowInPath(path); len(slow) > 0 {
			h.restartElsewhere(ctx, a, path, slow)
		}
	}
}
