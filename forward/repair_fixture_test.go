package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/retry"
)

// repairTest is a box with streams in flight and a fake first server that moves them.
type repairTest struct {
	*testing.T
	h    *Handler
	logs *observer.ObservedLogs
	// answer is the response of the first server to a move. moves lists those that it was asked for,
	// as request and path.
	answer func(id string, p fleet.Path) error
	// mu guards the moves, the number of them in progress and the largest number so far.
	mu               sync.Mutex
	moves            []string
	inProgress, most int
	model            *catalog.Model
	registry         *prometheus.Registry
	// report is the response of a server to a query.
	report func(id slatebridge.ServerID) error
}

// withRepairs runs the test in virtual time with a box before servers "first" [0,4) and the given
// ones for the layers [4,8). Its routes are repaired in order. Retries are the retry budget.
func withRepairs(t *testing.T, retries float64, servers []string, test func(rt *repairTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		rt := &repairTest{T: t, logs: logs, answer: func(string, fleet.Path) error { return nil }, report: func(slatebridge.ServerID) error { return nil }}
		model := &catalog.Model{
			Layers: 8, LayerMB: 1000, KVBytesPerToken: 2e6, MeanOutputTokens: 40,
			Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 5000}},
		}
		rt.model, rt.registry = model, prometheus.NewRegistry()
		routes := []catalog.Route{{Kind: catalog.Stream, MaxEventInterval: 250 * time.Millisecond, Resumable: true, TrafficSplit: []catalog.WeightedService{{Service: "llm", Weight: 1}}}}
		c := catalog.New(1, catalog.Limits{}, routes, []catalog.Service{{Name: "llm", Model: model}}, nil, false)
		f := fleet.New("a", clock.Now, fleet.WithRandom(func() float64 { return 0.5 }))
		f.SetCatalog(c)
		set := func(id string, from, to int) {
			f.Set(catalog.Server{ID: slatebridge.ServerID(id), Service: "llm", Hall: "a", Accelerator: "big", Address: id + ":80", Layers: slatebridge.LayerRange{From: from, To: to}})
		}
		set("first", 0, 4)
		for _, id := range servers {
			set(id, 4, 8)
		}
		rt.h = New(Config{
			Fleet: f, Logger: zap.New(core), Metrics: NewMetrics(rt.registry), Ledger: quarantine.New(), OnSuspect: func() {},
			State:  func() State { return State{Catalog: c, BoxCount: 1, Synced: true} },
			Random: func() float64 { return 0.5 }, Bounds: Bounds{Retry: retry.Bounds{Extra: retries, Window: 10 * time.Second}},
			ServerClient: ServerClient{
				MoveStream: rt.moveStream,
				Report: func(_ context.Context, s catalog.Server) (Report, error) {
					return Report{Slowness: 1}, rt.report(s.ID)
				},
			},
		})
		// The budget is open to a box once it has heard from others.
		time.Sleep(5 * time.Second)
		test(rt)
	})
}

func (rt *repairTest) moveStream(_ context.Context, _ catalog.Server, id string, p fleet.Path) (fleet.Notice, error) {
	rt.mu.Lock()
	rt.inProgress++
	rt.most = max(rt.most, rt.inProgress)
	rt.moves = append(rt.moves, id+" "+p.String())
	rt.mu.Unlock()
	time.Sleep(time.Millisecond)
	err := rt.answer(id, p)
	rt.mu.Lock()
	rt.inProgress--
	rt.mu.Unlock()

	return fleet.Notice{}, err
}

// lostServer is the server that the streams of the tests lose.
const lostServer slatebridge.ServerID = "s1"

// stream adds a stream in flight over the first server and lostServer.
func (rt *repairTest) stream(id string, priority int) *streamAttempt {
	rt.Helper()

	return rt.streamFrom("first", id, priority)
}

