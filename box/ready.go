package box

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/internal/program"
)

// readyTimeout is how long after its start a box waits until every model has all its layers. After
// that it accepts callers anyway: a refusal tells them more than no answer.
const readyTimeout = 9 * time.Second

// updateReadiness decides whether the box accepts callers, and updates the status.
func (c *control) updateReadiness(now time.Time) {
	b := c.box
	s := Status{
		Program: program.Current(), Box: c.settings.Box, Hall: c.settings.Hall, Servers: len(c.serversByName), Complete: c.complete(),
		Leader: c.term.Box, FencingToken: c.term.Token, Boxes: c.liveBoxes(), Isolated: b.isolated(), Detours: c.detours,
		Suspects: b.fleet.Suspects(), Resting: b.fleet.CoolingDown(), Leaving: b.fleet.Leaving(), Limited: b.fleet.RateLimits(), Slow: b.handler.LocalSlowServers(), InFlight: b.handler.InFlight(),
		ReadsStore: b.isReader.Load(), FailedTopics: c.failedTopics(), Quarantine: b.quarantine.ledger.Suspects(now), Suspended: c.suspendedTotal,
	}
	if c.catalog != nil {
		s.Config, s.ConfigAge, s.ConfigBy = c.catalog.Version, now.Sub(c.configConfirmedAt), c.configConfirmedBy
	}
	c.everComplete = c.everComplete || s.Complete
	fresh := c.catalog != nil && now.Sub(c.configConfirmedAt) < c.settings.Bounds.MaxRevocationDelay
	s.Ready = !c.leaving && fresh && s.Servers > 0 && (c.everComplete || now.Sub(b.startedAt) > readyTimeout)
	if b.ready.Swap(s.Ready) != s.Ready {
		event.Log(b.logger, event.Ready, zap.Any("status", s))
	}
	b.status.Store(&s)
	b.metrics.status(s)
}

// complete reports whether every model has all its layers on usable servers.
func (c *control) complete() bool {
	if c.catalog == nil {
		return false
	}
	for _, s := range c.catalog.Services {
		if s.Model != nil && !c.box.fleet.HasAllLayers(s.Name) {
			return false
		}
	}

	return true
}

// failedTopics returns the topics of the store whose last call failed.
func (c *control) failedTopics() []string {
	var lost []string
	for topic, down := range c.topicFailed {
		if down {
			lost = append(lost, topic)
		}
	}
	slices.Sort(lost)

	return lost
}
