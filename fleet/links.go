package fleet

import (
	"math"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

const (
	// hallHopCost is the cost of a hop between two halls over an idle link. The layers of a path of
	// idle servers cost about one in total.
	hallHopCost = 1.5
	// linkUseWindow is the time constant for averaging the use of links between halls, about the
	// propagation delay of gossip.
	linkUseWindow = time.Second
	// maxLinkUse is the share of a link's bandwidth that new requests may use. Above it, prompts
	// queue behind each other.
	maxLinkUse = 0.7
)

// hallLink is an undirected link between two halls.
type hallLink struct{ a, b slatebridge.HallID }

func newHallLink(a, b slatebridge.HallID) hallLink {
	if a > b {
		a, b = b, a
	}

	return hallLink{a, b}
}

// linkUse is the use of a link by this box: bytes is the decayed number of bytes sent, as of
// updatedAt.
type linkUse struct {
	bytes     float64
	updatedAt time.Time
}

func (u linkUse) decayed(now time.Time) float64 {
	return u.bytes * math.Exp(-float64(now.Sub(u.updatedAt))/float64(linkUseWindow))
}

// hallLinks is the utilization of the links between halls at the time of a path search.
type hallLinks struct {
	// utilization is the used share of each link's bandwidth.
	utilization map[hallLink]float64
	// enforceMax forbids hops over links that are used beyond maxLinkUse.
	enforceMax bool
}

// hallLinks returns the estimated utilization of the links. It assumes that every other box, in all
// halls, sends as much as this one. The caller holds mu.
//
// Scenario: after server failures a hall lacks layers for seconds, and prompts have to go to
// other halls. A link carries traffic from boxes of both its halls and from boxes of other halls
// whose paths pass it. Counting only the boxes of the own hall would admit more than the links
// carry, and the surplus would be abandoned seconds later. Gossip lags too much to supply the
// actual use.
func (f *Fleet) hallLinks(m *catalog.Model, enforceMax bool) hallLinks {
	h := hallLinks{utilization: make(map[hallLink]float64, len(f.links)), enforceMax: enforceMax}
	if m.InterHallBytesPerSecond <= 0 {
		return h
	}
	now := f.now()
	for l, u := range f.links {
		rate := u.decayed(now) / linkUseWindow.Seconds() * float64(f.allPeers+1)
		h.utilization[l] = rate / m.InterHallBytesPerSecond
	}

	return h
}

// cost returns the cost of a hop between the halls, and whether the link may be used.
func (h hallLinks) cost(from, to slatebridge.HallID) (float64, bool) {
	used := h.utilization[newHallLink(from, to)]

	return hallHopCost * (1 + used), !h.enforceMax || used < maxLinkUse
}

// recordHallHops adds the bytes that a request sends at each hop between the halls of the path. The
// caller holds mu.
func (f *Fleet) recordHallHops(p Path, bytes float64) {
	now := f.now()
	for i := 1; i < len(p); i++ {
		a, b := p[i-1].Server.Hall, p[i].Server.Hall
		if a != b {
			l := newHallLink(a, b)
			f.links[l] = linkUse{bytes: f.links[l].decayed(now) + bytes, updatedAt: now}
		}
	}
}

// withdrawHallHops undoes recordHallHops at a time. The caller holds mu.
func (f *Fleet) withdrawHallHops(p Path, bytes float64, at time.Time) {
	left := linkUse{bytes: bytes, updatedAt: at}.decayed(f.now())
	f.recordHallHops(p, -left)
}
