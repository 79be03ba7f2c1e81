package box

import (
	"slices"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/mesh"
)

// gossip tells other boxes what this one does: those whose turn it is, or all
// of the hall.
func (c *control) gossip(all bool) {
	c.round++
	var near, far []*otherBox
	for _, o := range c.peers {
		if o.near(c.settings.Hall) {
			near = append(near, o)
		} else {
			far = append(far, o)
		}
	}
	far = turn(far, c.farTargets(), c.round)
	if !all {
		near = turn(near, nearTargets, c.round)
	}
	m := c.message()
	budget, now := c.box.handler.Budget(), time.Now()
	m.Loads, m.Usage = c.box.fleet.Loads(), budget.Usage(now)
	c.send(m, near, nil)
	names := c.nearNames()
	m.Loads, m.Usage = c.box.fleet.HallLoads(names), budget.HallUsage(names, now)
	c.send(m, far, c.unknownSeeds())
}

// nearNames returns the names under which the work of the hall's other boxes
// is known to the fleet.
func (c *control) nearNames() []string {
	var names []string
	for _, o := range c.peers {
		if o.live() && o.near(c.settings.Hall) {
			names = append(names, c.loadName(o))
		}
	}

	return names
}

// turn returns the part of the boxes whose turn it is in the round.
func turn(boxes []*otherBox, n, round int) []*otherBox {
	if len(boxes) <= n {
		return boxes
	}
	slices.SortFunc(boxes, func(a, b *otherBox) int { return strings.Compare(string(a.id), string(b.id)) })
	out := make([]*otherBox, 0, n)
	for i := range n {
		out = append(out, boxes[(round*n+i)%len(boxes)])
	}

	return out
}

// unknownSeeds returns the seeds from which nothing has been heard. They are
// asked every few rounds.
func (c *control) unknownSeeds() []string {
	const every = 2
	if c.round%every != 0 {
		return nil
	}
	known := make(map[string]bool)
	for _, o := range c.peers {
		known[o.address] = true
	}
	var to []string
	for _, a := range c.settings.Seeds {
		if !known[a] && a != c.settings.Listen.Mesh {
			to = append(to, a)
		}
	}

	return to
}

// send sends the message to the boxes, with an echo for each of them.
func (c *control) send(m mesh.Message, boxes []*otherBox, seeds []string) {
	to := seeds
	m.Echo = make(map[string]int64, len(boxes))
	for _, o := range boxes {
		to = append(to, o.address)
		m.Recent = c.changesFor(o, m.Recent)
		if o.boot != "" {
			m.Echo[o.boot] = o.sent
		}
	}
	if len(to) == 0 {
		return
	}
	if err := c.box.socket.Send(m, to); err != nil {
		c.box.metrics.meshError(err)
	}
}

// changesFor returns the changes that the box lacks, or the given ones if they
// are more.
func (c *control) changesFor(o *otherBox, given []mesh.Change) []mesh.Change {
	for i, v := range c.recent {
		if v.Offset >= o.last.Next {
			if missing := c.recent[i:]; len(missing) > len(given) {
				return missing
			}

			return given
		}
	}

	return given
}

// pushNews tells the boxes of the hall at once, and the next of the others.
func (c *control) pushNews() {
	c.gossip(true)
}

// pushDoubt tells the boxes of the hall at once which servers are dead or slow.
func (c *control) pushDoubt() {
	var to []string
	for _, o := range c.peers {
		if o.live() && o.near(c.settings.Hall) {
			to = append(to, o.address)
		}
	}
	m := mesh.Message{
		Box: c.settings.Box, Hall: c.settings.Hall, Brief: true,
		Dead: c.box.handler.Dead(), Slow: c.box.handler.Slow(),
	}
	if err := c.box.socket.Send(m, to); err != nil {
		c.box.metrics.meshError(err)
	}
}

func (c *control) message() mesh.Message {
	now := time.Now()
	m := mesh.Message{
		Box: c.settings.Box, Hall: c.settings.Hall, Boot: c.box.boot, Address: c.settings.Listen.Mesh,
		Sent: now.Sub(c.box.started).Microseconds(), Boxes: make(map[slatebridge.BoxID]string),
		ConfigAge: age(now, c.current), Next: c.next, ServersAge: age(now, c.serversAt),
		Reads: !c.storeDown[topicConfig] && !c.storeDown[topicServers],
		Dead:  c.box.handler.Dead(), Slow: c.box.handler.Slow(), Term: c.term, HolderAge: age(now, c.holderHeard), Leaving: c.leaving, Ready: c.ready(),
	}
	if c.elected() {
		m.HolderAge = 0
	}
	if c.catalog != nil {
		m.Config = c.catalog.Version
	}
	for id, o := range c.peers {
		// The order of a map is random, so that other names come each time.
		if o.live() && len(m.Boxes) < mostNames {
			m.Boxes[id] = o.address
		}
	}

	return m
}

// age returns how long ago a time was in microseconds, or -1 for no time.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}

	return now.Sub(at).Microseconds()
}
