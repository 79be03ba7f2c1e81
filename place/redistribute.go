package place

import (
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// sufficientShare bounds how many servers are redistributed. Redistribute stops adding servers once
// each of their layers has this share of the memory for requests that it would have if all servers
// of the hall were redistributed. The others continue to serve.
const sufficientShare = 0.6

// Redistribute returns servers of one hall that lacks layers, with the layers that they should hold
// instead of their own so that the first gap of the hall is filled. It is for halls that Repair
// cannot complete, and picks the first such hall whose layers another hall holds completely. A
// server that gives layers up takes no new streams for them and waits, for seconds, until its open
// streams have left before it loads others. Redistribute therefore changes one hall at a time,
// moves as few servers as suffice (see sufficientShare), and does nothing unless another hall holds
// all of the same layers.
func Redistribute(m *catalog.Model, servers []Server) []Server {
	complete := make(map[slatebridge.LayerRange]bool)
	done := false
	planPerHall(m, servers, func(sub *catalog.Model, r slatebridge.LayerRange, hall []Server) []Server {
		if uncoveredLayers(replicasPerLayer(sub, hall)) == 0 {
			complete[r] = true
		}

		return nil
	})

	return planPerHall(m, servers, func(sub *catalog.Model, r slatebridge.LayerRange, hall []Server) []Server {
		if done || !complete[r] || uncoveredLayers(replicasPerLayer(sub, hall)) == 0 {
			return nil
		}
		done = true

		return redistributeHall(sub, hall)
	})
}

// redistributeHall divides the first gap of the hall, and the layers around it, among the servers
// that hold the layers around it. It returns nil if that would leave too little memory for
// requests: other halls serve more in the meantime, and the lost server may return.
func redistributeHall(m *catalog.Model, hall []Server) []Server {
	from, to := firstGap(replicasPerLayer(m, hall))
	maxPerLayer, _ := maxMemoryPerLayer(m, serverRuns(m, hall), m.Layers, 1)
	var window, best []Server
	spare := 0.0
	for from > 0 || to < m.Layers {
		below, okBelow := maxServer(hall, func(r slatebridge.LayerRange) int { return layersBefore(r, from) })
		above, okAbove := maxServer(hall, func(r slatebridge.LayerRange) int { return layersFrom(r, to) })
		if okBelow {
			window, from = append([]Server{below}, window...), below.Layers.From
		}
		if okAbove {
			window, to = append(window, above), above.Layers.To
		}
		if !okBelow && !okAbove {
			break
		}
		r := slatebridge.LayerRange{From: from, To: to}
		perLayer, ok := maxMemoryPerLayer(m, serverRuns(m, window), r.Len(), 1)
		if !ok || (perLayer*maxExtendedShare < m.LayerMB && !isExactFit(m, hall)) || perLayer-m.LayerMB <= spare {
			continue
		}
		spare = perLayer - m.LayerMB
		best, _ = layOutRange(m, window, r, 1)
		if spare >= sufficientShare*(maxPerLayer-m.LayerMB) {
			break
		}
	}

	return slices.DeleteFunc(best, func(s Server) bool { return slices.Contains(hall, s) })
}

// maxServer returns the server whose range has the largest measure, and whether that is above zero.
func maxServer(hall []Server, measure func(slatebridge.LayerRange) int) (Server, bool) {
	var best Server
	maxCount := 0
	for _, s := range hall {
		if n := measure(s.Layers); n > maxCount {
			best, maxCount = s, n
		}
	}

	return best, maxCount > 0
}

// layersBefore returns how many layers of the range lie below the given layer; zero if there are
// layers between the end of the range and that layer.
func layersBefore(r slatebridge.LayerRange, layer int) int {
	if r.To < layer {
		return 0
	}

	return max(0, layer-r.From)
}

// layersFrom returns how many layers of the range lie at or above the given layer; zero if the
// range starts above it.
func layersFrom(r slatebridge.LayerRange, layer int) int {
	if r.From > layer {
		return 0
	}

	return max(0, r.To-layer)
}
