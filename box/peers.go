package box

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// lostAfter is how many times the usual pause between two messages a box
	// is silent until it counts as lost.
	lostAfter = 5
	// lostLeast is the least time until a box counts as lost.
	lostLeast = 1500 * time.Millisecond
	// forgetAfter is how long a lost box still counts for the retry budget,
	// which it may be using, and is still spoken to. It is given in the same
	// unit as lostAfter, and forgetLeast as lostLeast.
	forgetAfter = 20
	forgetLeast = 20 * time.Second
	// nearTargets is to how many boxes of the same hall one round of messages
	// goes; the next round takes the next ones.
	nearTargets = 10
	// hallsATarget is for how many other halls a round goes to one box of them.
	// All boxes of a hall say the same of it, so that one is heard more than
	// once a second. Bytes between halls have a price: measured, messages to
	// three boxes a round were most of 0.3 GB a day of 64 boxes.
	hallsATarget = 3
	// mostNames is how many names of other boxes a message carries.
	mostNames = 6
	// joinTime is how long a box that has started waits to hear of others before
	// it takes itself for the reader of its hall. Each read has a price, and
	// many boxes start together.
	joinTime = time.Second
	// helpTime bounds a question for another box's state.
	helpTime = 500 * time.Millisecond
	// seenTime is how long ago a stream passed a server on at which the word of
	// another box, that it is dead, is not believed. A box needs 80 ms and more to
	// find a server dead. Measured: within one second up to four boxes each wrongly
	// took 46 servers as dead, and 1,136 streams were moved.
	seenTime = 40 * time.Millisecond
	// deadTime is for how long the word of another box on a dead server holds.
	deadTime = 700 * time.Millisecond
)

// otherBox is another box as this one knows it.
type otherBox struct {
	id      slatebridge.BoxID
	address string
	boot    string
	heardAt time.Time
	last    mesh.Message
	lost    bool
	// sent is the newest clock reading heard from it.
	sent int64
	// configAt and serversAt are the times, on this box's clock, at which the
	// other box's knowledge is proved to have been current.
	configAt  time.Time
	serversAt time.Time
}

func (o *otherBox) live() bool { return !o.lost && o.boot != "" }

// near reports whether the box is in the hall.
func (o *otherBox) near(hall slatebridge.HallID) bool { return o.last.Hall == hall }

func (c *control) onHeard(m *heard) {
	msg := m.message
	if msg.Box == c.settings.Box {
		return
	}
	if msg.Brief {
		c.believe(msg, m.at)

		return
	}
	o, ok := c.peers[msg.Box]
	if !ok {
		o = &otherBox{id: msg.Box, lost: true}
		c.peers[msg.Box] = o
	}
	if o.boot == msg.Boot && msg.Sent <= o.sent {
		return
	}
	if o.lost || o.boot != msg.Boot {
		event.Log(c.box.logger, event.PeerFound, zap.String("peer", string(msg.Box)), zap.String("address", msg.Address), zap.String("boot", msg.Boot))
	}
	o.boot, o.sent, o.address = msg.Boot, msg.Sent, msg.Address
	o.heardAt, o.last, o.lost = m.at, msg, false
	c.takeChanges(msg)
	c.takeProof(o, msg)
	c.box.fleet.SetPeer(c.loadName(o), msg.Loads)
	c.box.handler.Budget().SetPeer(c.loadName(o), c.boxesOf(c.loadName(o)), msg.Usage, m.at)
	c.believe(msg, m.at)
	for id, address := range msg.Boxes {
		c.learn(id, address)
	}
	c.adopt(msg.Term)
	c.noteHolder(o, msg, m.at)
	c.hallHeard[msg.Hall] = m.at
}

// noteHolder notes when the box that gives orders was last heard, by this box
// or by the one that sent the message.
func (c *control) noteHolder(o *otherBox, msg mesh.Message, at time.Time) {
	if msg.Term != c.term || msg.HolderAge < 0 {
		return
	}
	if o.id == c.term.Box {
		if msg.Boot != c.term.Boot || msg.Leaving || !msg.Ready {
			c.holderHeard, c.holderGone = time.Time{}, at

			return
		}
	}
	// Others may not have heard yet what it said itself.
	if heard := at.Add(-time.Duration(msg.HolderAge) * time.Microsecond); heard.After(c.holderGone) {
		c.holderHeard = later(c.holderHeard, heard)
	}
}

// believe takes up which servers do not answer the other box, or are slow. A box of another
// hall is believed on the servers of its own hall only: for the rest, the link
// between the halls may be at fault.
func (c *control) believe(msg mesh.Message, at time.Time) {
	for _, id := range msg.Dead {
		s, ok := c.box.fleet.Server(id)
		if !ok || (msg.Hall != c.settings.Hall && msg.Hall != s.Hall) {
			continue
		}
		// What this box sees itself goes first: an answer to the other one may
		// have been lost. It says so again if it was not.
		if !c.box.fleet.AliveSince(id, at.Add(-seenTime)) {
			c.box.fleet.Suspect(id, at.Add(deadTime))
		}
	}
	for id, slowness := range msg.Slow {
		c.box.fleet.NoteSlow(id, slowness)
	}
}

