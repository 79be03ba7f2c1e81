package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/mesh"
)

func (c *control) onConfig(m *configUpdate) {
	if c.catalog != nil && m.catalog.Version <= c.catalog.Version {
		if m.catalog.Version < c.catalog.Version {
			event.Log(c.box.logger, event.CatalogRefused, zap.Int64("version", m.catalog.Version),
				zap.Int64("have", c.catalog.Version), zap.String("from", m.from))
		}

		return
	}
	c.catalog = m.catalog
	clear(c.rebalanced)
	c.box.fleet.SetCatalog(m.catalog)
	c.box.metrics.configVersion(m.catalog.Version)
	event.Log(c.box.logger, event.CatalogTaken, append([]zap.Field{zap.Int64("version", m.catalog.Version), zap.String("from", m.from)}, m.timeFields(clock.Now())...)...)
	c.publish()
	c.box.configDocument.Store(mesh.NewConfigDocument(m.raw))
	if c.box.links != nil {
		c.box.links.keys.Set(m.raw)
	}
	c.pushConfig(clock.Now())
}

// timeFields returns the log fields for how long each step took until the control actor handled the
// update.
func (m *configUpdate) timeFields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.Duration("call_ms", m.call.AnsweredAt.Sub(m.call.SentAt)), zap.Duration("decode_ms", m.decodedAt.Sub(m.call.AnsweredAt)),
		zap.Duration("apply_ms", now.Sub(m.decodedAt)),
	}
}

// onConfigInvalid records a configuration that could not be decoded. The version in force is kept.
// It still counts as current, since the store has no newer one that can be decoded.
func (c *control) onConfigInvalid(m *configInvalid) {
	c.box.metrics.entryRefused("configuration")
	event.Log(c.box.logger, event.CatalogUnreadable, event.Error(m.err))
}

// configJoinTimeout is how long a box that has started waits for what others know of the configuration. They
// answer its first report, which it sends within a round of gossip.
const configJoinTimeout = 4 * tickInterval

// onConfigRead handles that the store's configuration was read. If the store has come back from an older copy,
// it may lack a version that other boxes know, and a box that has just started asks these first.
func (c *control) onConfigRead(m *configConfirmed, now time.Time) {
	if m.era > 0 && !c.joinsConfig(now) {
		return
	}
	c.onConfigConfirmed(m.at, sourceStore)
}

// joinsConfig reports whether the box knows what others know of the configuration, as far as they can be heard.
func (c *control) joinsConfig(now time.Time) bool {
	if c.configJoined {
		return true
	}
	for _, o := range c.peers {
		if o.live() && c.hasNewerConfig(o) {
			return false
		}
	}
	c.configJoined = now.Sub(c.box.startedAt) >= configJoinTimeout

	return c.configJoined
}

// onConfigConfirmed records that the configuration was the newest at a time, and by whose word: the store's
// or that of another box.
func (c *control) onConfigConfirmed(at time.Time, by string) {
	if c.catalog == nil || !at.After(c.configConfirmedAt) {
		return
	}
	c.configConfirmedAt, c.configConfirmedBy = at, by
	c.noteConfigAge(clock.Now())
	c.publish()
	if !c.box.ready.Load() {
		c.updateReadiness(clock.Now())
	}
}

// noteConfigAge logs when the configuration becomes outdated, and when it is current again.
func (c *control) noteConfigAge(now time.Time) {
	if c.catalog == nil || c.configConfirmedAt.IsZero() {
		return
	}
	age := now.Sub(c.configConfirmedAt)
	outdated := age > c.settings.Bounds.MaxStaleness
	if outdated == !c.configOutdatedAt.IsZero() {
		return
	}
	fields := []zap.Field{zap.Int64("version", c.catalog.Version), zap.Duration("age_ms", age), zap.String("by", c.configConfirmedBy)}
	if outdated {
		c.configOutdatedAt = now
		event.Log(c.box.logger, event.CatalogOutdated, append(fields, zap.Bool("reads", c.box.isReader.Load()), zap.Strings("store_lost", c.failedTopics()))...)

		return
	}
	event.Log(c.box.logger, event.CatalogCurrent, append(fields, zap.Duration("outdated_ms", now.Sub(c.configOutdatedAt)))...)
	c.configOutdatedAt = time.Time{}
}

// publish makes the state visible to requests.
func (c *control) publish() {
	c.box.state.Store(&forward.State{Catalog: c.catalog, ConfigVerifiedAt: c.configConfirmedAt, ConfigVerifiedBy: c.configConfirmedBy, BoxCount: c.retryBudgetBoxes(), LiveBoxes: c.liveBoxes(), Synced: c.catalog != nil && len(c.serversByName) > 0})
}

func (c *control) onStoreFailed(m *storeFailed) {
	c.box.metrics.storeCall(m.topic, m.err)
	if !c.topicFailed[m.topic] {
		event.Log(c.box.logger, event.StoreLost, zap.String("topic", m.topic), event.Error(m.err))
	}
	c.topicFailed[m.topic], c.topicFailedAt[m.topic] = true, clock.Now()
}

// onStoreSucceeded handles a successful store call.
func (c *control) onStoreSucceeded(m *storeSucceeded) {
	c.box.metrics.storeCall(m.topic, nil)
	if c.topicFailed[m.topic] {
		event.Log(c.box.logger, event.StoreRegained, zap.String("topic", m.topic))
	}
	c.topicFailed[m.topic] = false
}
