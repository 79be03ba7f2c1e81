package fleet

import (
	"slices"

	"github.com/slatebridge/slatebridge"
)

// replacementCost is the cost of moving a stage of a running request to a new server, in addition
// to the cost of its layers: the server has to process all tokens of the request again, which
// delays other requests there. The layers of a path of idle servers cost about one in total;
// stageCost comes on top.
const replacementCost = 0.15

// highNoise is the relative amplitude of the random noise on costs during repair, and shortly after
// the start of the box. Boxes repair many streams before they learn of each other's choices, and
// must not all choose the same replacement.
const highNoise = 0.9

// Repair finds the cheapest path for a running request that avoids the servers in q.Exclude, and
// reserves its memory. The first stage stays, and the others stay as far as possible: a server that
// is new to the request, or runs other layers of it than before, has to process all its tokens
// again.
func (f *Fleet) Repair(q Query, p Path) (Path, *Reservation, Shortage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := f.repair(q, p, true)
	if path == nil {
		if f.repair(q, p, false) == nil {
			return nil, nil, NoLayers
		}

		return nil, nil, NoCapacity
	}

	return path, f.reserve(path, q), NoShortage
}

// HallCrossings returns the number of hops between halls on the path.
func (p Path) HallCrossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Server.Hall != p[i-1].Server.Hall {
			n++
		}
	}

	return n
}

// repair first considers only servers that are not on the path yet. If that finds no path, or one
// with more hops between halls, it also considers other layers of servers on the path.
func (f *Fleet) repair(q Query, p Path, needRoom bool) Path {
	if len(p) == 0 || slices.Contains(q.Exclude, p[0].Server.ID) {
		return nil
	}
	q.FirstServer, q.costNoise = "", highNoise
	kept := f.kept(q, p)
	list, model := f.candidates(q, needRoom)
	if model == nil {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return p.Contains(c.member.ID) })
	var best Path
	minCost := 0.0
	for _, list := range [][]candidate{others, list} {
		if best != nil && best.HallCrossings() <= p.HallCrossings() {
			break
		}
		s := newSearch(q, list, model.Layers, f.hallLinks(model, needRoom))
		s.current, s.kept = p, kept
		s.run(f.hall)
		path, cost := s.bestPath()
		if path != nil && path.hasDistinctServers() && (best == nil || cost < minCost) {
			best, minCost = path, cost
		}
	}

	return best
}

// kept returns the stages of the path that may stay, by their first layer. A server that is leaving
// or giving up its layers still serves its running requests.
func (f *Fleet) kept(q Query, p Path) map[int]Stage {
	now := f.now()
	kept := make(map[int]Stage, len(p))
	for _, s := range p {
		m, ok := f.members[s.Server.ID]
		if ok && !now.Before(m.suspectUntil) && !slices.Contains(q.Exclude, s.Server.ID) {
			kept[s.Layers.From] = s
		}
	}

	return kept
}

// hasDistinctServers reports whether no server is on the path twice.
func (p Path) hasDistinctServers() bool {
	seen := make(map[slatebridge.ServerID]bool, len(p))
	for _, s := range p {
		if seen[s.Server.ID] {
			return false
		}
		seen[s.Server.ID] = true
	}

	return true
}

// loads returns the load that a request of the given size puts on each server of the path.
func (p Path) loads(tokens float64) map[slatebridge.ServerID]Load {
	loads := make(map[slatebridge.ServerID]Load, len(p))
	for i, s := range p {
		l := Load{Requests: 1, TokenLayers: tokens * float64(s.Layers.Len())}
		if i == 0 {
			l.FirstStage = 1
		}
		loads[s.Server.ID] = l
	}

	return loads
}
