package place

import (
	"maps"
	"math"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// hallRanges returns which layers each hall should hold: all of them, or, if no hall can hold the
// model, one of the two parts into which the halls divide it.
//
// Scenario: no hall can hold the model alone, and the links between halls are slow. Each request
// has to cross between halls at least once, and every further crossing transfers its whole prompt
// again. If all halls divide the model at the same layer, a path crosses exactly once, and a
// request can go from any hall with the first part to any hall with the second, so the prompts are
// spread over all of these links. Placing servers one by one across all halls makes paths cross
// three to five times.
//
// If the halls hold two parts already, that division is kept. Otherwise, the result is empty if no
// division is found, for example because there is only one hall, because three or more halls would
// have to hold one replica together, or because some hall can hold neither part; and also if there
// are more halls than maxDividedHalls.
func hallRanges(m *catalog.Model, servers []Server) map[slatebridge.HallID]slatebridge.LayerRange {
	halls := serversByHall(m, servers)
	for _, inHall := range halls {
		if !isTooSmall(m, inHall) {
			out := make(map[slatebridge.HallID]slatebridge.LayerRange, len(halls))
			for hall := range halls {
				out[hall] = slatebridge.LayerRange{To: m.Layers}
			}

			return out
		}
	}

	return divideAmongHalls(m, halls)
}

// hallRange returns the layers that the hall should hold according to the result of hallRanges, and
// all layers if that has no entry for it.
func hallRange(m *catalog.Model, ranges map[slatebridge.HallID]slatebridge.LayerRange, hall slatebridge.HallID) slatebridge.LayerRange {
	if r, ok := ranges[hall]; ok {
		return r
	}

	return slatebridge.LayerRange{To: m.Layers}
}

// isTooSmall reports whether the servers of a hall cannot hold the whole model. A hall whose
// servers still span all layers is not too small, since it held the model before it lost servers.
func isTooSmall(m *catalog.Model, hall []Server) bool {
	span, _ := heldSpan(hall)

	return span.Len() < m.Layers && !canHoldModel(m, hall)
}

// canHoldModel reports whether the servers can hold one replica of the model.
func canHoldModel(m *catalog.Model, servers []Server) bool {
	_, ok := servableRequests(m, divideRuns(serverRuns(m, sortedBySpeed(m, servers)), 1))

	return ok
}

// serversByHall returns the servers with known accelerators, grouped by hall.
func serversByHall(m *catalog.Model, servers []Server) map[slatebridge.HallID][]Server {
	byHall := make(map[slatebridge.HallID][]Server)
	for _, s := range servers {
		if _, ok := m.Accelerator(s.Accelerator); ok {
			byHall[s.Hall] = append(byHall[s.Hall], s)
		}
	}

	return byHall
}

// hallDivision divides the model among halls: those in firstHalls hold the layers below cut, and
// the others hold the layers from cut on.
type hallDivision struct {
	cut        int
	firstHalls map[slatebridge.HallID]bool
}

// layersOf returns the layers that the hall holds.
func (d hallDivision) layersOf(m *catalog.Model, hall slatebridge.HallID) slatebridge.LayerRange {
	if d.firstHalls[hall] {
		return slatebridge.LayerRange{To: d.cut}
	}

	return slatebridge.LayerRange{From: d.cut, To: m.Layers}
}

// divideAmongHalls returns which part of the model each hall should hold. It keeps an existing
// division.
func divideAmongHalls(m *catalog.Model, halls map[slatebridge.HallID][]Server) map[slatebridge.HallID]slatebridge.LayerRange {
	d, ok := currentDivision(m, halls)
	if !ok {
		d, ok = bestDivision(m, halls)
	}
	if !ok {
		return nil
	}
	out := make(map[slatebridge.HallID]slatebridge.LayerRange, len(halls))
	for hall := range halls {
		out[hall] = d.layersOf(m, hall)
	}

	return out
}

// currentDivision returns the division that follows from the layers that halls hold already. It
// takes the most frequent cut of all halls, since lost servers can hide the cut of their hall.
// Halls that hold nothing join the part that fewer halls have.
func currentDivision(m *catalog.Model, halls map[slatebridge.HallID][]Server) (hallDivision, bool) {
	d := hallDivision{firstHalls: make(map[slatebridge.HallID]bool)}
	var cuts []int
	var empty []slatebridge.HallID
	firstCount, secondCount := 0, 0
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		span, ok := heldSpan(halls[hall])
		switch {
		case !ok:
			empty = append(empty, hall)
		case span.From+span.To < m.Layers:
			d.firstHalls[hall] = true
			firstCount++
			cuts = append(cuts, span.To)
		default:
			secondCount++
			cuts = append(cuts, span.From)
		}
	}
	if firstCount == 0 || secondCount == 0 {
		return hallDivision{}, false
	}
	for _, hall := range empty {
		if firstCount < secondCount {
			d.firstHalls[hall] = true
			firstCount++
		} else {
			secondCount++
		}
	}
	slices.Sort(cuts)
	d.cut = mostFrequent(cuts)

	return d, d.cut > 0 && d.cut < m.Layers
}

// heldSpan returns the range from the first to the last layer that the servers hold.
func heldSpan(servers []Server) (slatebridge.LayerRange, bool) {
	var span slatebridge.LayerRange
	for _, s := range servers {
		switch {
		case isEmpty(s):
		case span.Len() == 0:
			span = s.Layers
		default:
			span = slatebridge.LayerRange{From: min(span.From, s.Layers.From), To: max(span.To, s.Layers.To)}
		}
	}

	return span, span.Len() > 0
}

