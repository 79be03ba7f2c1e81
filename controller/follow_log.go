package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/lease"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/peer"
)

// ConfigSnapshotStream is the stream of the log that holds snapshots of the configuration.
const ConfigSnapshotStream = "config-snapshots"

// Timing of reads and appends.
const (
	// refreshInterval is how often the membership list and the servers of other halls are fetched.
	refreshInterval   = time.Second
	membershipTimeout = 2 * time.Second
	peerTimeout       = time.Second
	peerQueryInterval = time.Second
	// logCallTimeout is how long the log may take to respond, beyond the long-poll wait of a read.
	logCallTimeout = time.Second
	// retryDelay is the pause after a failed read of the log.
	retryDelay   = 200 * time.Millisecond
	longPollWait = 2 * time.Second
)

// followConfig reads the configuration stream from the applied offset on. While the log is
// unreachable, it queries the peers.
func (c *Controller) followConfig(ctx context.Context) {
	lastQuery := time.Time{}
	for ctx.Err() == nil {
		b, err := c.readConfig(ctx)
		if err == nil {
			c.onConfigRead(ctx, b)

			continue
		}
		c.send(configReadFailed{})
		if clock.Since(lastQuery) >= peerQueryInterval {
			lastQuery = clock.Now()
			c.queryPeers(ctx)
		}
		sleep(ctx, retryDelay)
	}
}

func (c *Controller) readConfig(ctx context.Context) (logstore.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+logCallTimeout)
	defer cancel()

	return c.log.Read(ctx, config.StreamName, c.appliedConfig.Load().AppliedOffset(), longPollWait)
}

// onConfigRead passes a batch to the actor and waits until it is applied, so that the next read
// starts after it. If the batch starts after a gap, it first loads a configuration snapshot and
// queries the peers.
func (c *Controller) onConfigRead(ctx context.Context, b logstore.Batch) {
	before := c.appliedConfig.Load().AppliedOffset()
	if b.OldestOffset > before {
		c.loadConfigSnapshot(ctx)
		c.queryPeers(ctx)
		sleep(ctx, retryDelay)
	}
	c.send(configBatch{batch: b, fromLog: true})
	if len(b.Records) == 0 {
		return
	}
	for ctx.Err() == nil && c.appliedConfig.Load().AppliedOffset() == before {
		if !sleep(ctx, time.Millisecond) || c.publisher.status().LogGap {
			return
		}
	}
}

// loadConfigSnapshot applies, of the configuration snapshots in the log, the one with the highest
// applied offset. The last one written is not necessarily the newest, because a paused writer may
// append an older one late.
func (c *Controller) loadConfigSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+logCallTimeout)
	defer cancel()
	b, err := c.log.Read(ctx, ConfigSnapshotStream, 0, 0)
	if err != nil {
		return
	}
	var newest config.State
	for _, r := range b.Records {
		var s config.State
		if json.Unmarshal(r.Data, &s) == nil && s.AppliedOffset() > newest.AppliedOffset() {
			newest = s
		}
	}
	if newest.AppliedOffset() > 0 {
		c.send(configState{state: newest, source: ConfigSnapshotStream})
	}
}

// writeConfigSnapshots appends configuration snapshots to the log. Only the actor of the lease
// holder requests them.
func (c *Controller) writeConfigSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.pendingConfigSnapshots:
			c.writeConfigSnapshot(ctx, s)
		}
	}
}

func (c *Controller) writeConfigSnapshot(ctx context.Context, s config.State) {
	data, err := json.Marshal(s)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	if _, err := c.log.Append(ctx, ConfigSnapshotStream, data); err == nil {
		event.Log(c.logger, event.SnapshotWritten, zap.Int64("applied", s.AppliedOffset()))
	}
}

// queryPeers asks the peers that have caught up for what this box has not applied yet. It takes
// records from peers of every hall, but only the peers of this box's hall decide whether this box
// has caught up.
func (c *Controller) queryPeers(ctx context.Context) {
	msg := peersQueried{}
	for _, b := range *c.boxes.Load() {
		if b.ID == c.box {
			continue
		}
		applied, ok := c.queryPeer(ctx, b)
		if !ok || b.Hall != c.hall {
			continue
		}
		msg.anyCaughtUp = true
		msg.maxApplied = max(msg.maxApplied, applied)
	}
	c.send(msg)
}

func (c *Controller) queryPeer(ctx context.Context, b slatebridge.Box) (applied int64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := c.dialPeer(b.ControllerPeerURL)
	have := c.appliedConfig.Load().AppliedOffset()
	reply, err := client.Records(ctx, &peer.RecordsRequest{From: have})
	if err != nil || !reply.Current {
		return 0, false
	}
	switch {
	case reply.Applied <= have:
	case len(reply.Records) > 0:
		c.send(configBatch{batch: logstore.Batch{OldestOffset: have, NextOffset: reply.Applied, Records: recordsFromPeer(reply.Records)}})
	default:
		c.fetchPeerState(ctx, client, b, have)
	}

	return reply.Applied, true
}

func (c *Controller) fetchPeerState(ctx context.Context, client peer.Controller, b slatebridge.Box, have int64) {
	reply, err := client.State(ctx, &peer.StateRequest{Applied: have})
	if err != nil || len(reply.State) == 0 {
		return
	}
	var s config.State
	if json.Unmarshal(reply.State, &s) == nil {
		c.send(configState{state: s, source: string(b.ID)})
	}
}

func recordsFromPeer(list []*peer.Record) []logstore.Record {
	records := make([]logstore.Record, 0, len(list))
	for _, r := range list {
		records = append(records, logstore.Record{
			Offset: r.Offset,
			Time:   time.Unix(0, r.TimeUnixNano),
			Data:   r.Data,
		})
	}

	return records
}

// followLease reads the hall's lease stream.
func (c *Controller) followLease(ctx context.Context) {
	logstore.Tail{
		Log:     c.log,
		Stream:  lease.StreamName(c.hall),
		OnBatch: func(_ int64, b logstore.Batch) { c.send(leaseBatch{batch: b}) },
		OnError: func(error) { c.send(leaseReadFailed{}) },
	}.Run(ctx)
}

// appendLeases appends claims and renewals. Whether an append succeeded is learned from the stream,
// so a lost response does no harm.
func (c *Controller) appendLeases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rec := <-c.pendingLeases:
			c.appendLease(ctx, rec)
		}
	}
}

func (c *Controller) appendLease(ctx context.Context, rec lease.Record) {
	data, err := json.Marshal(rec)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	_, _ = c.log.Append(ctx, lease.StreamName(c.hall), data)
}

// followMembership polls the platform's membership list. While it is unreachable, the last reading
// stays in force.
func (c *Controller) followMembership(ctx context.Context) {
	refused := make(map[string]bool)
	every(ctx, refreshInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
		defer cancel()
		m, err := c.membership.Get(ctx)
		if err != nil {
			return
		}
		refused = c.logRefusedEntries(m.Refused, refused)
		c.send(membershipRead{membership: m})
	})
}

// logRefusedEntries logs the entries that could not be decoded, unless the previous reading had them as
// well, and returns them.
func (c *Controller) logRefusedEntries(list []error, before map[string]bool) map[string]bool {
	refused := make(map[string]bool, len(list))
	for _, err := range list {
		refused[err.Error()] = true
		if !before[err.Error()] {
			event.Log(c.logger, event.EntryRefused, event.Error(err))
		}
	}

	return refused
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
