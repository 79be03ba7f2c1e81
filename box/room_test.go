package box

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/internal/standin/memnet"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/room"
)

// roomServer has memory for 1,000 tokens, of which 920 may be reserved.
var roomServer = catalog.Server{ID: "a1", Service: "llm", Hall: "a", Accelerator: "big", Slots: 100, Layers: slatebridge.LayerRange{To: 4}}

// setRoomModel gives the box the model and the only server of these tests.
func setRoomModel(b *Box) {
	m := &catalog.Model{Layers: 4, LayerMB: 1000, KVBytesPerToken: 1e6, Slots: 100, Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 5000}}}
	b.fleet.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))
	b.fleet.Set(roomServer)
}

// reserveAndClaim reserves room for a request of the tokens at the server, as requests do, and
// claims it. It reports whether the claim was granted; the error says that nobody decided.
func reserveAndClaim(ctx context.Context, t *testing.T, b *Box, tokens float64) (bool, error) {
	t.Helper()
	path, reservation, _ := b.fleet.FindPath(fleet.Query{Service: "llm", Tokens: tokens})
	if path == nil {
		t.Fatal("no path")
	}
	answer, err := b.rooms.claim(ctx, forward.RoomClaim{Service: "llm", Path: path, Tokens: tokens, Halls: []slatebridge.HallID{"a"}})
	if err != nil || len(answer.Full) > 0 {
		reservation.Release()
	}

	return err == nil && len(answer.Full) == 0, err
}

// startRoomBoxes starts boxes in hall a and waits until they decide on claims. It returns the box
// that holds the ledger and the other boxes.
func startRoomBoxes(t *testing.T, network *memnet.Network) (holder *Box, others []*Box) {
	t.Helper()
	const n = 5
	boxes := startBoxesInHalls(t, network, map[slatebridge.HallID]int{"a": 1}, n, Bounds{MaxStaleness: 2 * time.Second, MaxRevocationDelay: 5 * time.Second, RetryWindow: time.Second})
	for _, b := range boxes {
		setRoomModel(b)
	}
	// Tests begin and end between two rounds of gossip.
	time.Sleep(6*time.Second + tickInterval/2)
	i := slices.IndexFunc(boxes, holdsRoomLedger)
	if i < 0 {
		t.Fatal("no box holds the ledger")
	}

	return boxes[i], slices.Delete(slices.Clone(boxes), i, i+1)
}

func holdsRoomLedger(b *Box) bool { return b.rooms.holdsLedger("llm", "a") }

func wantClaim(t *testing.T, b *Box, tokens float64, granted bool) {
	t.Helper()
	if got, err := reserveAndClaim(t.Context(), t, b, tokens); got != granted || err != nil {
		t.Errorf("claim of %s: granted %t, %v; want %t", b.settings.Box, got, err, granted)
	}
}

func wantUndecided(t *testing.T, b *Box, within time.Duration) {
	t.Helper()
	began := time.Now()
	if granted, err := reserveAndClaim(t.Context(), t, b, 1); granted || err == nil || time.Since(began) > within {
		t.Errorf("claim of %s: granted %t, %v, after %s", b.settings.Box, granted, err, time.Since(began))
	}
}

// TestSharedLedger checks that boxes which have not heard of each other's requests do not fill a
// server beyond its limit together, and that the room is there again once the requests have ended.
func TestSharedLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, others := startRoomBoxes(t, memnet.New())
		wantClaim(t, others[0], 400, true)
		wantClaim(t, others[1], 300, true)
		wantClaim(t, holder, 100, true)
		wantClaim(t, others[3], 200, false)
		wantClaim(t, others[2], 120, true)
		wantClaim(t, holder, 1, false)
		time.Sleep(time.Second)
		holder.rooms.mu.Lock()
		n := holder.rooms.ledgers["llm"].Len()
		holder.rooms.mu.Unlock()
		if n != 0 {
			t.Errorf("%d claims count beside the reports that contain them", n)
		}
		if r, _ := holder.fleet.Room(fleet.ShortID("a1")); r.InFlight.TokenLayers != 920*4 {
			t.Errorf("%.0f reserved", r.InFlight.TokenLayers)
		}
	})
}

