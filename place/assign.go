// Package place decides which backend server holds which layers of a model: when a fleet starts,
// when servers join, after losses, and when a better placement exists. It is for boxes that order
// servers to load layers through package platform; for engines that take the orders of package
// engine, see package assign.
//
// The decisions are pure functions of the model and of the layers that servers hold. Nothing here
// reads a clock, does I/O or logs. Equal inputs give equal results. The package also defines the
// errors with which servers refuse orders.
package place

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Server is a backend server and the layer range that it holds or was ordered to load.
type Server struct {
	ID          slatebridge.ServerID
	Hall        slatebridge.HallID
	Accelerator string
	Layers      slatebridge.LayerRange
}

// AssignEmpty returns servers that hold no layers, each with the range that it should load. Servers
// that hold layers keep them.
//
// Servers are planned in groups (see serverGroups). A group whose servers are all empty gets whole
// replicas of its layers, which are the model or a part of it. In other groups the empty servers
// are placed one by one on the layers that their hall lacks or has the least memory for; in a hall
// whose accelerators hold the model just once (see isExactFit), packExact first places several of
// them together if it can. If there are more empty servers than maxFillWork allows in one plan,
// they get whole replicas where they can hold all layers of the group; otherwise later plans place
// the rest.
func AssignEmpty(m *catalog.Model, servers []Server) []Server {
	if !slices.ContainsFunc(servers, isEmpty) {
		return nil
	}
	var out []Server
	groups := serverGroups(m, servers)
	for _, g := range groups {
		empty := emptyServers(g.servers)
		sub := subModel(m, g.layers)
		if len(empty) < len(g.servers) && (len(empty) <= maxFillCount(maxFillWork, len(g.servers)) || !canHoldModel(sub, empty)) {
			continue
		}
		sameRange := 0
		for _, other := range groups {
			if other.layers == g.layers {
				sameRange++
			}
		}
		out = append(out, globalize(layOutReplicas(sub, empty, replicaCount(sub, empty, sameRange)), g.layers)...)
	}

	return append(out, fillHalls(m, applyOrders(servers, out))...)
}

// emptyServers returns the servers that hold no layers.
func emptyServers(servers []Server) []Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return !isEmpty(s) })
}

// maxFillWork bounds the work of one plan that places servers one by one: the sum, over these
// servers, of the square of the number of servers in their hall. The time to place a server is
// roughly proportional to that square.
//
// Scenario: a new leader is elected while a large fleet loads, so that each hall has some servers
// with layers and many without. Placing them one by one would take the leader so long that it applies
// configuration changes seconds late.
const maxFillWork = 400_000

// maxFillCount returns how many servers of a hall with hallSize servers may be placed one by one
// within the given work.
func maxFillCount(work, hallSize int) int { return work / max(1, hallSize*hallSize) }

// applyOrders returns the servers, with the layers from orders for those that have one.
func applyOrders(servers, orders []Server) []Server {
	byID := make(map[slatebridge.ServerID]slatebridge.LayerRange, len(orders))
	for _, o := range orders {
		byID[o.ID] = o.Layers
	}
	out := slices.Clone(servers)
	for i, s := range out {
		if r, ok := byID[s.ID]; ok {
			out[i].Layers = r
		}
	}

	return out
}

func isEmpty(s Server) bool { return s.Layers.Len() == 0 }

// minReplicas is the minimum number of model replicas over all groups, if memory allows: with a
// single replica, the loss of any server would stop all requests.
const minReplicas = 2

// replicaCount returns how many replicas of the model one of groupCount groups of servers should
// hold.
func replicaCount(m *catalog.Model, group []Server, groupCount int) int {
	n := BestReplicaCount(m, group)
	minCount := (minReplicas + groupCount - 1) / groupCount
	if n >= minCount || n == 0 {
		return n
	}
	// An additional replica is useless if it leaves no memory for a batch of requests.
	if perLayer, ok := replicaMemoryPerLayer(m, group, minCount); ok && perLayer*maxExtendedShare >= m.LayerMB {
		return minCount
	}

	return n
}

// serverGroup is a group of servers that together hold one or more replicas of the layers.
type serverGroup struct {
	layers  slatebridge.LayerRange
	servers []Server
}

// serverGroups divides the servers with known accelerators into groups. If some hall can hold the
// whole model, each such hall is a group and all other halls form one more. Otherwise, if the halls
// divide the model (see hallRanges), each of them is a group for its part; if they do not, all
// servers form one group for the whole model.
func serverGroups(m *catalog.Model, servers []Server) []serverGroup {
	halls := serversByHall(m, servers)
	ranges := hallRanges(m, servers)
	whole := slatebridge.LayerRange{To: m.Layers}
	var out []serverGroup
	var rest []Server
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		r, ok := ranges[hall]
		switch {
		case ok && (r != whole || canHoldModel(m, halls[hall])):
			out = append(out, serverGroup{r, halls[hall]})
		default:
			rest = append(rest, halls[hall]...)
		}
	}
	if len(rest) > 0 {
		out = append(out, serverGroup{whole, rest})
	}

	return out
}

