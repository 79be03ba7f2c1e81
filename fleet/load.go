package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slatebridge/slatebridge"
)

// Load is work in flight at one server.
type Load struct {
	// Requests is the number of requests.
	Requests float64
	// TokenLayers is the memory that they need, in tokens times layers.
	TokenLayers float64
	// FirstStage is the number of requests for which the server is the first stage; it has a
	// limited number of slots for them.
	FirstStage float64
}

// Add returns the sum of the loads.
func (l Load) Add(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, TokenLayers: l.TokenLayers + o.TokenLayers, FirstStage: l.FirstStage + o.FirstStage}
}

// Sub returns the difference of the loads.
func (l Load) Sub(o Load) Load {
	return l.Add(o.scaled(-1))
}

func (l Load) scaled(x float64) Load {
	return Load{Requests: l.Requests * x, TokenLayers: l.TokenLayers * x, FirstStage: l.FirstStage * x}
}

// rounded returns the load rounded to whole numbers, which encode shorter in messages.
func (l Load) rounded() Load {
	return Load{Requests: math.Round(l.Requests), TokenLayers: math.Round(l.TokenLayers), FirstStage: math.Round(l.FirstStage)}
}

// OwnLoads returns the work that this box has in flight, by server. This includes servers that were
// lost recently and have been removed.
func (f *Fleet) OwnLoads() map[slatebridge.ServerID]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[slatebridge.ServerID]Load, len(f.index.busy))
	for m := range f.index.busy {
		out[m.ID] = m.ownLoad.rounded()
	}
	// Other boxes leave room for these streams as well.
	for _, l := range f.recentLosses() {
		if l.member.removed && l.member.ownLoad.Requests > 0 {
			out[l.member.ID] = l.member.ownLoad.rounded()
		}
	}

	return out
}

// DirectRequests returns the known number of requests in flight that the server received directly
// from a box: as the first stage of a path, or for a service without a model.
func (f *Fleet) DirectRequests(id slatebridge.ServerID) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0
	}
	l := m.load()
	if m.model == nil {
		return l.Requests
	}

	return l.FirstStage
}

// ShortID returns the hash that identifies the server in messages: 32 bits instead of a name of
// about a dozen bytes. Servers whose IDs collide share one entry, so that each is also charged with
// load of the other. With 5,700 servers, about one fleet in 260 contains a collision.
func ShortID(id slatebridge.ServerID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// LoadsByShortID rekeys loads by the short IDs of the servers. If the IDs of two of them collide,
// only the load of one is kept.
func LoadsByShortID(loads map[slatebridge.ServerID]Load) map[uint32]Load {
	out := make(map[uint32]Load, len(loads))
	for id, l := range loads {
		out[ShortID(id)] = l
	}

	return out
}

// SetPeerGroupLoads replaces the load reported by a group of boxes, by short server ID. A group
// consists of the other boxes of this hall, or of all boxes of another hall. A nil map removes the
// group.
func (f *Fleet) SetPeerGroupLoads(group string, loads map[uint32]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.peerLoads[group]
	if known == nil {
		known = make(map[uint32]Load, len(loads))
		f.peerLoads[group] = known
	}
	for n, l := range known {
		if _, ok := loads[n]; !ok {
			f.adjustPeerLoad(n, l, Load{})
			delete(known, n)
		}
	}
	for n, l := range loads {
		if before := known[n]; before != l {
			f.adjustPeerLoad(n, before, l)
			known[n] = l
		}
	}
	if loads == nil {
		delete(f.peerLoads, group)
	}
}

// adjustPeerLoad replaces a part of the peer load of the servers with the short ID. The caller
// holds mu.
func (f *Fleet) adjustPeerLoad(shortID uint32, from, to Load) {
	for _, m := range f.index.byShortID[shortID] {
		m.peerLoad = m.peerLoad.Add(to.Sub(from))
	}
}

// peerLoadAt returns the sum of the peer loads for a short ID. The caller holds mu.
func (f *Fleet) peerLoadAt(shortID uint32) Load {
	var sum Load
	for _, loads := range f.peerLoads {
		sum = sum.Add(loads[shortID])
	}

	return sum
}

// Reservation is capacity reserved at the servers of one request.
type Reservation struct {
	fleet *Fleet
	loads []reservedLoad
	// nearlyFullHalls are the halls of servers that are nearly full; see NearlyFullHalls.
	nearlyFullHalls []slatebridge.HallID
	// at is when the capacity was reserved, and path and hopBytes are what each hop between halls
	// was charged with.
	at       time.Time
	path     Path
	hopBytes float64
}

// reservedLoad is the part of a Reservation at one server.
type reservedLoad struct {
	member *member
	load   Load
	// sentBefore is when the request before this one was sent to the server, as far as its admission
	// state says, and counted whether that state counts this one.
	sentBefore time.Time
	counted    bool
}

// reserve reserves the capacity that the request needs on the path. The caller holds mu.
func (f *Fleet) reserve(p Path, q Query) *Reservation {
	r := f.reserveLoads(p.loads(q.Tokens))
	if m, ok := f.members[p[0].Server.ID]; ok && m.model != nil {
		r.path, r.hopBytes = p, q.Tokens*m.model.ActivationBytesPerToken
		f.recordHallHops(p, r.hopBytes)
	}
	r.nearlyFullHalls = f.nearlyFullHalls(r.loads, q.Limits)

	return r
}

func (f *Fleet) reserveLoads(loads map[slatebridge.ServerID]Load) *Reservation {
	now := f.now()
	r := &Reservation{fleet: f, at: now, loads: make([]reservedLoad, 0, len(loads))}
	for id, l := range loads {
		if m, ok := f.members[id]; ok {
			m.ownLoad = m.ownLoad.Add(l)
			f.index.busy.set(m, true)
			m.recordRecentLoad(l, now)
			before, counted := m.admission.lastSentAt(), m.admission.countsSends()
			m.admission.recordSend(now)
			r.loads = append(r.loads, reservedLoad{member: m, load: l, sentBefore: before, counted: counted})
		}
	}

	return r
}

// Release frees the reserved capacity. Calls after the first do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for _, p := range r.loads {
		p.member.ownLoad = p.member.ownLoad.Sub(p.load)
		if p.member.ownLoad.Requests <= 0 {
			r.fleet.index.busy.set(p.member, false)
		}
	}
	r.loads = nil
}

// Withdraw releases the reserved capacity of a request that was not sent, and undoes that it counts
// as sent.
func (r *Reservation) Withdraw() {
	if r == nil {
		return
	}
	r.withdrawSends()
	r.Release()
}

func (r *Reservation) withdrawSends() {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.loads == nil {
		return
	}
	now := f.now()
	for _, p := range r.loads {
		p.member.withdrawRecentLoad(p.load, r.at, now)
		if p.counted {
			p.member.admission.withdrawSend(r.at, p.sentBefore)
		}
	}
	f.withdrawHallHops(r.path, r.hopBytes, r.at)
}

// ResolveShortIDs returns the servers that have one of the short IDs.
func (f *Fleet) ResolveShortIDs(shortIDs []uint32) []slatebridge.ServerID {
	if len(shortIDs) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for _, n := range shortIDs {
		for _, m := range f.index.byShortID[n] {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)

	return slices.Compact(out)
}
