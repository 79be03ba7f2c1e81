package box

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/mesh"
)

// listedServer is a server with an entry in the store.
type listedServer struct {
	catalog.Server
	// fromResponse is set if this incarnation is known only from a response of the server, and not
	// yet from its entry.
	fromResponse bool
}

// restartTTL is how long a restart is sent to other boxes in each round. The server's entry shows
// it within about a heartbeat.
const restartTTL = 2 * time.Second

// recentRestart is a server restart to be sent to other boxes.
type recentRestart struct {
	mesh.Restart
	learnedAt time.Time
}

// onServerRestarted handles a server restart that a response to this box revealed, and tells the
// other boxes.
func (c *control) onServerRestarted(r mesh.Restart, now time.Time) {
	if c.applyRestart(r, "its answer") {
		c.restarts = append(c.restarts, recentRestart{r, now})
		c.scheduleServerReportPush(now)
	}
}

// applyRestarts applies the server restarts that another box reports. A relay forwards them.
func (c *control) applyRestarts(msg mesh.Message, at time.Time) {
	for _, r := range msg.Restarts {
		if c.applyRestart(r, string(msg.Box)) && c.isRelay(at) {
			c.restarts = append(c.restarts, recentRestart{r, at})
			c.scheduleServerReportPush(at)
		}
	}
}

// applyRestart applies a server restart before the server's entry shows it, and reports whether it
// is new. The source received a response of the new incarnation to a request it made knowing the
// previous one. So the previous incarnation has ended, regardless of the server's clock.
func (c *control) applyRestart(r mesh.Restart, source string) bool {
	s, ok := c.serversByName[r.Name]
	if !ok || s.Incarnation != r.PreviousIncarnation {
		return false
	}
	c.retireIncarnation(s.Server)
	next := s.AfterRestart(r.NewIncarnation)
	event.Log(c.box.logger, event.ServerRestarted, zap.String("server", string(s.ID)), zap.String("now", string(next.ID)), zap.String("source", source))
	c.registerServer(listedServer{Server: next, fromResponse: true})

	return true
}

// retireIncarnation drops an incarnation of a server that has ended.
func (c *control) retireIncarnation(s catalog.Server) {
	c.box.fleet.RetireIncarnation(s.ID)
	c.forgetIncarnation(s.ID)
	c.topologyChangedAt = clock.Now()
	clear(c.rebalanced)
}

// replaceIncarnation handles an entry with another incarnation of a server than the known one. The
// store orders two entries, so the previous incarnation has ended. A response and an entry have no
// known order, so an incarnation known only from a response may come back.
func (c *control) replaceIncarnation(before listedServer, after catalog.Server, logChange bool) {
	if before.fromResponse {
		c.box.fleet.Remove(before.ID, time.Time{})
		c.forgetIncarnation(before.ID)
	} else {
		c.retireIncarnation(before.Server)
	}
	if logChange {
		event.Log(c.box.logger, event.ServerRestarted, zap.String("server", string(before.ID)), zap.String("now", string(after.ID)), zap.String("source", "its entry"))
	}
}

// recentRestarts returns the restarts to be sent to other boxes.
func (c *control) recentRestarts(now time.Time) []mesh.Restart {
	c.restarts = slices.DeleteFunc(c.restarts, func(r recentRestart) bool { return now.Sub(r.learnedAt) > restartTTL })
	out := make([]mesh.Restart, 0, len(c.restarts))
	for _, r := range c.restarts {
		out = append(out, r.Restart)
	}

	return out
}
