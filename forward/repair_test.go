package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
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

func TestRepairOfOneStream(t *testing.T) {
	const noRetries, retries = 0, 100
	t.Run("a server without room is passed over", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2")
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s3")
			wantEventCount(rt, event.StreamWaits, 0)
			if lost := rt.h.fleet.RecentLosses(); lost != nil {
				rt.Errorf("room is still kept for streams of %v", lost)
			}
		})
	})
	t.Run("a server without room that is not named is passed over", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(_ string, p fleet.Path) error {
				if p.Contains("s2") {
					return &MoveRefusedError{Err: errors.New("no room")}
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s3")
		})
	})
	t.Run("all refuse, and there is no retry: the stream waits and keeps its place", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2", "s3", "s4", "s5")
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, lostServer)
			wantEventCount(rt, event.MoveRefused, maxMoves)
			wantEventCount(rt, event.StreamWaits, 1)
		})
	})
	t.Run("all refuse, and there is a retry: the stream is restarted elsewhere", func(t *testing.T) {
		withRepairs(t, retries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2", "s3", "s4")
			rt.lose(a)
			rt.settle()
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.nextPath.Contains("s5") || len(rt.moves) > maxMoves {
				rt.Errorf("next path %s after moves %v", a.nextPath, rt.moves)
			}
		})
	})
	t.Run("the answer to a move is lost: the same move is repeated", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				if len(rt.moves) == 1 {
					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantMoves(rt, rt.moves[0], rt.moves[0])
			path, _, _ := a.state()
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("the stream ends during the move: no reservation is left behind", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				rt.h.monitor.remove(a)

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantRepairs(rt, map[string]float64{repairNotNeeded: 1})
			for id, l := range rt.h.fleet.OwnLoads() {
				if l.Requests > 0 {
					rt.Errorf("%s has %v", id, l)
				}
			}
		})
	})
	t.Run("a second server is lost during the repair", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var second slatebridge.ServerID
			rt.answer = func(_ string, p fleet.Path) error {
				if second == "" {
					second = p[1].Server.ID
					rt.h.fleet.RetireIncarnation(second)
					go rt.h.queueRepair(rt.Context(), a, p, []slatebridge.ServerID{second})
					time.Sleep(50 * time.Millisecond)
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			path, _, _ := a.state()
			if path.Contains(lostServer) || path.Contains(second) || len(rt.moves) != 2 {
				rt.Errorf("the stream is on %s after moves %v", path, rt.moves)
			}
		})
	})
	t.Run("the server is trusted again before its turn", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.lose(a)
			time.Sleep(repairGatherTime / 2)
			rt.h.fleet.Trust(lostServer)
			rt.settle()
			wantMoves(rt)
			wantServer(rt, a, lostServer)
		})
	})
	t.Run("the box is suspended before its turn", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			rt.h.httpClient = &http.Client{}
			a := rt.stream("r", 0)
			rt.lose(a)
			time.Sleep(repairGatherTime / 2)
			rt.h.resumeFromSuspend(clock.Now())
			rt.settle()
			wantMoves(rt)
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s2")
		})
	})
}

