package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

const (
	// maxExtendedShare bounds the share of an accelerator's memory that layers may take when its
	// server takes up layers of a lost server or layers that the hall lacks, and when replicas are
	// added to reach minReplicas. With more, the server has little memory for requests, which
	// limits all requests that pass it. For halls that exceed the share already, see isExactFit.
	maxExtendedShare = 0.85
	// minRequests is the number of requests of mean size for which an accelerator keeps memory
	// beside its layers. With less, requests of a few times that size would not fit.
	//
	// Scenario: halls whose accelerators hold the model just once. With this reserve, such a hall
	// serves, without other halls, as many requests as fit into its memory; without the reserve,
	// its requests cross to other halls.
	minRequests = 4
	// failureShare is the share of servers that are expected to be crashed, slow or being replaced
	// at the same time. More replicas mean fewer servers on the path of a request, but less memory
	// for requests; this share sets the balance between the two.
	failureShare = 0.125
)

// maxLayers returns how many layers an accelerator may hold beside its reserve for minRequests
// requests.
func maxLayers(m *catalog.Model, a catalog.Accelerator) int {
	if m.LayerMB <= 0 {
		return 0
	}
	const bytesPerMB = 1e6
	requests := minRequests * float64(max(1, m.MeanPromptTokens+m.MeanOutputTokens))
	reserveMB := requests * m.KVBytesPerToken / float64(max(1, m.Layers)) / bytesPerMB

	return min(int(a.MemoryMB/(m.LayerMB+reserveMB)), m.Layers)
}

// maxExtendedLayers returns how many layers an accelerator may hold within maxExtendedShare.
func maxExtendedLayers(m *catalog.Model, a catalog.Accelerator) int {
	if m.LayerMB <= 0 {
		return 0
	}

	return min(int(maxExtendedShare*a.MemoryMB/m.LayerMB), m.Layers)
}

// isExactFit reports whether some server of the hall holds more layers than maxExtendedShare
// allows. The accelerators of such a hall hold the model just once, and the layers of a lost server
// only fit if its replacement is filled to the same degree.
//
// Scenario: nine of thirty servers stop at once and return empty. If maxExtendedShare applied to
// them, halls of a few servers would lack layers permanently.
func isExactFit(m *catalog.Model, hall []Server) bool {
	return slices.ContainsFunc(hall, func(s Server) bool {
		accelerator, ok := m.Accelerator(s.Accelerator)

		return ok && s.Layers.Len() > maxExtendedLayers(m, accelerator)
	})
}

// maxExtendedLayersIn returns how many layers in all an accelerator of the hall may hold when its
// server takes up layers that the hall lacks.
func maxExtendedLayersIn(m *catalog.Model, hall []Server, a catalog.Accelerator) int {
	if isExactFit(m, hall) {
		return maxLayers(m, a)
	}

	return maxExtendedLayers(m, a)
}

// layersAt returns how many layers an accelerator holds if it gives perLayer MB to each of them,
// for its weights and for requests.
func layersAt(m *catalog.Model, a catalog.Accelerator, perLayer float64) int {
	return singleRun(m, a).layersAt(perLayer)
}

// totalMemory returns the memory of all servers, in MB.
func totalMemory(m *catalog.Model, servers []Server) float64 {
	sum := 0.0
	for _, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		sum += accelerator.MemoryMB
	}

	return sum
}

// requestCapacity returns how many requests of mean size fit if each layer is given perLayer MB.
func requestCapacity(m *catalog.Model, perLayer float64) float64 {
	const bytesPerMB = 1e6
	tokens := (perLayer - m.LayerMB) * bytesPerMB * float64(m.Layers) / m.KVBytesPerToken

	return tokens / float64(max(1, m.MeanPromptTokens+m.MeanOutputTokens))
}

// firstStageSlots returns how many requests a first stage of the given size receives at once.
func firstStageSlots(m *catalog.Model, firstStageSize int) float64 {
	if m.Slots <= 0 {
		return math.Inf(1)
	}

	return float64(firstStageSize * m.Slots)
}

// layOutReplicas assigns the layers of the given number of replicas to the servers. It divides the
// servers into groups of about equal total memory, one for each replica; within a replica, all
// layers get about the same memory. It returns nil if some replica does not fit.
func layOutReplicas(m *catalog.Model, servers []Server, replicas int) []Server {
	var out []Server
	for _, group := range divideServers(m, servers, replicas) {
		placed, ok := layOutReplica(m, group)
		if !ok {
			return nil
		}
		out = append(out, placed...)
	}

	return out
}