// TestLedgerHolderLost checks that requests hardly wait for a holder that has died, and that its
// successor decides by the reports once it has waited for them.
func TestLedgerHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		holder, others := startRoomBoxes(t, network)
		wantClaim(t, others[0], 500, true)
		wantClaim(t, holder, 300, true)
		host, _, _ := net.SplitHostPort(holder.settings.Listen.Mesh)
		network.Freeze(host)
		defer network.Thaw(host)
		wantUndecided(t, others[0], roomTimeout)
		wantUndecided(t, others[0], 0)
		next := -1
		for range 20 {
			time.Sleep(tickInterval)
			if next = slices.IndexFunc(others, holdsRoomLedger); next >= 0 {
				break
			}
		}
		if next < 0 {
			t.Fatal("no other box holds the ledger")
		}
		wantUndecided(t, others[next], 0)
		time.Sleep(roomShareMemory + handoverDelay)
		wantClaim(t, others[1], 400, true)
		wantClaim(t, others[2], 50, false)
	})
}

// reported says that the work of no process contains claims.
var reported = map[string]int64{}

// newRoomHolder returns the rooms of a box that holds the ledger of the service, with current
// reports.
func newRoomHolder(t *testing.T) (*control, *rooms) {
	t.Helper()
	c := newTestControl(t)
	setRoomModel(c.box)
	c.box.fleet.SetPeerCounts(3, 3)
	v := newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-1"}})
	c.box.grants.setAllocators(v)
	c.box.grants.setAllocators(newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-1"}}))
	c.box.rooms.setReports(reported, 1, clock.Now())

	return c, c.box.rooms
}

// roomRequest returns the claim of a request of the tokens, with an ID.
func roomRequest(id uint64, tokens uint32) mesh.RoomMessage {
	return mesh.RoomMessage{
		ID: id, Service: "llm", Hall: "a", SentAt: int64(id), Tokens: tokens, First: true, MemoryLimit: 920, SlotLimit: 1000,
		Stages: []mesh.RoomStage{{ShortID: fleet.ShortID("a1"), Layers: 4}},
	}
}

var (
	roomGranted   = mesh.RoomMessage{Granted: true}
	roomRefused   = mesh.RoomMessage{Full: []uint32{fleet.ShortID("a1")}}
	roomUndecided = mesh.RoomMessage{}
)

func wantRoomAnswer(t *testing.T, want, got mesh.RoomMessage) {
	t.Helper()
	want.ID = got.ID
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecideOnClaims(t *testing.T) {
	t.Run("doubled claims count once", func(t *testing.T) {
		_, r := newRoomHolder(t)
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 500), clock.Now()))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 500), clock.Now()))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(2, 420), clock.Now()))
		wantRoomAnswer(t, roomRefused, r.decide(claimant{process: "p"}, roomRequest(3, 1), clock.Now()))
	})
	t.Run("released claims leave their room", func(t *testing.T) {
		_, r := newRoomHolder(t)
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 920), clock.Now()))
		for range 2 {
			r.receive(mesh.ReceivedMessage{Message: mesh.Message{Kind: mesh.RoomRelease, Boot: "p", Hall: "a", Room: &mesh.RoomMessage{ID: 1, Service: "llm"}}})
		}
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(2, 920), clock.Now()))
	})
	t.Run("a box that is lost leaves its room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, r := newRoomHolder(t)
			wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 920), clock.Now()))
			time.Sleep(2 * time.Second)
			r.setReports(reported, 1, clock.Now())
			wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "q"}, roomRequest(1, 920), clock.Now()))
		})
	})
	t.Run("boxes that are not heard keep their part", func(t *testing.T) {
		_, r := newRoomHolder(t)
		r.setReports(reported, 0.5, clock.Now())
		wantRoomAnswer(t, roomRefused, r.decide(claimant{process: "p"}, roomRequest(1, 500), clock.Now()))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(2, 450), clock.Now()))
	})
	t.Run("a holder that hears less than half of the boxes", func(t *testing.T) {
		_, r := newRoomHolder(t)
		r.setReports(reported, 0.49, clock.Now())
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 900), clock.Now()))
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(2, 1), clock.Now()))
	})
	t.Run("the work of another hall ends its claims", func(t *testing.T) {
		c, r := newRoomHolder(t)
		now := clock.Now()
		work := func(after time.Duration, shard uint32) {
			c.applyRemoteWork("b", mesh.Work{LiveBoxes: 3, ShardCount: 2, ShardIndex: shard}, now.Add(after))
			r.setRemoteReports(c.remoteReports())
		}
		ask := func(id uint64, from slatebridge.HallID) mesh.RoomMessage {
			return r.decide(claimant{process: "p", hall: from}, roomRequest(id, 460), now)
		}
		wantRoomAnswer(t, roomGranted, ask(1, "b"))
		wantRoomAnswer(t, roomGranted, ask(2, "a"))
		work(room.GroupMargin-time.Millisecond, 0)
		work(room.GroupMargin, 1)
		wantRoomAnswer(t, roomRefused, ask(3, "b"))
		work(room.GroupMargin+time.Millisecond, 0)
		wantRoomAnswer(t, roomGranted, ask(4, "b"))
		wantRoomAnswer(t, roomRefused, ask(5, "a"))
	})
	t.Run("reports that are known only as a sum", func(t *testing.T) {
		_, r := newRoomHolder(t)
		r.setReports(nil, 1, clock.Now())
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 1), clock.Now()))
		r.setReports(reported, 1, clock.Now())
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 1), clock.Now()))
	})
	t.Run("a refusal names other full servers that may receive work", func(t *testing.T) {
		c, r := newRoomHolder(t)
		for _, id := range []slatebridge.ServerID{"a2", "a3"} {
			s := roomServer
			s.ID, s.Leaving = id, id == "a3"
			c.box.fleet.Set(s)
			c.box.fleet.SetPeerGroupLoads(string(id), map[uint32]fleet.Load{fleet.ShortID(id): {Requests: 1, TokenLayers: 4000}})
		}
		want := mesh.RoomMessage{Full: []uint32{fleet.ShortID("a1"), fleet.ShortID("a2")}}
		wantRoomAnswer(t, want, r.decide(claimant{process: "p"}, roomRequest(1, 921), clock.Now()))
	})
	t.Run("unknown services are not decided on", func(t *testing.T) {
		_, r := newRoomHolder(t)
		m := roomRequest(1, 1)
		m.Service = "till"
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, m, clock.Now()))
		if len(r.ledgers) != 0 {
			t.Errorf("%d ledgers", len(r.ledgers))
		}
	})
	t.Run("another box of the hall holds the ledger", func(t *testing.T) {
		c, r := newRoomHolder(t)
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 1), clock.Now()))
		c.box.grants.setAllocators(newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-2"}}))
		wantRoomAnswer(t, mesh.RoomMessage{Holder: &relay.Candidate{Box: "box-2", Address: "box-2:1"}}, r.decide(claimant{process: "p"}, roomRequest(2, 1), clock.Now()))
		r.setReports(reported, 1, clock.Now())
		if len(r.ledgers) != 0 {
			t.Error("the ledger of another box is kept")
		}
	})
	t.Run("no box of the hall is heard", func(t *testing.T) {
		c, r := newRoomHolder(t)
		c.box.grants.setAllocators(newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": nil, "b": {"b1"}}))
		if _, err := r.claimInHall(t.Context(), forward.RoomClaim{Service: "llm", Path: fleet.Path{{Server: roomServer}}}, "a"); !errors.Is(err, errNoLedger) {
			t.Errorf("%v", err)
		}
	})
}

