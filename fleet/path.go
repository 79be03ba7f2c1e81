package fleet

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Stage is one server of a path and the layers that it runs.
type Stage struct {
	Server catalog.Server
	Layers slatebridge.LayerRange
}

// Path is the servers that run all layers for one request, in order.
type Path []Stage

// Uses reports whether the server is on the path.
func (p Path) Uses(id slatebridge.ServerID) bool {
	return slices.ContainsFunc(p, func(s Stage) bool { return s.Server.ID == id })
}

// String returns the path in the form "a[0,4)>b[4,8)".
func (p Path) String() string {
	stages := make(slatebridge.Pipeline, 0, len(p))
	for _, s := range p {
		stages = append(stages, slatebridge.Stage{Server: s.Server.ID, Layers: s.Layers})
	}

	return stages.String()
}

// Shortage says why no path was found.
type Shortage int

// The reasons for which there may be no path.
const (
	// NoShortage is for paths that were found.
	NoShortage Shortage = iota
	// NoLayers says that some layer is on no server that may be used.
	NoLayers
	// NoMemory says that every layer is there, but without room.
	NoMemory
)

// Query is what a path is looked for.
type Query struct {
	Service string
	// Tokens is the size of the request: its prompt and its answer.
	Tokens float64
	// Avoid are servers that the path must not use.
	Avoid []slatebridge.ServerID
	// First, if set, has to be the first server of the path.
	First slatebridge.ServerID
}

const (
	// maxFill is how full a server's memory for requests is planned. The rest
	// is for answers that grow longer than expected and for work of other
	// boxes that is not known yet.
	maxFill = 0.92
	// refusedFill is how full a server is taken to be at least that has just
	// turned a request away for want of memory.
	refusedFill = 0.88
	// fillCost makes fuller servers dearer, so that servers with the same
	// layers share the work; at the limit a server costs seven times as much.
	fillCost = 6.0
	// crossingCost is what it costs to go from a server of one hall to one of
	// another, in parts of an empty path. Prompts that cross fill the links
	// between halls: measured, 50 crossings a second made every event late.
	crossingCost = 1.5
	// awayCost is what it costs to begin in another hall than the box's; then
	// only text crosses.
	awayCost = 0.2
	// paceCost is the weight of a card's pace: a slow card has more time in a
	// token, but both are far below the pause that is allowed.
	paceCost = 0.01
	// spread is how far random noise moves the cost of a server, so that boxes
	// with the same knowledge do not all choose the same path.
	spread = 0.15
	// maxStages is how many stages a path may have.
	maxStages = 32
)

// Path finds the cheapest path through all layers, and reserves the memory
// that the request needs there.
func (f *Fleet) Path(q Query) (Path, *Hold, Shortage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := f.search(q, true)
	if path == nil {
		if f.search(q, false) == nil {
			return nil, nil, NoLayers
		}

		return nil, nil, NoMemory
	}
	parts := make(map[slatebridge.ServerID]Load, len(path))
	for _, s := range path {
		parts[s.Server.ID] = Load{Requests: 1, TokenLayers: q.Tokens * float64(s.Layers.Len())}
	}

	return path, f.reserve(parts), NoShortage
}

// PathFrom is Path for a path that begins at one of the given servers; an empty
// list stands for any.
func (f *Fleet) PathFrom(q Query, firsts []slatebridge.ServerID) (Path, *Hold, Shortage) {
	if len(firsts) == 0 {
		return f.Path(q)
	}
	short := NoLayers
	for _, q.First = range firsts {
		path, hold, s := f.Path(q)
		if path != nil {
			return path, hold, NoShortage
		}
		short = max(short, s)
	}

	return nil, nil, short
}

// Complete reports whether every layer of the service's model is on some
// server that may be used.
func (f *Fleet) Complete(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.search(Query{Service: service}, false) != nil
}

// step is the cheapest way found to one layer.
type step struct {
	cost   float64
	via    *member
	from   int
	stages int
	// hall is where the last server is; it is part of the state, since going
	// on in the same hall is cheaper.
	hall slatebridge.HallID
	// prev is the step before in the search's list; -1 for the start.
	prev int
}

// pathSearch is a dynamic program over the layers: the state is the number of
// layers run and the hall of the last server.
type pathSearch struct {
	query Query
	list  []candidate
	steps []step
	// reached has the steps that end at each layer.
	reached [][]int
}

