package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
)

// Timing of suspicions.
const (
	// suspicionTTL is how long a server without a response stays suspect; it is queried again
	// before that time ends.
	suspicionTTL = 1500 * time.Millisecond
	// recheckInterval is the pause between two queries of a suspect or slow server.
	recheckInterval = 500 * time.Millisecond
)

// failedInPath returns the servers of the path that have ended or are suspect, and whether this box
// reaches servers at all. A server without an entry may still be serving, and is queried like the
// others.
func (h *Handler) failedInPath(ctx context.Context, a *streamAttempt, path fleet.Path) (failed []slatebridge.ServerID, reachesServers bool) {
	failed = h.fleet.EndedInPath(path)
	suspects := h.fleet.Suspects()
	for _, s := range path {
		if slices.Contains(suspects, s.Server.ID) {
			failed = append(failed, s.Server.ID)
		}
	}
	if len(failed) > 0 {
		return failed, true
	}
	silent, stalled := h.queryPath(ctx, path)
	if address, ok := stalled[a.requestID]; ok {
		for _, s := range path {
			if s.Server.Address == address && !slices.Contains(silent, s.Server.ID) {
				silent = append(silent, s.Server.ID)
			}
		}
	}
	if len(silent) > len(path)/2 && !h.reachesOtherServers(ctx, a, path) {
		// A box that reaches no server is cut off itself.
		return nil, false
	}
	for _, id := range silent {
		h.suspect(ctx, id, "it does not answer, or others wait for it")
	}
	h.suspectHalls(ctx, a, path, silent)

	return append(silent, h.fleet.EndedInPath(path)...), true
}

// maxReachabilityProbes is the number of servers outside a path that are queried to find out
// whether this box itself is cut off.
const maxReachabilityProbes = 3

// reachesOtherServers reports whether this box reaches any server of its own hall that is not on
// the path.
func (h *Handler) reachesOtherServers(ctx context.Context, a *streamAttempt, path fleet.Path) bool {
	probed := 0
	for _, s := range h.fleet.LocalServers(a.service) {
		if path.Contains(s.ID) {
			continue
		}
		if responded(h.query(ctx, s, reportTTL).err) {
			return true
		}
		if probed++; probed == maxReachabilityProbes {
			break
		}
	}

	return false
}

// minSilentInHall is the number of silent servers of a hall, with none responding, from which the
// whole hall may be cut off.
const minSilentInHall = 3

// suspectHalls suspects the servers of each other hall that seems cut off: several of its servers on
// the stalled path are silent, none of them responds, and no other stream has made progress through
// the hall since this one stalled. Servers of other services are suspected only if they do not respond
// themselves.
//
// Scenario: a box that runs several times slower than usual reads responses too late, and takes servers
// that are well for silent.
func (h *Handler) suspectHalls(ctx context.Context, a *streamAttempt, path fleet.Path, silent []slatebridge.ServerID) {
	for hall, count := range silentByHall(path, silent) {
		// Only a fault of this box itself cuts it off from its own hall.
		if count < minSilentInHall || hall == h.fleet.Hall() || h.fleet.HallProgressedSince(hall, a.overdueSince()) {
			continue
		}
		const reason = "its hall is cut off"
		for _, s := range h.fleet.Servers() {
			switch {
			case s.Hall != hall:
			case s.Service == a.service:
				h.suspect(ctx, s.ID, reason)
			default:
				go h.suspectIfSilent(ctx, s.ID, reason)
			}
		}
	}
}

// silentByHall counts the silent servers of the path by hall, without halls of which one responds.
func silentByHall(path fleet.Path, silent []slatebridge.ServerID) map[slatebridge.HallID]int {
	out := make(map[slatebridge.HallID]int)
	for _, s := range path {
		if slices.Contains(silent, s.Server.ID) {
			out[s.Server.Hall]++
		}
	}
	for _, s := range path {
		if !slices.Contains(silent, s.Server.ID) {
			delete(out, s.Server.Hall)
		}
	}

	return out
}

// slownessThreshold is the slowness from which a server gets fewer new streams. Healthy servers of
// one kind differ in speed by less than half, so that they stay below it.
const slownessThreshold = 2.0

// enqueueLivenessCheck queues a check of a server's liveness after a request failed because of it.
// If the queue is full the check is skipped; the next failure queues it again.
func (h *Handler) enqueueLivenessCheck(id slatebridge.ServerID) {
	select {
	case h.livenessQueue <- id:
	default:
	}
}

