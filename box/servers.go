package box

import (
	"bytes"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

// appliedLogInterval is the minimum time between two log lines on applied entries.
const appliedLogInterval = time.Second

// logAppliedEntries logs how many server entries were applied, and up to which position.
func (c *control) logAppliedEntries(now time.Time) {
	if c.appliedEntries == 0 || now.Sub(c.appliedLoggedAt) < appliedLogInterval {
		return
	}
	event.Log(c.box.logger, event.ServersTaken, zap.Int("entries", c.appliedEntries), zap.Int("servers", len(c.serversByName)), zap.Int64("next", c.serversPosition.Offset()), zap.Int64("era", c.serversPosition.Era()))
	c.appliedEntries, c.appliedLoggedAt = 0, now
}

// onServersConfirmed records that the server entries were current at a time.
func (c *control) onServersConfirmed(at time.Time) {
	if at.After(c.serversConfirmedAt) {
		c.serversConfirmedAt = at
		c.box.serversConfirmedAt.Store(&at)
	}
}

func (c *control) onServers(m *serversUpdate) {
	if m.next <= c.serversPosition && (c.serversPosition > 0 || len(m.entries) == 0) {
		return
	}
	if c.serversPosition > 0 && m.next.Era() > c.serversPosition.Era() {
		c.onStoreRollback(m, clock.Now())
	}
	if m.fromStore && c.continuouslyConfirmed(clock.Now()) {
		m.grace = 0
	}
	c.box.entries.update(m.next, func() {
		if m.full {
			c.replaceServers(m)
		} else {
			c.changeServers(m)
		}
	})
	c.serversPosition, c.entriesChangedAt = m.next, clock.Now()
	c.appliedEntries += len(m.entries)
	c.publish()
	if m.fromStore {
		c.pushServerChanges()
	}
	if m.full {
		c.updateReadiness(clock.Now())
	}
}

// confirmationWindow is how long the entries must have been continuously confirmed as current so
// that none can have expired because of a store outage. Live servers write their entries again
// within about two seconds of the store's return.
const confirmationWindow = 2 * time.Second

// noteStaleness records the time if the latest confirmation of the entries is older than
// MaxStaleness. Servers keep their entries through any outage that is shorter than that.
func (c *control) noteStaleness(now time.Time) {
	if now.Sub(c.serversConfirmedAt) > c.settings.Bounds.MaxStaleness {
		c.serversStaleAt = now
	}
}

// continuouslyConfirmed reports whether some box could read the store throughout
// confirmationWindow. If so, the store refused single boxes at most, such as this one, and entries
// that are missing from it have not expired through an outage.
//
// Scenario: the store refuses single boxes for seconds. A box that reads it again after four
// seconds, having received all changes from others meanwhile, must give no grace to a server that
// left. Otherwise requests would reach the server later than allowed.
func (c *control) continuouslyConfirmed(now time.Time) bool {
	return !c.serversConfirmedAt.IsZero() && now.Sub(c.serversConfirmedAt) <= c.settings.Bounds.MaxStaleness && now.Sub(c.serversStaleAt) > confirmationWindow
}

// replaceServers applies a full list of server entries.
func (c *control) replaceServers(m *serversUpdate) {
	seen := make(map[string]bool, len(m.entries))
	for _, e := range m.entries {
		e = boundEntry(e)
		seen[e.Key] = true
		c.setServer(e, m.fromStore && c.serversPosition > 0)
	}
	for key := range c.box.entries.entries {
		if !seen[key] {
			c.removeServer(key, m.grace)
		}
	}
	c.box.entries.recentChanges = nil
}

// changeServers applies the changes that are not yet known.
func (c *control) changeServers(m *serversUpdate) {
	for _, e := range m.entries {
		if e.Position < c.serversPosition {
			continue
		}
		e = boundEntry(e)
		if e.Removed() {
			c.removeServer(e.Key, m.grace)
		} else {
			c.setServer(e, m.fromStore)
		}
		c.box.entries.appendChange(mesh.ServerChange{Offset: e.Position, Key: e.Key, Value: e.Value, Grace: m.grace.Microseconds()})
	}
}

// maxEntryBytes is the size of the largest server entry that is kept and passed on. An entry takes about
// 300 bytes.
const maxEntryBytes = 16 << 10

// boundEntry returns the entry, or the start of one that is too large to be a server's. That is malformed
// for each box alike, and fits into a message.
func boundEntry(e logstore.Entry) logstore.Entry {
	if len(e.Value) > maxEntryBytes {
		e.Value = bytes.Clone(e.Value[:maxEntryBytes])
	}

	return e
}

// setServer applies the entry of a server. Only the box that read the change from the store logs
// it (logChange), since hundreds of boxes receive each change. If all of them logged it, these
// lines would make up most of the logs.
func (c *control) setServer(e logstore.Entry, logChange bool) {
	before, known := c.box.entries.entries[e.Key]
	if known && e.Position < before.Position {
		return
	}
	delete(c.tombstones, e.Key)
	c.box.entries.entries[e.Key] = mesh.ServerEntry{Value: e.Value, Position: e.Position}
	if known && string(before.Value) == string(e.Value) {
		return
	}
	s, err := c.decodeServer(e)
	if err != nil {
		c.invalidateServer(e.Key, err, logChange)

		return
	}
	if c.box.fleet.IsRetired(s.ID) {
		// The entry is of an earlier incarnation and arrived late.
		return
	}
	if old, ok := c.serversByName[e.Key]; ok && old.ID != s.ID {
		c.replaceIncarnation(old, s, logChange)
	}
	c.registerServer(listedServer{Server: s})
	if !logChange {
		return
	}
	event.Log(c.box.logger, event.ServerChanged, zap.String("server", string(s.ID)), zap.String("service", s.Service),
		zap.String("address", s.Address), zap.Bool("leaving", s.Leaving), zap.Stringer("layers", s.Layers), zap.Int64("offset", e.Position.Offset()), zap.Int64("era", e.Position.Era()))
}

// decodeServer returns the server that the entry names.
func (c *control) decodeServer(e logstore.Entry) (catalog.Server, error) {
	s, err := c.box.platform.DecodeServer(e)
	if err == nil && s.Incarnation == "" && c.serversByName[e.Key].Incarnation != "" {
		// A server always writes its incarnation.
		err = &catalog.EntryError{Name: e.Key, Fault: catalog.MissingField, Detail: "its start"}
	}

	return s, err
}

// invalidateServer marks a server as unusable whose entry was overwritten by one that names no
// server. This is not a store failure.
func (c *control) invalidateServer(name string, err error, logChange bool) {
	reason := catalog.MalformedEntry
	if e := (*catalog.EntryError)(nil); errors.As(err, &e) {
		reason = e.Fault
	}
	c.box.metrics.entryRefused(string(reason))
	if logChange {
		event.Log(c.box.logger, event.EntryRefused, zap.String("entry", name), event.Error(err))
	}
	if s, ok := c.serversByName[name]; ok {
		s.EntryInvalid = true
		c.registerServer(s)
	}
}

// registerServer adds or updates a server.
func (c *control) registerServer(s listedServer) {
	now := clock.Now()
	if _, known := c.firstSeenAt[s.ID]; !known {
		c.lastNewServerAt = now
		c.firstSeenAt[s.ID] = now
	}
	c.serversByName[s.Name] = s
	clear(c.rebalanced)
	before, known := c.box.fleet.Server(s.ID)
	if !known && s.Layers.Len() > 0 {
		c.lastReturnAt[s.Hall] = now
	}
	p, ordered := c.pendingOrders[s.ID]
	switch {
	case ordered && p.layers == s.Layers:
		delete(c.pendingOrders, s.ID)
	case !known || before.Layers != s.Layers || before.Leaving != s.Leaving || before.EntryInvalid != s.EntryInvalid:
		c.topologyChangedAt = now
	}
	c.trackUnloading(before, s.Server)
	c.box.fleet.Set(s.Server)
}

// trackUnloading records when a server gives up all its layers.
func (c *control) trackUnloading(before, after catalog.Server) {
	switch {
	case after.Layers.Len() > 0:
		delete(c.unloadedAt, after.ID)
	case before.Layers.Len() > 0:
		c.unloadedAt[after.ID] = clock.Now()
	}
}

// forgetIncarnation drops what this box planned for an incarnation of a server, and what others
// reported of it.
func (c *control) forgetIncarnation(id slatebridge.ServerID) {
	c.forgetObservations(id)
	delete(c.pendingOrders, id)
	delete(c.suspicions, id)
}

// forgetObservations drops the times at which events of a server were observed.
func (c *control) forgetObservations(id slatebridge.ServerID) {
	delete(c.firstSeenAt, id)
	delete(c.unloadedAt, id)
	delete(c.confirmedDeadSentAt, id)
}

// removeServer drops a server. Entries also expire during a store outage, so after one a server
// gets grace to return.
func (c *control) removeServer(key string, grace time.Duration) {
	if _, known := c.box.entries.entries[key]; !known {
		return
	}
	delete(c.box.entries.entries, key)
	server, known := c.serversByName[key]
	if !known {
		return
	}
	c.tombstones[key] = clock.Now().Add(grace)
	id := server.ID
	delete(c.serversByName, key)
	c.forgetObservations(id)
	c.topologyChangedAt = clock.Now()
	clear(c.rebalanced)
	if s, ok := c.box.fleet.Server(id); ok && !s.Leaving && slices.Contains(c.box.fleet.Suspects(), id) {
		c.crashedHolders = append(c.crashedHolders, toPlannerServer(s, s.Layers))
	}
	c.box.fleet.Remove(id, clock.Now().Add(grace))
	event.Log(c.box.logger, event.ServerRemoved, zap.String("server", key), zap.Duration("grace_ms", grace))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