// learn takes up a box that another one has heard of.
func (c *control) learn(id slatebridge.BoxID, address string) {
	if id == c.settings.Box {
		return
	}
	if _, ok := c.peers[id]; !ok {
		c.peers[id] = &otherBox{id: id, address: address, lost: true, heardAt: time.Now()}
	}
}

// takeProof uses what the other box says of the age of its knowledge. The
// message answers one of ours, so it was made after that one was sent, however
// long it was on its way.
func (c *control) takeProof(o *otherBox, msg mesh.Message) {
	echo, ok := msg.Echo[c.box.boot]
	if !ok {
		return
	}
	made := c.box.started.Add(time.Duration(echo) * time.Microsecond)
	if msg.ConfigAge >= 0 {
		o.configAt = made.Add(-time.Duration(msg.ConfigAge) * time.Microsecond)
	}
	if msg.ServersAge >= 0 {
		o.serversAt = made.Add(-time.Duration(msg.ServersAge) * time.Microsecond)
	}
	// What is known here is at least as new as what was proved there.
	if c.catalog != nil && msg.Config > 0 && msg.Config <= c.catalog.Version {
		c.onCurrent(o.configAt)
	}
	if msg.Next > 0 && msg.Next <= c.next {
		c.onServersCurrent(o.serversAt)
	}
}

// takeChanges takes up changes of servers' entries that follow what is known.
func (c *control) takeChanges(msg mesh.Message) {
	if c.next == 0 || len(msg.Recent) == 0 || msg.Recent[0].Offset > c.next {
		return
	}
	for _, v := range msg.Recent {
		c.onServers(&serversFound{
			entries: []logstore.Entry{{Key: v.Key, Value: v.Value, Offset: v.Offset}},
			next:    v.Offset + 1, grace: time.Duration(v.Grace) * time.Microsecond,
		})
	}
}

// readsForHall reports whether this box reads the store for its hall: the
// first one that the store answers does. After a start that is not known yet,
// and only the boxes that are seeds go on after their first read.
func (c *control) readsForHall() bool {
	if time.Since(c.box.started) < joinTime && !slices.Contains(c.settings.Seeds, c.settings.Listen.Mesh) {
		return false
	}
	for id, o := range c.peers {
		if o.live() && o.near(c.settings.Hall) && o.last.Reads && id < c.settings.Box {
			return false
		}
	}

	return true
}

func (c *control) expirePeers(now time.Time) {
	near, far := c.pauses()
	crowd := 0
	for id, o := range c.peers {
		pause := far
		if o.near(c.settings.Hall) {
			pause = near
			crowd++
		}
		silent := now.Sub(o.heardAt)
		if !o.lost && silent > max(lostLeast, lostAfter*pause) {
			o.lost = true
			if o.near(c.settings.Hall) {
				c.box.fleet.SetPeer(c.loadName(o), nil)
			}
			event.Log(c.box.logger, event.PeerLost, zap.String("peer", string(id)), zap.Duration("silent_ms", silent))
		}
		if silent > max(forgetLeast, forgetAfter*pause) {
			delete(c.peers, id)
			if c.boxesOf(c.loadName(o)) == 0 {
				c.box.handler.Budget().Forget(c.loadName(o))
			}
		}
	}
	c.expireHalls(now, far)
	c.box.handler.SetCrowd(crowd)
	c.box.fleet.SetOthers(crowd)
	c.box.near.Store(int64(crowd))
}

// boxesForBudget returns how many boxes may be using the retry budget.
func (c *control) boxesForBudget() int {
	return 1 + len(c.peers)
}

// askForHelp asks a box that knows more for its state.
func (c *control) askForHelp() {
	if c.helping {
		return
	}
	for _, o := range c.peers {
		if !c.heard(o) || !c.knowsMore(o) {
			continue
		}
		c.helping = true
		go func(id slatebridge.BoxID, address string) {
			ctx, cancel := context.WithTimeout(c.ctx, helpTime)
			defer cancel()
			h, err := mesh.Ask(ctx, c.box.client, address)
			c.box.tell(&helped{from: id, help: h, err: err})
		}(o.id, o.address)

		return
	}
}

// knowsMore reports whether the other box has something newer.
func (c *control) knowsMore(o *otherBox) bool {
	return o.last.Next > c.next || (o.last.Config > 0 && (c.catalog == nil || o.last.Config > c.catalog.Version))
}

func (c *control) onHelped(m *helped) {
	c.helping = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if len(m.help.Config) > 0 {
		cat, raw, err := c.box.platform.DecodeConfig([]logstore.Entry{c.box.platform.EncodeConfig(m.help.Config)})
		if err == nil && cat != nil {
			c.onConfig(&configFound{catalog: cat, raw: raw, from: string(m.from)})
		}
		if err != nil {
			c.box.metrics.meshError(err)
		}
	}
	list := make([]logstore.Entry, 0, len(m.help.Servers))
	for k, v := range m.help.Servers {
		list = append(list, logstore.Entry{Key: k, Value: v})
	}
	c.onServers(&serversFound{entries: list, next: m.help.Next, whole: true})
}
