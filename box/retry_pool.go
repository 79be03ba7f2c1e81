package box

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

// emptyPoolBackoff is the mean time for which a box that got no retry out of the pool requests
// none. The use of the pool is gossiped once per tick.
const emptyPoolBackoff = tickInterval

// maxPoolAsks is how many boxes are asked at most for one retry from a pool.
const maxPoolAsks = 3

// poolPlaceholder returns a server that stands for the retry pool of a service, so that the
// allocator of the pool is chosen like that of a rate-limited server.
func poolPlaceholder(service string) catalog.Server {
	return catalog.Server{ID: slatebridge.ServerID("retries of " + service)}
}

// requestRetry takes a retry out of the pool shared by all boxes, and reports whether it got one.
// It reports false if nobody answers; the box then has only its own part of the budget.
func (g *grants) requestRetry(ctx context.Context, service string, u retry.Urgency) bool {
	if g.poolEmpty(service) {
		return false
	}
	answer, err := g.askPoolAllocator(ctx, service, u)
	if err != nil {
		g.recordPoolAnswer(service, retryUnanswered)

		return false
	}
	g.recordPoolAnswer(service, retryResult(answer.Granted))
	if !answer.Granted {
		g.notePoolEmpty(service, micros(answer.RetryAfter))
	}

	return answer.Granted
}

// poolAnswer is what a request for a retry from a pool brought, and when.
type poolAnswer struct {
	result string
	at     time.Time
}

// recordPoolAnswer records what a request for a retry from the pool of the service brought.
func (g *grants) recordPoolAnswer(service, result string) {
	g.box.metrics.retryRequested(service, result)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poolAnswers[service] = poolAnswer{result: result, at: clock.Now()}
}

// retryPool returns what this box knows of the retry pool of the service.
func (g *grants) retryPool(service string) forward.RetryPool {
	to, _ := g.current.Load().allocator(poolPlaceholder(service))
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.poolAnswers[service]

	return forward.RetryPool{Grantor: to.Box, Answer: last.result, AnsweredAt: last.at}
}

// askPoolAllocator asks the allocator of the pool (the grantor of package retry), or the box that
// it names instead. If it does not answer, the other allocators of its hall are asked, which may have
// heard of its successor before this box.
func (g *grants) askPoolAllocator(ctx context.Context, service string, u retry.Urgency) (mesh.GrantMessage, error) {
	v, asked := g.current.Load(), make(map[slatebridge.BoxID]bool)
	next, err := v.hallAllocators(poolPlaceholder(service)), errNoAllocator
	for len(next) > 0 && len(asked) < maxPoolAsks {
		to := next[0]
		next = next[1:]
		if asked[to.Box] || g.asked.isSkipped(to.Box) {
			continue
		}
		asked[to.Box] = true
		var answer mesh.GrantMessage
		if answer, err = g.askRetry(ctx, to, service, u); err == nil && answer.Allocator == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			err = errNoAllocator
			next = append([]relay.Candidate{*answer.Allocator}, next...)
		}
	}

	return mesh.GrantMessage{}, err
}

// askRetry sends a retry request to one box, or answers it locally.
func (g *grants) askRetry(ctx context.Context, to relay.Candidate, service string, u retry.Urgency) (mesh.GrantMessage, error) {
	m := mesh.GrantMessage{Service: service, Optional: u == retry.Optional}
	if to.Box == g.box.settings.Box {
		return g.allocateRetry(m, clock.Now()), nil
	}

	return g.exchange(ctx, to, m)
}

// allocateRetry takes a retry out of the pool, or names the allocator if it is another box.
func (g *grants) allocateRetry(m mesh.GrantMessage, now time.Time) mesh.GrantMessage {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	out := mesh.GrantMessage{ID: m.ID, Service: m.Service}
	pool, v := poolPlaceholder(m.Service), g.current.Load()
	t := g.tenure(m.Service, now)
	if t.Reopen(now) {
		g.box.handler.RetryBudget().NoteGrantorLost(m.Service, now)
	}
	if heir := t.YieldedTo(now); heir != "" {
		out.Allocator = &t.heir

		return out
	}
	if !v.isAllocator(g.box.settings.Box, pool) {
		if other, ok := v.allocator(pool); ok {
			out.Allocator = &other
		}

		return out
	}
	out.RetryAfter = jitter(emptyPoolBackoff).Microseconds()
	if !t.MayGrant(now) || suspendedSince(v) {
		if g.startTakeover(m.Service, t, now) && t.Closed(now) < takeoverTime {
			out.RetryAfter = jitter(takeoverBackoff).Microseconds()
		}

		return out
	}
	u := retry.Required
	if m.Optional {
		u = retry.Optional
	}
	out.Granted = g.box.handler.RetryBudget().GrantFromPool(m.Service, g.box.state.Load().BoxCount, u, now)
	g.box.metrics.retryAnswered(m.Service, retryResult(out.Granted))

	return out
}

// jitter returns a random time with the given mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// updateAllocators replaces the current allocators, and notes in the retry budget which services
// lost the allocator of their retry pool.
func (c *control) updateAllocators(now time.Time) {
	before, next := c.box.grants.current.Load(), c.allocators(now)
	budget := c.box.handler.RetryBudget()
	for _, service := range budget.Services() {
		if c.lostPoolAllocator(service, before, next, now) {
			budget.NoteGrantorLost(service, now)
		}
	}
	c.box.grants.setAllocators(next)
}

// lostPoolAllocator reports whether the allocator of a service's retry pool was another box that is
// no longer heard, is leaving or has started again.
func (c *control) lostPoolAllocator(service string, before, next *allocators, now time.Time) bool {
	g, ok := before.allocator(poolPlaceholder(service))
	if !ok || g.Box == c.settings.Box {
		return false
	}
	o, known := c.peers[g.Box]
	if !known || !c.canAllocate(o, c.indirectTimeout(), now) || (o.starting(now) && !g.Starting) {
		return true
	}

	return before.boots[g.Box] != "" && next.boots[g.Box] != "" && before.boots[g.Box] != next.boots[g.Box]
}

// noteRunningPeer tells the retry budget of a peer that was running well before this box started.
func (c *control) noteRunningPeer(uptime time.Duration, now time.Time) {
	if c.joinedRunning || uptime < now.Sub(c.box.startedAt)+retry.GrantorWarmup {
		return
	}
	c.joinedRunning = true
	c.box.handler.RetryBudget().NoteJoined(now)
}

// poolEmpty reports whether the pool of a service was recently found empty.
func (g *grants) poolEmpty(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return clock.Now().Before(g.emptyUntil[service])
}

// notePoolEmpty records that the pool of a service is empty, and for how long not to ask again.
func (g *grants) notePoolEmpty(service string, backoff time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emptyUntil[service] = clock.Now().Add(backoff)
}
