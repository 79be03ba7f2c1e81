package fleet

import (
	"github.com/slatebridge/slatebridge"
)

// Loads returns the work that this box has in flight, by server.
func (f *Fleet) Loads() map[slatebridge.ServerID]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[slatebridge.ServerID]Load)
	for id, m := range f.members {
		if m.own.Requests > 0 {
			out[id] = m.own.rounded()
		}
	}

	return out
}

// HallLoads returns the work in flight of this box and of those that SetPeer
// was told of under the given names, by server.
func (f *Fleet) HallLoads(peers []string) map[slatebridge.ServerID]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[slatebridge.ServerID]Load)
	for id, m := range f.members {
		sum := m.own
		for _, p := range peers {
			sum = sum.plus(m.peers[p])
		}
		if sum.Requests > 0 {
			out[id] = sum.rounded()
		}
	}

	return out
}

// SetPeer takes up the work in flight of others: of another box, or of all
// boxes of another hall. A nil map says that they are gone.
func (f *Fleet) SetPeer(name string, loads map[slatebridge.ServerID]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.members {
		if l, ok := loads[id]; ok {
			m.peers[name] = l
		} else {
			delete(m.peers, name)
		}
	}
}

// Hold is work that was reserved at servers.
type Hold struct {
	fleet *Fleet
	parts map[slatebridge.ServerID]Load
}

// reserve reserves what the request needs on the path. The caller holds mu.
func (f *Fleet) reserve(p Path, q Query) *Hold {
	if m, ok := f.members[p[0].Server.ID]; ok {
		f.noteCrossings(p, m.model, q.Tokens)
	}

	return f.reserveParts(p.parts(q.Tokens))
}

func (f *Fleet) reserveParts(parts map[slatebridge.ServerID]Load) *Hold {
	now := f.now()
	for id, l := range parts {
		if m, ok := f.members[id]; ok {
			m.own = m.own.plus(l)
			m.noteRecent(l, now)
		}
	}

	return &Hold{fleet: f, parts: parts}
}

// Release gives the reserved work back. It may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for id, l := range h.parts {
		if m, ok := h.fleet.members[id]; ok {
			m.own = m.own.plus(l.times(-1))
		}
	}
	h.parts = nil
}
