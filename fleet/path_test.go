package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// testModel has 8 layers of 1 GB. An accelerator of 5 GB that holds 4 of them has 1 GB left, enough
// for the KV cache of 1000 tokens in these layers.
func testModel() *catalog.Model {
	return &catalog.Model{
		Layers: 8, LayerMB: 1000, KVBytesPerToken: 2e6, StepTime: time.Millisecond,
		Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 5000, StepTimeFactor: 1}},
	}
}

// testServer is a server of a test fleet.
type testServer struct {
	id       string
	hall     slatebridge.HallID
	from, to int
}

func newTestFleet(servers ...testServer) *Fleet {
	f := New("a", time.Now, WithRandom(func() float64 { return 0.5 }))
	f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: testModel()}}, nil, false))
	for _, s := range servers {
		f.Set(catalog.Server{
			ID: slatebridge.ServerID(s.id), Service: "llm", Hall: s.hall, Accelerator: "big", Address: s.id + ":80",
			Layers: slatebridge.LayerRange{From: s.from, To: s.to},
		})
	}

	return f
}

// wantPath fails the test unless the next path is the given one.
func wantPath(t *testing.T, f *Fleet, q Query, want string) *Reservation {
	t.Helper()
	q.Service = "llm"
	path, reservation, short := f.FindPath(q)
	got := path.String()
	if path == nil {
		got = fmt.Sprintf("none: %s", short)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	return reservation
}

func TestPath(t *testing.T) {
	twoHalls := []testServer{{"a1", "a", 0, 4}, {"a2", "a", 4, 8}, {"b1", "b", 0, 4}, {"b2", "b", 4, 8}}
	t.Run("stays in the hall of the box", func(t *testing.T) {
		wantPath(t, newTestFleet(twoHalls...), Query{Tokens: 10}, "a1[0,4)>a2[4,8)")
	})
	t.Run("starts in another hall rather than hop between halls", func(t *testing.T) {
		f := newTestFleet(twoHalls...)
		f.Suspect("a2", time.Now().Add(time.Minute))
		wantPath(t, f, Query{Tokens: 10}, "b1[0,4)>b2[4,8)")
	})
	t.Run("hops between halls if no hall has all layers", func(t *testing.T) {
		f := newTestFleet(twoHalls...)
		f.Suspect("a2", time.Now().Add(time.Minute))
		f.Suspect("b1", time.Now().Add(time.Minute))
		wantPath(t, f, Query{Tokens: 10}, "a1[0,4)>b2[4,8)")
	})
	t.Run("uses two of three overlapping servers", func(t *testing.T) {
		wantPath(t, newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 2, 6}, testServer{"a3", "a", 4, 8}),
			Query{Tokens: 10, Exclude: []slatebridge.ServerID{"b"}}, "a1[0,4)>a3[4,8)")
	})
	t.Run("excludes full servers", func(t *testing.T) {
		f := newTestFleet(twoHalls...)
		wantPath(t, f, Query{Tokens: 800}, "a1[0,4)>a2[4,8)")
		wantPath(t, f, Query{Tokens: 800}, "b1[0,4)>b2[4,8)")
		reservation := wantPath(t, f, Query{Tokens: 800}, "none: no capacity left on servers or links")
		reservation.Release()
	})
	t.Run("released reservations free memory", func(t *testing.T) {
		f := newTestFleet(twoHalls[:2]...)
		reservation := wantPath(t, f, Query{Tokens: 800}, "a1[0,4)>a2[4,8)")
		reservation.Release()
		reservation.Release()
		wantPath(t, f, Query{Tokens: 800}, "a1[0,4)>a2[4,8)")
	})
	t.Run("counts the load of other boxes", func(t *testing.T) {
		f := newTestFleet(twoHalls[:2]...)
		f.SetPeerGroupLoads("hall a", LoadsByShortID(map[slatebridge.ServerID]Load{"a1": {Requests: 1, TokenLayers: 3600}}))
		wantPath(t, f, Query{Tokens: 800}, "none: no capacity left on servers or links")
		f.SetPeerGroupLoads("hall a", nil)
		wantPath(t, f, Query{Tokens: 800}, "a1[0,4)>a2[4,8)")
	})
	t.Run("avoids a first server with few free slots", func(t *testing.T) {
		f := newTestFleet(append(twoHalls[:2:2], testServer{"a3", "a", 0, 4})...)
		for _, id := range []slatebridge.ServerID{"a1", "a3"} {
			s, _ := f.Server(id)
			s.Slots = 10
			f.Set(s)
		}
		// a1 has less memory in use than a3, but more requests entered there.
		f.SetPeerGroupLoads("hall a", LoadsByShortID(map[slatebridge.ServerID]Load{"a1": {TokenLayers: 100, FirstStage: 9}, "a3": {TokenLayers: 600, FirstStage: 1}}))
		wantPath(t, f, Query{Tokens: 10}, "a3[0,4)>a2[4,8)")
	})
	t.Run("anticipates unreported load of peers, which decays", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(twoHalls...)
			f.SetPeerGroupLoads("hall a", LoadsByShortID(map[slatebridge.ServerID]Load{"b1": {TokenLayers: 1000}, "b2": {TokenLayers: 1000}}))
			wantPath(t, f, Query{Tokens: 30}, "a1[0,4)>a2[4,8)")
			f.SetPeerCounts(20, 20)
			wantPath(t, f, Query{Tokens: 30}, "b1[0,4)>b2[4,8)")
			time.Sleep(3 * time.Second)
			wantPath(t, f, Query{Tokens: 30}, "a1[0,4)>a2[4,8)")
		})
	})
	t.Run("excludes leaving servers and those with missing layers", func(t *testing.T) {
		f := newTestFleet(twoHalls...)
		s, _ := f.Server("a1")
		s.Leaving = true
		f.Set(s)
		f.RecordMissingLayers("b1")
		wantPath(t, f, Query{Tokens: 10}, "none: no path through available servers")
	})
	t.Run("honors the given first server", func(t *testing.T) {
		f := newTestFleet(twoHalls...)
		wantPath(t, f, Query{Tokens: 10, FirstServer: "b1"}, "b1[0,4)>b2[4,8)")
		wantPath(t, f, Query{Tokens: 10, FirstServer: "a2"}, "none: no path through available servers")
	})
}

