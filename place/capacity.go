package place

import (
	"math"
	"slices"

	"github.com/slatebridge/slatebridge/catalog"
)

// serverRun is a number of consecutive servers whose accelerators have the same memory.
//
// How many layers an accelerator can hold depends on its memory alone, and a hall of hundreds of
// servers has a few kinds of accelerators. Computing with runs instead of servers makes it cheap to
// find how many replicas fit.
type serverRun struct {
	// memoryMB is the memory of each accelerator.
	memoryMB float64
	// maxLayers is how many layers each accelerator may hold.
	maxLayers int
	count     int
}

// singleRun returns a run of one server with the accelerator.
func singleRun(m *catalog.Model, a catalog.Accelerator) serverRun {
	return serverRun{memoryMB: a.MemoryMB, maxLayers: maxLayers(m, a), count: 1}
}

// layersAt returns how many layers each accelerator holds if it gives perLayer MB to each of them.
func (r serverRun) layersAt(perLayer float64) int {
	return min(int(r.memoryMB/perLayer), r.maxLayers)
}

// serverRuns returns the servers as runs, in the same order.
func serverRuns(m *catalog.Model, servers []Server) []serverRun {
	var runs []serverRun
	for _, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		runs = appendRun(runs, singleRun(m, accelerator))
	}

	return runs
}

// appendRun appends the run, merging it with the last one if their memory is equal.
func appendRun(runs []serverRun, r serverRun) []serverRun {
	if last := len(runs) - 1; last >= 0 && runs[last].memoryMB == r.memoryMB {
		runs[last].count += r.count

		return runs
	}

	return append(runs, r)
}

func serverCount(runs []serverRun) int {
	n := 0
	for _, r := range runs {
		n += r.count
	}

	return n
}

// divideRuns is divideServers for the runs of servers sorted by sortedBySpeed: it returns n groups
// of about equal memory, each sorted by ascending accelerator memory.
func divideRuns(sorted []serverRun, n int) [][]serverRun {
	total := 0.0
	for _, r := range sorted {
		total += float64(r.count) * r.memoryMB
	}
	groups := make([][]serverRun, n)
	before := 0.0
	for _, r := range sorted {
		one := serverRun{memoryMB: r.memoryMB, maxLayers: r.maxLayers, count: 1}
		for range r.count {
			i := groupIndex(before, r.memoryMB, total, n)
			groups[i] = insertRun(groups[i], one)
			before += r.memoryMB
		}
	}

	return groups
}

// insertRun inserts the run into runs sorted by memory, merging it with one of equal memory.
func insertRun(runs []serverRun, r serverRun) []serverRun {
	i, found := slices.BinarySearchFunc(runs, r.memoryMB, func(r serverRun, memory float64) int {
		switch {
		case r.memoryMB < memory:
			return -1
		case r.memoryMB > memory:
			return 1
		default:
			return 0
		}
	})
	if found {
		runs[i].count += r.count

		return runs
	}

	return slices.Insert(runs, i, r)
}

// requiredFirstStageSize returns how many of the servers have to be in the first stage of a
// replica, where all hold its first layers. A server there receives a limited number of requests at
// once. If the slots of the first stage run out before the memory of the replica does, requests
// wait for a slot, and their first tokens arrive about a second late.
func requiredFirstStageSize(m *catalog.Model, runs []serverRun) int {
	perLayer, ok := maxMemoryPerLayer(m, runs, m.Layers, 1)
	if !ok || m.Slots <= 0 {
		return 1
	}
	needed := int(math.Ceil(requestCapacity(m, perLayer) / float64(m.Slots)))

	// Leave servers for the later layers.
	return max(1, min(needed, serverCount(runs)/2))
}

// firstStageLayers returns how many layers each server of the first stage holds if together they
// give perLayer MB to each layer. The first stage consists of the first servers of the runs, and
// all hold the same layers. perLayer counts the weights of a layer once; the copies on the other
// servers of the first stage come on top.
func firstStageLayers(m *catalog.Model, runs []serverRun, perLayer float64, firstStageSize int) int {
	memory, maxCount, left := 0.0, m.Layers, firstStageSize
	for _, r := range runs {
		n := min(left, r.count)
		if n == 0 {
			break
		}
		memory += float64(n) * r.memoryMB
		maxCount = min(maxCount, r.maxLayers)
		left -= n
	}

	return min(maxCount, int(memory/(perLayer+float64(firstStageSize-1)*m.LayerMB)))
}

