package fleet

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
)

// Limits bounds how far requests may fill the servers of a path, as shares of their capacity.
type Limits struct {
	// Memory bounds the share of memory in use; zero means maxPlannedFill. A value below
	// maxPlannedFill applies before the request is added, so that large requests are not refused more
	// often than small ones; with the request, maxPlannedFill applies.
	Memory float64
	// Slots bounds the slots of the first server that are in use before the request; zero means no
	// bound. With a bound, the request needs a free slot.
	Slots float64
	// KeepForRepairs leaves the memory that streams of recently lost servers need at the servers
	// that can replace them, as long as there is another path.
	//
	// Load pattern: servers crash while others are nearly full. New requests take the memory of the
	// replacements before the hundreds of streams that passed the lost servers are moved there.
	KeepForRepairs bool
}

// LimitsWithReserve returns the limits for a request that leaves the given shares of the memory and
// the slots free.
func LimitsWithReserve(memory, slots float64) Limits {
	return Limits{Memory: maxPlannedFill - memory, Slots: 1 - slots}
}

// MemoryShares returns the shares of the memory that may be in use before the request and with it.
func (l Limits) MemoryShares() (before, with float64) {
	before = cmp.Or(l.Memory, maxPlannedFill)

	return before, max(before, maxPlannedFill)
}

// HasReserve reports whether the request leaves something free.
func (l Limits) HasReserve() bool { return l != l.withoutReserve() }

// withoutReserve returns the limits of a request that leaves nothing free.
func (l Limits) withoutReserve() Limits {
	if l.Memory > 0 {
		l.Memory = max(l.Memory, maxPlannedFill)
	}
	if l.Slots > 0 {
		l.Slots = max(l.Slots, 1)
	}

	return l
}

// lacksSlots reports whether some first server has memory for the request, but no slot within the
// limits. The caller holds mu.
func (f *Fleet) lacksSlots(q Query) bool {
	unbounded := q
	unbounded.Limits.Slots = 0
	now := f.now()

	return slices.ContainsFunc(f.membersOf(q.Service), func(m *member) bool {
		return m.model != nil && m.offersLayers(q, now) && m.hasRoom(unbounded, m.load()) && !m.hasRoom(q, m.load())
	})
}

// hasRoom reports whether the server has room for one more request of the given size within the
// limits.
func (m *member) hasRoom(q Query, used Load) bool {
	before, with := q.Limits.MemoryShares()
	if capacity := m.capacity(); used.TokenLayers+q.Tokens*float64(m.Layers.Len()) > with*capacity || used.TokenLayers > before*capacity {
		return false
	}
	if m.Layers.From > 0 || m.Slots <= 0 || q.Limits.Slots <= 0 {
		return true
	}

	slots := float64(m.Slots)

	return used.FirstStage+1 <= slots && used.FirstStage < q.Limits.Slots*slots
}

// HasFirstServer reports whether some server that may be the first of a path has room for the request.
func (f *Fleet) HasFirstServer(q Query) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, m := range f.membersOf(q.Service) {
		if m.model != nil && m.Layers.From == 0 && m.offersLayers(q, now) && m.hasRoom(q, m.load()) && !m.foundFull(q, now) {
			return true
		}
	}

	return false
}

// HasPath reports whether there is a path for the request that starts at one of the given first
// servers; an empty list allows any. It reserves nothing.
func (f *Fleet) HasPath(q Query, firsts []slatebridge.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(firsts) == 0 {
		return f.search(q, true) != nil
	}
	for _, q.FirstServer = range firsts {
		if f.search(q, true) != nil {
			return true
		}
	}

	return false
}

// RequestCapacity returns the number of tokens for which all servers of the service together have
// memory at the layer that has least, and the number of slots of all first servers. Layers that no
// server has do not count.
func (f *Fleet) RequestCapacity(service string) (tokens, slots float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var byLayer []float64
	for _, m := range f.membersOf(service) {
		if m.model == nil || m.Layers.Len() == 0 || m.Layers.To > m.model.Layers || !m.healthy(now) {
			continue
		}
		if byLayer == nil {
			byLayer = make([]float64, m.model.Layers)
		}
		for layer := m.Layers.From; layer < m.Layers.To; layer++ {
			byLayer[layer] += m.capacity() / float64(m.Layers.Len())
		}
		if m.Layers.From == 0 {
			slots += float64(m.Slots)
		}
	}
	for _, n := range byLayer {
		if n > 0 && (tokens == 0 || n < tokens) {
			tokens = n
		}
	}

	return tokens, slots
}