// TestLostAnswersToMoves checks the repair of a stream that may have been moved.
func TestLostAnswersToMoves(t *testing.T) {
	const noRetries = 0
	t.Run("all answers are lost: the reservation is kept until the stream ends", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error { return context.DeadlineExceeded }
			rt.lose(a)
			rt.settle()
			wantEventCount(rt, event.StreamWaits, 1)
			for range 3 {
				wantReserved(rt, map[slatebridge.ServerID]float64{"first": 2, lostServer: 1, "s2": 1})
				rt.lose(a)
				rt.settle()
			}
			rt.h.monitor.remove(a)
			wantReserved(rt, map[slatebridge.ServerID]float64{})
		})
	})
	t.Run("an answer is lost: the next repair repeats that move first", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				if len(rt.moves) <= 2 {
					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			// Another server is the cheaper one meanwhile.
			var others []slatebridge.ServerID
			for _, id := range []slatebridge.ServerID{"s2", "s3", "s4", "s5"} {
				if !strings.Contains(rt.moves[0], string(id)) {
					others = append(others, id)
				}
			}
			_, load, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 700, Exclude: others})
			rt.lose(a)
			rt.settle()
			wantMoves(rt, rt.moves[0], rt.moves[0], rt.moves[0])
			load.Release()
			path, _ := a.current()
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("an answer is lost, and the repeated move is refused: another path is tried", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var refusing slatebridge.ServerID
			rt.answer = func(id string, p fleet.Path) error {
				if len(rt.moves) <= 2 {
					refusing = p[1].Server.ID

					return context.DeadlineExceeded
				}

				return refusedBy(refusing)(id, p)
			}
			rt.lose(a)
			rt.settle()
			rt.lose(a)
			rt.settle()
			path, _ := a.current()
			if path.Contains(refusing) || path.Contains(lostServer) {
				rt.Errorf("the stream is on %s", path)
			}
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("an answer is lost, and then the server itself: another path is tried", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var second slatebridge.ServerID
			rt.answer = func(_ string, p fleet.Path) error {
				if len(rt.moves) <= 2 {
					second = p[1].Server.ID

					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			rt.h.fleet.Suspect(second, clock.Now().Add(time.Minute))
			rt.lose(a)
			rt.settle()
			path, _ := a.current()
			if path.Contains(second) || path.Contains(lostServer) {
				rt.Errorf("the stream is on %s", path)
			}
			wantServer(rt, a, path[1].Server.ID)
		})
	})
}

// TestStreamThatCannotBeMoved checks that a stream whose first server does not have it any more, or is
// not to be called, is restarted with a required retry, and that the cause is logged if there is none.
func TestStreamThatCannotBeMoved(t *testing.T) {
	unknown := errors.Wrap(ErrNoSuchStream, "status 404")
	for name, v := range map[string]struct {
		cooldown time.Duration
		moves    int
		want     string
	}{
		"the stream is not known": {0, 1, unknown.Error()},
		"the server cools down":   {time.Minute, 0, "move: " + ErrServerNotAccepting.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
				var asked []retry.Urgency
				rt.h.requestRetry = func(_ context.Context, _ string, u retry.Urgency) bool {
					asked = append(asked, u)

					return false
				}
				a := rt.stream("r", 0)
				rt.answer = func(string, fleet.Path) error { return unknown }
				rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Address: "f2:80", Layers: slatebridge.LayerRange{To: 4}})
				rt.h.fleet.ApplyNotice("first", fleet.Notice{Cooldown: v.cooldown})
				rt.lose(a)
				rt.settle()
				if diff := cmp.Diff([]retry.Urgency{retry.Required}, asked); diff != "" || len(rt.moves) != v.moves {
					rt.Errorf("moves %v, retries asked for: %s", rt.moves, diff)
				}
				wantServer(rt, a, lostServer)
				wantEventCount(rt, event.StreamWaits, 1)
				for _, l := range rt.logs.All() {
					if f := l.ContextMap(); f["event"] == int64(event.StreamWaits) && f["error"] != v.want {
						rt.Errorf("logged cause %v, want %s", f["error"], v.want)
					}
				}
			})
		})
	}
}

// TestRepairsInOrder replays the loss of a server that many streams of a box pass. It checks that
// their moves are bounded, and that the most urgent ones come first.
func TestRepairsInOrder(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
		const streams, urgent, atOneServer = 30, 5, 4
		var all []*streamAttempt
		for i := range streams {
			priority := 1
			if i >= streams-urgent {
				priority = 0
			}
			all = append(all, rt.stream(fmt.Sprintf("r%d-%02d", priority, i), priority))
		}
		rt.lose(all...)
		rt.settle()
		if len(rt.moves) != streams {
			rt.Fatalf("%d moves", len(rt.moves))
		}
		// Moves in progress at the same time are recorded in any order.
		for i, m := range rt.moves {
			if isUrgent := m[:2] == "r0"; (isUrgent && i >= urgent+atOneServer) || (!isUrgent && i < atOneServer) {
				rt.Errorf("move %d is %s", i, m)
			}
		}
		if rt.most != atOneServer {
			rt.Errorf("%d moves at the same time at one server", rt.most)
		}
		wantEventCount(rt, event.RepairsQueued, 1)
	})
}