// layerCountsAt returns how many layers each server of the runs holds if together they give
// perLayer MB to each layer, with a first stage of the given size.
func layerCountsAt(m *catalog.Model, runs []serverRun, perLayer float64, firstStageSize int) []int {
	var counts []int
	for _, r := range runs {
		layers := r.layersAt(perLayer)
		for range r.count {
			counts = append(counts, layers)
		}
	}
	if firstStageSize > 1 {
		n := firstStageLayers(m, runs, perLayer, firstStageSize)
		for i := range firstStageSize {
			counts[i] = n
		}
	}

	return counts
}

// coveredAt returns how many consecutive layers the servers cover with the counts of layerCountsAt.
func coveredAt(m *catalog.Model, runs []serverRun, perLayer float64, firstStageSize int) int {
	n, firstStageLeft := 0, 0
	if firstStageSize > 1 {
		n, firstStageLeft = firstStageLayers(m, runs, perLayer, firstStageSize), firstStageSize
	}
	for _, r := range runs {
		others := r.count - min(firstStageLeft, r.count)
		firstStageLeft -= r.count - others
		n += others * r.layersAt(perLayer)
	}

	return n
}

// replicaMemoryPerLayer returns the largest memory, in MB, that the servers can give to each layer
// while they hold the given number of replicas. It returns false if they cannot hold that many.
func replicaMemoryPerLayer(m *catalog.Model, servers []Server, replicas int) (float64, bool) {
	minPerLayer := math.Inf(1)
	for _, group := range divideRuns(serverRuns(m, sortedBySpeed(m, servers)), replicas) {
		perLayer, ok := maxMemoryPerLayer(m, group, m.Layers, requiredFirstStageSize(m, group))
		if !ok {
			return 0, false
		}
		minPerLayer = min(minPerLayer, perLayer)
	}

	return minPerLayer, len(servers) > 0
}

// maxMemoryPerLayer returns the largest memory, in MB, that the servers can give to each layer
// while they cover the given number of consecutive layers, with a first stage of the given size. It
// returns false if they cannot cover them at all.
func maxMemoryPerLayer(m *catalog.Model, runs []serverRun, layers, firstStageSize int) (float64, bool) {
	if m.LayerMB <= 0 || coveredAt(m, runs, m.LayerMB, firstStageSize) < layers {
		return 0, false
	}
	total := 0.0
	for _, r := range runs {
		total += float64(r.count) * r.memoryMB
	}
	const rounds = 22 // of bisection, to less than a millionth of the total memory
	low, high := m.LayerMB, m.LayerMB+total
	for range rounds {
		if mid := (low + high) / 2; coveredAt(m, runs, mid, firstStageSize) >= layers {
			low = mid
		} else {
			high = mid
		}
	}

	return low, true
}

// BestReplicaCount returns the number of model replicas that maximizes the product of two values:
// the number of requests that find memory and a slot, and the probability that no server on the
// path of a request is failing. It returns zero if the servers cannot hold the model.
func BestReplicaCount(m *catalog.Model, servers []Server) int {
	sorted := serverRuns(m, sortedBySpeed(m, servers))
	best, maxValue := 0, 0.0
	for n := 1; n <= len(servers); n++ {
		requests, ok := servableRequests(m, divideRuns(sorted, n))
		if !ok {
			break
		}
		pathLength := float64(len(servers)) / float64(n)
		value := requests * math.Pow(1-failureShare, pathLength)
		if value < maxValue/2 {
			// Past the maximum, since each further replica leaves less memory.
			break
		}
		if best == 0 || value > maxValue {
			best, maxValue = n, value
		}
	}

	return best
}

// servableRequests returns how many requests of mean size find memory and a slot if each group
// holds one replica. It returns false if some group cannot hold a replica.
func servableRequests(m *catalog.Model, groups [][]serverRun) (float64, bool) {
	sum := 0.0
	for _, group := range groups {
		firstStageSize := requiredFirstStageSize(m, group)
		perLayer, ok := maxMemoryPerLayer(m, group, m.Layers, firstStageSize)
		if !ok {
			return 0, false
		}
		sum += min(requestCapacity(m, perLayer), firstStageSlots(m, firstStageSize))
	}

	return sum, len(groups) > 0
}
