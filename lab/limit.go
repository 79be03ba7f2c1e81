package lab

import (
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
)

const (
	// limitWindow is the sliding window over which requests to a rate-limited server are counted.
	limitWindow = 4 * time.Second
	// limitGrace is the time after the announcement of a limit during which requests to the server
	// are not counted, as boxes are still learning of the limit.
	limitGrace = 3 * time.Second
)

// rateLimit is the limit that a server announces.
type rateLimit struct {
	// requestsPerSecond is zero if there is no limit.
	requestsPerSecond float64
	announcedAt       time.Duration
	// arrivals holds the arrival times of the counted requests.
	arrivals []time.Duration
}

// setRateLimits makes the affected servers that hold the first layer announce a limit of rate
// requests per second.
func (sim *simulation) setRateLimits(fault *Fault, rate float64) {
	for _, s := range sim.selectServers(fault) {
		if s.Layers.From == 0 && s.Layers.Len() > 0 {
			s.rateLimit = rateLimit{requestsPerSecond: rate, announcedAt: sim.now}
		}
	}
}

// recordLimitUse counts a request that reaches a rate-limited server.
func (s *server) recordLimitUse(now time.Duration, r *Result) {
	if s.rateLimit.requestsPerSecond <= 0 || now < s.rateLimit.announcedAt+limitGrace {
		return
	}
	s.rateLimit.arrivals = append(s.rateLimit.arrivals, now)
	n := 0
	for i := len(s.rateLimit.arrivals) - 1; i >= 0 && s.rateLimit.arrivals[i] > now-limitWindow; i-- {
		n++
	}
	r.MaxLimitUse = max(r.MaxLimitUse, float64(n)/(s.rateLimit.requestsPerSecond*limitWindow.Seconds()))
}

// observeLimit delivers the rate limit of the first server of the path to the box, one round trip
// after the request was sent. New and removed limits are then shared with all boxes.
func (q *request) observeLimit(id slatebridge.ServerID) {
	s, sim, b := q.sim.cluster.servers[id], q.sim, q.box
	if sim.scenario.IgnoreServerNotices {
		return
	}
	observation := allowance.Observation{Rate: allowance.NoLimit, SentAt: sim.clock(), ReadAt: sim.clock().Add(serverRoundTrip)}
	if s.rateLimit.requestsPerSecond > 0 {
		observation.Rate = s.rateLimit.requestsPerSecond
	}
	sim.schedule(serverRoundTrip, func() {
		switch b.fleet.ObserveLimit(id, observation) {
		case fleet.LimitAdded, fleet.LimitRemoved:
			sim.schedule(propagationTime, func() { sim.forEachBox(func(peer *box) { peer.fleet.ObserveLimit(id, observation) }) })
		case fleet.LimitUnchanged, fleet.LimitChanged:
		}
	})
}

// acquireGrant waits for a grant if the first server of the path is rate-limited, and then submits
// the request. Without a grant, it looks for another path.
func (q *request) acquireGrant() {
	first := q.path[0].Server.ID
	observations := q.box.fleet.LimitObservations(first)
	if len(observations) == 0 || q.sim.scenario.IgnoreServerNotices {
		q.submit()

		return
	}
	maxWait := overload.GrantTimeout(time.Duration(q.class.FirstTokenObjective))
	if q.waitedForGrant {
		maxWait = overload.QueueTimeout(time.Duration(q.class.FirstTokenObjective), 0)
	}
	grant := q.sim.allocator.Allocate(allowance.GrantRequest{Server: first, From: slatebridge.BoxID(q.box.name), Observations: observations, MaxWait: maxWait}, 1, q.sim.clock())
	if grant.Granted {
		q.scheduleInTry(grant.Delay, q.submit)

		return
	}
	q.box.fleet.RecordGrantDelay(first, grant.RetryAfter)
	q.reservation.Release()
	q.choosePath()
}

// findPathWithGrantWait looks for a path and also considers first servers that have no grant
// available now; the request then waits for its grant. It does this at most once in each try.
func (q *request) findPathWithGrantWait(firstServers []slatebridge.ServerID) (fleet.Path, *fleet.Reservation) {
	if _, limited := q.box.fleet.GrantDelay(service); !limited || q.waitedForGrant {
		return nil, nil
	}
	q.waitedForGrant = true
	query := q.pathQuery()
	query.WaitForGrant = true
	path, reservation, _ := q.box.fleet.FindPathFrom(query, firstServers)

	return path, reservation
}
