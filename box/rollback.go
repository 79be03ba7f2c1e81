package box

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
)

const (
	// rollbackGrace is how long entries may be missing after the store has rolled back to an older
	// copy. Live servers write theirs again within about two seconds. The grace also limits how
	// long a server that has left still receives requests, which must not exceed two seconds.
	rollbackGrace = 1900 * time.Millisecond
	// tombstoneTTL is how long removed entries are remembered. An older copy, some seconds old, may
	// still contain them.
	tombstoneTTL = time.Minute
)

// onStoreRollback handles a rollback of the store to an older copy, read by this box or another
// one. Entries in that copy whose servers had been removed before are ignored, and entries that are
// missing in it get grace to return.
//
// Scenario: the store is down for 0.3 s and loses what was written in the 3 s before. The offsets
// of new entries are then below the known ones until they catch up, so positions are compared by
// era first. If such entries were taken as old, servers that come after the rollback would not be
// used, and a box elected in that time would issue no more orders.
func (c *control) onStoreRollback(m *serversUpdate, now time.Time) {
	skipped := 0
	m.grace, c.serversStaleAt = rollbackGrace, now
	c.expireTombstones(now)
	m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e logstore.Entry) bool {
		_, removed := c.tombstones[e.Key]
		if removed {
			skipped++
		}

		return removed
	})
	event.Log(c.box.logger, event.StoreReturned, zap.Int64("era", m.next.Era()), zap.Int("entries", len(m.entries)), zap.Int("passed_over", skipped))
	c.box.metrics.storeEra.Set(float64(m.next.Era()))
	if c.box.isReader.Load() {
		c.box.quarantine.ledger.RepublishShared(now)
	}
}

// expireTombstones drops tombstones that are too old to be in any copy.
func (c *control) expireTombstones(now time.Time) {
	maps.DeleteFunc(c.tombstones, func(_ string, at time.Time) bool { return now.Sub(at) > tombstoneTTL })
}
