package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/peer"
)

// Timing of snapshot fetches.
const (
	fetchTimeout       = 4 * time.Second
	fetchRetryInterval = 200 * time.Millisecond
)

// followSnapshots fetches and installs snapshots until ctx ends. It logs only the first of
// consecutive failures.
func (g *Gateway) followSnapshots(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := g.fetchFromControllers(ctx)
		if err == nil {
			reachable = true

			continue
		}
		if reachable && ctx.Err() == nil {
			event.Log(g.logger, event.ControllerUnreachable, event.Error(err))
		}
		reachable = false
		select {
		case <-ctx.Done():
		case <-time.After(fetchRetryInterval):
		}
	}
}

// fetchFromControllers calls fetchSnapshot for one controller after the other until it succeeds. It
// returns the error of the last controller if it succeeds for none.
func (g *Gateway) fetchFromControllers(ctx context.Context) error {
	err := errors.New("gateway: no controller configured")
	for _, url := range g.controllerURLs {
		if err = g.fetchSnapshot(ctx, url); err == nil {
			return nil
		}
	}

	return err
}

// errOlderSnapshot is returned for a snapshot that does not supersede the current one.
var errOlderSnapshot = errors.New("gateway: the controller sent an outdated snapshot")

// fetchSnapshot requests a snapshot other than the current one and installs it. The request is a
// long poll: the controller waits for such a snapshot and sends an empty reply if none appears in
// time. An empty reply is no error.
func (g *Gateway) fetchSnapshot(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current := g.snapshot.Load().Revision
	reply, err := peer.NewControllerProtobufClient(url, g.httpClient).Snapshot(ctx, &peer.SnapshotRequest{
		Controller: current.ControllerID,
		Sequence:   current.Sequence,
	})
	if err != nil {
		return err
	}
	if len(reply.Snapshot) == 0 {
		return nil
	}
	var snap slatebridge.Snapshot
	if err := json.Unmarshal(reply.Snapshot, &snap); err != nil {
		return errors.Wrap(err, "gateway: decode snapshot")
	}
	if !g.installSnapshot(&snap) {
		return errOlderSnapshot
	}

	return nil
}