// streamFrom adds a stream in flight over the given first server and lostServer.
func (rt *repairTest) streamFrom(first slatebridge.ServerID, id string, priority int) *streamAttempt {
	rt.Helper()
	exclude := make([]slatebridge.ServerID, 0)
	for _, s := range rt.h.fleet.Servers() {
		if s.ID != first && s.ID != lostServer {
			exclude = append(exclude, s.ID)
		}
	}
	path, reservation, short := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 10, Exclude: exclude})
	if path == nil {
		rt.Fatal(short)
	}
	c := &inboundRequest{
		route:     &catalog.Route{MaxEventInterval: 250 * time.Millisecond, Resumable: true, Kind: catalog.Stream, MaxServers: 2},
		startedAt: clock.Now(), deadline: clock.Now().Add(20 * time.Second), service: "llm", priority: priority, prioritized: true, class: priority, hasClasses: true, done: &atomic.Bool{},
	}
	a := rt.h.monitor.add(&streamAttempt{
		requestID: id, service: "llm", path: path, reservation: reservation, kvTokens: 10, cancel: func(error) {},
		ranOn: []slatebridge.ServerID{first}, maxRuns: 2, limits: silenceLimitsFor(c.route), request: c,
	})
	a.recordEvent()

	return a
}

// lose makes lostServer suspect and has its streams recovered.
func (rt *repairTest) lose(streams ...*streamAttempt) {
	rt.Helper()
	rt.h.fleet.Suspect(lostServer, clock.Now().Add(suspicionTTL))
	for _, a := range streams {
		path, started, silent := a.state()
		go rt.h.recoverStream(rt.Context(), a, path, started, silent, []slatebridge.ServerID{lostServer})
	}
}

// settle waits until all repairs have ended.
func (rt *repairTest) settle() {
	time.Sleep(500 * time.Millisecond)
	synctest.Wait()
}

func (rt *repairTest) moveCount() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()

	return len(rt.moves)
}

func wantMoves(rt *repairTest, want ...string) {
	rt.Helper()
	if diff := cmp.Diff(want, rt.moves); diff != "" {
		rt.Error(diff)
	}
}

// wantServer checks on which server the second stage of the stream is, and that no other server of
// the test has any of its reservations.
func wantServer(rt *repairTest, a *streamAttempt, want slatebridge.ServerID) {
	rt.Helper()
	path, _, _ := a.state()
	if got := path[1].Server.ID; got != want {
		rt.Errorf("the stream is on %s, want %s", got, want)
	}
	wantReserved(rt, map[slatebridge.ServerID]float64{"first": 1, want: 1})
}

// wantReserved checks the number of reservations at each server.
func wantReserved(rt *repairTest, want map[slatebridge.ServerID]float64) {
	rt.Helper()
	reserved := make(map[slatebridge.ServerID]float64)
	for id, l := range rt.h.fleet.OwnLoads() {
		if l.Requests > 0 {
			reserved[id] = l.Requests
		}
	}
	if diff := cmp.Diff(want, reserved); diff != "" {
		rt.Error(diff)
	}
}

func wantEventCount(rt *repairTest, id event.ID, want int) {
	rt.Helper()
	n := 0
	for _, l := range rt.logs.All() {
		if l.ContextMap()["event"] == int64(id) {
			n++
		}
	}
	if n != want {
		rt.Errorf("event %d is logged %d times, want %d", id, n, want)
	}
}

// wantRepairs checks the number of repairs by their outcomes.
func wantRepairs(rt *repairTest, want map[string]float64) {
	rt.Helper()
	families, err := rt.registry.Gather()
	if err != nil {
		rt.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != "slatebridge_stream_repairs_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			got[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		rt.Error(diff)
	}
}

// refusedBy returns a response by which the server refuses moves to it.
func refusedBy(ids ...slatebridge.ServerID) func(string, fleet.Path) error {
	return func(_ string, p fleet.Path) error {
		for _, s := range p {
			if slices.Contains(ids, s.Server.ID) {
				return &MoveRefusedError{FaultAddress: s.Server.Address, Err: errors.New("no room")}
			}
		}

		return nil
	}
}
