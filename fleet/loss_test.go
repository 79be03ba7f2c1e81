package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/repair"
)

// keepRoom is a query for a new request that leaves room for streams of lost servers.
func keepRoom(tokens float64) Query {
	return Query{Service: "llm", Tokens: tokens, Limits: Limits{KeepForRepairs: true}}
}

// lossFleet is a fleet of two servers for each half of the layers, with one large stream on the path
// a1, a2.
func lossFleet(t *testing.T) *Fleet {
	t.Helper()
	f := newTestFleet(testServer{"a0", "a", 0, 4}, testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8}, testServer{"a3", "a", 4, 8})
	wantPath(t, f, Query{Tokens: 700, Exclude: []slatebridge.ServerID{"a0", "a3"}}, "a1[0,4)>a2[4,8)")

	return f
}

// TestRoomForRepairs checks that new requests leave the memory that streams of a lost server need at
// its replacement, as long as there is another path.
func TestRoomForRepairs(t *testing.T) {
	const inRemoteHall = "b1[0,4)>b2[4,8)"
	const atReplacement = "a0[0,4)>a3[4,8)"
	for name, v := range map[string]struct {
		lose func(f *Fleet)
		// remote is set if another hall has the layers as well.
		remote bool
		want   string
	}{
		"a server is suspect":    {func(f *Fleet) { f.Suspect("a2", f.now().Add(time.Minute)) }, true, inRemoteHall},
		"a server has restarted": {func(f *Fleet) { f.RetireIncarnation("a2") }, true, inRemoteHall},
		"there is no other path": {func(f *Fleet) { f.RetireIncarnation("a2") }, false, atReplacement},
		"the server is trusted again": {func(f *Fleet) {
			f.Suspect("a2", f.now().Add(time.Minute))
			f.Trust("a2")
			f.members["a2"].Leaving = true
		}, true, atReplacement},
		"the loss is older than callers wait":   {func(f *Fleet) { f.Suspect("a2", f.now().Add(time.Minute)); time.Sleep(2 * maxLossAge) }, true, atReplacement},
		"no server is lost, one leaves":         {func(f *Fleet) { f.members["a2"].Leaving = true }, true, atReplacement},
		"an operator has removed a free server": {func(f *Fleet) { f.Remove("a2", time.Time{}) }, true, atReplacement},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := lossFleet(t)
				if v.remote {
					for _, s := range []testServer{{"b1", "b", 0, 4}, {"b2", "b", 4, 8}} {
						f.Set(catalog.Server{ID: slatebridge.ServerID(s.id), Service: "llm", Hall: s.hall, Accelerator: "big", Layers: slatebridge.LayerRange{From: s.from, To: s.to}})
					}
				}
				v.lose(f)
				wantPath(t, f, keepRoom(450), v.want)
			})
		})
	}
}

// TestRoomShrinksWithRepairs checks that the kept memory is given free as the streams are repaired.
func TestRoomShrinksWithRepairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8}, testServer{"a3", "a", 4, 8})
		var streams []*Reservation
		for range 4 {
			streams = append(streams, wantPath(t, f, Query{Tokens: 100, Exclude: []slatebridge.ServerID{"a3"}}, "a1[0,4)>a2[4,8)"))
		}
		f.Suspect("a2", time.Now().Add(time.Minute))
		var kept []float64
		for _, r := range append(streams, nil) {
			kept = append(kept, f.neededRepairRoom("llm").at(f.members["a3"]))
			r.Release()
		}
		if diff := cmp.Diff([]float64{1600, 1200, 800, 400, 0}, kept); diff != "" {
			t.Error(diff)
		}
	})
}

// TestLossOfChangedServer checks losses of servers that lose their model or their layers meanwhile.
func TestLossOfChangedServer(t *testing.T) {
	suspect := func(f *Fleet) { f.Suspect("a2", time.Now().Add(time.Minute)) }
	retire := func(f *Fleet) { f.RetireIncarnation("a2") }
	withoutModel := func(f *Fleet) {
		f.SetCatalog(catalog.New(2, catalog.Limits{}, nil, []catalog.Service{{Name: "llm"}}, nil, false))
	}
	for name, v := range map[string]struct {
		lose, change func(f *Fleet)
	}{
		"service without a model":            {suspect, withoutModel},
		"restarted, service without a model": {retire, withoutModel},
		"entry without layers": {suspect, func(f *Fleet) {
			f.Set(catalog.Server{ID: "a2", Service: "llm", Hall: "a", Accelerator: "big"})
		}},
		"service without its servers": {suspect, func(f *Fleet) {
			f.Set(catalog.Server{ID: "a2", Service: "till", Hall: "a"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := lossFleet(t)
				path, _, _ := f.FindPath(Query{Service: "llm", Tokens: 10, Exclude: []slatebridge.ServerID{"a0", "a3"}})
				v.lose(f)
				v.change(f)
				if lost := f.RecentLosses(); lost != nil {
					t.Errorf("losses %v", lost)
				}
				f.FindPath(keepRoom(10))
				f.Takeover(path, []slatebridge.ServerID{"a2"}, 10)
			})
		})
	}
}

// TestLoadOfRestartedServer checks that the load of a server that has been removed from the fleet
// shrinks as other boxes report that they have repaired its streams.
func TestLoadOfRestartedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8}, testServer{"a3", "a", 4, 8})
		report := func(streams float64) {
			f.SetPeerGroupLoads("hall", map[uint32]Load{ShortID("a2"): {Requests: streams, TokenLayers: 400 * streams}})
		}
		report(4)
		f.RetireIncarnation("a2")
		var kept []float64
		for _, streams := range []float64{4, 3, 1, 0} {
			report(streams)
			kept = append(kept, f.neededRepairRoom("llm").at(f.members["a3"]))
		}
		if diff := cmp.Diff([]float64{1600, 1200, 400, 0}, kept); diff != "" {
			t.Error(diff)
		}
	})
}

