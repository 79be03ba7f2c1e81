package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

const (
	// failureCost makes a server that fails all requests 20 times as expensive as one that fails
	// none. It still receives a few requests, which reveal a recovery.
	failureCost = 19.0
	// remoteHallMillis is the cost in milliseconds of servers in other halls: the round trip and
	// the price of traffic between halls.
	remoteHallMillis = 3.0
)

// Pick chooses a server of a service without a model and reserves capacity there. It returns false
// if no server is available.
//
// Servers that only other boxes suspect are the last choice. Scenario: a slow box suspects
// servers that work, its reports spread in its hall, and the service has no others.
func (f *Fleet) Pick(service string, exclude []slatebridge.ServerID) (catalog.Server, *Reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	best := f.cheapest(service, exclude, now, (*member).availableAsFirst)
	if best == nil {
		best = f.cheapest(service, exclude, now, (*member).suspectedByOthersOnly)
	}
	if best == nil {
		return catalog.Server{}, nil, false
	}
	reservation := f.reserveLoads(map[slatebridge.ServerID]Load{best.ID: {Requests: 1}})

	return best.Server, reservation, true
}

// cheapest returns the usable server of the service with the lowest cost; nil if there is none. The
// caller holds mu.
func (f *Fleet) cheapest(service string, exclude []slatebridge.ServerID, now time.Time, usable func(*member, time.Time) bool) *member {
	var best *member
	minCost := math.Inf(1)
	for _, m := range f.membersOf(service) {
		if !usable(m, now) || slices.Contains(exclude, m.ID) {
			continue
		}
		if c := f.pickCost(m, now); c < minCost {
			best, minCost = m, c
		}
	}

	return best
}

// pickCost returns the expected response time in milliseconds, weighted by failures and rejections.
func (f *Fleet) pickCost(m *member, now time.Time) float64 {
	latency := m.latency
	if latency == 0 {
		latency = initialLatency
	}
	slots := max(1, m.Slots)
	queued := m.expectedLoad(f.hallPeers, now).Requests / float64(slots)
	ms := float64(latency) / float64(time.Millisecond)
	cost := ms * (1 + queued) * (1 + failureCost*m.failureRate)
	if m.Hall != f.hall {
		cost += remoteHallMillis
	}
	if now.Before(m.rejectingUntil) {
		cost *= 1 + failureCost
	}

	return cost * (1 + defaultNoise*(2*f.random()-1))
}
