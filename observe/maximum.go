package observe

import (
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/clock"
)

// Maximum keeps the largest of the values recorded within the last one to two spans. It is safe for
// concurrent use.
type Maximum struct {
	span time.Duration

	mu sync.Mutex
	// current is the largest value since start, and previous that of the span before.
	current, previous int64
	start             time.Time
}

// NewMaximum returns a Maximum without values.
func NewMaximum(span time.Duration) *Maximum { return &Maximum{span: span, start: clock.Now()} }

// Record adds a value.
func (m *Maximum) Record(v int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	m.current = max(m.current, v)
}

// Value returns the largest value; zero if there is none.
func (m *Maximum) Value() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()

	return max(m.current, m.previous)
}

// rotate begins a new span if the current one is over. m.mu must be held.
func (m *Maximum) rotate() {
	now := clock.Now()
	age := now.Sub(m.start)
	if age < m.span {
		return
	}
	m.previous = m.current
	if age >= 2*m.span {
		m.previous = 0
	}
	m.current, m.start = 0, now
}