// addSilentServers adds servers for the layers [0,4), which respond neither to moves nor to queries.
func (rt *repairTest) addSilentServers(ids ...slatebridge.ServerID) {
	for _, id := range ids {
		rt.h.fleet.Set(catalog.Server{ID: id, Service: "llm", Hall: "a", Accelerator: "big", Address: string(id) + ":80", Layers: slatebridge.LayerRange{To: 4}})
	}
	rt.answer = func(_ string, p fleet.Path) error {
		if slices.Contains(ids, p[0].Server.ID) {
			time.Sleep(reportTimeout)

			return context.DeadlineExceeded
		}

		return nil
	}
	rt.report = func(id slatebridge.ServerID) error {
		if slices.Contains(ids, id) {
			return context.DeadlineExceeded
		}

		return nil
	}
}

// TestEndedStreamsAreNotOrdered checks that streams that have ended while the first repair waits for
// others are dropped from the order.
func TestEndedStreamsAreNotOrdered(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		var all []*streamAttempt
		for i := range 32 {
			all = append(all, rt.stream(fmt.Sprint("r", i), 0))
		}
		rt.lose(all...)
		time.Sleep(repairGatherTime / 2)
		for _, a := range all[2:] {
			rt.h.monitor.remove(a)
		}
		rt.settle()
		for _, l := range rt.logs.All() {
			if f := l.ContextMap(); f["event"] == int64(event.RepairsQueued) && f["streams"] != int64(2) {
				rt.Errorf("%v streams are put in order", f["streams"])
			}
		}
		wantEventCount(rt, event.RepairsQueued, 1)
		wantRepairs(rt, map[string]float64{repairMoved: 2, repairNotNeeded: 30})
	})
}

// TestLogOfKeptRoom checks that each lost server is logged once, also if the number of lost servers
// stays the same, and none where no route is repaired in order.
func TestLogOfKeptRoom(t *testing.T) {
	for name, v := range map[string]struct {
		routes []catalog.Route
		want   int
	}{
		"repaired in order": {nil, 2},
		"other routes":      {[]catalog.Route{{Kind: catalog.Stream, Resumable: true, TrafficSplit: []catalog.WeightedService{{Service: "llm", Weight: 1}}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
				if v.routes != nil {
					c := catalog.New(2, catalog.Limits{}, v.routes, []catalog.Service{{Name: "llm", Model: rt.model}}, nil, false)
					rt.h.state = func() State { return State{Catalog: c} }
				}
				rt.stream("r", 0)
				w := &watcher{h: rt.h}
				for _, id := range []slatebridge.ServerID{lostServer, lostServer, "first"} {
					rt.h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))
					w.logLosses()
					if id == lostServer {
						w.logLosses()
					}
					rt.h.fleet.Trust(id)
				}
				wantEventCount(rt, event.RepairRoomKept, v.want)
				rt.h.fleet.RetireIncarnation(lostServer)
				w.logLosses()
				wantEventCount(rt, event.RepairRoomKept, v.want*3/2)
			})
		})
	}
}

// TestSilentFirstServers checks that streams whose first servers do not respond do not hold up those
// of other first servers, even if they are more urgent and have come before.
func TestSilentFirstServers(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.addSilentServers("silent1", "silent2")
		var silent, others []*streamAttempt
		for i := range 16 {
			silent = append(silent, rt.streamFrom([]slatebridge.ServerID{"silent1", "silent2"}[i%2], fmt.Sprint("silent", i), 0))
		}
		for i := range 8 {
			others = append(others, rt.stream(fmt.Sprint("other", i), 1))
		}
		rt.lose(silent...)
		time.Sleep(2 * repairGatherTime)
		rt.lose(others...)
		time.Sleep(moveSilence + 8*time.Millisecond)
		for _, a := range others {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s has not been moved", a.requestID)
			}
		}
		before := rt.moveCount()
		time.Sleep(10 * reportTimeout)
		// Each silent first server is asked for one stream at a time.
		if n := rt.moveCount() - before; n > 2*10 {
			rt.Errorf("%d further moves", n)
		}
		rt.h.repairs.clear()
		rt.settle()
	})
}

