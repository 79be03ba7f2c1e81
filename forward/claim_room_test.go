package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/room"
)

// roomModel has 9 layers; a server with three of them has memory for 60,000 tokens there.
func roomModel() *catalog.Model {
	return &catalog.Model{
		Layers: 9, LayerMB: 1000, KVBytesPerToken: 3e6, Slots: 192,
		Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 63000, StepTimeFactor: 1}},
	}
}

// roomServers returns n servers for each third of the layers.
func roomServers(n int) []catalog.Server {
	var out []catalog.Server
	for i := range 3 * n {
		from := 3 * (i % 3)
		out = append(out, catalog.Server{
			ID: slatebridge.ServerID(fmt.Sprintf("s%03d", i)), Service: "llm", Hall: "a", Accelerator: "big", Slots: 192,
			Layers: slatebridge.LayerRange{From: from, To: from + 3},
		})
	}

	return out
}

// newRoomHandler returns the handler of a box with the servers and a number of other boxes.
func newRoomHandler(servers []catalog.Server, peers int, now func() time.Time, f RoomFunc, opts ...fleet.Option) *Handler {
	h := &Handler{fleet: fleet.New("a", now, opts...), requestRoom: f, metrics: NewMetrics(prometheus.NewRegistry()), logger: zap.NewNop()}
	h.fleet.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: roomModel()}}, nil, false))
	h.fleet.SetPeerCounts(peers, peers)
	for _, s := range servers {
		h.fleet.Set(s)
	}

	return h
}

func roomQuery(tokens float64) fleet.Query { return fleet.Query{Service: "llm", Tokens: tokens} }

// fillTo sets the reported work of other boxes so that the share of the memory of each server is in
// use.
func fillTo(h *Handler, servers []catalog.Server, share float64) {
	loads := make(map[uint32]fleet.Load)
	for _, s := range servers {
		loads[fleet.ShortID(s.ID)] = fleet.Load{Requests: 10, TokenLayers: share * roomModel().TokenLayerCapacity(roomModel().Accelerators[0], 3)}
	}
	h.fleet.SetPeerGroupLoads("hall a", loads)
}

func TestClaimRoom(t *testing.T) {
	servers := roomServers(2)
	// find searches a path while servers are filled to the share, and returns its first server, why
	// there is none, and the number of claims.
	find := func(t *testing.T, share float64, f func(n int, c RoomClaim) (RoomAnswer, error)) (fleet.Path, fleet.Shortage, int) {
		claims := 0
		h := newRoomHandler(servers, 20, time.Now, func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
			claims++

			return f(claims, c)
		})
		fillTo(h, servers, share)
		path, reservation, shortage := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(100), nil)
		reservation.Release()

		return path, shortage, claims
	}
	check := func(t *testing.T, share float64, f func(n int, c RoomClaim) (RoomAnswer, error), found bool, wantClaims int) (path fleet.Path) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var shortage fleet.Shortage
			var claims int
			path, shortage, claims = find(t, share, f)
			if (path != nil) != found || (shortage == fleet.NoShortage) != found || claims != wantClaims {
				t.Errorf("path %s, shortage %s, %d claims; want %d", path, shortage, claims, wantClaims)
			}
		})

		return path
	}
	grant := func(int, RoomClaim) (RoomAnswer, error) { return RoomAnswer{}, nil }
	t.Run("no claim with plenty of room", func(t *testing.T) { check(t, 0.3, grant, true, 0) })
	t.Run("granted", func(t *testing.T) { check(t, 0.91, grant, true, 1) })
	t.Run("nobody answers", func(t *testing.T) {
		check(t, 0.91, func(int, RoomClaim) (RoomAnswer, error) { return RoomAnswer{}, errors.New("silence") }, true, 1)
	})
	t.Run("another path after a refusal", func(t *testing.T) {
		var refused slatebridge.ServerID
		check(t, 0.91, func(n int, c RoomClaim) (RoomAnswer, error) {
			if n > 1 {
				if c.Path.Contains(refused) {
					t.Errorf("%s was chosen again", refused)
				}

				return RoomAnswer{}, nil
			}
			refused = c.Path[1].Server.ID

			return RoomAnswer{Full: []slatebridge.ServerID{refused}}, nil
		}, true, 2)
	})
	t.Run("no path left", func(t *testing.T) {
		check(t, 0.91, func(int, RoomClaim) (RoomAnswer, error) {
			return RoomAnswer{Full: []slatebridge.ServerID{"s000", "s003"}}, nil
		}, false, 1)
	})
	t.Run("only slots are missing", func(t *testing.T) {
		check(t, 0.91, func(_ int, c RoomClaim) (RoomAnswer, error) {
			if c.Limits.Slots > 0 {
				return RoomAnswer{Full: []slatebridge.ServerID{"s000", "s003"}, OnlySlots: true}, nil
			}

			return RoomAnswer{}, nil
		}, true, 2)
	})
	t.Run("a path without full servers after the last refusal", func(t *testing.T) {
		servers = roomServers(8)
		var full []slatebridge.ServerID
		path := check(t, 0.91, func(_ int, c RoomClaim) (RoomAnswer, error) {
			full = append(full, c.Path[0].Server.ID)

			return RoomAnswer{Full: full[len(full)-1:]}, nil
		}, true, maxRoomClaims)
		for _, id := range full {
			if path.Contains(id) {
				t.Errorf("%s is full, and on %s", id, path)
			}
		}
	})
	t.Run("no such path after the last refusal", func(t *testing.T) {
		check(t, 0.91, func(n int, c RoomClaim) (RoomAnswer, error) {
			full := []slatebridge.ServerID{c.Path[0].Server.ID}
			for _, s := range servers {
				if n == maxRoomClaims && s.Layers.From == 0 {
					full = append(full, s.ID)
				}
			}

			return RoomAnswer{Full: full}, nil
		}, false, maxRoomClaims)
	})
}

