package place

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// extendIntoGap returns the servers that should fill the first gap by extending their ranges: the
// one below it, the one above it, or both. They keep the layers that they hold, so no stream has to
// leave them. Of all options it takes the one with the most memory for each layer. It returns nil
// if there is none.
func extendIntoGap(m *catalog.Model, replicas []int, servers []Server) []Server {
	from, to := firstGap(replicas)
	if from == to {
		return nil
	}
	var best []Server
	maxMemory := 0.0
	for cut := from; cut <= to; cut++ {
		below, memoryBelow := maxMemoryServer(m, servers, func(r slatebridge.LayerRange) (slatebridge.LayerRange, bool) {
			return slatebridge.LayerRange{From: r.From, To: cut}, r.To == from
		})
		above, memoryAbove := maxMemoryServer(m, servers, func(r slatebridge.LayerRange) (slatebridge.LayerRange, bool) {
			return slatebridge.LayerRange{From: cut, To: r.To}, r.From == to
		})
		switch {
		case cut == to && memoryBelow > maxMemory:
			best, maxMemory = []Server{below}, memoryBelow
		case cut == from && memoryAbove > maxMemory:
			best, maxMemory = []Server{above}, memoryAbove
		case cut > from && cut < to && min(memoryBelow, memoryAbove) > maxMemory:
			best, maxMemory = []Server{below, above}, min(memoryBelow, memoryAbove)
		}
	}

	return best
}

// moveIntoGap returns a server that should fill the first gap instead of its own layers, all of
// which other servers of the hall hold as well. Of several, it takes the one with the most memory
// for each layer. It returns nil if no server can fill the whole gap, since requests cannot use a
// partly filled one.
func moveIntoGap(m *catalog.Model, replicas []int, servers []Server) []Server {
	from, to := firstGap(replicas)
	if from == to {
		return nil
	}
	best, memory := maxMemoryServer(m, servers, func(r slatebridge.LayerRange) (slatebridge.LayerRange, bool) {
		start := min(from, m.Layers-max(r.Len(), to-from))

		return slatebridge.LayerRange{From: start, To: start + max(r.Len(), to-from)}, isRedundant(replicas, r)
	})
	if memory == 0 {
		return nil
	}

	return []Server{best}
}

// isRedundant reports whether each layer of the range has at least two replicas.
func isRedundant(replicas []int, r slatebridge.LayerRange) bool {
	for l := r.From; l < min(r.To, len(replicas)); l++ {
		if replicas[l] < 2 {
			return false
		}
	}

	return true
}

// longestGap returns the largest number of consecutive layers without a replica.
func longestGap(replicas []int) int {
	longest, n := 0, 0
	for _, r := range replicas {
		if n++; r > 0 {
			n = 0
		}
		longest = max(longest, n)
	}

	return longest
}

// firstGap returns the first range [from, to) of consecutive layers without a replica; from equals
// to if there is none.
func firstGap(replicas []int) (from, to int) {
	for from < len(replicas) && replicas[from] > 0 {
		from++
	}
	to = from
	for to < len(replicas) && replicas[to] == 0 {
		to++
	}

	return from, to
}

// maxMemoryServer returns the server that has the most memory for each layer once it holds the
// range given by newRange, together with that memory in MB. The memory is zero if no server can
// hold its new range.
func maxMemoryServer(m *catalog.Model, servers []Server, newRange func(slatebridge.LayerRange) (slatebridge.LayerRange, bool)) (Server, float64) {
	var best Server
	maxMemory := 0.0
	for _, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		r, ok := newRange(s.Layers)
		if !ok || r.Len() > maxExtendedLayersIn(m, servers, accelerator) {
			continue
		}
		if perLayer := accelerator.MemoryMB / float64(r.Len()); perLayer > maxMemory {
			best, maxMemory = s, perLayer
			best.Layers = r
		}
	}

	return best, maxMemory
}
