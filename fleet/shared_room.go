package fleet

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// maxStaleShare bounds the share of a server's capacity that the other boxes of the hall are
	// assumed to have taken since their last reports.
	maxStaleShare = 0.25
	// fullMarkTTL is how long a server that the ledger of its hall found full is passed over. The
	// next reports arrive within about this time.
	fullMarkTTL = 250 * time.Millisecond
)

// maxFullMarks is the number of marks of one server that are kept at the same time.
const maxFullMarks = 8

// fullMark marks a server as full for requests that are at least as large as the refused one and may
// not fill the server further, until it expires.
type fullMark struct {
	until time.Time
	// memoryShare is the share of the memory that was allowed to be in use before the request, and
	// tokens the size of the request. They do not matter if a slot was missing.
	memoryShare float64
	tokens      float64
	// slotShare is the limit of the slots if a slot was missing, otherwise zero.
	slotShare float64
}

// newFullMark returns the mark for a refused request. Limits that bound the slots say that only a
// slot was missing.
func newFullMark(l Limits, tokens float64, now time.Time) fullMark {
	memory, _ := l.MemoryShares()

	return fullMark{until: now.Add(fullMarkTTL), memoryShare: memory, tokens: tokens, slotShare: l.Slots}
}

// covers reports whether a request with the limits and size finds no room either. A request without
// a limit of the slots may wait for one.
func (n fullMark) covers(l Limits, tokens float64) bool {
	if n.slotShare > 0 {
		return l.Slots > 0 && l.Slots <= n.slotShare
	}
	memory, _ := l.MemoryShares()

	return memory <= n.memoryShare && tokens >= n.tokens
}

// replaces reports whether n covers all requests that the older mark o covers.
func (n fullMark) replaces(o fullMark) bool {
	if n.slotShare > 0 || o.slotShare > 0 {
		return o.slotShare > 0 && o.slotShare <= n.slotShare
	}

	return o.memoryShare <= n.memoryShare && o.tokens >= n.tokens
}

// foundFull reports whether the ledger of the hall has recently found the server full.
func (m *member) foundFull(q Query, now time.Time) bool {
	for _, n := range m.full {
		if now.Before(n.until) && n.covers(q.Limits, q.Tokens) {
			return true
		}
	}

	return false
}

// RecordFull records that the servers have no memory for a request of the size with the limits, or
// no slot if the limits bound the slots. Queries with AvoidFull pass them over for a short time, if
// they are for requests that are at least as large and may not fill the servers further.
func (f *Fleet) RecordFull(ids []slatebridge.ServerID, l Limits, tokens float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	mark := newFullMark(l, tokens, now)
	for _, id := range ids {
		m, ok := f.members[id]
		if !ok {
			continue
		}
		m.full = slices.DeleteFunc(m.full, func(o fullMark) bool { return !now.Before(o.until) || mark.replaces(o) })
		if len(m.full) >= maxFullMarks {
			m.full = slices.Delete(m.full, 0, 1)
		}
		m.full = append(m.full, mark)
	}
}

// SharesRoom reports whether the boxes of the hall share the room at the servers of the service by
// a ledger: the sizes of requests and servers are known, and there is more than one box.
func (f *Fleet) SharesRoom(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hallPeers == 0 || f.cat == nil {
		return false
	}
	s := f.cat.Service(service)

	return s != nil && s.Model.LimitsRoom()
}

// NearlyFullHalls returns the halls of the reserved servers that may be filled beyond the limits of the
// request if the other boxes of this hall have sent them about as much as this one since their last
// reports. It is empty if room is not shared; see SharesRoom.
func (r *Reservation) NearlyFullHalls() []slatebridge.HallID {
	if r == nil {
		return nil
	}

	return r.nearlyFullHalls
}

// nearlyFullHalls returns the halls of the nearly full servers among the reserved ones. The loads of the
// members contain the reservation. The caller holds mu.
func (f *Fleet) nearlyFullHalls(loads []reservedLoad, l Limits) []slatebridge.HallID {
	if f.hallPeers == 0 || len(loads) == 0 || !loads[0].member.model.LimitsRoom() {
		return nil
	}
	before, with := l.MemoryShares()
	var halls []slatebridge.HallID
	for i := range loads {
		r := &loads[i]
		if r.member.mayBeNearlyFull(before, l.Slots) && r.tight(before, with, l.Slots, f) && !slices.Contains(halls, r.member.Hall) {
			halls = append(halls, r.member.Hall)
		}
	}

	return halls
}

// mayBeNearlyFull reports whether the server is nearly full if the other boxes have taken the most that is
// assumed. It is cheaper than tight.
func (m *member) mayBeNearlyFull(memory, slots float64) bool {
	used := m.ownLoad.TokenLayers + m.peerLoad.TokenLayers
	if used > (memory-maxStaleShare)*m.capacity() {
		return true
	}

	return slots > 0 && m.Layers.From == 0 && m.ownLoad.FirstStage+m.peerLoad.FirstStage > (slots-maxStaleShare)*float64(m.Slots)
}

// tight reports whether the server, whose load contains the reservation, is nearly full. before and
// with are the shares of the memory that may be in use before the request and with it.
func (r *reservedLoad) tight(before, with, slotShare float64, f *Fleet) bool {
	m, capacity, slots := r.member, r.member.capacity(), 0.0
	if r.load.FirstStage > 0 && slotShare > 0 {
		slots = float64(m.Slots)
	}
	limit := Load{TokenLayers: min(with*capacity, before*capacity+r.load.TokenLayers), FirstStage: slotShare * slots}
	stale := m.decayedRecentLoad(f.now()).scaled(float64(f.hallPeers))
	stale.TokenLayers, stale.FirstStage = min(stale.TokenLayers, maxStaleShare*capacity), min(stale.FirstStage, maxStaleShare*slots)
	used := m.load().Add(stale)

	return used.TokenLayers > limit.TokenLayers || (slots > 0 && used.FirstStage > limit.FirstStage)
}

// Room is the capacity of a server and the work in flight there that this box knows of. Capacity
// has no Requests, and no FirstStage if the slots are not limited.
type Room struct {
	Capacity Load
	InFlight Load
}

// Room returns the room of the server with a short ID, or false if it is unknown.
func (f *Fleet) Room(shortID uint32) (Room, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.index.byShortID[shortID] {
		if m.model.LimitsRoom() {
			return Room{Capacity: Load{TokenLayers: m.capacity(), FirstStage: float64(m.Slots)}, InFlight: m.load()}, true
		}
	}

	return Room{}, false
}
