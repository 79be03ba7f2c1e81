package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/member"
	"github.com/slatebridge/slatebridge/peer"
)

// Timing of probes and polls.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	// hallReportMaxAge is how long another hall's servers are used after its boxes were last
	// reached.
	hallReportMaxAge = 5 * time.Second
)

// probeTargets are the servers to probe and their latest results.
type probeTargets struct {
	servers []slatebridge.BackendServer
	results member.ProbeResults
}

func (s *state) probeTargets() *probeTargets {
	t := &probeTargets{results: make(member.ProbeResults)}
	for _, server := range s.view.ProbeTargets() {
		if server.Hall == s.c.hall {
			t.servers = append(t.servers, server)
			t.results[server.ID] = s.view.ProbeResult(server.ID)
		}
	}

	return t
}

// probeServers probes every server of this box's hall.
func (c *Controller) probeServers(ctx context.Context) {
	every(ctx, probeInterval, func() {
		t := c.probeTargets.Load()
		if len(t.servers) == 0 {
			return
		}
		c.send(serversProbed{results: c.probeAll(ctx, t)})
	})
}

func (c *Controller) probeAll(ctx context.Context, t *probeTargets) member.ProbeResults {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := make(member.ProbeResults, len(t.servers))
	for _, s := range t.servers {
		wg.Go(func() {
			r := c.probe(ctx, s, t.results[s.ID])
			mu.Lock()
			defer mu.Unlock()
			results[s.ID] = r
		})
	}
	wg.Wait()

	return results
}

func (c *Controller) probe(ctx context.Context, s slatebridge.BackendServer, previous member.ProbeResult) member.ProbeResult {
	report, err := c.fetchServerState(ctx, s)
	if err != nil {
		previous.Health = previous.Health.WithFailure(clock.Now())

		return previous
	}

	return member.ProbeResult{Health: previous.Health.WithSuccess(clock.Now()), Report: report}
}

func (c *Controller) fetchServerState(ctx context.Context, s slatebridge.BackendServer) (engine.State, error) {
	if s.Kind == slatebridge.PlainServer {
		return engine.State{}, c.probePlain(ctx, s.URL)
	}

	return c.engines.FetchState(ctx, s.URL)
}

// newPlainProbe returns a function that checks the health endpoint of a plain server.
func newPlainProbe(client *http.Client) func(ctx context.Context, url string) error {
	return func(ctx context.Context, url string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/healthz", http.NoBody)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Newf("controller: plain server returned status %d", resp.StatusCode)
		}

		return nil
	}
}

// pollHalls asks one box of every other hall for that hall's servers.
func (c *Controller) pollHalls(ctx context.Context) {
	reportedAt := make(map[slatebridge.HallID]time.Time)
	reports := make(map[slatebridge.HallID]hallReport)
	every(ctx, refreshInterval, func() {
		for hall, boxes := range c.otherHalls() {
			if r, ok := c.pollHall(ctx, hall, boxes); ok {
				reports[hall] = r
				reportedAt[hall] = clock.Now()
			}
		}
		msg := hallsPolled{}
		for hall, r := range reports {
			if clock.Since(reportedAt[hall]) < hallReportMaxAge {
				msg.halls = append(msg.halls, r)
			}
		}
		c.send(msg)
	})
}

func (c *Controller) otherHalls() map[slatebridge.HallID][]slatebridge.Box {
	halls := make(map[slatebridge.HallID][]slatebridge.Box)
	for _, b := range *c.boxes.Load() {
		if b.Hall != c.hall {
			halls[b.Hall] = append(halls[b.Hall], b)
		}
	}

	return halls
}

func (c *Controller) pollHall(ctx context.Context, hall slatebridge.HallID, boxes []slatebridge.Box) (hallReport, bool) {
	for _, b := range boxes {
		snap, err := fetchSnapshot(ctx, c.dialPeer(b.ControllerPeerURL))
		if err != nil {
			continue
		}
		r := hallReport{hall: hall}
		inHall := make(map[slatebridge.ServerID]bool)
		for _, s := range snap.Servers {
			if s.Hall == hall {
				r.servers = append(r.servers, s)
				inHall[s.ID] = true
			}
		}
		for _, l := range snap.LoadedRanges {
			if inHall[l.Server] {
				r.loadedRanges = append(r.loadedRanges, l)
			}
		}

		return r, true
	}

	return hallReport{}, false
}

func fetchSnapshot(ctx context.Context, client peer.Controller) (slatebridge.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Snapshot(ctx, &peer.SnapshotRequest{})
	if err != nil {
		return slatebridge.Snapshot{}, err
	}
	var snap slatebridge.Snapshot
	err = json.Unmarshal(reply.Snapshot, &snap)

	return snap, err
}
