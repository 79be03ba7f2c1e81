package slatebridge

import "strings"

// Stage is a pipeline stage: a backend server and its layer range.
type Stage struct {
	Server ServerID   `json:"server"`
	URL    string     `json:"url"`
	Layers LayerRange `json:"layers"`
}

// Pipeline is a sequence of stages, in the order in which each token passes through them.
type Pipeline []Stage

// Covers reports whether the pipeline runs each of the layers exactly once and in order.
func (p Pipeline) Covers(layers int) bool {
	ranges := make([]LayerRange, 0, len(p))
	for _, s := range p {
		ranges = append(ranges, s.Layers)
	}

	return CoversExactly(ranges, layers)
}

// Contains reports whether the server has a stage of the pipeline.
func (p Pipeline) Contains(id ServerID) bool {
	for _, s := range p {
		if s.Server == id {
			return true
		}
	}

	return false
}

// String returns the stages, such as "a[0,4)>b[4,8)".
func (p Pipeline) String() string {
	parts := make([]string, 0, len(p))
	for _, s := range p {
		parts = append(parts, string(s.Server)+s.Layers.String())
	}

	return strings.Join(parts, ">")
}
