package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/stream"
)

// failureCooldown is how long a server is avoided after this box has seen it fail. By then,
// snapshots from the controller reflect the failure.
const failureCooldown = 3 * time.Second

var (
	// ErrNoPipeline marks that no chain of servers covers every layer.
	ErrNoPipeline = errors.New("route: no chain of live servers holds every layer")
	// ErrNoServer marks that no live server offers a plain service (one without a model).
	ErrNoServer = errors.New("route: no live server answers the service")
)

// Router chooses among the servers of the newest snapshot. It is safe for concurrent use.
type Router struct {
	hall   slatebridge.HallID
	policy Policy
	logger *zap.Logger

	mu       sync.Mutex
	snapshot *slatebridge.Snapshot
	// openStreams counts the streams of this box on each server.
	openStreams map[slatebridge.ServerID]int
	// openAtSnapshot is openStreams at the time of the snapshot, whose loads include these streams.
	openAtSnapshot map[slatebridge.ServerID]int
	// failedUntil is when the cooldown of each failed server ends.
	failedUntil map[slatebridge.ServerID]time.Time
	// plainTurn is the round-robin position of PlainServers.
	plainTurn int
}

// New returns a Router for a box in the hall.
func New(hall slatebridge.HallID, policy Policy, logger *zap.Logger) *Router {
	return &Router{
		hall:           hall,
		policy:         policy,
		logger:         logger,
		snapshot:       &slatebridge.Snapshot{},
		openStreams:    make(map[slatebridge.ServerID]int),
		openAtSnapshot: make(map[slatebridge.ServerID]int),
		failedUntil:    make(map[slatebridge.ServerID]time.Time),
	}
}

// SetSnapshot replaces the servers among which the router chooses.
func (r *Router) SetSnapshot(snapshot *slatebridge.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = snapshot
	clear(r.openAtSnapshot)
	for id, n := range r.openStreams {
		if n == 0 {
			delete(r.openStreams, id)

			continue
		}
		r.openAtSnapshot[id] = n
	}
}

// MarkFailed makes the router avoid the server for failureCooldown.
func (r *Router) MarkFailed(id slatebridge.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedUntil[id] = clock.Now().Add(failureCooldown)
}

// StreamOpened counts one more stream of this box on each stage of the pipeline.
func (r *Router) StreamOpened(p slatebridge.Pipeline) {
	r.addStreams(p, 1)
}

// StreamClosed counts one stream less on each stage of the pipeline.
func (r *Router) StreamClosed(p slatebridge.Pipeline) {
	r.addStreams(p, -1)
}

func (r *Router) addStreams(p slatebridge.Pipeline, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range p {
		r.openStreams[s.Server] += n
	}
}

// SelectPipeline chooses a pipeline for the service. It prefers servers of the previous attempt,
// which may still hold the KV cache of the stream's prefix.
func (r *Router) SelectPipeline(svc slatebridge.Service, previous slatebridge.Pipeline, excluded stream.ExcludedServers) (slatebridge.Pipeline, error) {
	req := requirement{model: svc.Instance.Model, adapter: svc.Instance.Adapter, layers: svc.Template.Layers}
	candidates := r.candidates(req, excluded)
	graph, why := r.widenUntilComplete(candidates, req.layers)
	if !graph.hasChain() {
		return nil, ErrNoPipeline
	}
	pipeline := graph.build(r.preferPrevious(previous, excluded))
	event.Log(r.logger, event.RouteChosen,
		zap.String("service", svc.Instance.Account+"/"+svc.Instance.Name),
		zap.Stringer("pipeline", pipeline),
		zap.Int("candidates", len(candidates)),
		zap.Bool("again", previous != nil),
		zap.String("why", why))

	return pipeline, nil
}

