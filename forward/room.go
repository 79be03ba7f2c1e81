package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/priority"
	"github.com/slatebridge/slatebridge/result"
)

const (
	// supplyInterval is how long a computed supply is used. It changes only with the servers.
	supplyInterval = time.Second
	// priorityLogInterval is the minimum interval between two lines of one event about the
	// priorities of a service.
	priorityLogInterval = time.Second
)

// servicePriority is the state of the decisions by priority for one service.
type servicePriority struct {
	tracker *priority.Tracker
	supply  atomic.Pointer[datedSupply]
	// refused and preferred bound the volume of the lines about refused requests, and about those
	// that got the room of more urgent ones.
	refused, preferred lineLimit
	counters           [priority.Classes]priorityCounters
}

// priorityCounters holds the metrics of one class that count each of its requests.
type priorityCounters struct {
	once              sync.Once
	offered, admitted prometheus.Counter
}

// count returns the counters of the class.
func (s *servicePriority) count(m *Metrics, class int) *priorityCounters {
	n := &s.counters[priority.ClassIndex(class)]
	n.once.Do(func() {
		n.offered, n.admitted = m.priorityCounter(class, priorityOffered), m.priorityCounter(class, priorityAdmitted)
	})

	return n
}

// datedSupply is a supply and the time as of which it is valid.
type datedSupply struct {
	priority.Supply
	at time.Time
}

// lineLimit bounds the volume of an event to one line per priorityLogInterval.
type lineLimit struct {
	mu      sync.Mutex
	lastAt  time.Time
	skipped int
}

// next returns the number of occurrences that the next line stands for; zero if there is to be no
// line now.
func (l *lineLimit) next(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped++
	if now.Sub(l.lastAt) < priorityLogInterval {
		return 0
	}
	n := l.skipped
	l.lastAt, l.skipped = now, 0

	return n
}

// servicePriority returns the state for a service, and creates it if needed.
func (h *Handler) servicePriority(service string) *servicePriority {
	v, ok := h.priorities.Load(service)
	if !ok {
		v, _ = h.priorities.LoadOrStore(service, &servicePriority{tracker: priority.NewTracker(clock.Now())})
	}

	return v.(*servicePriority)
}

func (c *inboundRequest) priorityRequest() priority.Request {
	return priority.Request{Class: c.priority, Account: c.account}
}

// urgent reports whether no class of requests is more urgent.
func (c *inboundRequest) urgent() bool { return !c.prioritized || priority.ClassIndex(c.priority) == 0 }

// recordOffered records a stream for the decisions by priority.
func (t *streamRequest) recordOffered() {
	c := t.c
	if !c.prioritized {
		return
	}
	c.servicePriority = t.h.servicePriority(c.service)
	c.servicePriority.tracker.RecordOffered(c.priorityRequest(), t.kvTokens(), c.startedAt)
	c.servicePriority.count(t.h.metrics, c.priority).offered.Inc()
}

// recordAdmitted records that a server has accepted the stream, unless one did before. It counts as
// admitted when it was offered, so that both are compared over the same requests.
func (t *streamRequest) recordAdmitted() {
	c := t.c
	if !c.prioritized || len(t.ranOn) > 0 {
		return
	}
	c.servicePriority.tracker.RecordAdmitted(c.priorityRequest(), t.kvTokens(), c.startedAt)
	c.servicePriority.count(t.h.metrics, c.priority).admitted.Inc()
}

// roomLimits returns how far the request may fill the servers of its path. running says that a
// server may have run the request already; such a request, and one whose caller resumes a stream,
// is a stream under way.
func (h *Handler) roomLimits(c *inboundRequest, running bool) fleet.Limits {
	if running || c.LastEventID > 0 {
		return h.runningLimits(c)
	}
	limits := h.priorityLimits(c)
	limits.KeepForRepairs = repairedInOrder(c.route)

	return limits
}

// priorityLimits returns how far a new request may fill servers by its priority.
func (h *Handler) priorityLimits(c *inboundRequest) fleet.Limits {
	if !c.prioritized {
		return fleet.Limits{}
	}
	s, now := c.servicePriority, clock.Now()
	r := s.tracker.Reserve(c.priorityRequest(), h.supply(s, c, now), now)
	if r.Reason == priority.Underserved {
		h.metrics.priorityCounter(c.priority, priorityPreferred).Inc()
		if n := s.preferred.next(now); n > 0 {
			event.Log(h.logger, event.UnderservedPreferred, zap.String("service", c.service), zap.Int("priority", c.priority),
				zap.String("account", c.account), zap.Int("requests", n))
		}
	}

	return fleet.LimitsWithReserve(r.Memory, r.Slots)
}

// supply returns the capacity for the requests of a service.
func (h *Handler) supply(s *servicePriority, c *inboundRequest, now time.Time) priority.Supply {
	if v := s.supply.Load(); v != nil && now.Sub(v.at) < supplyInterval {
		return v.Supply
	}
	v := &datedSupply{Supply: priority.Supply{Boxes: c.state.BoxCount, Staleness: fleet.PeerLoadStaleness}, at: now}
	v.Tokens, v.Slots = h.fleet.RequestCapacity(c.service)
	s.supply.Store(v)

	return v.Supply
}

// noRoomError returns the error for a stream for which the query found no path. The query without
// what the stream leaves to more urgent ones tells whether that is the reason.
func (h *Handler) noRoomError(c *inboundRequest, q fleet.Query, firsts []slatebridge.ServerID, s fleet.Shortage) *result.Error {
	e := h.noPathError(c, s)
	full := fleet.LimitsWithReserve(0, 0)
	full.KeepForRepairs = q.Limits.KeepForRepairs
	if !c.prioritized || e.Code != result.Overloaded || q.Limits == full {
		return e
	}
	limits := q.Limits
	if q.Limits = full; !h.fleet.HasPath(q, firsts) {
		return e
	}
	h.metrics.priorityCounter(c.priority, priorityRefused).Inc()
	if n := c.servicePriority.refused.next(clock.Now()); n > 0 {
		event.Log(h.logger, event.PriorityLimited, zap.String("service", c.service), zap.Int("priority", c.priority), zap.String("account", c.account),
			zap.Float64("memory_limit", limits.Memory), zap.Float64("slot_limit", limits.Slots), zap.Int("requests", n))
	}

	return result.New(result.Overloaded, "the room left is kept for more urgent requests").WithRetryAfter(e.RetryAfter)
}

// runningMemoryShare is the share of a server's memory that streams under way may fill after servers
// were lost. The rest covers what boxes do not know of each other: a server that has no room rejects
// the stream.
const runningMemoryShare = 0.97

// runningLimits returns how far a stream under way may fill the servers of another path. It leaves
// no room to others; after servers were lost, new requests leave it the rest of the memory.
func (h *Handler) runningLimits(c *inboundRequest) fleet.Limits {
	var limits fleet.Limits
	if c.prioritized {
		limits = fleet.LimitsWithReserve(0, 0)
	}
	if repairedInOrder(c.route) && len(h.fleet.RecentLosses()) > 0 {
		limits.Memory = runningMemoryShare
	}

	return limits
}

// repairQuery returns the query for another path of a stream under way.
func (h *Handler) repairQuery(a *streamAttempt, exclude []slatebridge.ServerID) fleet.Query {
	return fleet.Query{Service: a.service, Tokens: a.kvTokens, Exclude: exclude, Limits: h.runningLimits(a.request)}
}