// TestLedgerHandover checks that a new holder, and one whose machine was suspended, decides only
// once it has the reports of the requests that another box may have granted.
func TestLedgerHandover(t *testing.T) {
	t.Run("a new holder", func(t *testing.T) {
		c, r := newRoomHolder(t)
		now := clock.Now()
		before, after := newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-2"}}), newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-1"}})
		after.asOf = now
		c.box.grants.setAllocators(before)
		c.box.grants.setAllocators(after)
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 1), now.Add(handoverDelay-time.Millisecond)))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 1), now.Add(handoverDelay)))
	})
	t.Run("a new holder, and another change right after", func(t *testing.T) {
		c, r := newRoomHolder(t)
		now := clock.Now()
		for i, halls := range []map[slatebridge.HallID][]slatebridge.BoxID{{"a": {"box-2"}}, {"a": {"box-1"}}, {"a": {"box-1"}, "b": {"box-3"}}, {"a": {"box-1"}}} {
			v := newAllocators(halls)
			v.asOf = now.Add(time.Duration(i) * tickInterval)
			c.box.grants.setAllocators(v)
		}
		since := now.Add(tickInterval)
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 1), since.Add(handoverDelay-time.Millisecond)))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 1), since.Add(handoverDelay)))
	})
	t.Run("a holder that has noticed its suspension", func(t *testing.T) {
		c, r := newRoomHolder(t)
		now := clock.Now()
		resumed := newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"box-1"}})
		resumed.asOf, resumed.resumedAt = now, now
		c.box.grants.setAllocators(resumed)
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 1), now))
		wantRoomAnswer(t, roomGranted, r.decide(claimant{process: "p"}, roomRequest(1, 1), now.Add(handoverDelay)))
	})
	t.Run("a holder whose reports are old", func(t *testing.T) {
		_, r := newRoomHolder(t)
		wantRoomAnswer(t, roomUndecided, r.decide(claimant{process: "p"}, roomRequest(1, 1), clock.Now().Add(maxRoomViewAge+time.Second)))
	})
}

