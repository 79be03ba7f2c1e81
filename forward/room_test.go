package forward

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/retry"
)

// roomFixture is a handler with one server of one service, on which the requests of two priorities
// compete. The server has memory for 1000 tokens.
type roomFixture struct {
	handler *Handler
	catalog *catalog.Catalog
	logs    *observer.ObservedLogs
}

func newRoomFixture(urgentPriority int) *roomFixture {
	route := func(priority int) catalog.Route {
		return catalog.Route{Priority: priority, Kind: catalog.Stream, TrafficSplit: []catalog.WeightedService{{Service: "llm", Weight: 1}}}
	}
	model := &catalog.Model{Layers: 8, LayerMB: 1000, KVBytesPerToken: 2e6, Slots: 100, Accelerators: []catalog.Accelerator{{Name: "card", MemoryMB: 10000}}}
	cat := catalog.New(1, catalog.Limits{}, []catalog.Route{route(urgentPriority), route(1)}, []catalog.Service{{Name: "llm", Model: model}}, nil, false)
	servers := fleet.New("a", time.Now)
	servers.SetCatalog(cat)
	servers.Set(catalog.Server{ID: "s", Service: "llm", Hall: "a", Accelerator: "card", Layers: slatebridge.LayerRange{To: 8}, Slots: 100})
	core, logs := observer.New(zap.InfoLevel)
	h := New(Config{
		Fleet: servers, Ledger: quarantine.New(), Random: func() float64 { return 0.5 }, Logger: zap.New(core), Metrics: NewMetrics(prometheus.NewRegistry()),
		State:  func() State { return State{Catalog: cat, BoxCount: 1} },
		Bounds: Bounds{Retry: retry.Bounds{Extra: 100, Window: 10 * time.Second}},
	})

	return &roomFixture{handler: h, catalog: cat, logs: logs}
}

// stream returns a stream of the priority that takes the given number of tokens.
func (f *roomFixture) stream(priority, tokens int) *streamRequest {
	c := &inboundRequest{
		Request: Request{PromptTokens: tokens}, service: "llm", state: f.handler.state(), priority: priority,
		prioritized: f.catalog.Prioritized("llm"), route: &catalog.Route{}, startedAt: time.Now(),
	}
	s := &streamRequest{h: f.handler, c: c}
	s.recordOffered()

	return s
}

// offer records 20 streams of the priority and lets the servers accept them.
func (f *roomFixture) offer(priority int) {
	for range 20 {
		f.stream(priority, 50).recordAdmitted()
	}
}

// fill reserves tokens at the server.
func (f *roomFixture) fill(t *testing.T, tokens float64) {
	t.Helper()
	if path, _, _ := f.handler.fleet.FindPath(fleet.Query{Service: "llm", Tokens: tokens}); path == nil {
		t.Fatalf("no room for %.0f tokens", tokens)
	}
}

