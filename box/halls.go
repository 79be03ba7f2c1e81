package box

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// markHallSeen records that a box of the hall was heard, by this box or a relay.
func (c *control) markHallSeen(hall slatebridge.HallID, at time.Time) {
	c.hallSeenAt[hall] = latest(c.hallSeenAt[hall], at)
}

// reachable reports whether the box is live and its hall is not partitioned from this one.
func (c *control) reachable(o *peerBox) bool {
	_, ok := c.hallSeenAt[o.hall]

	return o.live() && (ok || o.inHall(c.settings.Hall))
}

// hallTimeout returns the silence after which a hall counts as partitioned. A relay contacts it
// every remoteHallRounds rounds. Boxes that learn of it from their relays hear of one remote hall
// per round.
func (c *control) hallTimeout() time.Duration {
	rounds := max(remoteHallRounds, len(c.remoteWork))

	return max(minPeerTimeout, lostAfterIntervals*time.Duration(rounds)*tickInterval)
}

// expireHalls drops the load of halls from which nothing is heard. Their boxes count toward the
// retry budget for peerRetention.
func (c *control) expireHalls(now time.Time) {
	for hall, at := range c.hallSeenAt {
		if hall != c.settings.Hall && now.Sub(at) > c.hallTimeout() {
			c.box.fleet.SetPeerGroupLoads(hallKey(hall), nil)
			delete(c.hallSeenAt, hall)
		}
	}
	for hall, w := range c.remoteWork {
		if now.Sub(w.asOf) > peerRetention {
			c.box.handler.RetryBudget().RemovePeerGroup(hallKey(hall))
			delete(c.remoteWork, hall)
		}
	}
}

// liveBoxes returns how many boxes are heard, by this one or by relays, including this box.
func (c *control) liveBoxes() int {
	n := max(1, c.hallWork.live)
	for hall, w := range c.remoteWork {
		if _, ok := c.hallSeenAt[hall]; ok {
			n += w.live
		}
	}

	return n
}
