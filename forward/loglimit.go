package forward

import (
	"sync"
	"time"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/repair"
)

// minLogInterval is the minimum interval between two lines of an event with an eventLimiter.
const minLogInterval = time.Second

// eventLimiter limits an event to one line per minLogInterval and counts the occurrences in between.
// The zero value is ready for use.
type eventLimiter struct {
	mu      sync.Mutex
	lastAt  time.Time
	skipped int
}

// next returns the number of occurrences that the next line stands for; zero if there is to be no
// line now.
func (l *eventLimiter) next(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped++
	if now.Sub(l.lastAt) < minLogInterval {
		return 0
	}
	n := l.skipped
	l.lastAt, l.skipped = now, 0

	return n
}

// findingLimiter bounds how often findings about a stream are logged. The zero value is ready for use.
type findingLimiter struct {
	mu    sync.Mutex
	state repair.LogState
}

// due reports whether the finding should be logged now, and if so counts it as logged.
func (l *findingLimiter) due(finding string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due bool
	l.state, due = l.state.WithFinding(finding, clock.Now())

	return due
}