// TestLateRoomAnswers checks that answers which come late, twice or unasked are dropped.
func TestLateRoomAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExchanges[mesh.RoomMessage](roomTimeout)
		var id uint64
		if _, err := x.exchange(t.Context(), "box-2", func(n uint64) { id = n }); !errors.Is(err, errUnanswered) {
			t.Errorf("%v", err)
		}
		x.deliver(id, roomGranted)
		x.deliver(id, roomGranted)
		if len(x.waiting) != 0 || !x.isSkipped("box-2") {
			t.Errorf("%d waiting, skipped %t", len(x.waiting), x.isSkipped("box-2"))
		}
		time.Sleep(skipDuration)
		if x.isSkipped("box-2") {
			t.Error("the box is never asked again")
		}
	})
}

// TestClaimRate checks that the boxes of a hall together send at most maxHallClaims a second.
func TestClaimRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 20
		r := newTestControl(t).box.rooms
		r.box.hallPeers.Store(boxes - 1)
		sent := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if r.takeClaimToken(false, clock.Now()) {
				sent++
			}
		}
		if want := 10 * maxHallClaims / boxes; sent < want || sent > want+minClaimBurst+1 {
			t.Errorf("%d claims in 10 s, want about %d", sent, want)
		}
		if !r.takeClaimToken(true, clock.Now()) {
			t.Error("no claim is left to urgent requests")
		}
	})
}

// TestHallShare checks that lost boxes of the hall count for roomShareMemory.
func TestHallShare(t *testing.T) {
	c := newTestControl(t)
	now := clock.Now()
	for _, v := range []struct {
		after time.Duration
		live  int
		want  float64
	}{{0, 4, 1}, {time.Second, 3, 0.75}, {roomShareMemory, 3, 0.75}, {roomShareMemory + time.Second, 3, 1}, {roomShareMemory + 2*time.Second, 6, 1}} {
		c.hallWork.live = v.live
		if got := c.hallShare(now.Add(v.after)); got != v.want {
			t.Errorf("share %.2f after %s, want %.2f", got, v.after, v.want)
		}
	}
}

// TestHallShareWithoutLeavers checks that a box that has announced that it leaves is not missed.
func TestHallShareWithoutLeavers(t *testing.T) {
	c := newTestControl(t)
	now := clock.Now()
	hear := func(box slatebridge.BoxID, leaving bool) {
		o := c.ensurePeer(box)
		o.lastReport.asOf = now
		c.updatePeer(o, mesh.Message{Box: box, Boot: "boot", Hall: c.settings.Hall, Leaving: leaving}, now)
		o.lastReport.asOf = now
	}
	want := func(live int, want float64) {
		t.Helper()
		c.hallWork.live = live
		if got := c.hallShare(now); got != want {
			t.Errorf("share %.2f, want %.2f", got, want)
		}
	}
	hear("box-2", false)
	hear("box-3", false)
	want(3, 1)
	hear("box-2", true)
	want(3, 1)
	hear("box-2", true)
	want(3, 1)
	c.peers["box-2"].lost = true
	want(2, 1)
	want(1, 0.5)
}