// TestRetriesOfOtherBoxes checks that streams that wait for a retry of other boxes do not hold up the
// moves of others.
func TestRetriesOfOtherBoxes(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		firsts := []slatebridge.ServerID{"f2", "f3"}
		rt.addSilentServers(firsts...)
		rt.h.requestRetry = func(context.Context, string, retry.Urgency) bool {
			time.Sleep(60 * time.Millisecond)

			return false
		}
		var stranded, moved []*streamAttempt
		for i := range maxRetriedRepairs * 2 {
			stranded = append(stranded, rt.streamFrom(firsts[i%2], fmt.Sprint("stranded", i), 0))
			moved = append(moved, rt.stream(fmt.Sprint("moved", i), 1))
		}
		for _, id := range firsts {
			rt.h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))
		}
		rt.lose(append(stranded, moved...)...)
		time.Sleep(30 * time.Millisecond)
		for _, a := range moved {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s has not been moved", a.requestID)
			}
		}
		rt.settle()
		if rt.h.repairs.has(stranded[0]) {
			rt.Error("a repair has not ended")
		}
	})
}

// TestLivenessOfSilentFirstServer checks that a first server that does not respond to a move is
// queried, although another server of the path is suspect already.
func TestLivenessOfSilentFirstServer(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		rt.addSilentServers("silent")
		rt.lose(rt.streamFrom("silent", "r", 0))
		time.Sleep(3 * reportTimeout)
		if diff := cmp.Diff([]slatebridge.ServerID{lostServer, "silent"}, slices.Sorted(slices.Values(rt.h.fleet.Suspects()))); diff != "" {
			rt.Error(diff)
		}
		cancel()
		rt.settle()
	})
}

// TestWaitingStreamIsRetried checks that a stream that waits for room is moved soon after there is
// some, and not only at its next regular check.
func TestWaitingStreamIsRetried(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		a := rt.stream("r", 0)
		_, full, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 965, Exclude: []slatebridge.ServerID{lostServer}, Limits: fleet.Limits{Memory: 0.99}})
		rt.lose(a)
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(560 * time.Millisecond)
		wantMoves(rt)
		full.Release()
		time.Sleep(repairRetryInterval + 2*watchInterval)
		wantServer(rt, a, "s2")
	})
}

// TestWaitingStreamsThatFitNowhere checks that urgent streams that fit nowhere do not keep others from
// being tried again.
func TestWaitingStreamsThatFitNowhere(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		const large, small = maxRetriedRepairs, 3 * maxRetriedRepairs
		var all []*streamAttempt
		for i := range large + small {
			a := rt.stream(fmt.Sprint("r", i), min(i/large, 1))
			if i < large {
				a.kvTokens = 5000
			}
			all = append(all, a)
		}
		rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Address: "f2:80", Layers: slatebridge.LayerRange{To: 4}})
		_, full, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 965, Exclude: []slatebridge.ServerID{lostServer, "first"}, Limits: fleet.Limits{Memory: 0.99}})
		rt.lose(all...)
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(560 * time.Millisecond)
		wantMoves(rt)
		full.Release()
		time.Sleep(small/maxRetriedRepairs*repairRetryInterval + 2*watchInterval)
		for _, a := range all[large:] {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s still waits", a.requestID)
			}
		}
	})
}

// TestRefusalOfOneStream checks that a server that refuses one stream, however often, is still used
// by others, and that it is left alone for a moment once it has refused two in a row.
func TestRefusalOfOneStream(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		large, large2, small := rt.stream("large", 0), rt.stream("large2", 0), rt.stream("small", 0)
		rt.answer = func(id string, p fleet.Path) error {
			if id != "small" {
				return refusedBy("s2")(id, p)
			}

			return nil
		}
		wantRefused := func(want bool, streams ...*streamAttempt) {
			rt.Helper()
			for _, a := range streams {
				rt.lose(a)
				time.Sleep(10 * time.Millisecond)
			}
			p, r, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 10})
			r.Release()
			if (p == nil) != want {
				rt.Errorf("path of another request: %s", p)
			}
		}
		wantRefused(false, large, large)
		wantRefused(false, small)
		if path, _ := small.current(); path.Contains(lostServer) {
			rt.Error("the small stream has not been moved")
		}
		wantRefused(false, large)
		wantRefused(true, large2)
		wantMoves(rt, "large first[0,4)>s2[4,8)", "large first[0,4)>s2[4,8)", "small first[0,4)>s2[4,8)", "large first[0,4)>s2[4,8)", "large2 first[0,4)>s2[4,8)")
	})
}