// mostFrequent returns the most frequent value of a sorted list, and the smallest one of several.
func mostFrequent(sorted []int) int {
	best, maxCount := 0, 0
	for i, v := range sorted {
		n := 0
		for _, w := range sorted[i:] {
			if w == v {
				n++
			}
		}
		if n > maxCount {
			best, maxCount = v, n
		}
	}

	return best
}

const (
	// cutSteps is the number of equal steps into which the layers are divided; every boundary
	// between two steps is tried as the cut. The memory that a part leaves for requests changes
	// slowly with the position, so a coarse search is enough.
	cutSteps = 16
	// tieBreakWeight is the weight of the request rate that memory allows. The weighted rate is
	// added to the score of a division, so that it decides between those that links limit alike.
	tieBreakWeight = 1e-3
	// maxDividedHalls bounds the search for the best division, since n halls have 2^n of them.
	maxDividedHalls = 10
)

// bestDivision returns the division with which the halls together serve the most requests a second,
// limited by their memory and by the links between them. It returns false if there is none.
func bestDivision(m *catalog.Model, halls map[slatebridge.HallID][]Server) (hallDivision, bool) {
	sorted := slices.Sorted(maps.Keys(halls))
	if len(sorted) > maxDividedHalls {
		return hallDivision{}, false
	}
	var best hallDivision
	maxScore := 0.0
	for i := 1; i < cutSteps; i++ {
		cut := i * m.Layers / cutSteps
		if cut == 0 {
			continue
		}
		first := make([]float64, len(sorted))
		second := make([]float64, len(sorted))
		for j, hall := range sorted {
			first[j] = partRate(m, halls[hall], slatebridge.LayerRange{To: cut})
			second[j] = partRate(m, halls[hall], slatebridge.LayerRange{From: cut, To: m.Layers})
		}
		for set := 1; set < 1<<len(sorted)-1; set++ {
			if score := divisionScore(m, set, first, second); score > maxScore {
				maxScore = score
				best = hallDivision{cut: cut, firstHalls: make(map[slatebridge.HallID]bool)}
				for j, hall := range sorted {
					best.firstHalls[hall] = set>>j&1 == 1
				}
			}
		}
	}

	return best, maxScore > 0
}

// divisionScore returns how many requests a second pass if the halls in set, a bit mask, hold the
// first part and the others the second, at the given rates of each hall, plus the tie-break of
// tieBreakWeight. It is zero if some hall cannot hold its part.
func divisionScore(m *catalog.Model, set int, first, second []float64) float64 {
	// links counts the halls of the first part until it is multiplied by the number of the others.
	firstRate, secondRate, links := 0.0, 0.0, 0
	for j := range first {
		if set>>j&1 == 1 {
			if first[j] == 0 {
				return 0
			}
			firstRate += first[j]
			links++
		} else {
			if second[j] == 0 {
				return 0
			}
			secondRate += second[j]
		}
	}
	// Each hall of the first part has a link to each of the others.
	links *= len(first) - links

	// If the links limit all divisions alike, prefer the one that leaves the most memory.
	return min(firstRate, secondRate, float64(links)*linkRate(m)) + tieBreakWeight*min(firstRate, secondRate)
}

// linkRate returns how many prompts of mean size a link between two halls transfers a second.
func linkRate(m *catalog.Model) float64 {
	promptBytes := m.ActivationBytesPerToken * float64(m.MeanPromptTokens)
	if promptBytes <= 0 || m.InterHallBytesPerSecond <= 0 {
		return math.Inf(1)
	}

	return m.InterHallBytesPerSecond / promptBytes
}

// partRate returns how many requests a second the memory of the servers allows if they hold the
// best number of replicas of the range; zero if they cannot hold it.
func partRate(m *catalog.Model, servers []Server, r slatebridge.LayerRange) float64 {
	sub := subModel(m, r)
	replicas := BestReplicaCount(sub, servers)
	if replicas == 0 {
		return 0
	}
	requests, _ := servableRequests(sub, divideRuns(serverRuns(sub, sortedBySpeed(sub, servers)), replicas))
	meanFactor := 0.0
	for _, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		meanFactor += accelerator.StepTimeFactor / float64(len(servers))
	}
	seconds := float64(max(1, m.MeanOutputTokens)) * m.StepTime.Seconds() * max(1, meanFactor)
	if seconds <= 0 {
		return requests
	}

	return requests / seconds
}

// subModel returns a model that consists of the layers of the range alone.
func subModel(m *catalog.Model, r slatebridge.LayerRange) *catalog.Model {
	sub := *m
	sub.Layers = r.Len()
	sub.KVBytesPerToken = m.KVBytesPerToken * float64(r.Len()) / float64(max(1, m.Layers))
	if r.From > 0 {
		// Only the first servers of a path have request slots.
		sub.Slots = 0
	}

	return &sub
}

// localize returns the servers with their ranges relative to the start of r, clipped to r. Servers
// that only hold layers outside r are left out.
func localize(servers []Server, r slatebridge.LayerRange) []Server {
	out := make([]Server, 0, len(servers))
	for _, s := range servers {
		if !isEmpty(s) {
			s.Layers = slatebridge.LayerRange{From: max(s.Layers.From, r.From) - r.From, To: min(s.Layers.To, r.To) - r.From}
			if s.Layers.Len() <= 0 {
				continue
			}
		}
		out = append(out, s)
	}

	return out
}

// globalize is the inverse of localize.
func globalize(servers []Server, r slatebridge.LayerRange) []Server {
	out := slices.Clone(servers)
	for i := range out {
		out[i].Layers.From += r.From
		out[i].Layers.To += r.From
	}

	return out
}
