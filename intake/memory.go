// Package intake bounds what callers make a process hold: the bytes of their requests and their
// connections.
//
// A Memory has the bytes. Each request reserves what it needs before that is allocated, and gives it
// back once it is over; what does not fit is refused, since it has not run. A request must leave room for
// others, the more the larger it is itself, so that small requests find room beside any number of large
// ones. A Listener has the connections. With too many, it closes one that waits for a request or is still
// being read, whichever has been so for the longest.
package intake

import "sync"

// maxKeptShare is the largest share of a Memory that a request must leave free.
const maxKeptShare = 0.25

// Memory has the bytes that all requests of a process may hold together. It is safe for concurrent use.
type Memory struct {
	capacity int64

	mu   sync.Mutex
	used int64
	// refused counts the reservations that did not fit.
	refused int64
}

// NewMemory returns a Memory of a number of bytes.
func NewMemory(capacity int64) *Memory { return &Memory{capacity: capacity} }

// Largest returns the size of the largest request that fits while nothing else is held.
func (m *Memory) Largest() int64 { return m.capacity - int64(maxKeptShare*float64(m.capacity)) }

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}

// Capacity returns the number of bytes that can be reserved.
func (m *Memory) Capacity() int64 { return m.capacity }

// Refused returns how many reservations did not fit.
func (m *Memory) Refused() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.refused
}

// kept returns the bytes that a request which holds held bytes leaves free.
func (m *Memory) kept(held int64) int64 {
	return min(held, int64(maxKeptShare*float64(m.capacity)))
}

// reserve reserves n more bytes for a request that holds held bytes, and reports whether they fit.
func (m *Memory) reserve(held, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n+m.kept(held+n) > m.capacity {
		m.refused++

		return false
	}
	m.used += n

	return true
}

func (m *Memory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// Hold is what one request holds of a Memory. A nil Hold has no bound. It is safe for concurrent use.
type Hold struct {
	memory *Memory

	mu   sync.Mutex
	size int64
	// closed is set once nothing may be reserved any more.
	closed bool
}

// Hold returns an empty Hold.
func (m *Memory) Hold() *Hold { return &Hold{memory: m} }

// Grow reserves n more bytes, and reports whether they fit.
func (h *Hold) Grow(n int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.memory.reserve(h.size, n) {
		return false
	}
	h.size += n

	return true
}

// Fits reports whether n more bytes would fit now. They are not reserved.
func (h *Hold) Fits(n int64) bool {
	if h == nil {
		return true
	}
	if !h.Grow(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.giveBack(n)

	return true
}

// Release gives back all that is reserved.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.giveBack(h.size)
}

// Close gives back all that is reserved, for good: an attempt that outlives its request and still reads an
// answer would otherwise reserve what nobody gives back.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.giveBack(h.size)
}

// giveBack gives back n bytes. h.mu must be held.
func (h *Hold) giveBack(n int64) {
	h.size -= n
	h.memory.release(n)
}
