// Package assign decides which engine holds which layers of which model, and sends the engines
// fenced orders for it. It is for engines that take the orders of package engine. Boxes that order
// servers to load layers through package platform use package place instead.
package assign

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
)

// Demand is what all model services together need of one model version.
type Demand struct {
	Model    slatebridge.ModelVersion
	Layers   int
	Adapters []string
	// Weight is the throughput that the model should get, relative to other models.
	Weight float64
}

// Server is an engine that accepts orders, and the state that it holds.
type Server struct {
	ID slatebridge.ServerID
	// Speed is in layers per millisecond, for one token at a time.
	Speed     float64
	MaxLayers int
	Holds     engine.State
}

// Assignment is what one engine should hold.
type Assignment struct {
	Server   slatebridge.ServerID
	Model    slatebridge.ModelVersion
	Layers   slatebridge.LayerRange
	Adapters []string
}

// Plan returns what each server should hold. A server that holds a stage of a demanded model keeps
// it, except that a plan moves at most one of them, and only to fill a stage without servers. Any
// number of the other servers may be assigned. Equal inputs give equal plans.
func Plan(demands []Demand, servers []Server) []Assignment {
	p := newPlanner(demands, servers)
	p.keepCurrent()
	p.placeFree()
	p.fillEmptyStage()

	return p.assignments()
}

// Throughput returns how many tokens per millisecond the model can make with the assignments; zero
// if they do not cover all layers. The rate of a stage is the sum of the speeds of its servers
// divided by its number of layers, and the slowest stage limits the model.
func Throughput(model slatebridge.ModelVersion, layers int, assignments []Assignment, servers []Server) float64 {
	speeds := make(map[slatebridge.ServerID]float64, len(servers))
	for _, s := range servers {
		speeds[s.ID] = s.Speed
	}
	stages := make(map[slatebridge.LayerRange]float64)
	for _, a := range assignments {
		if a.Model == model {
			stages[a.Layers] += speeds[a.Server] / float64(a.Layers.Len())
		}
	}
	ranges := make([]slatebridge.LayerRange, 0, len(stages))
	slowest := 0.0
	for r, rate := range stages {
		ranges = append(ranges, r)
		if slowest == 0 || rate < slowest {
			slowest = rate
		}
	}
	slices.SortFunc(ranges, func(a, b slatebridge.LayerRange) int { return a.From - b.From })
	if !slatebridge.CoversExactly(ranges, layers) {
		return 0
	}

	return slowest
}

// planStage is one layer range of a model, and the servers that hold it.
type planStage struct {
	layers  slatebridge.LayerRange
	servers []Server
}

// rate returns how many tokens per millisecond can pass the stage.
func (st *planStage) rate() float64 {
	sum := 0.0
	for _, server := range st.servers {
		sum += server.Speed
	}

	return sum / float64(st.layers.Len())
}

// modelPlan is a demand and the stages into which its model is divided.
type modelPlan struct {
	demand Demand
	stages []*planStage
}

// slowest returns the stage that limits the throughput of the model.
func (m *modelPlan) slowest() *planStage {
	return slices.MinFunc(m.stages, func(a, b *planStage) int {
		return cmp.Compare(a.rate(), b.rate())
	})
}

// throughputPerWeight returns the throughput of the model relative to its weight.
func (m *modelPlan) throughputPerWeight() float64 {
	return m.slowest().rate() / m.demand.Weight
}

// planner builds one plan.
type planner struct {
	models []*modelPlan
	free   []Server
}

func newPlanner(demands []Demand, servers []Server) *planner {
	p := &planner{free: slices.Clone(servers)}
	slices.SortFunc(p.free, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.Speed, a.Speed), cmp.Compare(a.ID, b.ID))
	})
	for _, d := range demands {
		if ranges := PartitionLayers(d, servers); len(ranges) > 0 {
			p.models = append(p.models, newModelPlan(d, ranges))
		}
	}

	return p
}

func newModelPlan(d Demand, ranges []slatebridge.LayerRange) *modelPlan {
	if d.Weight <= 0 {
		d.Weight = 1
	}
	m := &modelPlan{demand: d}
	for _, r := range ranges {
		m.stages = append(m.stages, &planStage{layers: r})
	}

	return m
}

// PartitionLayers returns the layer ranges into which the model is divided. All replicas of a model
// in a hall use the same ranges, so that the servers of a stage are interchangeable. It keeps
// ranges that servers hold already; otherwise each range fits every server that can hold any
// layers.
func PartitionLayers(d Demand, servers []Server) []slatebridge.LayerRange {
	if current := currentRanges(d, servers); current != nil {
		return current
	}
	maxSize := 0
	for _, s := range servers {
		if s.MaxLayers > 0 && (maxSize == 0 || s.MaxLayers < maxSize) {
			maxSize = s.MaxLayers
		}
	}
	if maxSize == 0 {
		return nil
	}

	return evenRanges(d.Layers, (d.Layers+maxSize-1)/maxSize)
}