// TestWaitingForRetry checks that a stream that lost its first server when the budget had no retry is
// restarted soon after there is one.
func TestWaitingForRetry(t *testing.T) {
	withRepairs(t, 0, []string{"s1"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		a := rt.stream("r", 0)
		rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Layers: slatebridge.LayerRange{To: 4}})
		rt.h.fleet.Suspect("first", clock.Now().Add(suspicionTTL))
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(600 * time.Millisecond)
		if !a.replaceable() {
			rt.Fatal("the stream is restarted without a retry")
		}
		rt.h.SetBounds(Bounds{Retry: retry.Bounds{Extra: 100, Window: 10 * time.Second}})
		time.Sleep(repairRetryInterval + 2*watchInterval)
		if a.replaceable() {
			rt.Error("the stream still waits")
		}
	})
}

// TestWaitingStreams replays replacements without room, at which more streams wait than have room as
// others end there. It checks that the most urgent ones get it.
func TestWaitingStreams(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		var room atomic.Int64
		rt.answer = func(_ string, p fleet.Path) error {
			if room.Add(-1) < 0 {
				room.Add(1)

				return refusedBy("s2")("", p)
			}

			return nil
		}
		var all []*streamAttempt
		for i, priority := range []int{1, 0, 1, 0, 1, 1, 0, 1, 0, 1} {
			all = append(all, rt.stream(fmt.Sprint("r", i), priority))
		}
		rt.lose(all...)
		time.Sleep(400 * time.Millisecond)
		room.Store(4)
		// The server is left alone for up to a second after each rejection.
		time.Sleep(time.Second + 2*repairRetryInterval)
		for i, a := range all {
			if path, _, _ := a.state(); path.Contains("s2") != (a.request.priority == 0) {
				rt.Errorf("stream %d of priority %d is on %s", i, a.request.priority, path)
			}
		}
	})
}

// TestRepairOfOtherRoutes checks that streams of routes that state no acceptable pause are not put in
// order, are not moved again after a refusal, and do not wait for room.
func TestRepairOfOtherRoutes(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
		a := rt.stream("r", 0)
		a.request.route = &catalog.Route{Resumable: true, Kind: catalog.Stream, MaxServers: 2}
		rt.answer = refusedBy("s2", "s3")
		rt.h.fleet.Suspect(lostServer, clock.Now().Add(suspicionTTL))
		path, started, silent := a.state()
		rt.h.recoverStream(rt.Context(), a, path, started, silent, []slatebridge.ServerID{lostServer})
		if len(rt.moves) != 1 || a.waits() {
			rt.Errorf("moves %v, waits: %t", rt.moves, a.waits())
		}
		wantServer(rt, a, lostServer)
		wantEventCount(rt, event.StreamWaits, 1)
		wantEventCount(rt, event.RepairsQueued, 0)
	})
}

// TestMoveShareOfLostServers checks that streams are restarted rather than moved after a loss if the
// replacements prefill for long, and that no prefill times count for a server that is not lost.
func TestMoveShareOfLostServers(t *testing.T) {
	lost := func(h *Handler) { h.fleet.Suspect(lostServer, clock.Now().Add(suspicionTTL)) }
	leaving := func(h *Handler) { h.fleet.ApplyNotice(lostServer, fleet.Notice{Leaving: true}) }
	for name, v := range map[string]struct {
		lose func(h *Handler)
		// remote is set if servers of another hall have the layers as well.
		remote, want bool
	}{
		"lost, other halls have the layers":          {lost, true, true},
		"lost, only the replacement has them":        {lost, false, false},
		"leaving, other halls have the layers":       {leaving, true, false},
		"not found out, other halls have the layers": {func(*Handler) {}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
				rt.model.PrefillTokensPerSecond = 1000
				var a *streamAttempt
				for i := range 20 {
					a = rt.stream(fmt.Sprint("r", i), 0)
				}
				if v.remote {
					for i := range 8 {
						from := 4 * (i % 2)
						rt.h.fleet.Set(catalog.Server{ID: slatebridge.ServerID(fmt.Sprint("b", i)), Service: "llm", Hall: "b", Accelerator: "big", Layers: slatebridge.LayerRange{From: from, To: from + 4}})
					}
				}
				v.lose(rt.h)
				path, _ := a.current()
				if takeover, share := rt.h.moveShare(a, path, []slatebridge.ServerID{lostServer}); (share < 1) != v.want {
					rt.Errorf("share %.2f of %+v", share, takeover)
				}
			})
		})
	}
}

