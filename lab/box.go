package lab

import (
	"math/rand/v2"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/observe"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/priority"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/retry"
)

// box is the simulated state of one entry box.
type box struct {
	name   string
	hall   slatebridge.HallID
	fleet  *fleet.Fleet
	budget *retry.Budget
	// streamDurations has the durations of recently completed streams.
	streamDurations *observe.DurationHistogram
	activeRequests  map[*request]bool
	down            bool
	// returns decides when refused callers return.
	returns overload.Returns
	// ledger tracks poison requests.
	ledger *quarantine.Ledger
	// priorities tracks the requests by class.
	priorities *priority.Tracker
	// suspendedUntil is the end of the current suspension.
	suspendedUntil time.Duration
}

const (
	// streamDurationWindow is the span of the histogram of stream durations; see
	// observe.DurationHistogram for how long it keeps a duration.
	streamDurationWindow = 30 * time.Second
	medianQuantile       = 0.5
)

// reset gives the box the empty state of a newly started process.
func (b *box) reset(c *catalog.Catalog, cl *cluster, bounds retry.Bounds, now func() time.Time, r *rand.Rand) {
	b.fleet = fleet.New(b.hall, now, fleet.WithRandom(r.Float64))
	b.fleet.SetCatalog(c)
	cl.forEachServer(func(s *server) {
		if !s.lost {
			b.fleet.Set(s.Server)
		}
	})
	b.budget = retry.New(bounds, retry.WithStartTime(now()))
	b.streamDurations = observe.NewDurationHistogram(streamDurationWindow, observe.WithClock(now))
	b.activeRequests = make(map[*request]bool)
	b.ledger = quarantine.New()
	b.returns = overload.Returns{}
	b.priorities = priority.NewTracker(now())
	b.down = false
}

// exchangeGossip gives each running box the load and retry usage of its peers, summed by hall, as
// the boxes that relay gossip between halls report them.
func exchangeGossip(boxes []*box, now time.Time) {
	halls := make(map[slatebridge.HallID]*hallUsage)
	totalBoxes := 0
	for _, b := range boxes {
		if b.down {
			continue
		}
		h := halls[b.hall]
		if h == nil {
			h = &hallUsage{loads: make(map[slatebridge.ServerID]fleet.Load)}
			halls[b.hall] = h
		}
		h.boxCount++
		totalBoxes++
		for id, l := range b.fleet.OwnLoads() {
			h.loads[id] = h.loads[id].Add(l)
		}
		h.retryUsage = retry.Sum(h.retryUsage, b.budget.Usage(now))
	}
	for _, b := range boxes {
		if b.down {
			continue
		}
		own := halls[b.hall]
		b.fleet.SetPeerCounts(own.boxCount-1, totalBoxes-1)
		for hall, h := range halls {
			loads, usage, n := h.loads, h.retryUsage, h.boxCount
			if hall == b.hall {
				loads, usage, n = subtractLoads(h.loads, b.fleet.OwnLoads()), retry.Subtract(h.retryUsage, b.budget.Usage(now)), h.boxCount-1
			}
			b.fleet.SetPeerGroupLoads(string(hall), fleet.LoadsByShortID(loads))
			b.budget.SetPeerGroup(string(hall), n, usage, now)
		}
	}
}

// hallUsage is the load and retry usage of all running boxes in a hall.
type hallUsage struct {
	boxCount   int
	loads      map[slatebridge.ServerID]fleet.Load
	retryUsage map[string]retry.Usage
}

// subtractLoads returns sum minus part. Servers missing from sum are left out.
func subtractLoads(sum, part map[slatebridge.ServerID]fleet.Load) map[slatebridge.ServerID]fleet.Load {
	out := make(map[slatebridge.ServerID]fleet.Load, len(sum))
	for id, l := range sum {
		out[id] = l.Sub(part[id])
	}

	return out
}