// divideServers divides the servers into n groups of about equal memory, starting with those with
// the fastest accelerators. Requests on fast accelerators alone end sooner, and so occupy memory
// for a shorter time, than if each replica mixed fast and slow ones.
//
// Each group is sorted by ascending memory, so that small servers are neighbors of small ones and
// together can take up the layers of a lost one.
func divideServers(m *catalog.Model, servers []Server, n int) [][]Server {
	groups := make([][]Server, n)
	total, before := totalMemory(m, servers), 0.0
	for _, s := range sortedBySpeed(m, servers) {
		accelerator, _ := m.Accelerator(s.Accelerator)
		i := groupIndex(before, accelerator.MemoryMB, total, n)
		groups[i] = append(groups[i], s)
		before += accelerator.MemoryMB
	}
	for i, g := range groups {
		g = sortedByMemory(m, g)
		slices.Reverse(g)
		groups[i] = g
	}

	return groups
}

// groupIndex returns which of n groups of equal memory contains the midpoint of a server's memory,
// where before is the memory of all servers in front of it and total that of all servers.
func groupIndex(before, memory, total float64, n int) int {
	return min(n-1, int((before+memory/2)/total*float64(n)))
}

// sortedBySpeed returns the servers with the fastest accelerators first, and among equally fast
// ones those with the most memory.
func sortedBySpeed(m *catalog.Model, servers []Server) []Server {
	sorted := sortedByMemory(m, servers)
	slices.SortStableFunc(sorted, func(a, b Server) int {
		accA, _ := m.Accelerator(a.Accelerator)
		accB, _ := m.Accelerator(b.Accelerator)

		return cmp.Compare(accA.StepTimeFactor, accB.StepTimeFactor)
	})

	return sorted
}

// sortedByMemory returns the servers with the most memory first, and those with the same memory by
// ID.
func sortedByMemory(m *catalog.Model, servers []Server) []Server {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b Server) int {
		accA, _ := m.Accelerator(a.Accelerator)
		accB, _ := m.Accelerator(b.Accelerator)

		return cmp.Or(cmp.Compare(accB.MemoryMB, accA.MemoryMB), cmp.Compare(a.ID, b.ID))
	})

	return out
}

// layOutReplica assigns each layer of the model to one of the servers, in their order, and the
// first layers to as many servers as the first stage requires. It reports whether the servers can
// hold all layers.
func layOutReplica(m *catalog.Model, servers []Server) ([]Server, bool) {
	return layOutRange(m, servers, slatebridge.LayerRange{To: m.Layers}, requiredFirstStageSize(m, serverRuns(m, servers)))
}

// layOutRange assigns each layer of the range to one of the servers, in their order, and the first
// layers to a first stage of the given size. It reports whether the servers can hold all layers.
func layOutRange(m *catalog.Model, servers []Server, r slatebridge.LayerRange, firstStageSize int) ([]Server, bool) {
	runs := serverRuns(m, servers)
	perLayer, ok := maxMemoryPerLayer(m, runs, r.Len(), firstStageSize)
	if !ok {
		return nil, false
	}
	counts := layerCountsAt(m, runs, perLayer, firstStageSize)
	for covered := coveredAt(m, runs, perLayer, firstStageSize); covered > r.Len(); covered-- {
		counts[leastMemoryIndex(m, servers, counts, firstStageSize)]--
	}
	var out []Server
	from := r.From
	for i, s := range servers {
		if i > 0 && i < firstStageSize {
			s.Layers = out[0].Layers
			out = append(out, s)

			continue
		}
		if counts[i] == 0 {
			continue
		}
		s.Layers = slatebridge.LayerRange{From: from, To: from + counts[i]}
		from = s.Layers.To
		out = append(out, s)
	}

	return out, true
}

// leastMemoryIndex returns the index of the server with the least memory for each of its layers,
// ignoring the first stage if it has several servers.
func leastMemoryIndex(m *catalog.Model, servers []Server, counts []int, firstStageSize int) int {
	best, minPerLayer := -1, math.Inf(1)
	for i, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		if counts[i] == 0 || (i < firstStageSize && firstStageSize > 1) {
			continue
		}
		if perLayer := accelerator.MemoryMB / float64(counts[i]); perLayer < minPerLayer {
			best, minPerLayer = i, perLayer
		}
	}

	return best
}
