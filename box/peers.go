package box

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// lostAfter is how long a box is silent until it counts as lost.
	lostAfter = 1500 * time.Millisecond
	// forgetAfter is how long a lost box still counts for the retry budget,
	// which it may be using, and is still spoken to.
	forgetAfter = 20 * time.Second
	// farEvery is how many rounds lie between two messages to another hall.
	farEvery = 2
	// mostTargets bounds to how many boxes one round of messages goes. In
	// larger installations each round takes others.
	mostTargets = 12
	// helpTime bounds a question for another box's state.
	helpTime = 500 * time.Millisecond
	// staleAfter is the age from which a box takes another one's word for what
	// the store has: a read of the store has failed by then.
	staleAfter = 3300 * time.Millisecond
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

func (c *control) onHeard(m *heard) {
	msg := m.message
	if msg.Box == c.settings.Box {
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
		event.Log(c.box.logger, event.PeerFound, zap.String("box", string(msg.Box)), zap.String("address", msg.Address), zap.String("boot", msg.Boot))
	}
	o.boot, o.sent, o.address = msg.Boot, msg.Sent, msg.Address
	o.heardAt, o.last, o.lost = m.at, msg, false
	c.takeProof(o, msg)
	c.box.fleet.SetPeer(msg.Box, msg.Loads)
	c.believe(msg, m.at)
	for id, address := range msg.Boxes {
		c.learn(id, address)
	}
	c.adopt(msg.Term)
}

// believe takes up which servers do not answer the other box. A box of another
// hall is believed on the servers of its own hall only: for the rest, the link
// between the halls may be at fault.
func (c *control) believe(msg mesh.Message, at time.Time) {
	for _, id := range msg.Dead {
		s, ok := c.box.fleet.Server(id)
		if ok && (msg.Hall == c.settings.Hall || msg.Hall == s.Hall) {
			c.box.fleet.Suspect(id, at.Add(deadTime))
		}
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
	if c.catalog != nil && msg.Config == c.catalog.Version {
		c.onCurrent(o.configAt)
	}
	if msg.Servers == c.digest {
		c.serversAt = later(c.serversAt, o.serversAt)
	}
}

func (c *control) expirePeers(now time.Time) {
	for id, o := range c.peers {
		if !o.lost && now.Sub(o.heardAt) > lostAfter {
			o.lost = true
			c.box.fleet.SetPeer(id, nil)
			event.Log(c.box.logger, event.PeerLost, zap.String("box", string(id)), zap.Duration("silent", now.Sub(o.heardAt)))
		}
		if now.Sub(o.heardAt) > forgetAfter {
			delete(c.peers, id)
		}
	}
}

// boxesForBudget returns how many boxes may be using the retry budget.
func (c *control) boxesForBudget() int {
	return 1 + len(c.peers)
}

// gossip tells the other boxes what this one does.
func (c *control) gossip(all bool) {
	c.round++
	to := c.targets(all || c.round%farEvery == 0)
	if len(to) == 0 {
		return
	}
	if err := c.box.socket.Send(c.message(), to); err != nil {
		c.box.metrics.meshError(err)
	}
}

func (c *control) targets(far bool) []string {
	var to []string
	known := make(map[string]bool)
	for _, o := range c.peers {
		known[o.address] = true
		if far || o.last.Hall == c.settings.Hall {
			to = append(to, o.address)
		}
	}
	if far {
		for _, a := range c.settings.Seeds {
			if !known[a] && a != c.settings.Listen.Mesh {
				to = append(to, a)
			}
		}
	}
	if len(to) > mostTargets {
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:mostTargets]
	}

	return to
}

func (c *control) message() mesh.Message {
	now := time.Now()
	m := mesh.Message{
		Box: c.settings.Box, Hall: c.settings.Hall, Boot: c.box.boot, Address: c.settings.Listen.Mesh,
		Sent: now.Sub(c.box.started).Microseconds(), Echo: make(map[string]int64), Boxes: make(map[slatebridge.BoxID]string),
		ConfigAge: age(now, c.current), Servers: c.digest, ServersAge: age(now, c.serversAt),
		Loads: c.box.fleet.Loads(), Dead: c.box.handler.Dead(), Term: c.term, Leaving: c.leaving, Ready: c.ready(),
	}
	if c.catalog != nil {
		m.Config = c.catalog.Version
	}
	for id, o := range c.peers {
		if o.live() {
			m.Echo[o.boot] = o.sent
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

// askForHelp asks a box that knows more for its state.
func (c *control) askForHelp(now time.Time) {
	if c.helping {
		return
	}
	for _, o := range c.peers {
		if !o.live() || !c.knowsMore(o, now) {
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

func (c *control) knowsMore(o *otherBox, now time.Time) bool {
	if o.last.Config > 0 && (c.catalog == nil || o.last.Config > c.catalog.Version) {
		return true
	}
	if now.Sub(c.serversAt) < staleAfter || o.last.Servers == c.digest {
		return false
	}

	return o.serversAt.After(c.serversAt)
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
	if time.Since(c.serversAt) < staleAfter {
		return
	}
	list := make([]logstore.Entry, 0, len(m.help.Servers))
	for k, v := range m.help.Servers {
		list = append(list, logstore.Entry{Key: k, Value: v})
	}
	c.onServers(&serversFound{entries: list, whole: true})
}
