package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/room"
)

// hallReplay is a replay of requests from many boxes, which choose servers by old reports.
type hallReplay struct {
	now     time.Time
	random  *rand.Rand
	boxes   []*Handler
	ledger  *room.Ledger
	used    map[slatebridge.ServerID]fleet.Load
	running []runningRequest
	// reports are the loads of the boxes at the last tick, and previous those one tick before.
	reports, previous []map[slatebridge.ServerID]fleet.Load
	requests          int
	admitted          int
	rejected          int
	noRoom            int
	claims            int
}

// runningRequest is a request that its servers run until its end.
type runningRequest struct {
	path        fleet.Path
	tokens      float64
	end         time.Time
	reservation *fleet.Reservation
}

// replayTick is the time between two reports of a box.
const replayTick = 250 * time.Millisecond

// replayHall replays the load of a hall whose servers get more work than they can take: 90
// requests a second at 12 servers. The servers themselves reject what they have no memory for.
func replayHall(boxes int, withLedger bool) *hallReplay {
	r := &hallReplay{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, uint64(boxes))), ledger: room.NewLedger(), used: make(map[slatebridge.ServerID]fleet.Load)}
	servers := roomServers(4)
	for i := range boxes {
		var f RoomFunc
		if withLedger {
			f = func(_ context.Context, c RoomClaim) (RoomAnswer, error) { return r.claim(i, c), nil }
		}
		r.boxes = append(r.boxes, newRoomHandler(servers, boxes-1, func() time.Time { return r.now }, f, fleet.WithRandom(r.random.Float64)))
	}
	r.reports = make([]map[slatebridge.ServerID]fleet.Load, boxes)
	r.now = r.now.Add(3 * time.Second)
	const (
		length       = 12 * time.Second
		meanInterval = time.Second / 90
	)
	for end, tick := r.now.Add(length), r.now; r.now.Before(end); {
		r.now = r.now.Add(time.Duration(r.random.ExpFloat64() * float64(meanInterval)))
		for r.now.After(tick) {
			tick = tick.Add(replayTick)
			r.exchangeReports(tick)
		}
		r.endRequests()
		r.send(r.boxes[r.random.IntN(boxes)])
	}

	return r
}

// claim asks the ledger, which the first box holds.
func (r *hallReplay) claim(box int, c RoomClaim) RoomAnswer {
	r.claims++
	before, with := c.Limits.MemoryShares()
	claim := room.Claim{
		Process: fmt.Sprint(box), ID: uint64(r.claims), SentAt: r.now.UnixMicro(), Reported: box == 0,
		Limits: room.Limits{Memory: with, MemoryBefore: before, Slots: c.Limits.Slots},
	}
	for _, s := range c.Path {
		claim.Stages = append(claim.Stages, roomStage(s.Server, s.Layers, c.Tokens))
	}
	view := room.View{LiveShare: 1, Server: func(shortID uint32) (room.Server, bool) {
		v, ok := r.boxes[0].fleet.Room(shortID)

		return room.Server{
			Capacity: room.Use{Memory: v.Capacity.TokenLayers, Slots: v.Capacity.FirstStage},
			InFlight: room.Use{Memory: v.InFlight.TokenLayers, Slots: v.InFlight.FirstStage},
		}, ok
	}}
	d := r.ledger.Decide(claim, view, r.now)
	if len(d.Full) == 0 {
		return RoomAnswer{}
	}
	for _, s := range r.boxes[0].fleet.Servers() {
		claim.Stages = append(claim.Stages, roomStage(s, s.Layers, c.Tokens))
	}

	return RoomAnswer{Full: r.boxes[0].fleet.ResolveShortIDs(r.ledger.Full(claim.Stages, claim.Limits, d.OnlySlots, view)), OnlySlots: d.OnlySlots}
}

// roomStage returns what a request needs at a server that runs the layers for it.
func roomStage(s catalog.Server, layers slatebridge.LayerRange, tokens float64) room.Stage {
	stage := room.Stage{ShortID: fleet.ShortID(s.ID), Need: room.Use{Memory: tokens * float64(layers.Len())}}
	if layers.From == 0 {
		stage.Need.Slots = 1
	}

	return stage
}