// wantFullCoverage fails the test unless the path runs every layer of the test model once, on
// distinct servers that hold them.
func wantFullCoverage(t *rapid.T, p Path) {
	t.Helper()
	ranges := make([]slatebridge.LayerRange, 0, len(p))
	for _, s := range p {
		ranges = append(ranges, s.Layers)
		if s.Layers.From < s.Server.Layers.From || s.Layers.To > s.Server.Layers.To {
			t.Fatalf("%s does not hold %s", s.Server.ID, s.Layers)
		}
	}
	if !slatebridge.CoversExactly(ranges, 8) || !p.hasDistinctServers() {
		t.Fatalf("%s does not run every layer once, on different servers", p)
	}
}

// TestPathsCoverEveryLayerOnce checks on random fleets that every path runs each layer once and in
// order on servers that hold it, and that no server is reserved beyond its memory.
func TestPathsCoverEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []testServer
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			from := rapid.IntRange(0, 7).Draw(t, "from")
			to := rapid.IntRange(from+1, min(8, from+4)).Draw(t, "to")
			hall := slatebridge.HallID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"))
			servers = append(servers, testServer{fmt.Sprintf("s%02d", i), hall, from, to})
		}
		f := newTestFleet(servers...)
		for range 20 {
			path, _, _ := f.FindPath(Query{Service: "llm", Tokens: float64(rapid.IntRange(1, 900).Draw(t, "tokens"))})
			if path == nil {
				continue
			}
			wantFullCoverage(t, path)
		}
		for _, m := range f.members {
			if m.ownLoad.TokenLayers > maxPlannedFill*m.capacity() {
				t.Fatalf("%s: reserved %.0f of %.0f", m.ID, m.ownLoad.TokenLayers, m.capacity())
			}
		}
	})
}

func TestPick(t *testing.T) {
	newFleet := func() *Fleet {
		f := New("a", time.Now, WithRandom(func() float64 { return 0.5 }))
		for _, s := range []catalog.Server{
			{ID: "p1", Service: "till", Hall: "a", Slots: 6},
			{ID: "p2", Service: "till", Hall: "b", Slots: 6},
		} {
			f.Set(s)
		}

		return f
	}
	want := func(t *testing.T, f *Fleet, id slatebridge.ServerID) {
		t.Helper()
		s, _, _ := f.Pick("till", nil)
		if s.ID != id {
			t.Errorf("picked %s, want %s", s.ID, id)
		}
	}
	t.Run("prefers the own hall", func(t *testing.T) { want(t, newFleet(), "p1") })
	t.Run("avoids a failing server", func(t *testing.T) {
		f := newFleet()
		f.RecordResponse("p1", false, time.Millisecond)
		want(t, f, "p2")
	})
	t.Run("avoids a slow server", func(t *testing.T) {
		f := newFleet()
		for range 5 {
			f.RecordResponse("p1", true, time.Second)
		}
		want(t, f, "p2")
	})
	t.Run("avoids a full server", func(t *testing.T) {
		f := newFleet()
		f.RecordRejection("p1")
		want(t, f, "p2")
	})
	t.Run("finds none if all are suspected", func(t *testing.T) {
		f := newFleet()
		f.Suspect("p1", time.Now().Add(time.Minute))
		f.Suspect("p2", time.Now().Add(time.Minute))
		if _, _, ok := f.Pick("till", nil); ok {
			t.Error("a suspected server was picked")
		}
	})
}

