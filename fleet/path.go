package fleet

import (
	"cmp"
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

// String returns the reason as logs show it.
func (s Shortage) String() string {
	return [...]string{"none", "some layers are on no server", "no memory left"}[s]
}

// Query is what a path is looked for.
type Query struct {
	Service string
	// Tokens is the size of the request: its prompt and its answer.
	Tokens float64
	// Avoid are servers that the path must not use.
	Avoid []slatebridge.ServerID
	// First, if set, has to be the first server of the path.
	First slatebridge.ServerID
	// noise is how far random noise moves the cost of a server; zero stands for
	// spread.
	noise float64
}

const (
	// maxFill is how full a server's memory for requests is planned. The rest
	// is for answers that grow longer than expected and for work of other
	// boxes that is not known yet.
	maxFill = 0.92
	// fillCost makes fuller servers dearer, so that servers with the same
	// layers share the work; at the limit a server costs seven times as much.
	fillCost = 6.0
	// slotCost is what it costs to begin at a server all of whose slots are
	// taken. Beyond that requests wait: measured, 1.4 s at a server that was the
	// first of 80 paths a second.
	slotCost = 4.0
	// mostFill bounds how full a server is taken to be for its cost.
	mostFill = 2.0
	// awayCost is what it costs to begin in another hall than the box's; then
	// only text crosses, but what other halls do there is known late. Measured
	// with 0.2: after a start, all halls chose the same servers of one.
	awayCost = 0.6
	// paceCost is the weight of a card's pace. Streams on fast cards end sooner,
	// and fewer are hit by a failure. Measured on one day: worth 0.529 with 0.01,
	// 0.553 with 0.08.
	paceCost = 0.08
	// brokenFactor makes a server dearer to which a connection just broke. Any
	// other server of its layers is better.
	brokenFactor = 4.0
	// stageCost is what each stage costs: a path of fewer servers is hit by
	// fewer failures, and each token makes fewer hops. A path has 10 to 20.
	stageCost = 0.04
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

	return path, f.reserve(path, q), NoShortage
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
	via    catalog.Server
	layers slatebridge.LayerRange
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
	query     Query
	list      []candidate
	layers    int
	crossings crossings
	steps     []step
	// reached has the steps that end at each layer.
	reached [][]int
	// present is the path of a running request that is to be changed, and kept
	// its stages that may stay, by their first layer.
	present Path
	kept    map[int]Stage
}

// search finds the cheapest path. With room, only servers are used that have
// room for the request.
func (f *Fleet) search(q Query, room bool) Path {
	list, model := f.candidates(q, room)
	if model == nil {
		return nil
	}
	s := newSearch(q, list, model.Layers, f.crossings(model, room))
	s.run(f.hall)
	path, _ := s.trace()

	return path
}

func newSearch(q Query, list []candidate, layers int, c crossings) *pathSearch {
	return &pathSearch{query: q, list: list, layers: layers, crossings: c, reached: make([][]int, layers+1)}
}

// run fills in the steps, for a box in the hall.
func (s *pathSearch) run(hall slatebridge.HallID) {
	s.keep(0, step{hall: hall, prev: -1})
	var covering []candidate
	for at := range s.layers {
		if len(s.reached[at]) == 0 {
			continue
		}
		covering = s.covering(covering[:0], at)
		for _, i := range s.reached[at] {
			s.extend(at, i, covering)
		}
	}
}

// covering appends the servers that can run on from the layer.
func (s *pathSearch) covering(out []candidate, at int) []candidate {
	for _, c := range s.list {
		if !c.member.holds(at) {
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
	if s.steps[i].stages == maxStages {
		return
	}
	if k, ok := s.kept[at]; ok {
		s.add(i, k, 0)
	}
	if s.present != nil && at == 0 {
		// A running request goes on at its first server.
		return
	}
	for _, c := range covering {
		last := c.member.Layers.To
		s.addNew(i, c, slatebridge.LayerRange{From: at, To: last})
		// It may also end where a stage begins that stays.
		for from := range s.kept {
			if from > at && from < last {
				s.addNew(i, c, slatebridge.LayerRange{From: at, To: from})
			}
		}
	}
}

// addNew adds a stage of a server that does not have it yet.
func (s *pathSearch) addNew(i int, c candidate, layers slatebridge.LayerRange) {
	cost := stageCost + c.cost*float64(layers.Len())
	if layers.From == 0 {
		cost += c.firstCost
	}
	if s.present != nil {
		cost += changeCost
	}
	s.add(i, Stage{Server: c.member.Server, Layers: layers}, cost)
}

// add adds a stage of the cost after the step.
func (s *pathSearch) add(i int, v Stage, cost float64) {
	before := s.steps[i]
	cost += before.cost
	switch {
	case v.Server.Hall == before.hall:
	case v.Layers.From == 0:
		cost += awayCost
	default:
		crossing, ok := s.crossings.cost(before.hall, v.Server.Hall)
		if !ok {
			return
		}
		cost += crossing
	}
	s.keep(v.Layers.To, step{
		cost: cost, via: v.Server, layers: v.Layers, stages: before.stages + 1, hall: v.Server.Hall, prev: i,
	})
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

// trace returns the cheapest path found, and its cost.
func (s *pathSearch) trace() (Path, float64) {
	best := -1
	for _, i := range s.reached[s.layers] {
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
		path[v.stages-1] = Stage{Server: v.via, Layers: v.layers}
	}

	return path, s.steps[best].cost
}

// candidate is a server that may be on the path.
type candidate struct {
	member *member
	// cost is that of one layer. A path of empty servers costs about one.
	cost float64
	// firstCost is what it costs to begin there.
	firstCost float64
}

// total returns the cost of all layers of the candidate.
func (c candidate) total() float64 {
	cost := c.cost * float64(c.member.Layers.Len())
	if c.member.Layers.From == 0 {
		cost += c.firstCost
	}

	return cost
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
		case m.ID == q.First || (c.total() < list[i].total() && list[i].member.ID != q.First):
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
	if room && now.Before(m.fullUntil) {
		return candidate{}, false
	}
	used, capacity := m.load().TokenLayers, m.capacity()
	if room && used+q.Tokens*float64(m.Layers.Len()) > maxFill*capacity {
		return candidate{}, false
	}
	expected := m.expected(f.others, now)
	used = max(used, expected.TokenLayers)
	cost := m.layerCost(used, capacity) * (1 + f.noise(q, now)*(2*f.random()-1))
	if now.Before(m.slowUntil) {
		cost *= m.slowness
	}
	if now.Before(m.brokenUntil) {
		cost *= brokenFactor
	}

	return candidate{member: m, cost: cost, firstCost: m.firstCost(expected)}, true
}

// youngTime is for how long a box that has started may not know what others do.
const youngTime = 2 * time.Second

// noise returns how far random noise moves the cost of servers. Boxes that
// start together know nothing of each other, and must not all choose the same
// servers. Measured with 59 boxes and the usual noise: 1,097 requests of the
// first second were turned away 1,047 times; with this noise and the rules for
// refusals and retries of such boxes, 1,051 requests 424 times.
func (f *Fleet) noise(q Query, now time.Time) float64 {
	if now.Sub(f.began) < youngTime {
		return repairNoise
	}

	return cmp.Or(q.noise, spread)
}

// firstCost returns what it costs to begin a path at the server, which rises
// with how many of its slots are taken.
func (m *member) firstCost(l Load) float64 {
	if m.Slots <= 0 {
		return 0
	}
	taken := min(mostFill, l.First/float64(m.Slots))

	return slotCost * taken * taken
}

// layerCost returns the cost of one layer, which rises with how full the
// server is.
func (m *member) layerCost(used, capacity float64) float64 {
	fill := 1.0
	if capacity > 0 {
		fill = min(mostFill, used/capacity)
	}

	return (1 + paceCost*m.card.Pace + fillCost*fill*fill) / float64(m.model.Layers)
}
