// Package route chooses the pipeline to which a request is sent or, for a plain service (one
// without a model), the server. Package gateway uses it, with the routing snapshots of the
// controller. Package fleet chooses the servers for the requests that package forward serves.
package route

import (
	"slices"

	"github.com/slatebridge/slatebridge"
)

// Candidate is a layer range on a usable server, with what is known of its load.
type Candidate struct {
	Stage slatebridge.Stage
	Hall  slatebridge.HallID
	// Speed is in layers per millisecond for one token; zero if unknown.
	Speed float64
	// Load is the number of streams: that of the last report, plus those that this box has opened
	// and minus those that it has closed since.
	Load int
	// RecentlyFailed reports whether this box saw the server fail within failureCooldown.
	RecentlyFailed bool
}

// Cost returns how long, in milliseconds, a token would take to pass the candidate with one more
// stream on it.
func (c Candidate) Cost() float64 {
	return float64(c.Load+1) * float64(c.Stage.Layers.Len()) / c.speedOrDefault()
}

// speedOrDefault returns the speed, or 1 if it is unknown.
func (c Candidate) speedOrDefault() float64 {
	if c.Speed <= 0 {
		return 1
	}

	return c.Speed
}

// requirement is what the stages of a pipeline must hold.
type requirement struct {
	model   slatebridge.ModelVersion
	adapter string
	layers  int
}

// chainGraph has the candidates by their first layer. It contains only candidates from which a
// chain reaches the last layer.
type chainGraph struct {
	layers       int
	byFirstLayer map[int][]Candidate
}

func newChainGraph(candidates []Candidate, layers int) chainGraph {
	g := chainGraph{layers: layers, byFirstLayer: make(map[int][]Candidate)}
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return b.Stage.Layers.From - a.Stage.Layers.From
	})
	// In descending order of first layers, the candidates that can follow c are already in the
	// graph.
	for _, c := range candidates {
		to := c.Stage.Layers.To
		if to == layers || len(g.byFirstLayer[to]) > 0 {
			from := c.Stage.Layers.From
			g.byFirstLayer[from] = append(g.byFirstLayer[from], c)
		}
	}

	return g
}

// hasChain reports whether some chain of candidates covers every layer.
func (g chainGraph) hasChain() bool {
	return len(g.byFirstLayer[0]) > 0
}

// build returns a pipeline in which the policy has chosen among the candidates for each stage.
func (g chainGraph) build(policy Policy) slatebridge.Pipeline {
	var p slatebridge.Pipeline
	for layer := 0; layer < g.layers; {
		c := policy(g.byFirstLayer[layer])
		p = append(p, c.Stage)
		layer = c.Stage.Layers.To
	}

	return p
}
