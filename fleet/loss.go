package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

// maxLossAge is how long a lost server counts as recently lost (see also RefreshLosses). Most streams
// that it served are repaired by then, or their callers are about to give up.
const maxLossAge = 1500 * time.Millisecond

// loss is a server that was recently lost. The member may have been removed from the fleet, but
// still has the known load of the streams that passed it.
type loss struct {
	member *member
	at     time.Time
}

// recordLoss records that a server was lost just now. The caller holds mu.
func (f *Fleet) recordLoss(m *member) {
	if _, known := f.losses[m.ID]; !known {
		f.losses[m.ID] = loss{member: m, at: f.now()}
	}
}

// recentLosses returns the losses of servers with streams that are still to be repaired, and drops
// older ones. The caller holds mu.
func (f *Fleet) recentLosses() []loss {
	if len(f.losses) == 0 {
		return nil
	}
	now := f.now()
	var out []loss
	for id, l := range f.losses {
		if l.member.removed {
			// It is in no index, so that reports of other boxes do not reach it.
			l.member.peerLoad = f.peerLoadAt(l.member.shortID)
		}
		switch {
		case now.Sub(l.at) > maxLossAge:
			delete(f.losses, id)
		case l.member.model == nil || l.member.Layers.Len() == 0:
			// It has no model by a newer configuration, or its entry names no layers any more.
		case l.member.load().Requests >= 1:
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b loss) int { return cmp.Compare(a.member.ID, b.member.ID) })

	return out
}

// RecentLosses returns the servers that were lost in the last moments and whose streams are still to
// be repaired.
func (f *Fleet) RecentLosses() []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for _, l := range f.recentLosses() {
		out = append(out, l.member.ID)
	}

	return out
}

// RefreshLosses keeps the losses of the servers for as long as if they were lost just now, as streams
// of this box still wait to leave them.
func (f *Fleet) RefreshLosses(lost []slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range lost {
		if l, ok := f.losses[id]; ok {
			f.losses[id] = loss{member: l.member, at: f.now()}
		}
	}
}

// ServiceOfLost returns the service of a server that is in the fleet or was lost recently; empty if it
// is neither.
func (f *Fleet) ServiceOfLost(id slatebridge.ServerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.lostMember(id); m != nil {
		return m.Service
	}

	return ""
}

// HasRecentLoss reports whether a server of the service was lost in the last moments and its streams
// are still to be repaired.
func (f *Fleet) HasRecentLoss(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.ContainsFunc(f.recentLosses(), func(l loss) bool { return l.member.Service == service })
}

// maxRepairRoom is the largest share of a server's memory that is kept for streams of lost servers.
const maxRepairRoom = 0.5

// repairRoom is the memory, in tokens, that streams of recently lost servers need for each layer at
// each server that can replace the lost ones, by hall.
type repairRoom map[slatebridge.HallID][]float64

// neededRepairRoom returns the memory that streams of the service need after recent losses; nil if
// there are none. It shrinks as the streams are repaired. The caller holds mu.
func (f *Fleet) neededRepairRoom(service string) repairRoom {
	room := make(repairRoom)
	for _, l := range f.recentLosses() {
		if l.member.Service == service {
			room.addLoss(l.member)
		}
	}
	if len(room) == 0 {
		return nil
	}
	now := f.now()
	servers := make(map[slatebridge.HallID][]float64, len(room))
	for hall, perLayer := range room {
		servers[hall] = make([]float64, len(perLayer))
	}
	for _, m := range f.membersOf(service) {
		if count := servers[m.Hall]; count != nil && m.available(now) {
			addToLayers(count, m.Layers, 1)
		}
	}
	for hall, perLayer := range room {
		for layer, n := range servers[hall] {
			// Layers that no server of the hall holds need no room there.
			perLayer[layer] /= max(1, n)
		}
	}

	return room
}

// addLoss adds the memory that all streams of a lost server need.
func (r repairRoom) addLoss(lost *member) {
	if r[lost.Hall] == nil {
		r[lost.Hall] = make([]float64, lost.model.Layers)
	}
	addToLayers(r[lost.Hall], lost.Layers, lost.load().TokenLayers/float64(lost.Layers.Len()))
}

// addToLayers adds a value to each layer of the range.
func addToLayers(perLayer []float64, layers slatebridge.LayerRange, value float64) {
	for layer := layers.From; layer < min(layers.To, len(perLayer)); layer++ {
		perLayer[layer] += value
	}
}

// replacements returns the available servers of a lost server's hall that hold the layer and are
// not excluded. The caller holds mu.
func (f *Fleet) replacements(lost *member, layer int, exclude []slatebridge.ServerID) []*member {
	now := f.now()
	var out []*member
	for _, m := range f.membersOf(lost.Service) {
		if m != lost && m.Hall == lost.Hall && m.hasLayer(layer) && m.available(now) && !slices.Contains(exclude, m.ID) {
			out = append(out, m)
		}
	}

	return out
}

// at returns the memory to be kept at the server, in tokens times layers.
func (r repairRoom) at(m *member) float64 {
	if r == nil {
		return 0
	}
	sum := 0.0
	perLayer := r[m.Hall]
	for layer := m.Layers.From; layer < min(m.Layers.To, len(perLayer)); layer++ {
		sum += perLayer[layer]
	}

	return min(sum, maxRepairRoom*m.capacity())
}