// fillHalls returns servers that hold no layers, each with the range that it should load beside the
// other servers of its hall. Within a hall, servers with more memory are placed first.
func fillHalls(m *catalog.Model, servers []Server) []Server {
	ranges := hallRanges(m, servers)
	var out []Server
	work := maxFillWork
	halls := serversByHall(m, servers)
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		inHall := halls[hall]
		maxCount := maxFillCount(work, len(inHall))
		if work == maxFillWork {
			// Place at least one server in each plan, however large its hall is.
			maxCount = max(1, maxCount)
		}
		r := hallRange(m, ranges, hall)
		placed := fillHall(subModel(m, r), localize(inHall, r), maxCount)
		out = append(out, globalize(placed, r)...)
		work -= len(placed) * len(inHall) * len(inHall)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })

	return out
}

// fillHall is fillHalls for the servers of one hall. It places at most maxCount servers, except
// that packExact may place more of them together.
func fillHall(m *catalog.Model, servers []Server, maxCount int) []Server {
	empty := emptyServers(servers)
	if len(empty) == 0 || maxCount <= 0 {
		return nil
	}
	hall := slices.DeleteFunc(slices.Clone(servers), isEmpty)
	var out []Server
	if isExactFit(m, hall) {
		out = packExact(m, hall, empty)
		hall = append(hall, out...)
		empty = slices.DeleteFunc(empty, func(s Server) bool {
			return slices.ContainsFunc(out, func(o Server) bool { return o.ID == s.ID })
		})
	}
	// Count the empty servers as well, since they will hold layers soon.
	perLayer := memoryPerLayer(m, slices.Concat(hall, empty))
	for _, s := range sortedByMemory(m, empty) {
		if len(out) >= maxCount {
			break
		}
		if isExactFit(m, hall) {
			if s, ok := bestFitGap(m, hall, s); ok {
				hall = append(hall, s)
				out = append(out, s)

				continue
			}
		}
		if n := layerCountFor(m, s, hall, perLayer); n > 0 {
			s = bestRange(m, s, n, hall, perLayer)
			hall = append(hall, s)
			out = append(out, s)
		}
	}

	return out
}

// memoryPerLayer returns how much memory, in MB, the servers of a hall can give to each layer; zero
// if they cannot hold all layers.
func memoryPerLayer(m *catalog.Model, hall []Server) float64 {
	perLayer, _ := replicaMemoryPerLayer(m, hall, max(1, BestReplicaCount(m, hall)))

	return perLayer
}

// layerCountFor returns how many layers the server should hold beside the others of its hall: as
// many as leave perLayer MB for each, or enough to fill the longest gap of the hall, whichever is
// more, within the limits of its memory.
func layerCountFor(m *catalog.Model, s Server, hall []Server, perLayer float64) int {
	accelerator, _ := m.Accelerator(s.Accelerator)
	limit := maxExtendedLayersIn(m, hall, accelerator)
	n := limit
	if perLayer > 0 {
		n = max(1, layersAt(m, accelerator, perLayer))
	}

	return max(min(n, maxLayers(m, accelerator)), min(limit, longestGap(replicasPerLayer(m, hall))))
}

// bestRange returns the server with the range of n layers that gives its hall the lowest scarcity,
// after servers with less than perLayer MB for each layer have been trimmed.
func bestRange(m *catalog.Model, s Server, n int, hall []Server, perLayer float64) Server {
	best, minScarcity := s, math.Inf(1)
	for from := 0; from+n <= m.Layers; from++ {
		s.Layers = slatebridge.LayerRange{From: from, To: from + n}
		with := trimAll(m, append(slices.Clone(hall), s), perLayer)
		if sc := scarcity(m, with); sc < minScarcity*(1-1e-9) {
			best, minScarcity = s, sc
		}
	}

	return best
}

// uncoveredPenalty is what a layer without memory for a single token, in particular one that no
// server holds, adds to the scarcity of a hall. A layer with memory for a single token adds 1.
const uncoveredPenalty = 1000.0

// scarcity returns how short of memory for requests the servers of a hall are: the sum of the
// inverse of the token capacity of each layer, so that the scarcest layers dominate.
func scarcity(m *catalog.Model, hall []Server) float64 {
	sum := 0.0
	for _, tokens := range tokenCapacity(m, hall) {
		if tokens < 1 {
			sum += uncoveredPenalty
		} else {
			sum += 1 / tokens
		}
	}

	return sum
}

// tokenCapacity returns, for each layer, how many tokens of requests fit into memory.
func tokenCapacity(m *catalog.Model, servers []Server) []float64 {
	tokens := make([]float64, m.Layers)
	for _, s := range servers {
		accelerator, _ := m.Accelerator(s.Accelerator)
		perLayer := tokensPerLayer(m, accelerator, s.Layers)
		for l := s.Layers.From; l < min(s.Layers.To, m.Layers); l++ {
			tokens[l] += perLayer
		}
	}

	return tokens
}

// IncompleteHalls returns the halls in which some of the layers that the hall should hold are on no
// server.
func IncompleteHalls(m *catalog.Model, servers []Server) map[slatebridge.HallID]bool {
	ranges := hallRanges(m, servers)
	halls := make(map[slatebridge.HallID][]Server)
	for _, s := range servers {
		halls[s.Hall] = append(halls[s.Hall], s)
	}
	incomplete := make(map[slatebridge.HallID]bool)
	for hall, inHall := range halls {
		r := hallRange(m, ranges, hall)
		replicas := replicasPerLayer(m, inHall)
		if uncoveredLayers(replicas[r.From:r.To]) > 0 {
			incomplete[hall] = true
		}
	}

	return incomplete
}
