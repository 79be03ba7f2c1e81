package box

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// noteHall notes that some box of the hall was heard, by this box or a relay.
func (c *control) noteHall(hall slatebridge.HallID, at time.Time) {
	c.hallHeard[hall] = later(c.hallHeard[hall], at)
}

// heard reports whether the box is live and its hall is not cut off.
func (c *control) heard(o *otherBox) bool {
	_, ok := c.hallHeard[o.hall]

	return o.live() && (ok || o.near(c.settings.Hall))
}

// hallLost is after which silence a hall is taken as cut off. A relay speaks to
// it in farRounds rounds, and those that hear of it from their own relay do so
// once for each other hall.
func (c *control) hallLost() time.Duration {
	rounds := max(farRounds, len(c.farWork))

	return max(lostLeast, lostAfter*time.Duration(rounds)*tickEvery)
}

// expireHalls forgets the work of halls from which nothing is heard. Their boxes
// count for the retry budget for some time more.
func (c *control) expireHalls(now time.Time) {
	for hall, at := range c.hallHeard {
		if hall != c.settings.Hall && now.Sub(at) > c.hallLost() {
			c.box.fleet.SetPeer(hallName(hall), nil)
			delete(c.hallHeard, hall)
		}
	}
	for hall, w := range c.farWork {
		if now.Sub(w.at) > forgetTime {
			c.box.handler.Budget().Forget(hallName(hall))
			delete(c.farWork, hall)
		}
	}
}

// liveBoxes returns how many boxes are heard, by this one or by relays.
func (c *control) liveBoxes() int {
	n := max(1, c.hallWork.live)
	for hall, w := range c.farWork {
		if _, ok := c.hallHeard[hall]; ok {
			n += w.live
		}
	}

	return n
}
