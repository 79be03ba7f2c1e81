package stream

import "sync"

// Budget bounds the retries of a box to a share of its requests, so that
// retries cannot keep an overload going. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	limit  float64
	credit float64
}

// NewBudget returns a budget that allows share retries a request, saved up to
// the limit. It starts full.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, credit: limit}
}

// Request adds the share that one request brings.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, b.limit)
}

// Retry takes one retry out of the budget and reports whether it was there.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--

	return true
}