// TestReportedInShards checks that a claim counts as reported once all shards of the work of its box
// were sent later.
func TestReportedInShards(t *testing.T) {
	c := newTestControl(t)
	now := clock.Now()
	report := func(sentAt int64, index, count uint32, want int64) {
		t.Helper()
		c.onPeerMessage(&peerMessage{receivedAt: now, message: mesh.ReceivedMessage{Message: mesh.Message{
			Kind: mesh.Report, Box: "box-2", Hall: "a", Boot: "p", SentAt: sentAt, Work: mesh.Work{ShardIndex: index, ShardCount: count},
		}}})
		if got := c.peers["box-2"].completeReportAt; got != want {
			t.Errorf("after the report of %d: %d, want %d", sentAt, got, want)
		}
	}
	report(100, 0, 0, 100)
	report(200, 0, 2, 0)
	report(300, 1, 2, 200)
	report(400, 0, 2, 300)
	report(500, 2, 3, 0)
	report(600, 0, 3, 0)
	report(700, 1, 3, 500)
	report(800, 7, 3, 0)
	report(900, 0, 1, 900)
}

// TestClaimInTwoHalls checks that room claimed in one hall is released if another hall has none, and
// that a request waits for one silent holder only.
func TestClaimInTwoHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		boxes := startBoxesInHalls(t, network, map[slatebridge.HallID]int{"a": 1, "b": 2}, 4, Bounds{MaxStaleness: 2 * time.Second, MaxRevocationDelay: 5 * time.Second, RetryWindow: time.Second})
		first, second := roomServer, roomServer
		first.Layers, second.ID, second.Hall, second.Layers = slatebridge.LayerRange{To: 2}, "b1", "b", slatebridge.LayerRange{From: 2, To: 4}
		for _, b := range boxes {
			setRoomModel(b)
			b.fleet.Set(first)
			b.fleet.Set(second)
		}
		time.Sleep(6*time.Second + tickInterval/2)
		claimer := boxes[slices.IndexFunc(boxes, func(b *Box) bool { return b.settings.Hall == "a" && !holdsRoomLedger(b) })]
		roomClaim := func(tokens float64) forward.RoomClaim {
			return forward.RoomClaim{
				Service: "llm", Path: fleet.Path{{Server: first, Layers: first.Layers}, {Server: second, Layers: second.Layers}},
				Tokens: tokens, Halls: []slatebridge.HallID{"a", "b"},
			}
		}
		claim := func(tokens float64) forward.RoomAnswer {
			answer, err := claimer.rooms.claim(t.Context(), roomClaim(tokens))
			if err != nil {
				t.Error(err)
			}

			return answer
		}
		// pending returns the number of claims that the ledger of hall a counts.
		pending := func() int {
			holder := boxes[slices.IndexFunc(boxes, holdsRoomLedger)]
			holder.rooms.mu.Lock()
			defer holder.rooms.mu.Unlock()

			return holder.rooms.ledgers["llm"].Len()
		}
		if a := claim(1000); len(a.Full) != 0 || pending() != 1 {
			t.Errorf("%v is full, %d claims count", a.Full, pending())
		}
		for _, b := range boxes {
			b.fleet.SetPeerGroupLoads("test", map[uint32]fleet.Load{fleet.ShortID("b1"): {Requests: 1, TokenLayers: 1e9}})
		}
		a := claim(10)
		synctest.Wait()
		if diff := cmp.Diff([]slatebridge.ServerID{"b1"}, a.Full); diff != "" || pending() != 1 {
			t.Errorf("%d claims count, full: %s", pending(), diff)
		}
		for _, b := range boxes {
			if b != claimer {
				host, _, _ := net.SplitHostPort(b.settings.Listen.Mesh)
				network.Freeze(host)
				defer network.Thaw(host)
			}
		}
		began := time.Now()
		if _, err := claimer.rooms.claim(t.Context(), roomClaim(10)); err == nil || time.Since(began) > roomTimeout {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}
