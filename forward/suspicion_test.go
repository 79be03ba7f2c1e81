package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
)

// suspicionTest is a box in hall a. In each of the halls a and b, four model servers hold the model
// together, and one server has no model.
type suspicionTest struct {
	*testing.T
	h *Handler

	mu sync.Mutex
	// silent are the servers that do not respond to queries, and queries counts the queries by server.
	silent  map[slatebridge.ServerID]bool
	queries map[slatebridge.ServerID]int
}

var (
	modelServersOfA = []slatebridge.ServerID{"a0", "a1", "a2", "a3"}
	modelServersOfB = []slatebridge.ServerID{"b0", "b1", "b2", "b3"}
	// plainServers are the servers without a model of both halls.
	plainServers = []slatebridge.ServerID{"pa", "pb"}
)

// withHalls runs the test in virtual time.
func withHalls(t *testing.T, test func(st *suspicionTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		st := &suspicionTest{T: t, silent: make(map[slatebridge.ServerID]bool), queries: make(map[slatebridge.ServerID]int)}
		model := &catalog.Model{Layers: 8, LayerMB: 1000, KVBytesPerToken: 2e6, MeanOutputTokens: 40, Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 5000}}}
		f := fleet.New("a", clock.Now, fleet.WithRandom(func() float64 { return 0.5 }))
		f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: model}, {Name: "till"}}, nil, false))
		for hall, ids := range map[slatebridge.HallID][]slatebridge.ServerID{"a": modelServersOfA, "b": modelServersOfB} {
			for i, id := range ids {
				f.Set(catalog.Server{ID: id, Service: "llm", Hall: hall, Accelerator: "big", Address: string(id) + ":80", Layers: slatebridge.LayerRange{From: 2 * i, To: 2*i + 2}})
			}
			id := "p" + slatebridge.ServerID(hall)
			f.Set(catalog.Server{ID: id, Service: "till", Hall: hall, Slots: 6, Address: string(id) + ":80"})
		}
		st.h = New(Config{
			Fleet: f, Logger: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Ledger: quarantine.New(), OnSuspect: func() {},
			Random: func() float64 { return 0.5 }, ServerClient: ServerClient{Report: st.report},
		})
		test(st)
	})
}

// report is the response of a server to a query: servers without a model reject it.
func (st *suspicionTest) report(ctx context.Context, s catalog.Server) (Report, error) {
	st.mu.Lock()
	st.queries[s.ID]++
	silent := st.silent[s.ID]
	st.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()

		return Report{}, ctx.Err()
	case slices.Contains(plainServers, s.ID):
		return Report{}, errors.Mark(errors.New("status 400"), ErrNoReport)
	default:
		return Report{Slowness: 1}, nil
	}
}

// setSilent sets whether servers are silent.
func (st *suspicionTest) setSilent(silent bool, ids ...slatebridge.ServerID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, id := range ids {
		st.silent[id] = silent
	}
}

// checkStream checks a stalled stream over the servers, which hold the model together.
func (st *suspicionTest) checkStream(ids []slatebridge.ServerID) {
	st.Helper()
	var path fleet.Path
	for i, id := range ids {
		s, _ := st.h.fleet.Server(id)
		path = append(path, fleet.Stage{Server: s, Layers: slatebridge.LayerRange{From: 2 * i, To: 2*i + 2}})
	}
	st.h.failedInPath(st.Context(), &streamAttempt{requestID: "stream", service: "llm"}, path)
}

// wantSuspects fails the test unless just these servers are suspected.
func (st *suspicionTest) wantSuspects(want ...slatebridge.ServerID) {
	st.Helper()
	got := st.h.fleet.Suspects()
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		st.Errorf("suspects (-want +got):\n%s", diff)
	}
}

// TestPlainServersAfterHallCut guards against servers without a model that stay suspected for good
// after their hall was cut off.
func TestPlainServersAfterHallCut(t *testing.T) {
	withHalls(t, func(st *suspicionTest) {
		hallB := append(slices.Clone(modelServersOfB), "pb")
		st.setSilent(true, hallB...)
		st.checkStream(modelServersOfB)
		st.wantSuspects(hallB...)
		time.Sleep(5 * time.Second)
		st.wantSuspects(hallB...)
		st.setSilent(false, hallB...)
		time.Sleep(suspicionTTL + recheckInterval)
		st.wantSuspects()
	})
}