// TestLimitsWithoutLoss checks that streams under way fill servers no further than others while no
// server is lost, or if their route is not repaired in order.
func TestLimitsWithoutLoss(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		a := rt.stream("r", 0)
		route := a.request.route
		limits := func(r *catalog.Route, prioritized bool) fleet.Limits {
			a.request.route, a.request.hasClasses = r, prioritized

			return rt.h.repairQuery(a, nil).Limits
		}
		before, prioritizedBefore := limits(route, false), limits(route, true)
		rt.lose()
		got := []fleet.Limits{before, limits(&catalog.Route{}, false), limits(route, false)}
		if diff := cmp.Diff([]fleet.Limits{{}, {}, {Memory: runningMemoryShare}}, got); diff != "" {
			rt.Error(diff)
		}
		got = []fleet.Limits{prioritizedBefore, limits(&catalog.Route{}, true), limits(route, true)}
		if diff := cmp.Diff([]fleet.Limits{{}, {}, {Memory: runningMemoryShare}}, got); diff != "" {
			rt.Error(diff)
		}
		if diff := cmp.Diff(fleet.Limits{KeepForRepairs: true}, rt.h.roomLimits(&inboundRequest{route: route}, false)); diff != "" {
			rt.Error(diff)
		}
		if diff := cmp.Diff(fleet.Limits{}, rt.h.roomLimits(&inboundRequest{route: &catalog.Route{}}, false)); diff != "" {
			rt.Error(diff)
		}
	})
}

// TestRestartAtFullSlots checks that a stream of a prioritized service whose first server is lost is
// restarted although all slots elsewhere are taken.
func TestRestartAtFullSlots(t *testing.T) {
	withRepairs(t, 10, []string{string(lostServer)}, func(rt *repairTest) {
		a := rt.stream("r", 0)
		other, _ := rt.h.fleet.Server("first")
		other.ID, other.Address, other.Slots = "other", "other:80", 2
		rt.h.fleet.Set(other)
		rt.h.fleet.SetPeerGroupLoads("b", fleet.LoadsByShortID(map[slatebridge.ServerID]fleet.Load{"other": {Requests: 2, FirstStage: 2}}))
		rt.h.fleet.Suspect("first", clock.Now().Add(suspicionTTL))
		path, _, _ := a.state()
		if !rt.h.restartElsewhere(rt.Context(), a, path, []slatebridge.ServerID{"first"}) {
			rt.Error("the stream is not restarted")
		}
	})
}

// TestLimitsWhileStreamsWait checks that room is kept, and streams under way may fill servers further,
// for as long as streams of this box wait for a lost server, and only at servers of its service.
func TestLimitsWhileStreamsWait(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		a := rt.stream("r", 0)
		_, other, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 10, Exclude: []slatebridge.ServerID{"s2"}})
		defer other.Release()
		rt.answer = refusedBy("s2")
		rt.lose(a)
		raised := func(service string) bool {
			return rt.h.runningLimits(&inboundRequest{route: a.request.route, service: service}).Memory == runningMemoryShare
		}
		var got []bool
		for range 4 {
			time.Sleep(time.Second)
			rt.h.fleet.Suspect(lostServer, clock.Now().Add(suspicionTTL))
			got = append(got, raised("llm"), raised("other"))
		}
		rt.h.monitor.remove(a)
		for range 2 {
			time.Sleep(time.Second)
			rt.h.fleet.Suspect(lostServer, clock.Now().Add(suspicionTTL))
		}
		got = append(got, raised("llm"))
		if diff := cmp.Diff([]bool{true, false, true, false, true, false, true, false, false}, got); diff != "" {
			rt.Error(diff)
		}
	})
}

// TestStallLogIsBounded checks that a stream that is checked again and again with the same finding
// is logged with doubling pauses.
func TestStallLogIsBounded(t *testing.T) {
	withRepairs(t, 0, []string{"s1"}, func(rt *repairTest) {
		a := rt.stream("r", 0)
		rt.h.fleet.Suspect(lostServer, clock.Now().Add(time.Minute))
		for range 100 {
			rt.h.checkStalled(rt.Context(), a)
			time.Sleep(100 * time.Millisecond)
		}
		wantEventCount(rt, event.StreamStalled, 4)
		wantEventCount(rt, event.StreamWaits, 4)
	})
}
