package box

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

const (
	// takeoverTime is how long boxes that request a retry from a new allocator are told to come back
	// soon, since it usually takes the pool over in that time; takeoverBackoff is how soon.
	takeoverTime    = 250 * time.Millisecond
	takeoverBackoff = 25 * time.Millisecond
	// takeoverPause is the pause after a predecessor has refused to hand its pool over.
	takeoverPause = 50 * time.Millisecond
)

// poolTenure is this box's right to grant from the pool of one service.
type poolTenure struct {
	retry.Tenure
	// predecessor is the box to ask for the pool, with its boot ID if that is known.
	predecessor     relay.Candidate
	predecessorBoot string
	// heir is the box that the pool was handed over to.
	heir relay.Candidate
	// asking is set while the predecessor is being asked.
	asking bool
}

// process names a process of a box in package retry.
func process(box slatebridge.BoxID, boot string) string { return string(box) + " " + boot }

// suspendedSince reports whether the machine has been suspended since the view was made. Other boxes
// may have become allocators meanwhile.
func suspendedSince(v *allocators) bool { return clock.SuspendedTotal() > v.suspendedTotal }

// pools returns the services that have a retry pool, all of which have a tenure then. The caller holds
// poolMu.
func (g *grants) pools(now time.Time) []string {
	for _, service := range g.box.handler.RetryBudget().Services() {
		g.tenure(service, now)
	}

	return slices.Collect(maps.Keys(g.tenures))
}

// tenure returns the tenure of the pool of the service. The caller holds poolMu.
func (g *grants) tenure(service string, now time.Time) *poolTenure {
	t, ok := g.tenures[service]
	if !ok {
		t = g.replayTenure(service, now)
		g.tenures[service] = t
	}

	return t
}

// replayTenure returns the tenure of a pool that this box did not know yet, by the views that it had.
func (g *grants) replayTenure(service string, now time.Time) *poolTenure {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, before, at := &poolTenure{}, (*allocators)(nil), now
	if n := len(g.earlier); n > 0 {
		at = g.earlier[n-1].until
	}
	// Views older than that are not kept.
	at = at.Add(-retry.GrantorWarmup)
	for _, o := range g.earlier {
		t.change(service, before, o.isAllocator(g.box.settings.Box, poolPlaceholder(service)), at)
		before, at = o.allocators, o.until
	}
	t.change(service, before, g.current.Load().isAllocator(g.box.settings.Box, poolPlaceholder(service)), at)

	return t
}

// change begins or ends the tenure with a new view, in which this box is the allocator or is not.
func (t *poolTenure) change(service string, before *allocators, is bool, at time.Time) {
	if is && !t.Held() {
		t.begin(service, before, at)
	} else if !is && t.Held() {
		t.End(at)
	}
}

// begin begins a tenure after that of the allocator in the view before.
func (t *poolTenure) begin(service string, before *allocators, at time.Time) {
	from := ""
	if before != nil {
		if p, ok := before.allocator(poolPlaceholder(service)); ok {
			t.predecessor, t.predecessorBoot = p, before.boots[p.Box]
			from = process(p.Box, t.predecessorBoot)
		}
	}
	t.Begin(from, at)
}

// updateTenure begins or ends the tenure of the pool of a service after a change of the view. The
// caller holds poolMu.
func (g *grants) updateTenure(service string, previous, v *allocators) {
	t := g.tenures[service]
	resumed := !previous.resumedAt.Equal(v.resumedAt)
	if resumed {
		// Other boxes granted retries while the machine was suspended.
		t.Tenure, previous = retry.Tenure{}, nil
	}
	t.change(service, previous, v.isAllocator(g.box.settings.Box, poolPlaceholder(service)), v.asOf)
}

// startTakeover asks the predecessor for the pool unless it is being asked, and reports whether it is.
// The caller holds poolMu.
func (g *grants) startTakeover(service string, t *poolTenure, now time.Time) bool {
	if t.Asks(now) == "" || g.box.socket == nil {
		return false
	}
	if !t.asking {
		t.asking = true
		go g.takeOverPool(service)
	}

	return true
}

// takeOverPool asks the predecessor for the pool until it hands it over or the warm-up has ended.
func (g *grants) takeOverPool(service string) {
	for {
		g.poolMu.Lock()
		t, now := g.tenures[service], clock.Now()
		from, to, boot := t.Asks(now), t.predecessor, t.predecessorBoot
		t.asking = from != ""
		g.poolMu.Unlock()
		if from == "" {
			return
		}
		answer, ok := g.askForPool(to, mesh.GrantMessage{Pool: service, PoolBoot: boot})
		switch {
		case !ok:
		case answer.Handover == nil:
			time.Sleep(takeoverPause)
		default:
			g.finishTakeover(service, from, *answer.Handover, now)
		}
	}
}

// askForPool sends a request for a pool, and reports whether it was answered in time. A box that does
// not answer is asked again, so that it is not skipped.
func (g *grants) askForPool(to relay.Candidate, m mesh.GrantMessage) (mesh.GrantMessage, bool) {
	id, answer := g.asked.open()
	defer g.asked.close(id)
	m.ID = id
	g.send(mesh.GrantRequest, m, to.Address)
	timeout := time.NewTimer(grantTimeout)
	defer timeout.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timeout.C:
		return mesh.GrantMessage{}, false
	}
}

// finishTakeover grants from a pool from now on, whose record its predecessor has sent in answer to a
// request made at askedAt.
func (g *grants) finishTakeover(service, from string, r retry.PoolRecord, askedAt time.Time) {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	t, now := g.tenures[service], clock.Now()
	closed := t.Closed(now)
	next := t.Tenure
	if suspendedSince(g.current.Load()) || !next.TakeOver(from, askedAt, now) || !g.box.handler.RetryBudget().TakeOver(service, g.self(), r, now) {
		return
	}
	t.Tenure = next
	g.box.metrics.poolHandovers.WithLabelValues(service, poolTaken).Inc()
	event.Log(g.box.logger, event.PoolTakenOver, zap.String("service", service), zap.String("from", from), zap.Int("granted", r.Count()), zap.Duration("closed_ms", closed))
}

func (g *grants) self() string { return process(g.box.settings.Box, g.box.bootID) }

// handOverPool answers a box that has become the allocator of a pool: with the record of the pool, if
// this box could grant from it until now and no other box got it.
func (g *grants) handOverPool(m mesh.ReceivedMessage, now time.Time) mesh.GrantMessage {
	out, service := mesh.GrantMessage{ID: m.Grant.ID}, m.Grant.Pool
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	t, to := g.tenure(service, now), process(m.Box, m.Boot)
	otherBoot := m.Grant.PoolBoot != "" && m.Grant.PoolBoot != g.box.bootID
	if otherBoot || suspendedSince(g.current.Load()) || !t.CanYield(to, now) {
		g.box.metrics.poolHandovers.WithLabelValues(service, poolUnchanged).Inc()

		return out
	}
	r, ok := g.box.handler.RetryBudget().HandOver(service, g.self(), g.box.state.Load().BoxCount, now)
	if !ok {
		g.box.metrics.poolHandovers.WithLabelValues(service, poolUnchanged).Inc()

		return out
	}
	t.Yield(to, now)
	t.heir = relay.Candidate{Box: m.Box, Address: m.Address}
	t.predecessor, t.predecessorBoot = t.heir, m.Boot
	out.Handover = &r
	g.box.metrics.poolHandovers.WithLabelValues(service, poolGiven).Inc()

	return out
}
