package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/lease"
	"github.com/slatebridge/slatebridge/peer"
)

// maxSnapshotWait is how long a request for a routing snapshot waits for a new one.
const maxSnapshotWait = 2 * time.Second

// heldLease returns the lease if it is held at this moment.
func (c *Controller) heldLease() (lease.Lease, bool) {
	l := c.currentLease.Load()
	if l == nil || !clock.Now().Before(l.ExpiresAt) {
		return lease.Lease{}, false
	}

	return *l, true
}

// PeerHandler returns the handler for gateways and other controllers.
func (c *Controller) PeerHandler() http.Handler {
	return peer.NewControllerServer(peerService{c: c})
}

// OperatorHandler returns the handler for operators.
func (c *Controller) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", c.serveStatus)
	mux.HandleFunc("GET /v1/outcomes/{id}", c.serveOutcome)

	return mux
}

// Ready reports whether the configuration has caught up at some time since the start of this
// process; see Status.ConfigCaughtUp.
func (c *Controller) Ready() bool {
	return c.publisher.status().ConfigCaughtUp
}

func (c *Controller) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c.publisher.status())
}

func (c *Controller) serveOutcome(w http.ResponseWriter, r *http.Request) {
	o, ok := c.appliedConfig.Load().Outcome(r.PathValue("id"))
	if !ok {
		// A record with this ID may also have been applied so long ago that its outcome is no
		// longer kept.
		http.Error(w, "no record with this ID has been folded", http.StatusNotFound)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}

// peerService implements the peer protocol.
type peerService struct {
	c *Controller
}

// Snapshot returns the newest routing snapshot. If the client already has it, Snapshot waits for
// another one.
func (p peerService) Snapshot(ctx context.Context, req *peer.SnapshotRequest) (*peer.SnapshotReply, error) {
	timer := time.NewTimer(maxSnapshotWait)
	defer timer.Stop()
	for {
		snap, ok, changed := p.c.publisher.latestSnapshot()
		if ok && (snap.Revision.ControllerID != req.Controller || snap.Revision.Sequence != req.Sequence) {
			data, err := json.Marshal(snap)

			return &peer.SnapshotReply{Snapshot: data}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				// None is published before the configuration has caught up; see
				// Status.ConfigCaughtUp.
				return nil, twirp.Unavailable.Error("the configuration is not current yet")
			}

			return &peer.SnapshotReply{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// State returns the applied configuration if it is newer than what the peer has applied.
func (p peerService) State(_ context.Context, req *peer.StateRequest) (*peer.StateReply, error) {
	s := p.c.appliedConfig.Load()
	if s.AppliedOffset() <= req.Applied {
		return &peer.StateReply{Applied: s.AppliedOffset()}, nil
	}
	data, err := json.Marshal(s)

	return &peer.StateReply{Applied: s.AppliedOffset(), State: data}, err
}

// Records returns the configuration records from an offset on if they are still kept. If it returns
// none, the peer requests the state.
func (p peerService) Records(_ context.Context, req *peer.RecordsRequest) (*peer.RecordsReply, error) {
	reply := &peer.RecordsReply{
		Applied: p.c.appliedConfig.Load().AppliedOffset(),
		Current: p.c.publisher.status().ConfigCaughtUp,
	}
	records, _ := p.c.recentRecords.recordsFrom(req.From)
	for _, r := range records {
		reply.Records = append(reply.Records, &peer.Record{
			Offset:       r.Offset,
			TimeUnixNano: r.Time.UnixNano(),
			Data:         r.Data,
		})
	}

	return reply, nil
}
