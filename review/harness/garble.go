package main

import (
	"sync"
	"time"
)

// garble spoils a share of the answers of a faulty server for a time. It breaks off answers of runs, and
// sends answers to requests without an ID once more. A nil garble spoils nothing.
type garble struct {
	share float64
	until time.Time
	log   func(format string, args ...any)

	mu      sync.Mutex
	answers int
	broken  int
	extras  int
}

// breaksOff counts an answer of a run, and reports whether it is broken off. After that, the next one to be
// spoiled is sent once more.
func (g *garble) breaksOff() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers++
	// The one that is to follow counts too.
	if g.broken > g.extras || !g.within(2) {
		return false
	}
	g.broken++

	return true
}

// repeats counts an answer to a request without an ID, and reports whether it is sent once more.
func (g *garble) repeats() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers++
	if !g.within(1) {
		return false
	}
	g.extras++

	return true
}

// within reports whether n more answers may be spoiled.
func (g *garble) within(n int) bool {
	return time.Now().Before(g.until) && float64(g.broken+g.extras+n) <= g.share*float64(g.answers)
}
