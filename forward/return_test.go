package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// refusedStream returns a new stream of a route with the given objective.
func refusedStream(h *Handler, objective time.Duration) *streamRequest {
	c := &inboundRequest{service: "chat", route: &catalog.Route{Kind: catalog.Stream, LatencyObjective: objective}, deadline: time.Now().Add(20 * time.Second)}

	return &streamRequest{h: h, c: c, ctx: context.Background()}
}

func returnsHandler() *Handler {
	return &Handler{latencies: newLatencyStats(), random: func() float64 { return 0.5 }, metrics: NewMetrics(prometheus.NewRegistry()), logger: zap.NewNop()}
}

var errNoRoom = result.New(result.Overloaded, "no room").WithRetryAfter(7 * time.Second)

// TestWithReturn checks which refusals are given a time to return, and that all others stay as they
// are.
func TestWithReturn(t *testing.T) {
	const objective = 500 * time.Millisecond
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		objective time.Duration
		refusal   *result.Error
		change    func(t *streamRequest)
		planned   bool
	}{
		"no room":                            {objective, errNoRoom, nil, true},
		"a route without an objective":       {0, errNoRoom, nil, false},
		"servers with a rate limit":          {objective, result.New(result.Limited, "limit"), nil, false},
		"a request that may have run":        {objective, errNoRoom.WithExecution(result.MayHaveExecuted), nil, false},
		"a caller that resumes a stream":     {objective, errNoRoom, func(t *streamRequest) { t.c.LastEventID = 3 }, false},
		"a caller that is no longer waiting": {objective, errNoRoom, func(t *streamRequest) { t.ctx = canceled }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := refusedStream(returnsHandler(), c.objective)
			if c.change != nil {
				c.change(s)
			}
			e := s.withReturn(c.refusal)
			if planned := e != c.refusal; planned != c.planned {
				t.Fatalf("the return is planned: %t, want %t", planned, c.planned)
			}
			if want := overload.MinRetryAfter; c.planned && e.RetryAfter != want {
				t.Errorf("the caller returns after %s, want %s", e.RetryAfter, want)
			}
		})
	}
}

// TestReturnsFollowAdmissions checks that the callers of a service get turns once the box has seen
// how many requests find room while others are refused, and that another service has turns of its
// own.
func TestReturnsFollowAdmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const objective = 500 * time.Millisecond
		h := returnsHandler()
		checkPlan := func(s *streamRequest, want overload.ReturnPlan) {
			t.Helper()
			if e, plan := s.withReturn(errNoRoom), want; e.Detail != "no room; "+returnDetails[plan] {
				t.Errorf("refused with %q, want plan %s", e.Detail, plan)
			}
		}
		checkPlan(refusedStream(h, objective), overload.ReturnUnplanned)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			if e := refusedStream(h, objective).withReturn(errNoRoom); e.Code != result.Overloaded {
				t.Errorf("refused with code %d", e.Code)
			}
			refusedStream(h, objective).recordRoomFound()
		}
		checkPlan(refusedStream(h, objective), overload.ReturnInTurn)
		other := refusedStream(h, objective)
		other.c.service = "search"
		checkPlan(other, overload.ReturnUnplanned)
	})
}

// TestFailPlansReturn checks that the caller of a refused stream is sent its time to return, and that
// the refusal still says that the request was not executed.
func TestFailPlansReturn(t *testing.T) {
	h := returnsHandler()
	var sent *result.Error
	h.codec.WriteError = func(_ http.ResponseWriter, _ string, e *result.Error) { sent = e }
	refusedStream(h, time.Second).fail(errNoRoom)
	want := result.New(result.Overloaded, "no room; %s", returnDetails[overload.ReturnUnplanned]).WithRetryAfter(overload.MinRetryAfter)
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

// TestRecordRoomFound checks that a stream costs no memory while there is room.
func TestRecordRoomFound(t *testing.T) {
	h := returnsHandler()
	s := refusedStream(h, time.Second)
	if n := testing.AllocsPerRun(100, s.recordRoomFound); n > 0 {
		t.Errorf("%.0f allocations without a shortage", n)
	}
	if _, ok := h.returns.Load(s.c.service); ok {
		t.Error("state was created without a refusal")
	}
}

// BenchmarkRecordRoomFound measures what a stream costs while there is room.
func BenchmarkRecordRoomFound(b *testing.B) {
	s := refusedStream(returnsHandler(), time.Second)
	b.ReportAllocs()
	for b.Loop() {
		s.recordRoomFound()
	}
}
