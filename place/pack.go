package place

import (
	"math"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// maxPackServers bounds the search of packExact, since each further server multiplies the number of
// combinations by the number of accelerator kinds.
const maxPackServers = 10

// packExact assigns the missing layers of a hall to its empty servers so that every layer is
// covered, and returns the servers it used. It returns nil if that is impossible, if no layer is
// missing, or if there are more than maxPackServers empty servers. In a hall whose accelerators
// hold the model just once, each server has to fill a gap as long as its capacity: a greedy
// assignment by size leaves short gaps, and no server has room for them beside its other layers.
func packExact(m *catalog.Model, hall, empty []Server) []Server {
	if len(empty) > maxPackServers {
		return nil
	}
	replicas := replicasPerLayer(m, hall)
	if uncoveredLayers(replicas) == 0 {
		return nil
	}

	return packGaps(m, replicas, sortedByMemory(m, empty))
}

// packGaps assigns the first gap, or its start, to one of the empty servers, and the remaining gaps
// to the others.
func packGaps(m *catalog.Model, replicas []int, empty []Server) []Server {
	from, to := firstGap(replicas)
	tried := make(map[string]bool)
	for i, s := range empty {
		if tried[s.Accelerator] {
			continue
		}
		tried[s.Accelerator] = true
		accelerator, _ := m.Accelerator(s.Accelerator)
		s.Layers = slatebridge.LayerRange{From: from, To: min(to, from+maxLayers(m, accelerator))}
		if s.Layers.Len() == 0 {
			continue
		}
		covered := slices.Clone(replicas)
		for l := s.Layers.From; l < s.Layers.To; l++ {
			covered[l]++
		}
		if uncoveredLayers(covered) == 0 {
			return []Server{s}
		}
		if rest := packGaps(m, covered, slices.Delete(slices.Clone(empty), i, i+1)); rest != nil {
			return append(rest, s)
		}
	}

	return nil
}

// bestFitGap assigns the server to one gap of the hall, or to the start of it if the gap is longer
// than the server's capacity. It chooses the gap that leaves the least capacity, counted in layers,
// unused on this server and on those that will fill the rest of the gap; with a tie, the gap with
// the smallest rest. Servers return one by one, so the rest of a gap has to fit the servers that
// are still missing. It returns false if the hall lacks no layers or the server can hold none.
func bestFitGap(m *catalog.Model, hall []Server, s Server) (Server, bool) {
	accelerator, _ := m.Accelerator(s.Accelerator)
	capacity := maxLayers(m, accelerator)
	replicas := replicasPerLayer(m, hall)
	var best slatebridge.LayerRange
	minWaste, minRest := math.MaxInt, math.MaxInt
	for from := 0; from < len(replicas); from++ {
		to := from
		for to < len(replicas) && replicas[to] == 0 {
			to++
		}
		if to == from {
			continue
		}
		rest := max(0, to-from-capacity)
		waste := max(0, capacity-(to-from)) + minUnusedCapacity(m, rest)
		if waste < minWaste || (waste == minWaste && rest < minRest) {
			best = slatebridge.LayerRange{From: from, To: min(to, from+capacity)}
			minWaste, minRest = waste, rest
		}
		from = to
	}
	s.Layers = best

	return s, best.Len() > 0
}

// minUnusedCapacity returns the least capacity, in layers, that is left over by a set of
// accelerators that can hold the given number of layers.
func minUnusedCapacity(m *catalog.Model, layers int) int {
	// fits[n] reports whether some set of accelerators has room for exactly n layers. From
	// n = layers+m.Layers+1 on, every entry is set to true, so that the loop ends.
	fits := []bool{true}
	for n := 1; ; n++ {
		if fits[n-1] && n-1 >= layers {
			return n - 1 - layers
		}
		fit := n > layers+m.Layers
		for _, acc := range m.Accelerators {
			if capacity := maxLayers(m, acc); capacity > 0 && capacity <= n && fits[n-capacity] {
				fit = true
			}
		}
		fits = append(fits, fit)
	}
}
