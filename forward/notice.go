package forward

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// ErrServerNotAccepting marks requests, queries and moves that were not sent because the server
// does not accept any now.
var ErrServerNotAccepting = errors.New("server is not accepting calls")

// ErrNoSuchStream marks moves of a stream that its first server does not have, so that it does not
// continue there.
var ErrNoSuchStream = errors.New("the server does not have the stream")

// exchangeTimes are when a message to a server was sent and when the head of the response was read.
type exchangeTimes struct{ sent, read time.Time }

// applyNotice applies the notice in a server's response, whatever the response is to: a request, a
// query, a move or an order.
func (h *Handler) applyNotice(id slatebridge.ServerID, n fleet.Notice, times exchangeTimes) {
	h.applyRateLimit(id, n, times)
	if n.Empty() {
		return
	}
	h.metrics.noticeReceived(n)
	if n.InvalidCooldown != "" {
		event.Log(h.logger, event.NoticeUnreadable, zap.String("server", string(id)), zap.String("rest", n.InvalidCooldown))
	}
	changes := h.fleet.ApplyNotice(id, n)
	if changes.Cooldown > 0 {
		event.Log(h.logger, event.ServerRests, zap.String("server", string(id)), zap.Duration("rest_ms", changes.Cooldown))
	}
	if changes.Leaving {
		event.Log(h.logger, event.ServerLeaves, zap.String("server", string(id)), zap.String("source", "its answer"))
		h.onServerLeaving(id)
	}
}

// applyRateLimit applies what a response states about the server's rate limit. A response without a
// limit lifts it.
func (h *Handler) applyRateLimit(id slatebridge.ServerID, n fleet.Notice, times exchangeTimes) {
	if n.InvalidLimit != "" {
		h.logInvalidLimit(id, n.InvalidLimit)
	}
	observation, ok := n.Observation(times.sent, times.read)
	if !ok {
		return
	}
	change := h.fleet.ObserveLimit(id, observation)
	switch change {
	case fleet.LimitAdded, fleet.LimitChanged:
		event.Log(h.logger, event.ServerLimited, zap.String("server", string(id)), zap.Float64("rate", observation.Rate), zap.String("source", "its answer"))
	case fleet.LimitRemoved:
		event.Log(h.logger, event.ServerUnlimited, zap.String("server", string(id)), zap.String("source", "its answer"))
	case fleet.LimitUnchanged:
	}
	if change == fleet.LimitAdded || change == fleet.LimitRemoved {
		h.onServerLimit(id, observation)
	}
}

// logInvalidLimit logs that a server states a limit that cannot be parsed. It does so once, since
// the server states it in each response.
func (h *Handler) logInvalidLimit(id slatebridge.ServerID, limit string) {
	current := invalidLimit{id, limit}
	if last := h.lastInvalidLimit.Swap(&current); last == nil || *last != current {
		event.Log(h.logger, event.NoticeUnreadable, zap.String("server", string(id)), zap.String("limit", limit))
	}
}

// invalidLimit is a rate limit that cannot be parsed.
type invalidLimit struct {
	server slatebridge.ServerID
	limit  string
}

// RecordNotice applies the notice in a server's response to an order.
func (h *Handler) RecordNotice(s catalog.Server, n fleet.Notice) {
	h.applyNotice(s.ID, n, exchangeTimes{read: clock.Now()})
}

// checkEligible returns an error if the attempt may not be sent now. Its server may have sent a
// notice since it was chosen, while the request waited for the permission for a trial or, if its
// path was chosen during the previous attempt, for that attempt to end.
//
// Scenario: for eight seconds a server rejects all requests and asks for a cooldown of 3 s each
// time. The only other server fails two of three requests, so that the first one is chosen again
// whenever its cooldown has ended. Without this check, requests for which it was chosen just before
// the next cooldown would be sent to it during that cooldown.
func (h *Handler) checkEligible(a Attempt) error {
	id, eligibility := a.Server.ID, h.fleet.Eligibility(a.Server.ID)
	if len(a.Path) > 0 {
		id, eligibility = h.fleet.IneligibleInPath(a.Path)
	}
	switch {
	case eligibility != fleet.Eligible:
		return errors.Wrapf(ErrServerNotAccepting, "%s is %s", id, eligibility)
	case !a.Grant.Granted && len(h.fleet.LimitObservations(a.Server.ID)) > 0:
		return errors.Wrapf(ErrServerNotAccepting, "%s has set a rate limit since it was chosen", a.Server.ID)
	default:
		return nil
	}
}

// cooldownError returns the error for a request if cooldowns are all that keeps its servers from
// running it, and nil otherwise.
func (h *Handler) cooldownError(c *inboundRequest) *result.Error {
	remaining := h.fleet.CooldownRemaining
	if h.hasModel(c) {
		remaining = h.fleet.PathCooldownRemaining
	}
	delay, ok := remaining(c.service)
	if !ok {
		return nil
	}

	return result.New(result.Resting, "the servers that could run the request want rest").WithRetryAfter(overload.CooldownRetryAfter(delay, h.random()))
}