// TestOwnLoadOfRestartedServer checks that a box tells others of its streams that still pass a
// recently lost server, although that is not in the fleet any more.
func TestOwnLoadOfRestartedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8})
		r := wantPath(t, f, Query{Tokens: 100}, "a1[0,4)>a2[4,8)")
		f.RetireIncarnation("a2")
		loads := []Load{f.OwnLoads()["a2"]}
		r.Release()
		loads = append(loads, f.OwnLoads()["a2"])
		if diff := cmp.Diff([]Load{{Requests: 1, TokenLayers: 400}, {}}, loads); diff != "" {
			t.Error(diff)
		}
	})
}

// TestRoomForRepairsWithoutLoss replays requests with and without the limit, in a fleet that loses no
// server, and checks that the paths are the same.
func TestRoomForRepairsWithoutLoss(t *testing.T) {
	paths := func(keep bool) []string {
		random := rand.New(rand.NewPCG(7, 7))
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 0, 4}, testServer{"a3", "a", 4, 8}, testServer{"a4", "a", 2, 8}, testServer{"b1", "b", 0, 8})
		f.random = random.Float64
		var out []string
		var open []*Reservation
		for range 400 {
			q := Query{Service: "llm", Tokens: 20 + 80*random.Float64(), Limits: Limits{KeepForRepairs: keep}}
			p, reservation, short := f.FindPath(q)
			out = append(out, fmt.Sprint(p, short))
			if open = append(open, reservation); len(open) > 12 {
				open[0].Release()
				open = open[1:]
			}
		}

		return out
	}
	if diff := cmp.Diff(paths(false), paths(true)); diff != "" {
		t.Error(diff)
	}
}

// TestRepairsUnderLoad replays a loss of servers in a nearly full fleet, where new requests keep
// coming while the streams of the lost servers are moved. It checks that fewer of the streams find
// no room if new requests leave it to them, and that new requests still find paths.
func TestRepairsUnderLoad(t *testing.T) {
	replay := func(keep bool) (stranded, refused int) {
		random := rand.New(rand.NewPCG(3, 3))
		f := New("a", time.Now, WithRandom(random.Float64))
		f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: testModel()}}, nil, false))
		for i := range 24 {
			from := 4 * (i % 2)
			f.Set(catalog.Server{
				ID: slatebridge.ServerID(fmt.Sprintf("s%02d", i)), Service: "llm", Hall: slatebridge.HallID([]string{"a", "b"}[i/12]), Accelerator: "big",
				Layers: slatebridge.LayerRange{From: from, To: from + 4},
			})
		}
		type stream struct {
			path Path
			r    *Reservation
		}
		var streams []stream
		for range 32 {
			p, r, _ := f.FindPath(Query{Service: "llm", Tokens: 100})
			streams = append(streams, stream{p, r})
		}
		lost := []slatebridge.ServerID{"s01", "s03"}
		for _, id := range lost {
			f.Suspect(id, f.now().Add(time.Minute))
		}
		for _, s := range streams {
			if !slices.ContainsFunc(lost, s.path.Contains) {
				continue
			}
			for range 2 {
				if p, _, _ := f.FindPath(Query{Service: "llm", Tokens: 100, Limits: Limits{KeepForRepairs: keep}}); p == nil {
					refused++
				}
			}
			if p, _, _ := f.Repair(Query{Service: "llm", Tokens: 100, Exclude: lost}, s.path); p == nil || p.HallCrossings() > 0 {
				stranded++

				continue
			}
			s.r.Release()
		}

		return stranded, refused
	}
	synctest.Test(t, func(t *testing.T) {
		before, refusedBefore := replay(false)
		after, refusedAfter := replay(true)
		if before == 0 || after >= before {
			t.Errorf("%d streams without room in the hall, without the limit %d", after, before)
		}
		if refusedAfter > refusedBefore {
			t.Errorf("%d new requests refused, without the limit %d", refusedAfter, refusedBefore)
		}
	})
}

// TestTakeover checks the work that falls on others after a loss.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := testModel()
		model.PrefillTokensPerSecond = 1000
		model.Accelerators[0].PrefillTimeFactor = 2
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8}, testServer{"a3", "a", 4, 8}, testServer{"a4", "a", 4, 8})
		f.SetCatalog(catalog.New(2, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: model}}, nil, false))
		var path Path
		for range 4 {
			path, _, _ = f.FindPath(Query{Service: "llm", Tokens: 100, Exclude: []slatebridge.ServerID{"a3", "a4"}})
		}
		want := repair.Takeover{
			Streams:   2,
			MoveQueue: 200 * time.Millisecond, MovePrefill: 100 * time.Millisecond, RepairInterval: 50 * time.Millisecond,
			Overlap:      1,
			RestartQueue: 800 * time.Millisecond / 3, RestartPrefill: 200 * time.Millisecond,
		}
		for name, lose := range map[string]func(){
			"suspect":   func() { f.Suspect("a2", time.Now().Add(time.Minute)) },
			"restarted": func() { f.RetireIncarnation("a2") },
		} {
			lose()
			if diff := cmp.Diff(want, f.Takeover(path, []slatebridge.ServerID{"a2"}, 100)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	})
}
