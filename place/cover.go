package place

import (
	"maps"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

const (
	// otherHalls is the weight of layers that other halls lack, beside those
	// of the server's own hall.
	otherHalls = 0.02
	// uncovered is the need for a layer that no server of the hall holds, as a
	// multiple of the need for one that has the usual memory.
	uncovered = 1000.0
)

// Holder is a server and the layers that it holds or was told to load.
type Holder struct {
	ID     slatebridge.ServerID
	Hall   slatebridge.HallID
	Card   string
	Layers slatebridge.LayerRange
}

// Cover assigns layers to the servers that hold none. Where no server of a hall
// holds any, the hall gets whole copies of the model; elsewhere each server gets
// the layers that its hall lacks, or has least memory for. Servers that hold
// layers keep them. Equal inputs give equal results.
func Cover(m *catalog.Model, servers []Holder) []Holder {
	if !slices.ContainsFunc(servers, isEmpty) {
		return nil
	}
	var out []Holder
	groups := homes(m, servers)
	for _, group := range groups {
		if !slices.ContainsFunc(group, func(s Holder) bool { return !isEmpty(s) }) {
			out = append(out, tileAll(m, group, copiesOf(m, group, len(groups)))...)
		}
	}
	c := newCoverage(m, servers, out)

	return append(out, c.fillAll()...)
}

func isEmpty(s Holder) bool { return s.Layers.Len() == 0 }

// leastCopies is how many copies of the model there are in all, where there is
// memory for them: with one, any lost server would stop all requests.
const leastCopies = 2

// copiesOf returns how many copies of the model one of so many groups of servers
// is to hold.
func copiesOf(m *catalog.Model, group []Holder, groups int) int {
	n := Copies(m, group)
	if least := (leastCopies + groups - 1) / groups; n < least && n > 0 && len(tileAll(m, group, least)) > 0 {
		return least
	}

	return n
}

// homes divides the servers of known cards into groups that each hold the model:
// the halls that can alone, and all others together.
func homes(m *catalog.Model, servers []Holder) [][]Holder {
	halls := make(map[slatebridge.HallID][]Holder)
	for _, s := range servers {
		if _, ok := m.Card(s.Card); ok {
			halls[s.Hall] = append(halls[s.Hall], s)
		}
	}
	var out [][]Holder
	var rest []Holder
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		if Copies(m, halls[hall]) > 0 {
			out = append(out, halls[hall])
		} else {
			rest = append(rest, halls[hall]...)
		}
	}

	if len(rest) > 0 {
		out = append(out, rest)
	}

	return out
}

// coverage is how much memory for requests there is for each layer, in tokens.
type coverage struct {
	model *catalog.Model
	halls map[slatebridge.HallID][]float64
	all   []float64
	// copies is how many servers of each hall hold each layer.
	copies map[slatebridge.HallID][]int
	// perLayer is the memory, in MB, that each layer of a hall is to have, and
	// empty are the servers that hold no layers.
	perLayer map[slatebridge.HallID]float64
	empty    []Holder
}

// newCoverage returns the coverage of the servers once those of the orders hold
// their layers.
func newCoverage(m *catalog.Model, servers, orders []Holder) *coverage {
	c := &coverage{
		model: m, all: make([]float64, m.Layers),
		halls: make(map[slatebridge.HallID][]float64), copies: make(map[slatebridge.HallID][]int),
		perLayer: make(map[slatebridge.HallID]float64),
	}
	ordered := make(map[slatebridge.ServerID]Holder, len(orders))
	for _, o := range orders {
		ordered[o.ID] = o
	}
	halls := make(map[slatebridge.HallID][]Holder)
	for _, s := range servers {
		if o, ok := ordered[s.ID]; ok {
			s = o
		}
		if _, ok := m.Card(s.Card); !ok {
			continue
		}
		halls[s.Hall] = append(halls[s.Hall], s)
		if s.Layers.Len() == 0 {
			c.empty = append(c.empty, s)
		}
	}
	for hall, list := range halls {
		c.halls[hall], c.copies[hall] = make([]float64, m.Layers), make([]int, m.Layers)
		for _, s := range list {
			c.add(s)
		}
		c.perLayer[hall], _ = level(m, list, max(1, Copies(m, list)))
	}

	return c
}

func (c *coverage) add(s Holder) {
	n := s.Layers.Len()
	if n <= 0 {
		return
	}
	card, _ := c.model.Card(s.Card)
	tokens := c.model.TokenLayers(card, n) / float64(n)
	for l := s.Layers.From; l < min(s.Layers.To, c.model.Layers); l++ {
		c.halls[s.Hall][l] += tokens
		c.all[l] += tokens
		c.copies[s.Hall][l]++
	}
}

// fillAll assigns layers to the servers that hold none, the largest first.
func (c *coverage) fillAll() []Holder {
	var out []Holder
	for _, s := range bySize(c.model, c.empty) {
		if n := c.sizeFor(s); n > 0 {
			s.Layers = c.best(s.Hall, n)
			c.add(s)
			out = append(out, s)
		}
	}

	return out
}

// sizeFor returns how many layers the server is to hold: as many as give each
// the usual memory, or as many in a row as its hall lacks.
func (c *coverage) sizeFor(s Holder) int {
	card, _ := c.model.Card(s.Card)
	most := mostLayers(c.model, card)
	n := most
	if perLayer := c.perLayer[s.Hall]; perLayer > 0 {
		n = max(1, layersAt(c.model, card, perLayer))
	}

	return min(most, max(n, longestRun(c.copies[s.Hall])))
}

// best returns the n layers that the hall needs most.
func (c *coverage) best(hall slatebridge.HallID, n int) slatebridge.LayerRange {
	own, usual := c.halls[hall], mean(c.all)
	value := make([]float64, c.model.Layers)
	for l := range value {
		value[l] = need(own[l], usual) + otherHalls*need(c.all[l], usual)
	}
	sum := 0.0
	for l := range n {
		sum += value[l]
	}
	best, from := sum, 0
	for l := 1; l+n <= c.model.Layers; l++ {
		sum += value[l+n-1] - value[l-1]
		if sum > best*(1+1e-9) {
			best, from = sum, l
		}
	}

	return slatebridge.LayerRange{From: from, To: from + n}
}

// need returns how much a layer is wanted that has the given memory, where so
// much is usual.
func need(tokens, usual float64) float64 {
	if tokens < 1 {
		return uncovered
	}

	return usual / tokens
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}

	return sum / float64(max(1, len(list)))
}

// Lacks reports whether the hall has servers with layers and lacks some layer.
func Lacks(m *catalog.Model, servers []Holder, hall slatebridge.HallID) bool {
	var own []Holder
	for _, s := range servers {
		if s.Hall == hall {
			own = append(own, s)
		}
	}

	return uncoveredIn(copiesIn(m, own)) > 0
}