// TestClaimDeadline checks that all claims for one choice of a path take at most maxRoomWait, and that
// the box then decides by its own view.
func TestClaimDeadline(t *testing.T) {
	slowly := func(d time.Duration, refuse bool) RoomFunc {
		return func(ctx context.Context, c RoomClaim) (RoomAnswer, error) {
			select {
			case <-ctx.Done():
				return RoomAnswer{}, context.Cause(ctx)
			case <-time.After(d):
			}
			if refuse {
				return RoomAnswer{Full: []slatebridge.ServerID{c.Path[0].Server.ID}}, nil
			}

			return RoomAnswer{}, errors.New("silence")
		}
	}
	for name, f := range map[string]RoomFunc{
		"slow refusals": slowly(25*time.Millisecond, true),
		"silence":       slowly(30*time.Millisecond, false),
		"very slow":     slowly(time.Second, true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := roomServers(8)
				h := newRoomHandler(servers, 20, time.Now, f)
				fillTo(h, servers, 0.91)
				began, choice := time.Now(), &pathChoice{claims: maxRoomClaims}
				for range 2 {
					if path, reservation, _ := h.findPathWithRoom(t.Context(), choice, roomQuery(100), nil); path == nil {
						t.Error("no path")
					} else {
						reservation.Release()
					}
				}
				if took := time.Since(began); took > maxRoomWait {
					t.Errorf("%s, want at most %s", took, maxRoomWait)
				}
			})
		})
	}
}

// TestRoomNotShared checks that decisions are the same without a ledger, in a hall with one box, and
// for a model whose limits are unknown.
func TestRoomNotShared(t *testing.T) {
	servers := roomServers(3)
	now := time.Unix(1000, 0)
	refuse := func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
		t.Errorf("room claimed for %s", c.Path)

		return RoomAnswer{Full: []slatebridge.ServerID{c.Path[0].Server.ID}}, errors.New("unexpected claim")
	}
	// paths returns the paths of requests of different sizes until no room is left.
	paths := func(h *Handler) []string {
		var out []string
		for i := range 1200 {
			path, _, shortage := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(float64(100+37*(i%11))), nil)
			out = append(out, path.String()+" "+shortage.String())
		}

		return out
	}
	random := func() fleet.Option { return fleet.WithRandom(rand.New(rand.NewPCG(1, 2)).Float64) }
	newHandler := func(peers int, f RoomFunc) *Handler {
		return newRoomHandler(servers, peers, func() time.Time { return now }, f, random())
	}
	withoutSlots := func(peers int) *Handler {
		h := newHandler(peers, refuse)
		m := roomModel()
		m.Slots = 0
		h.fleet.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))

		return h
	}
	for _, peers := range []int{0, 20} {
		want := paths(newHandler(peers, nil))
		if !slices.ContainsFunc(want, func(s string) bool { return s == " "+fleet.NoCapacity.String() }) {
			t.Fatal("the servers were never full")
		}
		if diff := cmp.Diff(want, paths(withoutSlots(peers))); diff != "" {
			t.Errorf("%d peers, a model without slots: %s", peers, diff)
		}
		if peers > 0 {
			continue
		}
		if diff := cmp.Diff(want, paths(newHandler(peers, refuse))); diff != "" {
			t.Errorf("the only box: %s", diff)
		}
	}
}

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

