package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/priority"
	"github.com/slatebridge/slatebridge/result"
)

const (
	// supplyInterval is how long a computed supply is used. It changes only with the servers.
	supplyInterval = time.Second
)

// servicePriority is the state of the decisions by priority for one service.
type servicePriority struct {
	tracker *priority.Tracker
	supply  atomic.Pointer[datedSupply]
	// refused and preferred bound the volume of the lines about refused requests, and about those
	// that got the room of more urgent ones.
	refused, preferred eventLimiter
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

// servicePriority returns the state for a service, and creates it if needed. cfg is the configuration
// of the request.
func (h *Handler) servicePriority(service string, cfg *catalog.Catalog) *servicePriority {
	if known := h.priorityConfig.Load(); known == nil || known.Version < cfg.Version {
		h.dropChangedPriorities(cfg)
	}
	v, ok := h.priorities.Load(service)
	if !ok {
		v, _ = h.priorities.LoadOrStore(service, &servicePriority{tracker: priority.NewTracker(clock.Now())})
	}

	return v.(*servicePriority)
}

// dropChangedPriorities drops the state of the services whose classes a new configuration changes: a
// class of the same number is another one.
func (h *Handler) dropChangedPriorities(cfg *catalog.Catalog) {
	h.priorityConfigMu.Lock()
	defer h.priorityConfigMu.Unlock()
	known := h.priorityConfig.Load()
	if known != nil && known.Version >= cfg.Version {
		return
	}
	h.priorities.Range(func(service, _ any) bool {
		if known == nil || !cfg.SameClasses(known, service.(string)) {
			h.priorities.Delete(service)
		}

		return true
	})
	h.priorityConfig.Store(cfg)
}

func (c *inboundRequest) priorityRequest() priority.Request {
	return priority.Request{Class: c.class, Account: c.account}
}

// urgent reports whether no class of requests is more urgent.
func (c *inboundRequest) urgent() bool { return !c.hasClasses || priority.ClassIndex(c.class) == 0 }

// recordOffered records the arrival of a stream for the decisions by priority.
func (t *streamRequest) recordOffered() {
	c := t.c
	if !c.hasClasses {
		return
	}
	c.servicePriority = t.h.servicePriority(c.service, c.state.Catalog)
	c.servicePriority.tracker.RecordOffered(c.priorityRequest(), t.kvTokens(), c.startedAt)
	c.servicePriority.count(t.h.metrics, c.class).offered.Inc()
}

// recordAdmitted records that a server has accepted the stream, unless one did before.
func (t *streamRequest) recordAdmitted() {
	c := t.c
	if !c.hasClasses || t.admitted {
		return
	}
	t.admitted = true
	c.servicePriority.tracker.RecordAdmitted(c.priorityRequest(), t.kvTokens(), c.startedAt)
	c.servicePriority.count(t.h.metrics, c.class).admitted.Inc()
	if t.preferred {
		t.recordPreferred()
	}
}

// recordRefused records a stream that ends with the error if that is for lack of room: servers or
// the box itself refused it. Other errors say nothing about its priority.
func (t *streamRequest) recordRefused(e *result.Error) {
	c := t.c
	if !c.hasClasses || t.admitted || len(t.ranOn) > 0 || e.Code != result.Overloaded {
		return
	}
	c.servicePriority.tracker.RecordRefused(c.priorityRequest(), t.kvTokens(), c.startedAt)
	if e == t.roomKept.err {
		t.recordRoomKept()
	}
}

// roomLimits returns how far the request may fill the servers of its path. running is set if a server
// may have run the request, so that it is a stream under way. A stream that its caller resumes counts
// as one too, but not where there are classes, since any caller can claim that.
func (h *Handler) roomLimits(c *inboundRequest, running bool) fleet.Limits {
	resumed := c.LastEventID > 0
	if running || (resumed && !c.hasClasses) {
		return h.runningLimits(c)
	}
	limits := h.priorityLimits(c)
	limits.KeepForRepairs = !resumed && repairedInOrder(c.route)

	return limits
}

// priorityLimits returns how far a new request may fill servers by its priority.
func (h *Handler) priorityLimits(c *inboundRequest) fleet.Limits {
	if !c.hasClasses {
		return fleet.Limits{}
	}
	s, now := c.servicePriority, clock.Now()
	r := s.tracker.Reserve(c.priorityRequest(), h.supply(s, c, now), now)

	return fleet.LimitsWithReserve(r.Memory, r.Slots)
}

// supply returns the capacity for the requests of a service.
func (h *Handler) supply(s *servicePriority, c *inboundRequest, now time.Time) priority.Supply {
	if v := s.supply.Load(); v != nil && now.Sub(v.at) < supplyInterval {
		return v.Supply
	}
	v := &datedSupply{Supply: priority.Supply{Boxes: max(1, c.state.LiveBoxes), Staleness: fleet.PeerLoadStaleness}, at: now}
	v.Tokens, v.Slots = h.fleet.RequestCapacity(c.service)
	s.supply.Store(v)

	return v.Supply
}

// needsPreference reports whether a stream of an underserved class or account would find no path within
// the ordinary limits of its class.
func (t *streamRequest) needsPreference(q fleet.Query, firsts []slatebridge.ServerID) bool {
	c := t.c
	if !c.hasClasses || c.class == 0 || len(t.ranOn) > 0 || q.Limits.HasReserve() {
		return false
	}
	now := clock.Now()
	r := c.servicePriority.tracker.OrdinaryReserve(c.priorityRequest(), t.h.supply(c.servicePriority, c, now), now)
	q.Limits = fleet.LimitsWithReserve(r.Memory, r.Slots)

	return q.Limits.HasReserve() && !t.h.fleet.HasPath(q, firsts)
}

// recordPreferred counts and logs a stream that got room that others of its class leave free.
func (t *streamRequest) recordPreferred() {
	c := t.c
	t.h.metrics.priorityCounter(c.class, priorityPreferred).Inc()
	if n := c.servicePriority.preferred.next(clock.Now()); n > 0 {
		event.Log(t.h.logger, event.UnderservedPreferred, zap.String("service", c.service), zap.Int("priority", c.class),
			zap.String("account", c.account), zap.Int("requests", n))
	}
}

// roomKeptError is the error for room that is kept for more urgent requests, and the limits of the
// request.
type roomKeptError struct {
	err    *result.Error
	limits fleet.Limits
}

// recordRoomKept counts and logs a stream that ends for room that is kept for more urgent requests.
func (t *streamRequest) recordRoomKept() {
	c, limits := t.c, t.roomKept.limits
	t.h.metrics.priorityCounter(c.class, priorityRefused).Inc()
	if n := c.servicePriority.refused.next(clock.Now()); n > 0 {
		event.Log(t.h.logger, event.PriorityLimited, zap.String("service", c.service), zap.Int("priority", c.class), zap.String("account", c.account),
			zap.Float64("memory_limit", limits.Memory), zap.Float64("slot_limit", limits.Slots), zap.Int("requests", n))
	}
}

// runningMemoryShare is the share of a server's memory that streams under way may fill after servers
// were lost. The rest covers what boxes do not know of each other: a server that has no room rejects
// the stream.
const runningMemoryShare = 0.97

// runningLimits returns how far a stream under way may fill the servers of another path. It leaves
// no room to others and may wait for a slot at its first server; after servers of its service were
// lost, new requests leave it the rest of the memory.
func (h *Handler) runningLimits(c *inboundRequest) fleet.Limits {
	var limits fleet.Limits
	if repairedInOrder(c.route) && h.fleet.HasRecentLoss(c.service) {
		limits.Memory = runningMemoryShare
	}

	return limits
}

// repairQuery returns the query for another path of a stream under way.
func (h *Handler) repairQuery(a *streamAttempt, exclude []slatebridge.ServerID) fleet.Query {
	return fleet.Query{Service: a.service, Tokens: a.kvTokens, Exclude: exclude, Limits: h.runningLimits(a.request)}
}
