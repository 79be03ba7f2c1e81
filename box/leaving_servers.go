package box

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/mesh"
)

// leavingTTL is how long a leaving server is reported to other boxes in each round. The server's
// entry shows it within about a heartbeat unless the store is down.
const leavingTTL = 2 * time.Second

// leavingServer is a server that announced it is leaving, to be reported to other boxes.
type leavingServer struct {
	id        slatebridge.ServerID
	learnedAt time.Time
}

// onServerLeaving handles a server's announcement to this box that it is leaving, which the fleet
// already knows, and tells the other boxes.
func (c *control) onServerLeaving(id slatebridge.ServerID, now time.Time) {
	c.leavingServers = append(c.leavingServers, leavingServer{id, now})
	c.topologyChangedAt = now
	clear(c.rebalanced)
	c.scheduleServerReportPush(now)
}

// applyLeavingServers applies the leaving servers that another box reports. A relay forwards them.
//
// Scenario: a sixth of the servers leaves while the store is slow, so that their entries arrive
// late. Without these reports each box would find out through its first rejected request.
func (c *control) applyLeavingServers(msg mesh.Message, at time.Time) {
	for _, id := range msg.LeavingServers {
		if !c.box.fleet.ApplyNotice(id, fleet.Notice{Leaving: true}).Leaving {
			continue
		}
		event.Log(c.box.logger, event.ServerLeaves, zap.String("server", string(id)), zap.String("source", string(msg.Box)))
		c.topologyChangedAt = at
		clear(c.rebalanced)
		if c.isRelay(at) {
			c.leavingServers = append(c.leavingServers, leavingServer{id, at})
			c.scheduleServerReportPush(at)
		}
	}
}

// recentLeavingServers returns the leaving servers to be reported to other boxes.
func (c *control) recentLeavingServers(now time.Time) []slatebridge.ServerID {
	c.leavingServers = slices.DeleteFunc(c.leavingServers, func(l leavingServer) bool { return now.Sub(l.learnedAt) > leavingTTL })
	out := make([]slatebridge.ServerID, 0, len(c.leavingServers))
	for _, l := range c.leavingServers {
		out = append(out, l.id)
	}

	return out
}
