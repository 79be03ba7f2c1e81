package place

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

const (
	// leastShare and mostShare bound the part of a card's memory that layers
	// take. The rest holds requests. More layers a server make shorter paths, of
	// which a crash hits fewer, and more servers that can stand in. Measured on
	// one day of 99 servers: worth 0.478 with 0.50, 0.529 with 0.62.
	leastShare = 0.62
	mostShare  = 0.85
	// shareStep is the step in which the part is looked for.
	shareStep = 0.01
	// hallCopies is how many copies of the model a hall is given: one, and
	// spare layers to stand in for a server or two. Measured: with 1.4 copies a
	// hall that lost one server had no memory left in the others' copies.
	hallCopies = 1.12
	// leastCopies is how many copies there are in all halls together.
	leastCopies = 2.2
	// otherHalls is the weight of layers that other halls lack, beside those
	// of the server's own hall.
	otherHalls = 0.02
	// uncovered is the need for a layer that no server of the hall holds, as a
	// multiple of the need for one that a usual server holds.
	uncovered = 1000.0
)

// Holder is a server and the layers that it holds or was told to load.
type Holder struct {
	ID     slatebridge.ServerID
	Hall   slatebridge.HallID
	Card   string
	Layers slatebridge.LayerRange
}

// layersFor returns how many layers a card holds that gives them the part of
// its memory.
func layersFor(m *catalog.Model, c catalog.Card, share float64) int {
	if m.LayerMB <= 0 {
		return 0
	}

	return min(int(share*c.MemoryMB/m.LayerMB), m.Layers)
}

// Share returns the part of a card's memory that layers take: the least with
// which every hall that can hold the model holds it.
func Share(m *catalog.Model, servers []Holder) float64 {
	halls := make(map[slatebridge.HallID][]catalog.Card)
	for _, s := range servers {
		if c, ok := m.Card(s.Card); ok {
			halls[s.Hall] = append(halls[s.Hall], c)
		}
	}
	copies := max(hallCopies, leastCopies/float64(max(1, len(halls))))
	share := leastShare
	for _, cards := range halls {
		if layersOf(m, cards, mostShare) < m.Layers {
			continue
		}
		for share < mostShare && float64(layersOf(m, cards, share)) < copies*float64(m.Layers) {
			share += shareStep
		}
	}

	return min(share, mostShare)
}

func layersOf(m *catalog.Model, cards []catalog.Card, share float64) int {
	n := 0
	for _, c := range cards {
		n += layersFor(m, c, share)
	}

	return n
}

// Cover assigns layers to the servers that hold none, so that every hall has
// all layers first, and then most memory for requests where it has least.
// Servers that hold layers keep them. Equal inputs give equal results.
func Cover(m *catalog.Model, servers []Holder) []Holder {
	c := newCoverage(m, servers)
	share := Share(m, servers)
	var empty []Holder
	for _, s := range servers {
		if s.Layers.Len() == 0 {
			empty = append(empty, s)
		}
	}
	slices.SortFunc(empty, func(a, b Holder) int {
		ca, _ := m.Card(a.Card)
		cb, _ := m.Card(b.Card)

		return cmp.Or(cmp.Compare(cb.MemoryMB, ca.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	var out []Holder
	for _, s := range empty {
		card, ok := m.Card(s.Card)
		n := layersFor(m, card, share)
		if !ok || n == 0 {
			continue
		}
		s.Layers = c.best(s.Hall, n)
		c.add(s, 1)
		out = append(out, s)
	}

	return out
}

// coverage is how much memory for requests there is for each layer, in tokens.
type coverage struct {
	model *catalog.Model
	halls map[slatebridge.HallID][]float64
	all   []float64
}

func newCoverage(m *catalog.Model, servers []Holder) *coverage {
	c := &coverage{model: m, halls: make(map[slatebridge.HallID][]float64), all: make([]float64, m.Layers)}
	for _, s := range servers {
		if c.halls[s.Hall] == nil {
			c.halls[s.Hall] = make([]float64, m.Layers)
		}
		c.add(s, 1)
	}

	return c
}

func (c *coverage) add(s Holder, sign float64) {
	n := s.Layers.Len()
	if n <= 0 {
		return
	}
	card, _ := c.model.Card(s.Card)
	tokens := sign * c.model.TokenLayers(card, n) / float64(n)
	for l := s.Layers.From; l < min(s.Layers.To, c.model.Layers); l++ {
		c.halls[s.Hall][l] += tokens
		c.all[l] += tokens
	}
}

// need returns how much a layer is wanted that has the given memory.
func (c *coverage) need(tokens float64) float64 {
	const usual = 60000 // tokens; the smallest stage of a usual hall
	if tokens < 1 {
		return uncovered
	}

	return usual / tokens
}

// best returns the n layers that the hall needs most.
func (c *coverage) best(hall slatebridge.HallID, n int) slatebridge.LayerRange {
	own := c.halls[hall]
	value := make([]float64, c.model.Layers)
	for l := range value {
		value[l] = c.need(own[l]) + otherHalls*c.need(c.all[l])
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

// Lacks reports whether the hall has servers with layers and lacks some layer.
func Lacks(m *catalog.Model, servers []Holder, hall slatebridge.HallID) bool {
	copies := make([]int, m.Layers)
	for _, s := range servers {
		if s.Hall != hall {
			continue
		}
		for l := s.Layers.From; l < min(s.Layers.To, m.Layers); l++ {
			copies[l]++
		}
	}

	return uncoveredIn(copies) > 0
}
