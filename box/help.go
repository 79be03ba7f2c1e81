package box

import (
	"context"
	"time"

	"github.com/slatebridge/slatebridge"
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

// askForHelp asks a box that knows more for the part of its state that is
// lacking; a box of the own hall, if one knows.
func (c *control) askForHelp(now time.Time) {
	if c.helping {
		return
	}
	o := c.helper()
	if o == nil {
		c.behind = time.Time{}

		return
	}
	if c.behind.IsZero() {
		c.behind = now
	}
	wantConfig := c.lacksConfig(o)
	urgent := c.catalog == nil || c.next == 0 || (wantConfig && o.near(c.settings.Hall))
	if !urgent && now.Sub(c.behind) < behindTime {
		return
	}
	c.helping = true
	go func(id slatebridge.BoxID, address string) {
		ctx, cancel := context.WithTimeout(c.ctx, helpTime)
		defer cancel()
		h := &helped{from: id}
		if wantConfig {
			h.config, h.err = mesh.AskConfig(ctx, c.box.client, address)
		} else {
			h.servers, h.err = mesh.AskServers(ctx, c.box.client, address)
		}
		c.box.tell(h)
	}(o.id, o.address)
}

// helper returns a box that knows more; nil if there is none. Bytes between
// halls have a price, and halls read the store themselves, so boxes of other
// halls are asked only for what is not found near.
func (c *control) helper() *otherBox {
	var far *otherBox
	for _, o := range c.peers {
		if !c.heard(o) || !c.knowsMore(o) {
			continue
		}
		if o.near(c.settings.Hall) {
			return o
		}
		far = o
	}

	return far
}

// knowsMore reports whether the other box has something newer.
func (c *control) knowsMore(o *otherBox) bool {
	return o.last.Next > c.next || c.lacksConfig(o)
}

func (c *control) lacksConfig(o *otherBox) bool {
	return o.last.Config > 0 && (c.catalog == nil || o.last.Config > c.catalog.Version)
}

func (c *control) onHelped(m *helped) {
	c.helping = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if len(m.config) > 0 {
		cat, raw, err := c.box.platform.DecodeConfig([]logstore.Entry{c.box.platform.EncodeConfig(m.config)})
		if err == nil && cat != nil {
			c.onConfig(&configFound{catalog: cat, raw: raw, from: string(m.from)})
		}
		if err != nil {
			c.box.metrics.meshError(err)
		}
	}
	if m.servers.Next == 0 {
		return
	}
	list := make([]logstore.Entry, 0, len(m.servers.Entries))
	for k, v := range m.servers.Entries {
		list = append(list, logstore.Entry{Key: k, Value: v})
	}
	c.onServers(&serversFound{entries: list, next: m.servers.Next, whole: true})
}
