package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// mostMoves is how many servers of one hall are moved at once.
const mostMoves = 4

// Mend returns servers of halls that lack layers, with the layers they should
// hold instead of their own. Each move leaves fewer layers uncovered in the
// hall than before; of equal moves the one that loads least is taken.
func Mend(m *catalog.Model, servers []Holder) []Holder {
	halls := make(map[slatebridge.HallID][]Holder)
	for _, s := range servers {
		if s.Layers.Len() > 0 {
			halls[s.Hall] = append(halls[s.Hall], s)
		}
	}
	names := slices.Sorted(maps.Keys(halls))
	var out []Holder
	for _, name := range names {
		out = append(out, mendHall(m, halls[name])...)
	}

	return out
}

func mendHall(m *catalog.Model, servers []Holder) []Holder {
	copies := make([]int, m.Layers)
	count := func(r slatebridge.LayerRange, by int) {
		for l := r.From; l < min(r.To, m.Layers); l++ {
			copies[l] += by
		}
	}
	for _, s := range servers {
		count(s.Layers, 1)
	}
	var out []Holder
	moved := make(map[slatebridge.ServerID]bool)
	for len(out) < mostMoves {
		best, found := bestMove(m, copies, servers, moved, count)
		if !found {
			break
		}
		moved[best.ID] = true
		for _, s := range servers {
			if s.ID == best.ID {
				count(s.Layers, -1)
			}
		}
		count(best.Layers, 1)
		out = append(out, best)
	}
	if uncoveredIn(copies) > 0 && len(out) == 0 {
		return shiftHall(m, servers)
	}

	return out
}

// shiftHall shifts all servers of a hall so far that no layer is left out,
// where no single move helps. Servers grow only as far as needed. It returns
// nothing if the hall has no room for all layers.
func shiftHall(m *catalog.Model, servers []Holder) []Holder {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.Layers.From, b.Layers.From), cmp.Compare(a.ID, b.ID))
	})
	for _, keep := range []bool{true, false} {
		for growth := range mostGrowth + 1 {
			if out, whole := shift(m, sorted, growth, keep); whole {
				return out
			}
		}
	}

	return nil
}

// shift goes through the servers in the order of their layers and moves each
// that would leave a gap, or hold nothing new, to the first layer that is left;
// without keep, it moves all of them there.
func shift(m *catalog.Model, servers []Holder, growth int, keep bool) (moves []Holder, whole bool) {
	covered := 0
	for _, s := range servers {
		if covered >= m.Layers {
			break
		}
		r := s.Layers
		if !keep || r.From > covered || r.To <= covered {
			card, _ := m.Card(s.Card)
			n := max(r.Len(), min(r.Len()+growth, layersFor(m, card, mostShare)))
			from := min(covered, m.Layers-n)
			r = slatebridge.LayerRange{From: from, To: from + n}
		}
		covered = r.To
		if r != s.Layers {
			s.Layers = r
			moves = append(moves, s)
		}
	}

	return moves, covered >= m.Layers
}

// mostGrowth is by how many layers a server may grow in one move.
const mostGrowth = 3

// Costs of a move besides the layers that it loads, in layers loaded.
const (
	// growthCost is for each layer that a server holds more: it has less memory
	// for requests from then on.
	growthCost = 1
	// giveUpCost is for each layer that a server gives up: it waits for the
	// streams that pass it before it loads others. Measured: up to 13 s.
	giveUpCost = 3
)

// bestMove returns the move after which fewest layers have no copy, if there
// is one that helps.
func bestMove(m *catalog.Model, copies []int, servers []Holder, moved map[slatebridge.ServerID]bool, count func(slatebridge.LayerRange, int)) (Holder, bool) {
	least, load := uncoveredIn(copies), 0
	var best Holder
	found := false
	for _, s := range servers {
		if moved[s.ID] || least == 0 {
			continue
		}
		card, _ := m.Card(s.Card)
		n := s.Layers.Len()
		most := max(n, min(n+mostGrowth, layersFor(m, card, mostShare)))
		count(s.Layers, -1)
		for _, r := range windows(n, most, len(copies)) {
			count(r, 1)
			left := uncoveredIn(copies)
			count(r, -1)
			cost := newLayers(s.Layers, r) + giveUpCost*newLayers(r, s.Layers) + growthCost*(r.Len()-n)
			if left < least || (found && left == least && cost < load) {
				least, load, found = left, cost, true
				best = s
				best.Layers = r
			}
		}
		count(s.Layers, 1)
	}

	return best, found
}

// windows returns all ranges of n to most layers.
func windows(n, most, layers int) []slatebridge.LayerRange {
	var out []slatebridge.LayerRange
	for size := n; size <= most; size++ {
		for from := 0; from+size <= layers; from++ {
			out = append(out, slatebridge.LayerRange{From: from, To: from + size})
		}
	}

	return out
}

func uncoveredIn(copies []int) int {
	n := 0
	for _, c := range copies {
		if c == 0 {
			n++
		}
	}

	return n
}

// newLayers returns how many layers of to are not in from.
func newLayers(from, to slatebridge.LayerRange) int {
	common := min(from.To, to.To) - max(from.From, to.From)

	return to.Len() - max(0, common)
}
