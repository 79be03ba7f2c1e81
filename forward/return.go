package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// serviceReturns decides when refused callers of one service return.
type serviceReturns struct {
	mu      sync.Mutex
	returns overload.Returns
}

// schedulesReturns reports whether refused callers of the stream's route are told when it is their
// turn to return.
func schedulesReturns(route *catalog.Route) bool { return route.LatencyObjective > 0 }

// recordRoomFound records that a server accepted the stream, unless one did before. There is
// nothing to record until a request was refused.
func (t *streamRequest) recordRoomFound() {
	if len(t.ranOn) > 0 || !schedulesReturns(t.c.route) {
		return
	}
	v, ok := t.h.returns.Load(t.c.service)
	if !ok {
		return
	}
	s := v.(*serviceReturns)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.RecordAdmitted(clock.Now())
}

// withReturn sets when the caller of a stream should return that is refused for lack of room. A
// caller that resumes a stream takes no turn, since it has part of the answer already.
func (t *streamRequest) withReturn(e *result.Error) *result.Error {
	c := t.c
	if e.Code != result.Overloaded || e.Execution != result.NotExecuted || !schedulesReturns(c.route) || c.LastEventID > 0 || t.ctx.Err() != nil {
		return e
	}
	delay, plan := t.h.scheduleReturn(c)

	return result.New(e.Code, "%s; %s", e.Detail, returnDetails[plan]).WithRetryAfter(delay)
}

// returnDetails says in the detail of a refusal how the return of its caller was planned.
var returnDetails = map[overload.ReturnPlan]string{
	overload.ReturnUnplanned: "it is not known yet when there will be room",
	overload.ReturnInTurn:    "Retry-After is the caller's turn to return",
	overload.ReturnLate:      "all turns to return within the time left are taken",
}

// scheduleReturn returns after which time the caller of a refused request should return.
func (h *Handler) scheduleReturn(c *inboundRequest) (time.Duration, overload.ReturnPlan) {
	v, ok := h.returns.Load(c.service)
	if !ok {
		v, _ = h.returns.LoadOrStore(c.service, &serviceReturns{})
	}
	s := v.(*serviceReturns)
	usual, _ := h.latencies.streams.Quantile(medianQuantile)
	now := clock.Now()
	f := overload.Refusal{TimeLeft: c.deadline.Sub(now), UsualDuration: usual, Random: h.random()}
	s.mu.Lock()
	delay, plan, begins := s.returns.Refuse(f, now)
	s.mu.Unlock()
	h.metrics.returnPlanned(c.service, plan, delay)
	if begins {
		event.Log(h.logger, event.ShortageBegan, zap.String("service", c.service), zap.String("request", c.ID))
	}

	return delay, plan
}