// wantRepair fails the test unless the path is repaired to the given one.
func wantRepair(t *testing.T, f *Fleet, q Query, p Path, want string) {
	t.Helper()
	q.Service = "llm"
	path, _, short := f.Repair(q, p)
	got := path.String()
	if path == nil {
		got = fmt.Sprintf("none: %s", short)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestRepair(t *testing.T) {
	servers := []testServer{
		{"a1", "a", 0, 3}, {"a2", "a", 3, 5}, {"a3", "a", 5, 8}, {"a4", "a", 2, 6},
	}
	path := func(t *testing.T, f *Fleet) Path {
		t.Helper()
		var p Path
		for _, id := range []slatebridge.ServerID{"a1", "a2", "a3"} {
			s, _ := f.Server(id)
			p = append(p, Stage{Server: s, Layers: s.Layers})
		}

		return p
	}
	exclude := func(ids ...slatebridge.ServerID) Query { return Query{Tokens: 10, Exclude: ids} }
	t.Run("keeps other stages and uses part of a server's layers", func(t *testing.T) {
		f := newTestFleet(servers...)
		wantRepair(t, f, exclude("a2"), path(t, f), "a1[0,3)>a4[3,5)>a3[5,8)")
	})
	t.Run("replaces adjacent stages by servers with other layer ranges", func(t *testing.T) {
		f := newTestFleet(append(servers[:3:3], testServer{"a5", "a", 2, 6}, testServer{"a6", "a", 6, 8})...)
		wantRepair(t, f, exclude("a2", "a3"), path(t, f), "a1[0,3)>a5[3,6)>a6[6,8)")
	})
	t.Run("stays in the hall of the adjacent stages", func(t *testing.T) {
		f := newTestFleet(append(servers[:3:3], testServer{"b1", "b", 3, 7}, testServer{"b2", "b", 2, 6}, testServer{"a5", "a", 2, 5})...)
		wantRepair(t, f, exclude("a2"), path(t, f), "a1[0,3)>a5[3,5)>a3[5,8)")
	})
	t.Run("can't replace the first server", func(t *testing.T) {
		f := newTestFleet(servers...)
		wantRepair(t, f, exclude("a1"), path(t, f), "none: no path through available servers")
	})
	t.Run("excludes a server without free memory", func(t *testing.T) {
		f := newTestFleet(servers...)
		f.SetPeerGroupLoads("hall a", LoadsByShortID(map[slatebridge.ServerID]Load{"a4": {Requests: 1, TokenLayers: 3900}}))
		wantRepair(t, f, exclude("a2"), path(t, f), "none: no capacity left on servers or links")
	})
	t.Run("reserves memory on the new path", func(t *testing.T) {
		f := newTestFleet(servers...)
		_, reservation, _ := f.Repair(Query{Service: "llm", Tokens: 10, Exclude: []slatebridge.ServerID{"a2"}}, path(t, f))
		want := map[slatebridge.ServerID]Load{"a1": {Requests: 1, TokenLayers: 30, FirstStage: 1}, "a4": {Requests: 1, TokenLayers: 20}, "a3": {Requests: 1, TokenLayers: 30}}
		if diff := cmp.Diff(want, f.OwnLoads()); diff != "" {
			t.Error(diff)
		}
		reservation.Release()
	})
}

// TestRepairedPathsCoverEveryLayerOnce checks on random fleets that a repaired path runs every
// layer once on distinct servers that hold it, and keeps all other stages.
func TestRepairedPathsCoverEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []testServer
		for i := range rapid.IntRange(4, 16).Draw(t, "servers") {
			from := rapid.IntRange(0, 7).Draw(t, "from")
			to := rapid.IntRange(from+1, min(8, from+4)).Draw(t, "to")
			servers = append(servers, testServer{fmt.Sprintf("s%02d", i), "a", from, to})
		}
		f := newTestFleet(servers...)
		p, _, _ := f.FindPath(Query{Service: "llm", Tokens: 10})
		if p == nil {
			return
		}
		var lost []slatebridge.ServerID
		for _, s := range p {
			if rapid.Bool().Draw(t, "lost") {
				lost = append(lost, s.Server.ID)
			}
		}
		next, _, _ := f.Repair(Query{Service: "llm", Tokens: 10, Exclude: lost}, p)
		if next == nil {
			return
		}
		wantFullCoverage(t, next)
		for _, id := range lost {
			if next.Contains(id) {
				t.Fatalf("%s contains the excluded server %s", next, id)
			}
		}
		for _, s := range p {
			if !slices.Contains(lost, s.Server.ID) && !slices.Contains(next, s) {
				t.Fatalf("%s does not keep %s of %s", next, s.Server.ID, p)
			}
		}
	})
}

