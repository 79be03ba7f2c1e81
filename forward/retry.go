package forward

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/retry"
)

// RetryGrantFunc asks for a retry from the pool of all boxes, and reports whether it was granted.
type RetryGrantFunc func(ctx context.Context, service string, u retry.Urgency) bool

// RetryPool is what a box knows of the pool of retries of a service.
type RetryPool struct {
	// Grantor is the box that grants retries from the pool; empty if none is known.
	Grantor slatebridge.BoxID
	// Answer is what the last request of this box for such a retry brought, and AnsweredAt when; empty
	// and zero if it made none.
	Answer     string
	AnsweredAt time.Time
}

// logFields returns the log fields for the pool.
func (p RetryPool) logFields(now time.Time) []zap.Field {
	fields := []zap.Field{zap.String("grantor", string(p.Grantor))}
	if p.Answer != "" {
		fields = append(fields, zap.String("pool", p.Answer), zap.Duration("pool_age_ms", now.Sub(p.AnsweredAt)))
	}

	return fields
}

// remainingFields returns the log fields for what is left of the retry budget, in hundredths of a retry.
func remainingFields(r retry.Remaining) []zap.Field {
	return []zap.Field{zap.Float64("own_retries", hundredths(r.Own)), zap.Float64("all_retries", hundredths(r.All)), zap.Bool("grantor_lost", r.GrantorLost)}
}

func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// takeRetry takes one retry from the box's allotment of the budget, or else from the pool, and
// reports whether there was one.
func (h *Handler) takeRetry(ctx context.Context, service string, u retry.Urgency) bool {
	return h.takeOwnRetry(service, u) || h.takePoolRetry(ctx, service, u)
}

// takeOwnRetry takes one retry from the box's allotment of the budget.
func (h *Handler) takeOwnRetry(service string, u retry.Urgency) bool {
	return h.budget.TakeLocal(service, h.state().BoxCount, u, clock.Now())
}

// takePoolRetry asks for one retry from the pool of all boxes.
func (h *Handler) takePoolRetry(ctx context.Context, service string, u retry.Urgency) bool {
	if h.requestRetry == nil || !h.requestRetry(ctx, service, u) {
		return false
	}
	h.budget.RecordGrant(service, clock.Now())

	return true
}

// takeRequired takes the retry for the next attempt. A stream that no server has run leaves a share
// of the budget to streams under way and to more urgent ones.
//
// Load pattern: full servers reject so many requests that the budget runs out, and then servers fail
// and interrupt streams.
func (t *streamRequest) takeRequired() bool {
	h, c := t.h, t.c
	if !c.hasClasses || len(t.ranOn) > 0 {
		return h.takeRetry(t.ctx, c.service, retry.Required)
	}
	boxes, now := h.state().BoxCount, clock.Now()
	share := c.servicePriority.tracker.RetryReserve(c.priorityRequest(), now)
	if h.budget.TakeLocalLeaving(c.service, boxes, share, now) {
		return true
	}

	return h.budget.Leaves(c.service, boxes, share, now) && h.takePoolRetry(t.ctx, c.service, retry.Required)
}