// search finds the cheapest path. With room, only servers are used that have
// room for the request.
func (f *Fleet) search(q Query, room bool) Path {
	list, model := f.candidates(q, room)
	if model == nil {
		return nil
	}
	s := pathSearch{query: q, list: list, reached: make([][]int, model.Layers+1)}
	s.keep(0, step{hall: f.hall, prev: -1})
	var covering []candidate
	for at := range model.Layers {
		if len(s.reached[at]) == 0 {
			continue
		}
		covering = s.covering(covering[:0], at)
		for _, i := range s.reached[at] {
			s.extend(at, i, covering)
		}
	}

	return s.trace(model.Layers)
}

// covering appends the servers that can run on from the layer.
func (s *pathSearch) covering(out []candidate, at int) []candidate {
	for _, c := range s.list {
		l := c.member.Layers
		if l.From > at || l.To <= at {
			continue
		}
		if at == 0 && s.query.First != "" && c.member.ID != s.query.First {
			continue
		}
		out = append(out, c)
	}

	return out
}

// extend takes one more server after the step.
func (s *pathSearch) extend(at, i int, covering []candidate) {
	before := s.steps[i]
	if before.stages == maxStages {
		return
	}
	for _, c := range covering {
		m := c.member
		cost := before.cost + c.cost*float64(m.Layers.To-at)
		switch {
		case m.Hall == before.hall:
		case at == 0:
			cost += awayCost
		default:
			cost += crossingCost
		}
		s.keep(m.Layers.To, step{cost: cost, via: m, from: at, stages: before.stages + 1, hall: m.Hall, prev: i})
	}
}

// keep adds a step that ends at the layer, unless one in the same hall is
// cheaper.
func (s *pathSearch) keep(layer int, v step) {
	for _, i := range s.reached[layer] {
		if s.steps[i].hall == v.hall {
			if v.cost < s.steps[i].cost {
				s.steps[i] = v
			}

			return
		}
	}
	s.steps = append(s.steps, v)
	s.reached[layer] = append(s.reached[layer], len(s.steps)-1)
}

func (s *pathSearch) trace(layers int) Path {
	best := -1
	for _, i := range s.reached[layers] {
		if best < 0 || s.steps[i].cost < s.steps[best].cost {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	path := make(Path, s.steps[best].stages)
	for i := best; s.steps[i].via != nil; i = s.steps[i].prev {
		v := s.steps[i]
		path[v.stages-1] = Stage{Server: v.via.Server, Layers: slatebridge.LayerRange{From: v.from, To: v.via.Layers.To}}
	}

	return path
}

// candidate is a server that may be on the path.
type candidate struct {
	member *member
	// cost is that of one layer. A path of empty servers costs about one.
	cost float64
}

// place is what makes two servers stand in for each other.
type place struct {
	layers slatebridge.LayerRange
	hall   slatebridge.HallID
}

// candidates returns the cheapest usable server of each place. With room, only
// servers count that have room for the request.
func (f *Fleet) candidates(q Query, room bool) ([]candidate, *catalog.Model) {
	now := f.now()
	var model *catalog.Model
	var list []candidate
	index := make(map[place]int)
	for _, m := range f.service[q.Service] {
		if m.model == nil {
			continue
		}
		model = m.model
		c, ok := f.candidate(m, q, room, now)
		if !ok {
			continue
		}
		at := place{m.Layers, m.Hall}
		i, known := index[at]
		switch {
		case !known:
			index[at] = len(list)
			list = append(list, c)
		case m.ID == q.First || (c.cost < list[i].cost && list[i].member.ID != q.First):
			list[i] = c
		}
	}

	return list, model
}

// candidate returns the server as a candidate, if it may be used.
func (f *Fleet) candidate(m *member, q Query, room bool, now time.Time) (candidate, bool) {
	if m.Layers.Len() == 0 || !m.usable(now) || now.Before(m.lacksUntil) || slices.Contains(q.Avoid, m.ID) {
		return candidate{}, false
	}
	used, capacity := m.load().TokenLayers, m.capacity()
	if now.Before(m.fullUntil) {
		used = max(used, refusedFill*capacity)
	}
	if room && used+q.Tokens*float64(m.Layers.Len()) > maxFill*capacity {
		return candidate{}, false
	}
	cost := m.layerCost(used, capacity) * (1 + spread*(2*f.random()-1))
	if now.Before(m.slowUntil) {
		cost *= m.slowness
	}

	return candidate{member: m, cost: cost}, true
}

// layerCost returns the cost of one layer, which rises with how full the
// server is.
func (m *member) layerCost(used, capacity float64) float64 {
	fill := 1.0
	if capacity > 0 {
		fill = min(1, used/capacity)
	}

	return (1 + paceCost*m.card.Pace + fillCost*fill*fill) / float64(m.model.Layers)
}