// exchangeReports gives the first box, a relay, the reports of this tick, and the other boxes those
// of the one before.
func (r *hallReplay) exchangeReports(now time.Time) {
	r.previous = slices.Clone(r.reports)
	reportedAt := make(map[string]int64)
	for i, h := range r.boxes {
		r.reports[i] = h.fleet.OwnLoads()
		reportedAt[fmt.Sprint(i)] = r.now.UnixMicro()
	}
	for i, h := range r.boxes {
		sum := make(map[slatebridge.ServerID]fleet.Load)
		reports := r.previous
		if i == 0 {
			reports = r.reports
		}
		for j, loads := range reports {
			if j == i {
				continue
			}
			for id, l := range loads {
				sum[id] = sum[id].Add(l)
			}
		}
		h.fleet.SetPeerGroupLoads("hall a", fleet.LoadsByShortID(sum))
	}
	r.ledger.SetReported(reportedAt, now)
}

func (r *hallReplay) endRequests() {
	r.running = slices.DeleteFunc(r.running, func(q runningRequest) bool {
		if r.now.Before(q.end) {
			return false
		}
		q.reservation.Release()
		r.occupy(q, -1)

		return true
	})
}

// occupy adds the use of the request to that of its servers, times the factor.
func (r *hallReplay) occupy(q runningRequest, factor float64) {
	for _, s := range q.path {
		r.used[s.Server.ID] = r.used[s.Server.ID].Add(fleet.Load{TokenLayers: factor * q.tokens * float64(s.Layers.Len())})
	}
}

// send sends one request from the box.
func (r *hallReplay) send(h *Handler) {
	const meanDuration = 2500 * time.Millisecond
	r.requests++
	q := runningRequest{tokens: 450 + 1800*r.random.Float64(), end: r.now.Add(time.Duration((0.5 + r.random.Float64()) * float64(meanDuration)))}
	q.path, q.reservation, _ = h.findPathWithRoom(context.Background(), &pathChoice{claims: maxRoomClaims}, roomQuery(q.tokens), nil)
	if q.path == nil {
		r.noRoom++

		return
	}
	model := roomModel()
	for _, s := range q.path {
		if r.used[s.Server.ID].TokenLayers+q.tokens*float64(s.Layers.Len()) > model.TokenLayerCapacity(model.Accelerators[0], s.Server.Layers.Len()) {
			r.rejected++
			q.reservation.Release()
			h.fleet.RecordRejection(s.Server.ID)

			return
		}
	}
	r.admitted++
	r.occupy(q, 1)
	r.running = append(r.running, q)
}

// TestSharedRoom checks that with the ledger the servers reject little, however many boxes choose by
// old reports, and run at least as many requests.
func TestSharedRoom(t *testing.T) {
	const (
		// maxRejectedShare is the share of the requests sent that servers may reject. Each costs a
		// retry, and the budget for retries has to last for failures too.
		maxRejectedShare = 0.05
		// minAdmittedShare is the share of what is admitted without the ledger. Boxes leave a part of
		// the memory free; without the ledger they fill that too.
		minAdmittedShare = 0.92
	)
	for _, boxes := range []int{7, 20, 60, 340} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			var before, after *hallReplay
			synctest.Test(t, func(*testing.T) { before, after = replayHall(boxes, false), replayHall(boxes, true) })
			for name, r := range map[string]*hallReplay{"without": before, "with": after} {
				t.Logf("%s: %d requests, %d admitted, %d rejected, %d without room, %d claims", name, r.requests, r.admitted, r.rejected, r.noRoom, r.claims)
			}
			if sent := after.admitted + after.rejected; float64(after.rejected) > maxRejectedShare*float64(sent) {
				t.Errorf("%d of %d rejected", after.rejected, sent)
			}
			if float64(after.admitted) < minAdmittedShare*float64(before.admitted) {
				t.Errorf("%d admitted, %d without the ledger", after.admitted, before.admitted)
			}
		})
	}
}
