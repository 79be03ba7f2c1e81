package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// candidate is a server that a path may use.
type candidate struct {
	member *member
	// costPerLayer is the cost of running one layer. The layers of a path of idle servers cost
	// about one in total; stageCost comes on top.
	costPerLayer float64
	// entryCost is the extra cost of using the server as the first stage.
	entryCost float64
}

// total returns the cost of running all layers of the candidate.
func (c candidate) total() float64 {
	cost := c.costPerLayer * float64(c.member.Layers.Len())
	if c.member.Layers.From == 0 {
		cost += c.entryCost
	}

	return cost
}

// replicaGroup identifies servers that are interchangeable: same layers, same hall.
type replicaGroup struct {
	layers slatebridge.LayerRange
	hall   slatebridge.HallID
}

// candidates returns the cheapest available server of each replica group. In the group of
// q.FirstServer, it returns that server if it is available. If needRoom is set, servers without
// enough free memory for the request or in the backoff after a rejection do not count.
func (f *Fleet) candidates(q Query, needRoom bool) ([]candidate, *catalog.Model) {
	now := f.now().Add(q.delay)
	var model *catalog.Model
	var list []candidate
	index := make(map[replicaGroup]int)
	for _, m := range f.membersOf(q.Service) {
		if m.model == nil {
			continue
		}
		model = m.model
		c, ok := f.candidate(m, q, needRoom, now)
		if !ok {
			continue
		}
		group := replicaGroup{m.Layers, m.Hall}
		i, known := index[group]
		switch {
		case !known:
			index[group] = len(list)
			list = append(list, c)
		case m.ID == q.FirstServer || (c.total() < list[i].total() && list[i].member.ID != q.FirstServer):
			list[i] = c
		}
	}

	return list, model
}

// offersLayers reports whether the server has layers that the query may use.
func (m *member) offersLayers(q Query, now time.Time) bool {
	switch {
	case m.Layers.Len() == 0, m.Layers.To > m.model.Layers, now.Before(m.missingLayersUntil), slices.Contains(q.Exclude, m.ID):
		return false
	case m.Layers.From == 0 && !q.WaitForGrant && !q.ignoreAdmission && m.admission.lacksGrant(now):
		// The rate limit of a server counts only requests that enter the pipeline there.
		return false
	default:
		return m.healthy(now) && (q.ignoreAdmission || m.admission.admits(now))
	}
}

// candidate returns the server as a candidate, if the query may use it.
func (f *Fleet) candidate(m *member, q Query, needRoom bool, now time.Time) (candidate, bool) {
	if !m.offersLayers(q, now) {
		return candidate{}, false
	}
	if needRoom && now.Before(m.rejectingUntil) {
		return candidate{}, false
	}
	kept := Load{TokenLayers: q.repairRoom.at(m)}
	if needRoom && (!m.hasRoom(q, m.load().Add(kept)) || (q.AvoidFull && m.foundFull(q, now))) {
		return candidate{}, false
	}
	used, capacity := m.load().TokenLayers, m.capacity()
	expected := m.expectedLoad(f.hallPeers, now)
	used = max(used, expected.TokenLayers) + kept.TokenLayers
	cost := m.layerCost(used, capacity) * (1 + f.noise(q, now)*(2*f.random()-1))
	if now.Before(m.slowUntil) {
		cost *= m.slowness
	}
	if now.Before(m.connectionFailedUntil) {
		cost *= connectionFailureFactor
	}

	first := m.entryCost(expected)
	if q.Isolated {
		first += isolationCost * expected.FirstStage
	}

	if m.admission.lacksGrant(now) {
		first += grantWaitCost * m.admission.grantAvailableAt.Sub(now).Seconds()
	}

	return candidate{member: m, costPerLayer: cost, entryCost: first}, true
}

// isolationCost is added to the entry cost of a server for each request whose first stage it is
// expected to be, if the query asks for isolation. It exceeds remoteEntryCost, the extra cost of a
// path in another hall.
const isolationCost = 1.0

// startupPeriod is how long a box may lack the load of its peers after its start.
const startupPeriod = 2 * time.Second

// noise returns the relative amplitude of the random noise on costs. Boxes that start at the same
// time don't know each other's load yet; without noise they would all choose the same servers,
// which would reject most requests of the first second.
func (f *Fleet) noise(q Query, now time.Time) float64 {
	if now.Sub(f.startedAt) < startupPeriod {
		return highNoise
	}

	return cmp.Or(q.costNoise, defaultNoise)
}

// entryCost returns the cost of entering the pipeline at the server. It rises with the share of its
// slots in use.
func (m *member) entryCost(l Load) float64 {
	if m.Slots <= 0 {
		return 0
	}
	taken := min(maxCostFill, l.FirstStage/float64(m.Slots))

	return slotCost * taken * taken
}

// layerCost returns the cost of one layer. It rises with the memory in use on the server.
func (m *member) layerCost(used, capacity float64) float64 {
	fill := 1.0
	if capacity > 0 {
		fill = min(maxCostFill, used/capacity)
	}

	return (1 + stepTimeCost*m.accelerator.StepTimeFactor + fillCost*fill*fill) / float64(m.model.Layers)
}
