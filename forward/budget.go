package forward

import (
	"sync"
	"time"
)

const (
	// budgetMargin is the part of the retry budget that a box uses. The rest
	// is for boxes that count each other late.
	budgetMargin = 0.7
	// budgetSlots is into how many parts the window is divided.
	budgetSlots = 20
)

// budget bounds what this box sends a second time to the servers of each
// service, over a sliding window.
type budget struct {
	mu       sync.Mutex
	bounds   Bounds
	services map[string]*window
}

// window counts requests and retries in parts of the budget's window.
type window struct {
	at       int64
	requests [budgetSlots]int
	retries  [budgetSlots]int
}

func newBudget(b Bounds) *budget {
	return &budget{bounds: b, services: make(map[string]*window)}
}

// setBounds takes up other bounds.
func (b *budget) setBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.RetryWindow != b.bounds.RetryWindow {
		// The parts have another length now.
		clear(b.services)
	}
	b.bounds = bounds
}

// request counts a request for the service.
func (b *budget) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.at%budgetSlots]++
}

// retry takes one retry out of the budget, if there is one left. boxes is how
// many boxes share the budget.
func (b *budget) retry(service string, boxes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if float64(sum(w.retries)+1) > b.allowed(w, boxes) {
		return false
	}
	w.retries[w.at%budgetSlots]++

	return true
}

func (b *budget) allowed(w *window, boxes int) float64 {
	extra := b.bounds.RetryExtra / float64(max(1, boxes))

	return budgetMargin * (b.bounds.RetryShare*float64(sum(w.requests)) + extra)
}

func (b *budget) window(service string, now time.Time) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	slot := b.bounds.RetryWindow / budgetSlots
	w.advance(now.UnixNano() / max(1, int64(slot)))

	return w
}

// advance empties the parts between the last use and the given one.
func (w *window) advance(at int64) {
	if at-w.at >= budgetSlots || at < w.at {
		*w = window{at: at}

		return
	}
	for w.at < at {
		w.at++
		w.requests[w.at%budgetSlots] = 0
		w.retries[w.at%budgetSlots] = 0
	}
}

func sum(list [budgetSlots]int) int {
	n := 0
	for _, v := range list {
		n += v
	}

	return n
}
