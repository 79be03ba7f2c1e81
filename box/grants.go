package box

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

const (
	// grantTimeout bounds the wait for the answer to a grant request. Boxes of one region answer
	// within two milliseconds, and busy ones take longer.
	grantTimeout = 60 * time.Millisecond
	// handoverDelay is how long a new allocator of a server gives no grants: boxes that have not
	// yet heard of the change may still ask its predecessor.
	handoverDelay = 600 * time.Millisecond
	// maxHandoverDelay is the longest such delay, that of the allocator of a retry pool.
	maxHandoverDelay = retry.GrantorWarmup
	// maxGrantObservations limits the observations of a server's rate limit in a grant request.
	maxGrantObservations = 3
)

// errNoAllocator reports that no reachable box allocates grants for a server.
var errNoAllocator = errors.New("no reachable box allocates grants for the server")

// earlierAllocators are allocators that were replaced. Views change hall by hall, so a box may become
// an allocator in the change before the last one.
type earlierAllocators struct {
	*allocators
	until time.Time
}

// grants requests grants for rate-limited servers and retries from the retry pools of services, and
// allocates those of which this box is the allocator. It bypasses the control actor, because
// requests wait for the answer.
type grants struct {
	box     *Box
	current atomic.Pointer[allocators]
	// asked are the requests to other boxes.
	asked *exchanges[mesh.GrantMessage]
	// tenures are this box's rights to grant from retry pools, by service. poolMu also covers what is
	// granted, so that nothing is granted from a pool while it is handed over; it is locked before mu.
	poolMu  sync.Mutex
	tenures map[string]*poolTenure

	mu sync.Mutex
	// allocator decides on the grants for the servers of which this box is the allocator.
	allocator *allowance.Allocator
	// earlier are the allocators before the changes within maxHandoverDelay, oldest first.
	earlier []earlierAllocators
	// emptyUntil is, by service, until when no retry is requested because its retry pool was empty.
	emptyUntil map[string]time.Time
	// poolAnswers holds, by service, what the last request for a retry from its pool brought.
	poolAnswers map[string]poolAnswer
}

func newGrants(b *Box) *grants {
	g := &grants{
		box: b, allocator: allowance.NewAllocator(), asked: newExchanges[mesh.GrantMessage](grantTimeout), emptyUntil: make(map[string]time.Time),
		poolAnswers: make(map[string]poolAnswer), tenures: make(map[string]*poolTenure),
	}
	g.current.Store(&allocators{})

	return g
}

// setAllocators replaces the current allocators.
func (g *grants) setAllocators(v *allocators) {
	g.poolMu.Lock()
	defer g.poolMu.Unlock()
	previous := g.current.Load()
	if !previous.resumedAt.Equal(v.resumedAt) || !sameAllocators(previous, v) {
		services := g.pools(v.asOf)
		g.current.Store(v)
		g.rememberAllocators(previous, v)
		for _, service := range services {
			g.updateTenure(service, previous, v)
		}
	}
	g.current.Store(v)
	for service, t := range g.tenures {
		g.startTakeover(service, t, v.asOf)
	}
}

// rememberAllocators keeps the former allocators for the delays of new ones.
func (g *grants) rememberAllocators(previous, v *allocators) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !previous.resumedAt.Equal(v.resumedAt) {
		// Other boxes allocated grants while the machine was suspended.
		previous = &allocators{}
	} else if sameAllocators(previous, v) {
		return
	}
	g.earlier = slices.DeleteFunc(g.earlier, func(o earlierAllocators) bool { return v.asOf.Sub(o.until) > maxHandoverDelay })
	g.earlier = append(g.earlier, earlierAllocators{allocators: previous, until: v.asOf})
}

// request asks the allocator of a rate-limited server for a grant.
func (g *grants) request(ctx context.Context, s catalog.Server, observed []allowance.Observation, maxWait time.Duration) (forward.Grant, error) {
	to, ok := g.current.Load().allocator(s)
	if !ok || g.asked.isSkipped(to.Box) {
		return forward.Grant{}, errNoAllocator
	}
	for range 2 {
		answer, err := g.askAllocator(ctx, to, s, observed, maxWait)
		if err != nil {
			return forward.Grant{}, err
		}
		if answer.Allocator == nil {
			return g.forwardGrant(to, s, answer), nil
		}
		to = *answer.Allocator
	}

	return forward.Grant{}, errNoAllocator
}

