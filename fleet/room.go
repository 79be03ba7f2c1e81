package fleet

import "cmp"

// Limits bounds how far requests may fill the servers of a path, as shares of their capacity.
type Limits struct {
	// Memory bounds the memory for requests; zero means maxPlannedFill.
	Memory float64
	// Slots bounds the slots of the first server; zero means no bound.
	Slots float64
	// KeepForRepairs leaves the memory that streams of recently lost servers need at the servers
	// that can replace them, as long as there is another path.
	//
	// Load pattern: servers crash while others are nearly full. New requests take the memory of the
	// replacements before the hundreds of streams that passed the lost servers are moved there.
	KeepForRepairs bool
}

// hasRoom reports whether the server has room for one more request of the given size within the
// limits.
func (m *member) hasRoom(q Query, used Load) bool {
	if used.TokenLayers+q.Tokens*float64(m.Layers.Len()) > cmp.Or(q.Limits.Memory, maxPlannedFill)*m.capacity() {
		return false
	}
	if m.Layers.From > 0 || m.Slots <= 0 || q.Limits.Slots <= 0 {
		return true
	}

	return used.FirstStage+1 <= q.Limits.Slots*float64(m.Slots)
}
