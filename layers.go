package slatebridge

import "fmt"

// LayerRange is the half-open range [From, To) of model layers that a backend server holds. Layers
// are numbered from zero.
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int {
	return r.To - r.From
}

// String returns the range in the form "[from,to)".
func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.From, r.To)
}

// CoversExactly reports whether the ranges, in the given order, cover each of the layers 0 to
// layers-1 exactly once.
func CoversExactly(ranges []LayerRange, layers int) bool {
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To <= r.From {
			return false
		}
		next = r.To
	}

	return next == layers
}
