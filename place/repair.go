package place

import (
	"maps"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Repair returns servers of halls that lack layers, with the layers that they should hold so that
// fewer are missing. A server gives up only layers that another server of the hall holds as well,
// so no stream loses the last server for a layer there.
func Repair(m *catalog.Model, servers []Server) []Server {
	return planPerHall(m, servers, func(m *catalog.Model, _ slatebridge.LayerRange, hall []Server) []Server {
		replicas := replicasPerLayer(m, hall)
		if out := extendIntoGap(m, replicas, hall); len(out) > 0 {
			return out
		}

		return moveIntoGap(m, replicas, hall)
	})
}

// EstimateLoadTime returns how long the servers take to load the layers of their orders that they
// do not hold yet, if ParallelLoads of them load at the same time.
func EstimateLoadTime(m *catalog.Model, servers, orders []Server) time.Duration {
	held := make(map[slatebridge.ServerID]slatebridge.LayerRange, len(servers))
	for _, s := range servers {
		held[s.ID] = s.Layers
	}
	sum, maxCount := 0, 0
	for _, o := range orders {
		n := addedLayers(held[o.ID], o.Layers)
		sum += n
		maxCount = max(maxCount, n)
	}
	sequential := max(float64(maxCount), float64(sum)/float64(max(1, m.ParallelLoads)))

	return time.Duration(sequential / float64(max(1, m.Layers)) * float64(m.LoadTime))
}

// addedLayers returns how many layers of to are not in from.
func addedLayers(from, to slatebridge.LayerRange) int {
	common := min(from.To, to.To) - max(from.From, to.From)

	return to.Len() - max(0, common)
}

// planPerHall calls plan for each hall with its servers that hold layers, and returns all results.
// The plan gets the range of layers that the hall should hold and a model of these layers alone;
// the ranges of the servers are relative to it.
func planPerHall(m *catalog.Model, servers []Server, plan func(m *catalog.Model, r slatebridge.LayerRange, inHall []Server) []Server) []Server {
	ranges := hallRanges(m, servers)
	byHall := make(map[slatebridge.HallID][]Server)
	for _, s := range servers {
		if !isEmpty(s) {
			byHall[s.Hall] = append(byHall[s.Hall], s)
		}
	}
	var out []Server
	for _, hall := range slices.Sorted(maps.Keys(byHall)) {
		r := hallRange(m, ranges, hall)
		out = append(out, globalize(plan(subModel(m, r), r, localize(byHall[hall], r)), r)...)
	}

	return out
}

// replicasPerLayer returns, for each layer, how many of the servers hold it.
func replicasPerLayer(m *catalog.Model, servers []Server) []int {
	replicas := make([]int, m.Layers)
	for _, s := range servers {
		for l := s.Layers.From; l < min(s.Layers.To, m.Layers); l++ {
			replicas[l]++
		}
	}

	return replicas
}

func uncoveredLayers(replicas []int) int {
	n := 0
	for _, r := range replicas {
		if r == 0 {
			n++
		}
	}

	return n
}
