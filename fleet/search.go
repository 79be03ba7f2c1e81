package fleet

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// step is the cheapest known way to run all layers up to one layer.
type step struct {
	cost   float64
	server catalog.Server
	layers slatebridge.LayerRange
	stages int
	// hall is the hall of the last server. It is part of the search state, since staying in the
	// hall is cheaper.
	hall slatebridge.HallID
	// prev is the index of the previous step; -1 for the start.
	prev int
}

// pathSearch is a dynamic program over the layers. Its state is the number of layers run and the
// hall of the last server.
type pathSearch struct {
	query      Query
	candidates []candidate
	layers     int
	hallLinks  hallLinks
	steps      []step
	// stepsTo lists the indexes of the steps that end at each layer.
	stepsTo [][]int
	// current is the path of a running request under repair, and kept has its stages that may stay,
	// by their first layer.
	current Path
	kept    map[int]Stage
}

// search finds the cheapest path. If needRoom is set, it uses no servers without enough free memory
// for the request or in the backoff after a rejection, and no links between halls in full use.
func (f *Fleet) search(q Query, needRoom bool) Path {
	list, model := f.candidates(q, needRoom)
	if model == nil {
		return nil
	}
	s := newSearch(q, list, model.Layers, f.hallLinks(model, needRoom))
	s.run(f.hall)
	path, _ := s.bestPath()

	return path
}

func newSearch(q Query, list []candidate, layers int, links hallLinks) *pathSearch {
	return &pathSearch{query: q, candidates: list, layers: layers, hallLinks: links, stepsTo: make([][]int, layers+1)}
}

// run computes the steps for a box in the hall.
func (s *pathSearch) run(hall slatebridge.HallID) {
	s.improve(0, step{hall: hall, prev: -1})
	var next []candidate
	for layer := range s.layers {
		if len(s.stepsTo[layer]) == 0 {
			continue
		}
		next = s.candidatesAt(next[:0], layer)
		for _, i := range s.stepsTo[layer] {
			s.extend(layer, i, next)
		}
	}
}

// candidatesAt appends the servers that can run the layer.
func (s *pathSearch) candidatesAt(out []candidate, layer int) []candidate {
	for _, c := range s.candidates {
		if !c.member.hasLayer(layer) {
			continue
		}
		if layer == 0 && s.query.FirstServer != "" && c.member.ID != s.query.FirstServer {
			continue
		}
		out = append(out, c)
	}

	return out
}

// extend adds each possible next stage to the step.
func (s *pathSearch) extend(layer, i int, next []candidate) {
	if s.steps[i].stages == maxStages {
		return
	}
	if k, ok := s.kept[layer]; ok {
		s.addStage(i, k, 0)
	}
	if s.current != nil && layer == 0 {
		// The first stage of a running request can't move.
		return
	}
	for _, c := range next {
		last := c.member.Layers.To
		s.addNewStage(i, c, slatebridge.LayerRange{From: layer, To: last})
		// The stage may also end where a kept stage begins.
		for from := range s.kept {
			if from > layer && from < last {
				s.addNewStage(i, c, slatebridge.LayerRange{From: layer, To: from})
			}
		}
	}
}

// addNewStage adds a stage on a server that does not serve these layers of the request yet.
func (s *pathSearch) addNewStage(i int, c candidate, layers slatebridge.LayerRange) {
	cost := stageCost + c.costPerLayer*float64(layers.Len())
	if layers.From == 0 {
		cost += c.entryCost
	}
	if s.current != nil {
		cost += replacementCost
	}
	s.addStage(i, Stage{Server: c.member.Server, Layers: layers}, cost)
}

// addStage adds a stage with the given cost after the step.
func (s *pathSearch) addStage(i int, v Stage, cost float64) {
	before := s.steps[i]
	cost += before.cost
	switch {
	case v.Server.Hall == before.hall:
	case v.Layers.From == 0:
		cost += remoteEntryCost
	default:
		hopCost, ok := s.hallLinks.cost(before.hall, v.Server.Hall)
		if !ok {
			return
		}
		cost += hopCost
	}
	s.improve(v.Layers.To, step{
		cost: cost, server: v.Server, layers: v.Layers, stages: before.stages + 1, hall: v.Server.Hall, prev: i,
	})
}

// improve records a step that ends at the layer, unless a cheaper one in the same hall exists.
func (s *pathSearch) improve(layer int, v step) {
	for _, i := range s.stepsTo[layer] {
		if s.steps[i].hall == v.hall {
			if v.cost < s.steps[i].cost {
				s.steps[i] = v
			}

			return
		}
	}
	s.steps = append(s.steps, v)
	s.stepsTo[layer] = append(s.stepsTo[layer], len(s.steps)-1)
}

// bestPath returns the cheapest path found and its cost.
func (s *pathSearch) bestPath() (Path, float64) {
	best := -1
	for _, i := range s.stepsTo[s.layers] {
		if best < 0 || s.steps[i].cost < s.steps[best].cost {
			best = i
		}
	}
	if best < 0 {
		return nil, 0
	}
	path := make(Path, s.steps[best].stages)
	for i := best; s.steps[i].prev >= 0; i = s.steps[i].prev {
		v := s.steps[i]
		path[v.stages-1] = Stage{Server: v.server, Layers: v.layers}
	}

	return path, s.steps[best].cost
}