// evenRanges divides the layers into n ranges whose lengths differ by at most one layer.
func evenRanges(layers, n int) []slatebridge.LayerRange {
	ranges := make([]slatebridge.LayerRange, 0, n)
	for i := range n {
		ranges = append(ranges, slatebridge.LayerRange{From: i * layers / n, To: (i + 1) * layers / n})
	}

	return ranges
}

// currentRanges returns the division by evenRanges to which the most held ranges belong (see
// rangeCountOf), and with a tie the one with the fewest ranges; nil if no held range belongs to
// one.
func currentRanges(d Demand, servers []Server) []slatebridge.LayerRange {
	counts := make(map[int]int)
	best := 0
	for _, s := range servers {
		n := rangeCountOf(d, s.Holds)
		if n == 0 {
			continue
		}
		counts[n]++
		if best == 0 || counts[n] > counts[best] || counts[n] == counts[best] && n < best {
			best = n
		}
	}
	if best == 0 {
		return nil
	}

	return evenRanges(d.Layers, best)
}

// rangeCountOf returns the smallest n for which no range of evenRanges(d.Layers, n) is longer than
// the held one; 0 if the server holds no layers of the model, or if the held range is not one of
// these ranges. Smaller n are not tried, although the held range may be one of the shorter ranges
// of such a division: an even division has up to two range lengths.
func rangeCountOf(d Demand, held engine.State) int {
	if held.Model != d.Model || held.Layers.Len() <= 0 || d.Layers < held.Layers.Len() {
		return 0
	}
	n := (d.Layers + held.Layers.Len() - 1) / held.Layers.Len()
	if slices.Contains(evenRanges(d.Layers, n), held.Layers) {
		return n
	}

	return 0
}

// keepCurrent assigns each server that holds a stage of a demanded model to that stage, and leaves
// the others free.
func (p *planner) keepCurrent() {
	p.free = slices.DeleteFunc(p.free, func(s Server) bool {
		for _, m := range p.models {
			if st := m.stageOf(s.Holds); st != nil {
				st.servers = append(st.servers, s)

				return true
			}
		}

		return false
	})
}

func (m *modelPlan) stageOf(held engine.State) *planStage {
	if held.Model != m.demand.Model {
		return nil
	}
	for _, st := range m.stages {
		if st.layers == held.Layers {
			return st
		}
	}

	return nil
}

// placeFree assigns each free server, starting with the fastest, to the slowest stage of the model
// with the lowest throughput for its weight.
func (p *planner) placeFree() {
	for _, s := range p.free {
		if st := p.bottleneckStage(s.MaxLayers); st != nil {
			st.servers = append(st.servers, s)
		}
	}
}

// bottleneckStage returns the slowest stage of the model with the lowest throughput for its weight,
// among models whose slowest stage has at most maxLayers.
func (p *planner) bottleneckStage(maxLayers int) *planStage {
	var best *modelPlan
	for _, m := range p.models {
		if m.slowest().layers.Len() > maxLayers {
			continue
		}
		if best == nil || m.throughputPerWeight() < best.throughputPerWeight() {
			best = m
		}
	}
	if best == nil {
		return nil
	}

	return best.slowest()
}

// fillEmptyStage moves one server from a stage with several servers to a stage without any, so that
// repeated plans complete every model if there are enough servers.
func (p *planner) fillEmptyStage() {
	empty := p.emptyStage()
	if empty == nil {
		return
	}
	donor, i := p.donor(empty.layers.Len())
	if donor == nil {
		return
	}
	empty.servers = append(empty.servers, donor.servers[i])
	donor.servers = slices.Delete(donor.servers, i, i+1)
}

// emptyStage returns a stage without servers, or nil if there is none.
func (p *planner) emptyStage() *planStage {
	for _, m := range p.models {
		if st := m.slowest(); len(st.servers) == 0 {
			return st
		}
	}

	return nil
}

// donor returns the fastest stage that can spare a server for the given number of layers, and the
// index of that server; nil if there is none.
func (p *planner) donor(layers int) (*planStage, int) {
	var best *planStage
	index := 0
	for _, m := range p.models {
		for _, st := range m.stages {
			i := spareServer(st, layers)
			if i >= 0 && (best == nil || st.rate() > best.rate()) {
				best = st
				index = i
			}
		}
	}

	return best, index
}

// spareServer returns the index of the slowest server of the stage that can hold the given number
// of layers, or -1 if the stage cannot spare one.
func spareServer(st *planStage, layers int) int {
	index := -1
	if len(st.servers) < 2 {
		return index
	}
	for i, s := range st.servers {
		if s.MaxLayers < layers {
			continue
		}
		if index < 0 || s.Speed < st.servers[index].Speed {
			index = i
		}
	}

	return index
}

func (p *planner) assignments() []Assignment {
	var assignments []Assignment
	for _, m := range p.models {
		for _, st := range m.stages {
			for _, s := range st.servers {
				assignments = append(assignments, Assignment{
					Server:   s.ID,
					Model:    m.demand.Model,
					Layers:   st.layers,
					Adapters: m.demand.Adapters,
				})
			}
		}
	}
	slices.SortFunc(assignments, func(a, b Assignment) int { return cmp.Compare(a.Server, b.Server) })

	return assignments
}