// checkLiveness checks the liveness of a server from the queue.
func (h *Handler) checkLiveness(ctx context.Context, id slatebridge.ServerID) {
	h.suspectIfSilent(ctx, id, "a request failed because of it, and it does not answer")
}

// recordAlive records that a server responded to a request. That ends any finding of this box that the
// server is dead, as a response to a query does.
func (h *Handler) recordAlive(id slatebridge.ServerID) {
	h.monitor.setRefusing(id, false)
	if h.monitor.isSuspect(id) {
		h.fleet.Trust(id)
	}
}

// suspectIfSilent queries a server and suspects it if it does not respond.
func (h *Handler) suspectIfSilent(ctx context.Context, id slatebridge.ServerID, reason string) {
	s, ok := h.fleet.Server(id)
	if !ok || h.monitor.isSuspect(id) {
		return
	}
	if q := h.query(ctx, s, reportTTL); !responded(q.err) && !notQueried(q.err) {
		h.suspect(ctx, id, reason)
	}
}

// recordSlow records a server's slowness, and keeps querying it until it is no longer slow, has
// left or does not respond.
func (h *Handler) recordSlow(ctx context.Context, id slatebridge.ServerID, slowness float64) {
	known := h.fleet.RecordSlowness(id, slowness)
	if h.monitor.recordSlow(id, slowness) || known {
		return
	}
	event.Log(h.logger, event.ServerSlow, zap.String("server", string(id)), zap.Float64("slowness", slowness))
	h.onSuspect()
	go h.pollSlow(ctx, id)
}

func (h *Handler) pollSlow(ctx context.Context, id slatebridge.ServerID) {
	defer h.monitor.clearSlow(id)
	h.poll(ctx, id, func(r Report, err error) bool {
		if err != nil || r.Slowness < slownessThreshold {
			return true
		}
		h.fleet.RecordSlowness(id, r.Slowness)
		h.monitor.recordSlow(id, r.Slowness)

		return false
	})
}

// poll queries a server until settled returns true or the server has left.
func (h *Handler) poll(ctx context.Context, id slatebridge.ServerID, settled func(Report, error) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(recheckInterval):
		}
		s, ok := h.fleet.Server(id)
		if !ok {
			return
		}
		if q := h.query(ctx, s, reportTTL); settled(q.report, q.err) {
			return
		}
	}
}

// LocalSlowServers returns the servers that this box itself found slow, with their slowness.
func (h *Handler) LocalSlowServers() map[slatebridge.ServerID]float64 {
	h.monitor.mu.Lock()
	defer h.monitor.mu.Unlock()

	return maps.Clone(h.monitor.slow)
}

// LocalSuspects returns the servers that this box itself suspects, for other boxes. A server is left
// out if no server at all has responded to this box since it asked that one: the links of the box may
// have failed, and not the server.
func (h *Handler) LocalSuspects() []slatebridge.ServerID {
	h.monitor.mu.Lock()
	defer h.monitor.mu.Unlock()
	var out []slatebridge.ServerID
	for id, s := range h.monitor.suspects {
		if h.serversAliveSince(s.since.Add(-reportTimeout)) {
			out = append(out, id)
		}
	}

	return out
}

// suspect marks a server as suspect, and queries it until it responds or has left.
func (h *Handler) suspect(ctx context.Context, id slatebridge.ServerID, reason string) {
	h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))
	if h.monitor.isSuspect(id) || !h.monitor.countSuspicion(id) {
		return
	}
	h.onSuspect()
	event.Log(h.logger, event.ServerSuspected, zap.String("server", string(id)), zap.String("why", reason))
	go h.pollSuspect(ctx, id)
}

func (h *Handler) pollSuspect(ctx context.Context, id slatebridge.ServerID) {
	defer h.monitor.clearSuspect(id)
	h.poll(ctx, id, func(_ Report, err error) bool {
		h.metrics.suspectQueried(err)
		if responded(err) {
			h.fleet.Trust(id)
			event.Log(h.logger, event.ServerTrusted, zap.String("server", string(id)))

			return true
		}
		if notQueried(err) {
			return false
		}
		h.monitor.countSuspicion(id)
		h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))

		return false
	})
}