// wantRefusal fails the test unless the stream finds no path for the given reason; empty means that
// it finds one.
func wantRefusal(t *testing.T, s *streamRequest, want string) {
	t.Helper()
	_, reservation, e := s.choosePath(maxRoomClaims)
	reservation.Release()
	got := ""
	if e != nil {
		got = e.Detail
		if e.Code != result.Overloaded || e.RetryAfter <= 0 {
			t.Errorf("code %d, retry after %s", e.Code, e.RetryAfter)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

const (
	roomKept = "the room left is kept for more urgent requests"
	noRoom   = "no path has memory left for the request"
)

func TestRoomByPriority(t *testing.T) {
	// nearlyFull returns a server with room for a few more requests only.
	nearlyFull := func(t *testing.T, urgentPriority int) *roomFixture {
		t.Helper()
		f := newRoomFixture(urgentPriority)
		f.offer(0)
		f.offer(1)
		f.fill(t, 860)

		return f
	}
	t.Run("the last room is for urgent requests", func(t *testing.T) {
		f := nearlyFull(t, 0)
		wantRefusal(t, f.stream(0, 50), "")
		wantRefusal(t, f.stream(1, 50), roomKept)
		wantRefusal(t, f.stream(1, 500), noRoom)
	})
	t.Run("a stream that a server may have run uses it as well", func(t *testing.T) {
		s := nearlyFull(t, 0).stream(1, 50)
		s.recordRan("other")
		s.c.route.MaxServers = 2
		wantRefusal(t, s, "")
	})
	t.Run("so does one that its caller resumes", func(t *testing.T) {
		s := nearlyFull(t, 0).stream(1, 50)
		s.c.LastEventID = 3
		wantRefusal(t, s, "")
	})
	t.Run("without two priorities there is no order", func(t *testing.T) {
		f := nearlyFull(t, 1)
		wantRefusal(t, f.stream(1, 50), "")
		if diff := cmp.Diff(fleet.Limits{}, f.handler.roomLimits(f.stream(1, 50).c, false)); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("slots are bounded for all", func(t *testing.T) {
		f := newRoomFixture(0)
		f.handler.fleet.SetPeerGroupLoads("a", fleet.LoadsByShortID(map[slatebridge.ServerID]fleet.Load{"s": {Requests: 100, FirstStage: 100}}))
		wantRefusal(t, f.stream(0, 50), noRoom)
	})
	t.Run("refusals are logged once a second", func(t *testing.T) {
		f := nearlyFull(t, 0)
		for range 5 {
			wantRefusal(t, f.stream(1, 50), roomKept)
		}
		if lines := f.logs.FilterMessage("PriorityLimited").Len(); lines != 1 {
			t.Errorf("%d lines of event %d, want 1", lines, event.PriorityLimited)
		}
	})
}

// TestReserveAfterFailures checks what requests leave free after a server is lost, and after this box
// stood still or lost its state.
func TestReserveAfterFailures(t *testing.T) {
	// reserveOf returns the share of the memory that a request of the lower priority leaves free.
	reserveOf := func(f *roomFixture, s *streamRequest) float64 {
		return fleet.LimitsWithReserve(0, 0).Memory - f.handler.roomLimits(s.c, false).Memory
	}
	// inFixture runs f with two servers and two streams offered.
	inFixture := func(t *testing.T, run func(t *testing.T, f *roomFixture, s *streamRequest)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := newRoomFixture(0)
			second, _ := f.handler.fleet.Server("s")
			second.ID = "s2"
			f.handler.fleet.Set(second)
			f.stream(0, 50)
			run(t, f, f.stream(1, 50))
		})
	}
	t.Run("a lost server raises the reserve", func(t *testing.T) {
		inFixture(t, func(t *testing.T, f *roomFixture, s *streamRequest) {
			before := reserveOf(f, s)
			f.handler.fleet.Suspect("s2", time.Now().Add(time.Minute))
			time.Sleep(supplyInterval)
			if after := reserveOf(f, s); before <= 0 || math.Abs(after-2*before) > 1e-6 {
				t.Errorf("the reserve is %.4f with two servers and %.4f with one", before, after)
			}
		})
	})
	t.Run("what was before a pause does not count", func(t *testing.T) {
		inFixture(t, func(t *testing.T, f *roomFixture, s *streamRequest) {
			time.Sleep(time.Minute)
			if got := reserveOf(f, s); got != 0 {
				t.Errorf("the reserve is %.4f, want 0", got)
			}
		})
	})
	t.Run("a box that has just started leaves nothing", func(t *testing.T) {
		f := newRoomFixture(0)
		if got := reserveOf(f, f.stream(1, 50)); got != 0 {
			t.Errorf("the reserve is %.4f, want 0", got)
		}
	})
}

func TestRetriesByPriority(t *testing.T) {
	const requests, required = 100, 70
	// wantRetry fails the test unless the stream may be sent again when other boxes have used the
	// given number of the required retries that the budget permits.
	wantRetry := func(t *testing.T, used int, want bool, stream func(f *roomFixture) *streamRequest) {
		t.Helper()
		f := newRoomFixture(0)
		f.handler.SetBounds(Bounds{Retry: retry.Bounds{Ratio: 1, Window: 10 * time.Second}})
		f.offer(0)
		f.offer(1)
		for range requests {
			f.handler.budget.RecordRequest("llm", time.Now())
		}
		f.handler.budget.SetPeerGroup("a", 0, map[string]retry.Usage{"llm": {Retries: used}}, time.Now())
		if got := stream(f).takeRequired(); got != want {
			t.Errorf("with %d of %d retries used: retried %t, want %t", used, required, got, want)
		}
	}
	urgent := func(f *roomFixture) *streamRequest { return f.stream(0, 50) }
	deferrable := func(f *roomFixture) *streamRequest { return f.stream(1, 50) }
	running := func(f *roomFixture) *streamRequest {
		s := f.stream(1, 50)
		s.recordRan("other")

		return s
	}
	t.Run("all are retried while there are many", func(t *testing.T) {
		wantRetry(t, 10, true, deferrable)
	})
	t.Run("then urgent ones only", func(t *testing.T) {
		wantRetry(t, 45, false, deferrable)
		wantRetry(t, 45, true, urgent)
	})
	t.Run("the rest is for streams under way", func(t *testing.T) {
		wantRetry(t, 60, false, urgent)
		wantRetry(t, 60, true, running)
	})
}

// BenchmarkRoomByPriority measures what the decisions by priority cost a request while there is
// room.
func BenchmarkRoomByPriority(b *testing.B) {
	f := newRoomFixture(0)
	s := f.stream(1, 50)
	s.c.account = "a"
	b.ReportAllocs()
	for b.Loop() {
		s.recordOffered()
		f.handler.roomLimits(s.c, false)
		s.recordAdmitted()
	}
}
