package box

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/relay"
)

const (
	// allocatorStartDelay is how long after its start a box gives no grants: it does not know the
	// other boxes yet. Until then the others do not count it as an allocator either, unless no box
	// of its hall has been running for longer.
	allocatorStartDelay = 2 * time.Second
	// maxMissedTurns is how many consecutive reports on another hall may omit a box, which is not
	// heard directly either, before it no longer counts as an allocator. Digests report the boxes
	// of one other hall per round, in rotation, so with n other halls each has its turn once in n
	// rounds.
	maxMissedTurns = 3
)

// allocators is an immutable view of the boxes that allocate grants.
type allocators struct {
	// asOf is when the view was made.
	asOf time.Time
	// byHall holds the allocators of each hall, which are its relays.
	byHall map[slatebridge.HallID][]relay.Candidate
	// boots holds the boot IDs of other boxes that were heard directly.
	boots map[slatebridge.BoxID]string
	// liveShare is the share of all boxes that are live.
	liveShare float64
	// resumedAt is when the machine was last resumed, and suspendedTotal how long it had been
	// suspended in all.
	resumedAt      time.Time
	suspendedTotal time.Duration
}

// allocator returns the box that allocates grants for the server. It is in the server's hall, where
// boxes can reach it even if the hall is cut off, or in another hall if no box of the server's hall
// is seen.
func (v *allocators) allocator(s catalog.Server) (relay.Candidate, bool) {
	list := v.hallAllocators(s)
	if len(list) == 0 {
		return relay.Candidate{}, false
	}

	return list[0], true
}

// hallAllocators returns the allocators of the hall from which grants for the server come, the one
// that allocates them first.
func (v *allocators) hallAllocators(s catalog.Server) []relay.Candidate {
	list := v.byHall[s.Hall]
	if len(list) == 0 {
		halls := make([]slatebridge.HallID, 0, len(v.byHall))
		for hall, l := range v.byHall {
			if len(l) > 0 {
				halls = append(halls, hall)
			}
		}
		hall, ok := allowance.RendezvousOwner(s.ID, halls)
		if !ok {
			return nil
		}
		list = v.byHall[hall]
	}
	names := make([]slatebridge.BoxID, 0, len(list))
	for _, c := range list {
		names = append(names, c.Box)
	}
	first, _ := allowance.RendezvousOwner(s.ID, names)
	i := slices.Index(names, first)

	return slices.Concat(list[i:], list[:i])
}

// isAllocator reports whether the box allocates grants for the server.
func (v *allocators) isAllocator(box slatebridge.BoxID, s catalog.Server) bool {
	if v == nil {
		return false
	}
	c, ok := v.allocator(s)

	return ok && c.Box == box
}

// AllocatesGrants reports whether this box allocates the grants for the server if it is
// rate-limited.
func (b *Box) AllocatesGrants(s catalog.Server) bool {
	return b.grants.current.Load().isAllocator(b.settings.Box, s)
}

// allocators returns the current allocators.
func (c *control) allocators(now time.Time) *allocators {
	v := &allocators{asOf: now, byHall: make(map[slatebridge.HallID][]relay.Candidate), boots: make(map[slatebridge.BoxID]string), resumedAt: c.resumedAt, suspendedTotal: c.suspendedTotal}
	candidates := make(map[slatebridge.HallID][]relay.Candidate)
	if self := c.selfCandidate(now); !c.leaving && !self.Starting {
		candidates[c.settings.Hall] = append(candidates[c.settings.Hall], self)
	}
	indirectTimeout := c.indirectTimeout()
	for _, o := range c.peers {
		if c.canAllocate(o, indirectTimeout, now) {
			candidates[o.hall] = append(candidates[o.hall], o.candidate(now))
		}
	}
	for hall, list := range candidates {
		v.byHall[hall] = relay.Select(withoutStarting(list), relay.PerHall)
		for _, o := range v.byHall[hall] {
			if o.Box != c.settings.Box {
				v.boots[o.Box] = c.peers[o.Box].bootID
			}
		}
	}
	v.liveShare = min(1, float64(c.liveBoxes())/float64(max(1, c.retryBudgetBoxes())))

	return v
}

// withoutStarting returns the candidates that have been running for allocatorStartDelay, or all if
// none has.
//
// Scenario: the allocator returns from a planned restart. The others name it before it gives grants,
// while it names its stand-in, and nobody answers.
func withoutStarting(list []relay.Candidate) []relay.Candidate {
	var out []relay.Candidate
	for _, v := range list {
		if !v.Starting {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return list
	}

	return out
}

// indirectTimeout returns how long a box of another hall counts as live after another box last
// reported hearing it.
func (c *control) indirectTimeout() time.Duration {
	return max(minPeerTimeout, maxMissedTurns*time.Duration(len(c.remoteHalls()))*tickInterval)
}

// canAllocate reports whether the box can be an allocator: it is heard and not leaving.
func (c *control) canAllocate(o *peerBox, indirectTimeout time.Duration, now time.Time) bool {
	indirect := now.Sub(o.indirectSeenAt) < indirectTimeout
	if o.inHall(c.settings.Hall) {
		indirect = o.listedAlone(now)
	}

	return o.hall != "" && !o.lastMessage.Leaving && (o.live() || indirect)
}

// listedAlone reports whether a box that is not heard itself is listed by the relays of its hall. They
// go on listing one that has just been lost, which does not count.
//
// Scenario: a relay is lost, and each box of its hall that is no relay takes itself for the next one.
func (o *peerBox) listedAlone(now time.Time) bool {
	return now.Sub(o.indirectSeenAt) < minPeerTimeout && (o.bootID == "" || o.indirectSeenAt.Sub(o.lastSeenAt) > 2*minPeerTimeout)
}

func sameAllocators(a, b *allocators) bool {
	if len(a.byHall) != len(b.byHall) {
		return false
	}
	for hall, list := range a.byHall {
		if !slices.EqualFunc(list, b.byHall[hall], func(x, y relay.Candidate) bool { return x.Box == y.Box }) {
			return false
		}
	}

	return true
}
