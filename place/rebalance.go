package place

import (
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// minRelocationGain is the share by which a move has to lower the scarcity of a hall. A moved
// server has to load layers, and takes no requests meanwhile.
const minRelocationGain = 0.05

// maxRelocateServers is the largest number of servers in a hall for which relocate searches. The
// search time grows faster than the square of that number and blocks the leader, which delays
// configuration changes.
const maxRelocateServers = 60

// Rebalance returns, for each hall, at most one server with the layers that it should hold instead
// of its own, so that the hall has more memory for its scarcest layers. It trims ranges that leave
// a server less memory for each layer than the hall can give to each, for example because the
// server extended its range after the loss of another server that has since returned. If there is
// none to trim, it moves a server whose layers others hold as well. It skips halls that lack
// layers.
func Rebalance(m *catalog.Model, servers []Server) []Server {
	return planPerHall(m, servers, func(m *catalog.Model, _ slatebridge.LayerRange, hall []Server) []Server {
		if uncoveredLayers(replicasPerLayer(m, hall)) > 0 {
			return nil
		}
		perLayer := memoryPerLayer(m, hall)
		if s, ok := trim(m, hall, perLayer); ok {
			return []Server{s}
		}

		return relocate(m, hall, perLayer)
	})
}

// relocate returns the redundant server whose move to other layers lowers the scarcity of the hall
// the most, or nil if no move lowers it by minRelocationGain.
func relocate(m *catalog.Model, hall []Server, perLayer float64) []Server {
	if len(hall) > maxRelocateServers {
		return nil
	}
	replicas := replicasPerLayer(m, hall)
	minScarcity := scarcity(m, hall) * (1 - minRelocationGain)
	var best []Server
	for i, s := range hall {
		if !isRedundant(replicas, s.Layers) {
			continue
		}
		others := slices.Delete(slices.Clone(hall), i, i+1)
		moved := bestRange(m, s, layerCountFor(m, s, others, perLayer), others, perLayer)
		if sc := scarcity(m, append(others, moved)); sc < minScarcity && moved != s {
			best, minScarcity = []Server{moved}, sc
		}
	}

	return best
}

// trimAll returns the servers of a hall after trimming them one by one until trim finds no further
// gain.
func trimAll(m *catalog.Model, hall []Server, perLayer float64) []Server {
	for range hall {
		s, ok := trim(m, hall, perLayer)
		if !ok {
			break
		}
		hall = applyOrders(hall, []Server{s})
	}

	return hall
}

// trim returns the server that gains the most memory for each layer by giving up layers that other
// servers of the hall hold as well. It considers servers that have less than perLayer MB for each
// of their layers.
func trim(m *catalog.Model, hall []Server, perLayer float64) (Server, bool) {
	if perLayer <= 0 {
		return Server{}, false
	}
	replicas := replicasPerLayer(m, hall)
	best, maxGain := Server{}, 1.0
	for _, s := range hall {
		accelerator, _ := m.Accelerator(s.Accelerator)
		for _, r := range trimOptions(s.Layers, max(1, layersAt(m, accelerator, perLayer)), replicas) {
			if gain := tokensPerLayer(m, accelerator, r) / tokensPerLayer(m, accelerator, s.Layers); gain > maxGain {
				best, maxGain = s, gain
				best.Layers = r
			}
		}
	}

	return best, best.ID != ""
}

// tokensPerLayer returns for how many tokens the accelerator has memory in each layer of the range.
func tokensPerLayer(m *catalog.Model, a catalog.Accelerator, r slatebridge.LayerRange) float64 {
	return m.TokenLayerCapacity(a, r.Len()) / float64(max(1, r.Len()))
}

// trimOptions returns the ranges that are left after removing layers at the low or the high end
// that other servers hold as well. No range becomes shorter than minCount.
func trimOptions(r slatebridge.LayerRange, minCount int, replicas []int) []slatebridge.LayerRange {
	low, high := r, r
	for low.Len() > minCount && replicas[low.From] > 1 {
		low.From++
	}
	for high.Len() > minCount && replicas[high.To-1] > 1 {
		high.To--
	}
	var out []slatebridge.LayerRange
	for _, t := range []slatebridge.LayerRange{low, high} {
		if t != r {
			out = append(out, t)
		}
	}

	return out
}
