package box

import (
	"context"
	"time"

	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// helpTime bounds a question for another box's state.
	helpTime = 1500 * time.Millisecond
	// behindTime is how long a box waits for changes to come by themselves before
	// it asks for the whole: in messages, or from the store.
	behindTime = 2 * tickEvery
)

// lacking is a part of the state that some other box has newer.
type lacking struct {
	// since is since when some box has it; zero while none does.
	since time.Time
	// asking says that one has been asked and has not answered.
	asking bool
}

// due reports whether the part is to be asked for: at once if it is urgent, and
// otherwise once it has been lacking for some time.
func (l *lacking) due(urgent bool, now time.Time) bool {
	if l.since.IsZero() {
		l.since = now
	}

	return !l.asking && (urgent || now.Sub(l.since) >= behindTime)
}

// askForHelp asks boxes that know more for what is lacking. The configuration does
// not wait for the servers, which change all the time while a large fleet loads its
// layers, so that one question for them would follow the other.
func (c *control) askForHelp(now time.Time) {
	c.askForConfig(now)
	c.askForServers(now)
}

func (c *control) askForConfig(now time.Time) {
	o := c.helper(c.hasNewerConfig)
	if o == nil {
		c.lackingConfig.since = time.Time{}

		return
	}
	if !c.lackingConfig.due(c.catalog == nil || o.near(c.settings.Hall), now) {
		return
	}
	c.lackingConfig.asking = true
	from, address := string(o.id), o.address
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, helpTime)
		defer cancel()
		raw, err := mesh.AskConfig(ctx, c.box.client, address)
		m := &helpedConfig{from: from, err: err}
		if err == nil {
			// Not by the control actor, which has the messages of other boxes to read.
			m.catalog, m.raw, m.err = c.box.platform.DecodeConfig([]logstore.Entry{c.box.platform.EncodeConfig(raw)})
		}
		c.box.tell(m)
	}()
}

func (c *control) askForServers(now time.Time) {
	o := c.helper(c.hasNewerServers)
	if o == nil {
		c.lackingServers.since = time.Time{}

		return
	}
	if !c.lackingServers.due(c.next == 0, now) {
		return
	}
	c.lackingServers.asking = true
	address, from := o.address, c.next
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, helpTime)
		defer cancel()
		servers, err := mesh.AskServers(ctx, c.box.client, address, from)
		c.box.tell(&helpedServers{servers: servers, err: err})
	}()
}

// onNews takes up that another box has a newer configuration, and asks for it at once.
func (c *control) onNews(msg mesh.Message, at time.Time) {
	o, ok := c.peers[msg.Box]
	if !ok || !o.live() {
		return
	}
	if len(msg.Young) > 0 {
		c.takeYoung(msg, at)
	}
	if msg.Quarantine > 0 {
		c.takeQuarantine(msg)
	}
	if msg.Config == 0 {
		return
	}
	o.last.Config = max(o.last.Config, msg.Config)
	c.askForConfig(at)
}

// helper returns a box that has something newer; nil if there is none. Bytes
// between halls have a price, and halls read the store themselves, so boxes of other
// halls are asked only for what is not found near.
func (c *control) helper(newer func(o *otherBox) bool) *otherBox {
	var far *otherBox
	for _, o := range c.peers {
		if !c.heard(o) || !newer(o) {
			continue
		}
		if o.near(c.settings.Hall) {
			return o
		}
		far = o
	}

	return far
}

func (c *control) hasNewerServers(o *otherBox) bool { return o.last.Next > c.next }

func (c *control) hasNewerConfig(o *otherBox) bool {
	return o.last.Config > 0 && (c.catalog == nil || o.last.Config > c.catalog.Version)
}

// receiveHelp handles the answers of boxes that were asked.
func (c *control) receiveHelp(message any) {
	switch m := message.(type) {
	case *helpedConfig:
		c.onHelpedConfig(m)
	case *helpedServers:
		c.onHelpedServers(m)
	}
}

func (c *control) onHelpedConfig(m *helpedConfig) {
	c.lackingConfig.asking = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if m.catalog != nil {
		c.onConfig(&configFound{catalog: m.catalog, raw: m.raw, from: m.from})
	}
}

func (c *control) onHelpedServers(m *helpedServers) {
	c.lackingServers.asking = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if len(m.servers.Changes) > 0 {
		c.takeChanges(m.servers.Changes)

		return
	}
	list := make([]logstore.Entry, 0, len(m.servers.Entries))
	for k, v := range m.servers.Entries {
		list = append(list, logstore.Entry{Key: k, Value: v.Value, Offset: v.Offset})
	}
	c.onServers(&serversFound{entries: list, next: m.servers.Next, whole: true})
}