// forwardGrant converts the answer of an allocator to a forward.Grant.
func (g *grants) forwardGrant(from relay.Candidate, s catalog.Server, answer mesh.GrantMessage) forward.Grant {
	return forward.Grant{
		Grant:   allowance.Grant{Granted: answer.Granted, Delay: micros(answer.Delay), RetryAfter: micros(answer.RetryAfter)},
		Release: func() { g.release(from, s, answer) },
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// askAllocator sends a grant request to one box, or answers it locally.
func (g *grants) askAllocator(ctx context.Context, to relay.Candidate, s catalog.Server, observed []allowance.Observation, maxWait time.Duration) (mesh.GrantMessage, error) {
	now := clock.Now()
	m := mesh.GrantMessage{Server: s.ID, Hall: s.Hall, MaxWait: maxWait.Microseconds()}
	for _, v := range lowestRates(observed, maxGrantObservations) {
		m.Limits = append(m.Limits, mesh.NewLimitObservation(s.ID, v, now))
	}
	if to.Box == g.box.settings.Box {
		return g.allocate(g.box.settings.Box, m, observed, now), nil
	}

	return g.exchange(ctx, to, m)
}

// exchange sends a request to another box and waits for the answer.
func (g *grants) exchange(ctx context.Context, to relay.Candidate, m mesh.GrantMessage) (mesh.GrantMessage, error) {
	answer, err := g.asked.exchange(ctx, to.Box, func(id uint64) {
		m.ID = id
		g.send(mesh.GrantRequest, m, to.Address)
	})
	if errors.Is(err, errUnanswered) {
		err = errors.Mark(err, errNoAllocator)
	}

	return answer, err
}

// lowestRates returns the n observations with the lowest rates. Only these are sent, since the
// lowest rate may be in force even if higher ones were observed too.
func lowestRates(list []allowance.Observation, n int) []allowance.Observation {
	list = slices.SortedFunc(slices.Values(list), func(a, b allowance.Observation) int { return cmp.Compare(a.Rate, b.Rate) })

	return list[:min(n, len(list))]
}

// allocate answers a grant request, or names the allocator if it is another box.
func (g *grants) allocate(from slatebridge.BoxID, m mesh.GrantMessage, observed []allowance.Observation, now time.Time) mesh.GrantMessage {
	out := mesh.GrantMessage{ID: m.ID, Server: m.Server}
	s := catalog.Server{ID: m.Server, Hall: m.Hall}
	v := g.current.Load()
	if !v.isAllocator(g.box.settings.Box, s) {
		if other, ok := v.allocator(s); ok {
			out.Allocator = &other
		} else {
			out.RetryAfter = handoverDelay.Microseconds()
		}

		return out
	}
	if remaining := g.handoverRemaining(s, handoverDelay, now); remaining > 0 {
		out.RetryAfter = remaining.Microseconds()

		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	observed = append(observed, g.box.fleet.LimitObservations(m.Server)...)
	grant := g.allocator.Allocate(allowance.GrantRequest{Server: m.Server, From: from, Observations: observed, MaxWait: micros(m.MaxWait)}, v.liveShare, now)
	out.Granted, out.Delay, out.RetryAfter = grant.Granted, grant.Delay.Microseconds(), grant.RetryAfter.Microseconds()
	if grant.Granted {
		out.Slot = grant.Slot.UnixNano()
	}

	return out
}

// handoverRemaining returns the rest of the time in which this box, as a new allocator, gives no
// grants.
func (g *grants) handoverRemaining(s catalog.Server, delay time.Duration, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var remaining time.Duration
	for _, o := range g.earlier {
		if !o.isAllocator(g.box.settings.Box, s) {
			remaining = max(remaining, o.until.Add(delay).Sub(now))
		}
	}

	return remaining
}

// release returns an unused grant to its allocator.
func (g *grants) release(from relay.Candidate, s catalog.Server, answer mesh.GrantMessage) {
	if from.Box == g.box.settings.Box {
		g.releaseLocal(s.ID, answer.Slot)

		return
	}
	g.send(mesh.GrantRelease, mesh.GrantMessage{Server: s.ID, Slot: answer.Slot}, from.Address)
}

func (g *grants) releaseLocal(id slatebridge.ServerID, slot int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.Release(id, time.Unix(0, slot), clock.Now())
}

// receive handles a message about grants, and reports whether the message was one.
func (g *grants) receive(m mesh.ReceivedMessage) bool {
	if m.Kind != mesh.GrantRequest && m.Kind != mesh.GrantResponse && m.Kind != mesh.GrantRelease {
		return false
	}
	g.box.metrics.meshReceived(m.Size)
	if m.Grant == nil {
		return true
	}
	switch m.Kind {
	case mesh.GrantRequest:
		now := clock.Now()
		if m.Grant.Pool != "" {
			g.send(mesh.GrantResponse, g.handOverPool(m, now), m.Address)

			break
		}
		if m.Grant.Service != "" {
			g.send(mesh.GrantResponse, g.allocateRetry(*m.Grant, now), m.Address)

			break
		}
		observed := make([]allowance.Observation, 0, len(m.Grant.Limits))
		for _, l := range m.Grant.Limits {
			observed = append(observed, l.Observation(now))
		}
		g.send(mesh.GrantResponse, g.allocate(m.Box, *m.Grant, observed, now), m.Address)
	case mesh.GrantResponse:
		g.asked.deliver(m.Grant.ID, *m.Grant)
	case mesh.GrantRelease:
		g.releaseLocal(m.Grant.Server, m.Grant.Slot)
	default:
	}

	return true
}

func (g *grants) send(kind mesh.Kind, m mesh.GrantMessage, to string) {
	g.box.sendDirect(mesh.Message{Kind: kind, Grant: &m}, to)
}
