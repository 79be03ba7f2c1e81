package box

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// heard reports whether the box is live and its hall is not cut off. Boxes of
// other halls speak seldom, but some box of each hall does all the time.
func (c *control) heard(o *otherBox) bool {
	_, ok := c.hallHeard[o.last.Hall]

	return o.live() && (ok || o.near(c.settings.Hall))
}

// expireHalls forgets the work of halls from which nothing is heard. Each box
// there speaks to this one once in a pause.
func (c *control) expireHalls(now time.Time, pause time.Duration) {
	for hall, at := range c.hallHeard {
		usual := pause / time.Duration(max(1, c.boxesOf(hallName(hall))))
		if hall != c.settings.Hall && now.Sub(at) > max(lostLeast, lostAfter*usual) {
			c.box.fleet.SetPeer(hallName(hall), nil)
			delete(c.hallHeard, hall)
		}
	}
}

// loadName returns under which name the work of the box is known to the fleet:
// boxes of other halls tell that of their whole hall.
func (c *control) loadName(o *otherBox) string {
	if o.near(c.settings.Hall) {
		return "box " + string(o.id)
	}

	return hallName(o.last.Hall)
}

// hallName returns the name of a whole hall's work.
func hallName(hall slatebridge.HallID) string { return "hall " + string(hall) }

// boxesOf returns how many boxes have the name.
func (c *control) boxesOf(name string) int {
	n := 0
	for _, o := range c.peers {
		if c.loadName(o) == name {
			n++
		}
	}

	return n
}

// pauses returns the usual pause between two messages of a box of the same
// hall, and of another one.
func (c *control) pauses() (near, far time.Duration) {
	n, f := 0, 0
	for _, o := range c.peers {
		if o.near(c.settings.Hall) {
			n++
		} else {
			f++
		}
	}
	rounds := func(boxes, targets int) time.Duration {
		return time.Duration(max(1, (boxes+targets-1)/targets)) * tickEvery
	}

	return rounds(n, nearTargets), rounds(f, c.farTargets())
}

// farTargets returns to how many boxes of other halls one round of messages
// goes.
func (c *control) farTargets() int {
	return (max(1, len(c.hallHeard)-1) + hallsATarget - 1) / hallsATarget
}
