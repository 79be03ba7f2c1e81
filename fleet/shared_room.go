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
	// fullNoteTTL is how long a server that the ledger of its hall found full is passed over. The
	// next reports arrive within about this time.
	fullNoteTTL = 250 * time.Millisecond
)

// fullNote records that a server had no room for requests with the limits or lower ones.
type fullNote struct {
	until time.Time
	// memoryShare is the share of the memory that was allowed to be in use before the request.
	memoryShare float64
	// slotShare is the limit of the slots; zero if they were not limited.
	slotShare float64
}

// foundFull reports whether the ledger of the hall has recently found the server full.
func (m *member) foundFull(q Query, now time.Time) bool {
	if !now.Before(m.full.until) {
		return false
	}
	memory, _ := q.Limits.MemoryShares()
	// Without a limit of their own, requests may wait for a slot.
	bySlots := m.full.slotShare == 0 || (q.Limits.Slots > 0 && q.Limits.Slots <= m.full.slotShare)

	return memory <= m.full.memoryShare && bySlots
}

// RecordFull records that the servers have no memory for requests with the limits, or no slot if the
// limits bound the slots. Requests that may not fill them further pass them over for a short time.
func (f *Fleet) RecordFull(ids []slatebridge.ServerID, l Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	share, _ := l.MemoryShares()
	for _, id := range ids {
		m, ok := f.members[id]
		if !ok {
			continue
		}
		if !now.Before(m.full.until) || share >= m.full.memoryShare {
			m.full = fullNote{until: now.Add(fullNoteTTL), memoryShare: share, slotShare: l.Slots}
		}
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

// TightHalls returns the halls of the reserved servers that may be filled beyond the limits of the
// request if the other boxes of this hall have sent them about as much as this one since their last
// reports. It is empty if room is not shared; see SharesRoom.
func (r *Reservation) TightHalls() []slatebridge.HallID {
	if r == nil {
		return nil
	}

	return r.tightHalls
}

// tightHalls returns the halls of the nearly full servers among the reserved ones. The loads of the
// members contain the reservation. The caller holds mu.
func (f *Fleet) tightHalls(loads []reservedLoad, l Limits) []slatebridge.HallID {
	if f.hallPeers == 0 || len(loads) == 0 || !loads[0].member.model.LimitsRoom() {
		return nil
	}
	before, with := l.MemoryShares()
	var halls []slatebridge.HallID
	for i := range loads {
		r := &loads[i]
		if r.member.mayBeTight(before, l.Slots) && r.tight(before, with, l.Slots, f) && !slices.Contains(halls, r.member.Hall) {
			halls = append(halls, r.member.Hall)
		}
	}

	return halls
}

// mayBeTight reports whether the server is nearly full if the other boxes have taken the most that is
// assumed. It is cheaper than tight.
func (m *member) mayBeTight(memory, slots float64) bool {
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
