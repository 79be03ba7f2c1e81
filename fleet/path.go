package fleet

import (
	"math"
	"slices"

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
	// hall is where the server before is; it is part of the state, since
	// going on in the same hall is cheaper.
	hall slatebridge.HallID
	prev *step
}

// search finds the cheapest path by dynamic programming over the layers: the
// state is the number of layers run and the hall of the last server.
func (f *Fleet) search(q Query, room bool) Path {
	list, model := f.candidates(q)
	if model == nil {
		return nil
	}
	reached := make([][]*step, model.Layers+1)
	reached[0] = []*step{{hall: f.hall}}
	for at := range model.Layers {
		for _, s := range reached[at] {
			f.extend(q, list, at, s, reached, room)
		}
	}

	return f.trace(reached[model.Layers])
}

// extend takes one more server after the step.
func (f *Fleet) extend(q Query, list []candidate, at int, s *step, reached [][]*step, room bool) {
	if s.stages == maxStages {
		return
	}
	for _, c := range list {
		m := c.member
		if m.Layers.From > at || m.Layers.To <= at {
			continue
		}
		if at == 0 && q.First != "" && m.ID != q.First {
			continue
		}
		n := m.Layers.To - at
		if room && !c.fits(q.Tokens*float64(n)) {
			continue
		}
		cost := s.cost + c.cost(n)
		switch {
		case m.Hall == s.hall:
		case at == 0:
			cost += awayCost
		default:
			cost += crossingCost
		}
		reached[m.Layers.To] = keep(reached[m.Layers.To], step{
			cost: cost, via: m, from: at, stages: s.stages + 1, hall: m.Hall, prev: s,
		})
	}
}

// keep adds the step unless one to the same hall is cheaper.
func keep(list []*step, s step) []*step {
	for i, o := range list {
		if o.hall == s.hall {
			if s.cost < o.cost {
				list[i] = &s
			}

			return list
		}
	}

	return append(list, &s)
}

func (f *Fleet) trace(ends []*step) Path {
	var best *step
	least := math.Inf(1)
	for _, s := range ends {
		if s.cost < least {
			best, least = s, s.cost
		}
	}
	if best == nil {
		return nil
	}
	path := make(Path, best.stages)
	for s := best; s.via != nil; s = s.prev {
		path[s.stages-1] = Stage{Server: s.via.Server, Layers: slatebridge.LayerRange{From: s.from, To: s.via.Layers.To}}
	}

	return path
}

// candidate is a server that may be on the path.
type candidate struct {
	member   *member
	used     float64
	capacity float64
	noise    float64
}

func (c candidate) fits(tokenLayers float64) bool {
	return c.used+tokenLayers <= maxFill*c.capacity
}

// cost returns the cost of n layers. A path of empty servers costs about one.
func (c candidate) cost(n int) float64 {
	m := c.member
	share := float64(n) / float64(m.model.Layers)
	fill := 1.0
	if c.capacity > 0 {
		fill = min(1, c.used/c.capacity)
	}

	return share * c.noise * (1 + paceCost*m.card.Pace + fillCost*fill*fill)
}

func (f *Fleet) candidates(q Query) ([]candidate, *catalog.Model) {
	now := f.now()
	var model *catalog.Model
	var list []candidate
	for _, m := range f.service[q.Service] {
		if m.model == nil {
			continue
		}
		model = m.model
		if m.Layers.Len() == 0 || !m.usable(now) || now.Before(m.lacksUntil) {
			continue
		}
		if slices.Contains(q.Avoid, m.ID) {
			continue
		}
		c := candidate{member: m, used: m.load().TokenLayers, capacity: m.capacity(), noise: 1 + spread*(2*f.random()-1)}
		if now.Before(m.fullUntil) {
			c.used = max(c.used, refusedFill*c.capacity)
		}
		list = append(list, c)
	}

	return list, model
}
