package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// newSharedFleet returns the fleet of a box with peers in its hall. Servers a and b have room for
// 1,000 tokens each.
func newSharedFleet(peers int) *Fleet {
	f := newTestFleet(testServer{"a", "a", 0, 4}, testServer{"b", "b", 4, 8})
	m := testModel()
	m.Slots = 10
	f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))
	f.SetPeerCounts(peers, peers)

	return f
}

// setUsed sets the tokens that other boxes have reported at server a.
func setUsed(f *Fleet, tokens float64) {
	f.SetPeerGroupLoads("hall a", map[uint32]Load{ShortID("a"): {Requests: 1, TokenLayers: 4 * tokens}})
}

func TestNearlyFullHalls(t *testing.T) {
	for name, v := range map[string]struct {
		peers  int
		used   float64
		limits Limits
		want   []slatebridge.HallID
	}{
		"plenty of room":                        {20, 100, Limits{}, nil},
		"other boxes may have filled it":        {20, 860, Limits{}, []slatebridge.HallID{"a"}},
		"few boxes can't have filled it":        {1, 860, Limits{}, nil},
		"the only box of the hall":              {0, 900, Limits{}, nil},
		"a lower limit":                         {20, 560, Limits{Memory: 0.6}, []slatebridge.HallID{"a"}},
		"stale use is assumed up to a bound":    {1000, 600, Limits{}, nil},
		"beyond the bound of stale use":         {1000, 700, Limits{}, []slatebridge.HallID{"a"}},
		"a limit above what others could reach": {1, 600, Limits{Memory: 0.97}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSharedFleet(v.peers)
				setUsed(f, v.used)
				_, r, shortage := f.FindPath(Query{Service: "llm", Tokens: 10, Limits: v.limits})
				if shortage != NoShortage {
					t.Fatal(shortage)
				}
				if diff := cmp.Diff(v.want, r.NearlyFullHalls()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestRecordFull checks that a server without room is passed over for a short time by requests that
// may not fill it further.
func TestRecordFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFleet(20)
		urgent, usual, lower := Limits{Memory: 0.97}, Limits{Memory: 0.9}, Limits{Memory: 0.8}
		f.RecordFull([]slatebridge.ServerID{"a", "unknown"}, usual, 10)
		f.RecordFull([]slatebridge.ServerID{"a"}, lower, 10)
		const path = "a[0,4)>b[4,8)"
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: urgent}, path)
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: usual}, "none: "+RoomKept.String())
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: lower}, "none: "+RoomKept.String())
		time.Sleep(fullMarkTTL)
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: lower}, path)
		withSlots := Limits{Memory: 0.9, Slots: 1}
		f.RecordFull([]slatebridge.ServerID{"a"}, withSlots, 10)
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: withSlots}, "none: "+NoCapacity.String())
		wantPath(t, f, Query{Tokens: 10, AvoidFull: true, Limits: usual}, path)
	})
}

func TestSharesRoom(t *testing.T) {
	for name, v := range map[string]struct {
		f       *Fleet
		service string
		want    bool
	}{
		"several boxes":         {newSharedFleet(1), "llm", true},
		"the only box":          {newSharedFleet(0), "llm", false},
		"an unknown service":    {newSharedFleet(1), "till", false},
		"a model without slots": {newTestFleet(), "llm", false},
	} {
		t.Run(name, func(t *testing.T) {
			if v.f.SharesRoom(v.service) != v.want {
				t.Errorf("want %t", v.want)
			}
		})
	}
}