// widenUntilComplete adds candidates until some chain covers every layer: first those in the box's
// hall, then those in all halls, and last those that failed recently, since any of them is better
// than none.
func (r *Router) widenUntilComplete(candidates []Candidate, layers int) (graph chainGraph, why string) {
	for _, tier := range []struct {
		why     string
		accepts func(c Candidate) bool
	}{
		{"own hall", func(c Candidate) bool { return c.Hall == r.hall && !c.RecentlyFailed }},
		{"other halls too", func(c Candidate) bool { return !c.RecentlyFailed }},
		{"recently failed servers too", func(Candidate) bool { return true }},
	} {
		graph = newChainGraph(filter(candidates, tier.accepts), layers)
		if graph.hasChain() {
			return graph, tier.why
		}
	}

	return graph, ""
}

func filter(candidates []Candidate, accepts func(c Candidate) bool) []Candidate {
	var out []Candidate
	for _, c := range candidates {
		if accepts(c) {
			out = append(out, c)
		}
	}

	return out
}

// preferPrevious returns a policy that prefers servers of the previous pipeline, and otherwise
// chooses as the policy of the router does.
func (r *Router) preferPrevious(previous slatebridge.Pipeline, excluded stream.ExcludedServers) Policy {
	return func(candidates []Candidate) Candidate {
		for _, c := range candidates {
			if previous.Contains(c.Stage.Server) && !excluded[c.Stage.Server] {
				return c
			}
		}

		return r.policy(candidates)
	}
}

// candidates returns the loaded layer ranges that meet the requirement, on live servers.
func (r *Router) candidates(req requirement, excluded stream.ExcludedServers) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var list []Candidate
	for _, loaded := range r.snapshot.LoadedRanges {
		if loaded.Model != req.model || !loaded.HasAdapter(req.adapter) || excluded[loaded.Server] {
			continue
		}
		s, ok := r.snapshot.Server(loaded.Server)
		if !ok || s.State != slatebridge.Live {
			continue
		}
		list = append(list, Candidate{
			Stage:          slatebridge.Stage{Server: s.ID, URL: s.URL, Layers: loaded.Layers},
			Hall:           s.Hall,
			Speed:          s.LayersPerMillisecond,
			Load:           max(0, loaded.ActiveStreams+r.openStreams[s.ID]-r.openAtSnapshot[s.ID]),
			RecentlyFailed: r.hasRecentlyFailed(s.ID, now),
		})
	}

	return list
}

// hasRecentlyFailed reports whether the cooldown of the server is still running. The caller holds
// the lock.
func (r *Router) hasRecentlyFailed(id slatebridge.ServerID, now time.Time) bool {
	until, ok := r.failedUntil[id]
	if ok && !now.Before(until) {
		delete(r.failedUntil, id)

		return false
	}

	return ok
}

// PlainServers returns the servers of a plain service in the order in which they should be tried:
// those in the box's hall, then those in other halls, and last those that failed recently. Within
// each group, the first one changes from call to call.
func (r *Router) PlainServers(service string) ([]slatebridge.BackendServer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var sameHall, otherHalls, failed []slatebridge.BackendServer
	for _, s := range r.snapshot.Servers {
		switch {
		case s.Kind != slatebridge.PlainServer || s.Service != service || s.State != slatebridge.Live:
		case r.hasRecentlyFailed(s.ID, now):
			failed = append(failed, s)
		case s.Hall == r.hall:
			sameHall = append(sameHall, s)
		default:
			otherHalls = append(otherHalls, s)
		}
	}
	r.plainTurn++
	ordered := slices.Concat(rotate(sameHall, r.plainTurn), rotate(otherHalls, r.plainTurn), rotate(failed, r.plainTurn))
	if len(ordered) == 0 {
		return nil, ErrNoServer
	}
	event.Log(r.logger, event.RouteChosen,
		zap.String("service", service),
		zap.String("server", string(ordered[0].ID)),
		zap.Int("candidates", len(ordered)),
		zap.String("why", "own hall first, in turn"))

	return ordered, nil
}

// rotate returns the servers, starting with the nth one, modulo their number.
func rotate(servers []slatebridge.BackendServer, n int) []slatebridge.BackendServer {
	if len(servers) == 0 {
		return nil
	}
	n %= len(servers)

	return append(slices.Clone(servers[n:]), servers[:n]...)
}
