package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// Grant permits one request to a server whose rate limit applies to all boxes together. The zero
// value is for servers without a limit.
type Grant struct {
	allowance.Grant
	// Release returns an unused grant to the allocator; nil if there is no grant.
	Release func()
}

// release returns an unused grant to the allocator, if there is one.
func (g Grant) release() {
	if g.Release != nil {
		g.Release()
	}
}

// GrantFunc asks for a grant for a request that may wait for at most maxWait. It fails if no
// allocator responds.
type GrantFunc func(ctx context.Context, s catalog.Server, observed []allowance.Observation, maxWait time.Duration) (Grant, error)

// errNoGrant marks attempts that were not sent because no grant was obtained for the rate-limited
// server: its limit is exhausted, no allocator responded, or the request ended first.
var errNoGrant = errors.New("no grant for the rate-limited server")

// noAllocatorBackoff is how long a server is not used after no grant allocator responded.
const noAllocatorBackoff = 200 * time.Millisecond

// awaitGrant waits for a grant for the server if it is rate-limited.
//
// The requests of all boxes together must stay within a server's rate limit: an overloaded server
// fails if each of many boxes applies the limit on its own.
func (h *Handler) awaitGrant(ctx context.Context, s catalog.Server, maxWait time.Duration) (Grant, error) {
	observed := h.fleet.LimitObservations(s.ID)
	if len(observed) == 0 {
		return Grant{}, nil
	}
	grant, err := h.requestGrant(ctx, s, observed, maxWait)
	switch {
	case ctx.Err() != nil:
		grant.release()

		return Grant{}, errors.Mark(context.Cause(ctx), errNoGrant)
	case err != nil:
		h.metrics.grantRequested("unanswered")
		h.fleet.RecordGrantDelay(s.ID, noAllocatorBackoff)

		return Grant{}, errors.Mark(errors.Wrapf(err, "grant for %s", s.ID), errNoGrant)
	case !grant.Granted:
		h.metrics.grantRequested("refused")
		h.fleet.RecordGrantDelay(s.ID, grant.RetryAfter)

		return Grant{}, errors.Wrapf(errNoGrant, "%s has no grant for another %s", s.ID, grant.Delay)
	}
	select {
	case <-ctx.Done():
	case <-time.After(grant.Delay):
	}
	if ctx.Err() != nil {
		// Nothing is sent for a caller that has disconnected, even if the grant is due at the same
		// time.
		h.metrics.grantRequested("given back")
		grant.release()

		return Grant{}, errors.Mark(context.Cause(ctx), errNoGrant)
	}
	h.metrics.grantRequested("taken")

	return grant, nil
}

// medianResponseTime returns the median response time of a service without a model. It is zero if
// the time is not known or the service has a model.
func (h *Handler) medianResponseTime(c *inboundRequest) time.Duration {
	if h.hasModel(c) {
		return 0
	}
	d, _ := h.responseTimes(c.service).Quantile(medianQuantile)

	return d
}

// grantTimeout returns how long the request may wait for a grant.
func (h *Handler) grantTimeout(c *inboundRequest, queuesForGrant bool) time.Duration {
	if queuesForGrant {
		return overload.QueueTimeout(c.route.LatencyObjective, h.medianResponseTime(c))
	}

	return overload.GrantTimeout(c.route.LatencyObjective)
}

// rateLimitError returns the error for a request if a rate-limited server could run it but has no
// grant available, and nil otherwise.
func (h *Handler) rateLimitError(c *inboundRequest) *result.Error {
	delay, ok := h.fleet.GrantDelay(c.service)
	if !ok {
		return nil
	}

	return result.New(result.Limited, "the servers that could run the request take no more now").WithRetryAfter(overload.GrantRetryAfter(delay, h.random()))
}

// pickServer chooses the server for the next attempt. If only rate-limited servers are left, the
// request waits for a grant, once.
func (t *plainRequest) pickServer(exclude []slatebridge.ServerID) (catalog.Server, *fleet.Reservation, bool) {
	s, reservation, ok := t.h.fleet.Pick(t.c.service, exclude)
	if ok || t.queuesForGrant || len(t.inFlight) > 0 {
		return s, reservation, ok
	}
	t.queuesForGrant = true

	return t.h.fleet.PickRateLimited(t.c.service, exclude)
}