// TestRecordFullBySize checks that a refused request closes a server only to requests that are at
// least as large, and that a missing slot does not hide missing memory.
func TestRecordFullBySize(t *testing.T) {
	const path, none = "a[0,4)>b[4,8)", "none: the room left is kept"
	a, usual, lower := []slatebridge.ServerID{"a"}, Limits{Memory: 0.9}, Limits{Memory: 0.8}
	withSlots := Limits{Memory: 0.9, Slots: 1}
	query := func(l Limits, tokens float64) Query { return Query{Tokens: tokens, Limits: l, AvoidFull: true} }
	run := func(name string, test func(t *testing.T, f *Fleet)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { test(t, newSharedFleet(20)) }) })
	}
	run("a large request", func(t *testing.T, f *Fleet) {
		f.RecordFull(a, usual, 500)
		wantPath(t, f, query(usual, 10), path)
		wantPath(t, f, query(usual, 500), none)
	})
	run("a small one with lower limits does not hide it", func(t *testing.T, f *Fleet) {
		f.RecordFull(a, usual, 500)
		f.RecordFull(a, lower, 10)
		wantPath(t, f, query(usual, 10), path)
		wantPath(t, f, query(usual, 500), none)
		wantPath(t, f, query(lower, 10), none)
	})
	run("a missing slot does not hide missing memory", func(t *testing.T, f *Fleet) {
		f.RecordFull(a, usual, 10)
		f.RecordFull(a, withSlots, 10)
		wantPath(t, f, query(usual, 10), none)
		wantPath(t, f, query(withSlots, 1), "none: "+NoCapacity.String())
	})
	run("other queries do not heed it", func(t *testing.T, f *Fleet) {
		f.RecordFull(a, usual, 10)
		wantPath(t, f, Query{Tokens: 10, Limits: usual}, path)
	})
	run("a stream moves to the server", func(t *testing.T, f *Fleet) {
		f.Set(catalog.Server{ID: "c", Service: "llm", Hall: "b", Layers: slatebridge.LayerRange{From: 4, To: 8}, Accelerator: f.members["b"].Accelerator})
		f.RecordFull([]slatebridge.ServerID{"c"}, usual, 10)
		before := Path{{Server: f.members["a"].Server, Layers: f.members["a"].Layers}, {Server: f.members["b"].Server, Layers: f.members["b"].Layers}}
		got, _, _ := f.Repair(Query{Service: "llm", Tokens: 10, Limits: usual, Exclude: []slatebridge.ServerID{"b"}}, before)
		if want := "a[0,4)>c[4,8)"; got.String() != want {
			t.Errorf("moved to %s, want %s", got, want)
		}
	})
	run("the number of notes is bounded", func(t *testing.T, f *Fleet) {
		for i := range 3 * maxFullMarks {
			f.RecordFull(a, Limits{Memory: 0.9 - 0.01*float64(i)}, float64(100-i))
		}
		if n := len(f.members["a"].full); n != maxFullMarks {
			t.Errorf("%d notes", n)
		}
	})
}

// TestWithdraw checks that a request which was not sent counts neither as recent work, nor in the slow
// start of a server, nor at the links between halls; once withdrawn or released it counts no longer.
func TestWithdraw(t *testing.T) {
	for name, end := range map[string]func(r *Reservation){
		"withdrawn":              func(r *Reservation) { r.Withdraw() },
		"withdrawn twice":        func(r *Reservation) { r.Withdraw(); r.Withdraw() },
		"withdrawn and released": func(r *Reservation) { r.Withdraw(); r.Release() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSharedFleet(20)
				m := f.members["a"]
				m.model.ActivationBytesPerToken = 10
				m.admission = &admission{cooldownUntil: time.Now(), accepted: 1, sent: 1, sentAt: time.Now()}
				link := newHallLink("a", "b")
				f.links[link] = linkUse{bytes: 1000, updatedAt: time.Now()}
				m.recordRecentLoad(Load{Requests: 1, TokenLayers: 40, FirstStage: 1}, time.Now())
				want := []any{m.recentLoad, m.ownLoad, *m.admission, f.links[link].bytes}
				for range 3 {
					_, r, shortage := f.FindPath(Query{Service: "llm", Tokens: 10})
					if shortage != NoShortage {
						t.Fatal(shortage)
					}
					end(r)
				}
				got := []any{m.recentLoad, m.ownLoad, *m.admission, f.links[link].bytes}
				if diff := cmp.Diff(want, got, cmp.AllowUnexported(admission{}), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