// TestStreamClaimsRoom checks that a stream at a nearly full server claims room within the limits of
// its priority, and that it is refused like others without room if the ledger has none.
func TestStreamClaimsRoom(t *testing.T) {
	for name, v := range map[string]struct {
		answer RoomAnswer
		want   string
	}{
		"granted": {RoomAnswer{}, ""},
		"refused": {RoomAnswer{Full: []slatebridge.ServerID{"s"}}, noRoom},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRoomFixture(0)
				f.handler.fleet.SetPeerCounts(20, 60)
				f.fill(t, 800)
				var claims []RoomClaim
				f.handler.requestRoom = func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
					claims = append(claims, c)

					return v.answer, nil
				}
				s := f.stream(0, 50)
				s.ctx = t.Context()
				wantRefusal(t, s, v.want)
				want := RoomClaim{Service: "llm", Path: fleet.Path{{Server: f.server(), Layers: f.server().Layers}}, Tokens: s.kvTokens(), Limits: fleet.LimitsWithReserve(0, 0), Halls: []slatebridge.HallID{"a"}, Urgent: true}
				if diff := cmp.Diff([]RoomClaim{want}, claims); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestWaitingStreamClaims checks that a stream that waits for a path claims at most one at a time.
func TestWaitingStreamClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, claims, servers := time.Now(), make(map[time.Duration]int), roomServers(8)
		f := newRoomFixture(0)
		f.handler.fleet = newRoomHandler(servers, 20, time.Now, nil).fleet
		fillTo(f.handler, servers, 0.91)
		f.handler.requestRoom = func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
			n := time.Since(began)
			claims[n]++
			full := []slatebridge.ServerID{c.Path[0].Server.ID}
			for _, s := range servers {
				if n == 0 && claims[n] == maxRoomClaims {
					full = append(full, s.ID)
				}
			}

			return RoomAnswer{Full: full}, nil
		}
		s := f.stream(0, 50)
		s.ctx, s.lastEventAt, s.headWritten = t.Context(), began, true
		if path, _, e := s.awaitPath(); path == nil {
			t.Error(e)
		}
		if diff := cmp.Diff(map[time.Duration]int{0: maxRoomClaims, 3 * pathPollInterval: 1}, claims); diff != "" {
			t.Error(diff)
		}
	})
}

// TestUnansweredClaims checks that claims without an answer are logged once a second, with their number.
func TestUnansweredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRoomHandler(roomServers(2), 20, time.Now, func(context.Context, RoomClaim) (RoomAnswer, error) {
			return RoomAnswer{}, errors.New("silence")
		})
		core, logs := observer.New(zap.InfoLevel)
		h.logger = zap.New(core)
		fillTo(h, roomServers(2), 0.91)
		for range 25 {
			_, reservation, _ := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(100), nil)
			reservation.Release()
			time.Sleep(minLogInterval / 10)
		}
		var claims []any
		for _, l := range logs.All() {
			claims = append(claims, l.ContextMap()["claims"])
		}
		if diff := cmp.Diff([]any{int64(1), int64(10), int64(10)}, claims); diff != "" {
			t.Error(diff)
		}
	})
}

// TestNoFreeSlot checks that a request which may wait for a slot is claimed at once without one if no
// server has a slot.
func TestNoFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits []float64
		h := newRoomHandler(roomServers(2), 20, time.Now, func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
			limits = append(limits, c.Limits.Slots)

			return RoomAnswer{}, nil
		})
		fillTo(h, roomServers(2), 0.91)
		loads := map[uint32]fleet.Load{fleet.ShortID("s000"): {Requests: 192, FirstStage: 192}, fleet.ShortID("s003"): {Requests: 192, FirstStage: 192}}
		h.fleet.SetPeerGroupLoads("hall b", loads)
		path, _, _ := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(100), nil)
		if diff := cmp.Diff([]float64{0}, limits); diff != "" || path == nil || h.fleet.HasFirstServer(fleet.Query{Service: "llm", Tokens: 10, Limits: fleet.Limits{Slots: 1}}) {
			t.Errorf("path %s, limits of the slots: %s", path, diff)
		}
	})
}

// server returns the entry of the only server.
func (f *roomFixture) server() catalog.Server {
	s, _ := f.handler.fleet.Server("s")

	return s
}