func TestLimits(t *testing.T) {
	servers := []testServer{{"a1", "a", 0, 4}, {"a2", "a", 4, 8}}
	const path = "a1[0,4)>a2[4,8)"
	// filled returns a fleet whose servers have memory for 1000 tokens, of which some are in use.
	filled := func(t *testing.T, tokens float64) *Fleet {
		t.Helper()
		f := newTestFleet(servers...)
		wantPath(t, f, Query{Tokens: tokens}, path)

		return f
	}
	const (
		full      = "none: no capacity left on servers or links"
		slotsFull = "none: no slots or capacity left"
		kept      = "none: the room left is kept"
	)
	t.Run("a reserve is kept free", func(t *testing.T) {
		wantPath(t, filled(t, 850), Query{Tokens: 10, Limits: LimitsWithReserve(0.1, 0)}, kept)
		wantPath(t, filled(t, 850), Query{Tokens: 10, Limits: LimitsWithReserve(0, 0)}, path)
	})
	t.Run("it does not depend on the size of the request", func(t *testing.T) {
		for _, tokens := range []float64{1, 100, 200} {
			wantPath(t, filled(t, 700), Query{Tokens: tokens, Limits: LimitsWithReserve(0.2, 0)}, path)
			want := kept
			if 730+tokens > 920 {
				want = full
			}
			wantPath(t, filled(t, 730), Query{Tokens: tokens, Limits: LimitsWithReserve(0.2, 0)}, want)
		}
		wantPath(t, filled(t, 700), Query{Tokens: 230, Limits: LimitsWithReserve(0.2, 0)}, full)
	})
	t.Run("a higher limit than the usual one holds for the sum", func(t *testing.T) {
		wantPath(t, filled(t, 900), Query{Tokens: 50, Limits: Limits{Memory: 0.97}}, path)
		wantPath(t, filled(t, 900), Query{Tokens: 80, Limits: Limits{Memory: 0.97}}, full)
	})
	t.Run("slots bound the first server only", func(t *testing.T) {
		f := newTestFleet(servers...)
		for _, s := range f.Servers() {
			s.Slots = 10
			f.Set(s)
		}
		f.SetPeerGroupLoads("b", LoadsByShortID(map[slatebridge.ServerID]Load{"a1": {FirstStage: 8}, "a2": {FirstStage: 10}}))
		wantPath(t, f, Query{Tokens: 1, Limits: LimitsWithReserve(0, 0.2)}, kept)
		wantPath(t, f, Query{Tokens: 1, Limits: LimitsWithReserve(0, 0.1)}, path)
	})
	t.Run("an idle server with few slots takes a request", func(t *testing.T) {
		for _, slots := range []int{1, 2, 3} {
			f := newTestFleet(servers...)
			for _, s := range f.Servers() {
				s.Slots = slots
				f.Set(s)
			}
			wantPath(t, f, Query{Tokens: 1, Limits: LimitsWithReserve(0, 0.2)}, path)
			f.SetPeerGroupLoads("b", LoadsByShortID(map[slatebridge.ServerID]Load{"a1": {FirstStage: float64(slots)}}))
			wantPath(t, f, Query{Tokens: 1, Limits: LimitsWithReserve(0, 0)}, slotsFull)
		}
	})
	t.Run("a search reserves nothing", func(t *testing.T) {
		f := newTestFleet(servers...)
		for range 2 {
			if q := (Query{Service: "llm", Tokens: 900}); !f.HasPath(q, nil) || f.HasPath(q, []slatebridge.ServerID{"a2"}) {
				t.Error("there is no path from a1, or one from a2")
			}
		}
	})
}

func TestRequestCapacity(t *testing.T) {
	f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8}, testServer{"b1", "b", 0, 4}, testServer{"b2", "b", 2, 4})
	f.Suspect("b1", time.Now().Add(time.Minute))
	for _, s := range f.Servers() {
		s.Slots = 10
		f.Set(s)
	}
	if tokens, slots := f.RequestCapacity("llm"); tokens != 1000 || slots != 10 {
		t.Errorf("memory for %.0f tokens and %.0f slots, want 1000 and 10", tokens, slots)
	}
	if tokens, slots := f.RequestCapacity("other"); tokens != 0 || slots != 0 {
		t.Errorf("memory for %.0f tokens and %.0f slots at a service without servers", tokens, slots)
	}
}
