package box

import (
	"context"
	"time"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// fetchTimeout bounds fetching another box's state.
	fetchTimeout = 1500 * time.Millisecond
	// fetchDelay is how long a box waits for missing changes to arrive in messages or from the
	// store before it fetches them from another box.
	fetchDelay = 2 * tickInterval
)

// stateGap tracks a part of the state that another box has in a newer version.
type stateGap struct {
	// since is when the gap was noticed; zero if there is none.
	since time.Time
	// fetching is set while a fetch from another box is in progress.
	fetching bool
}

// due reports whether to fetch the part now: immediately if urgent, otherwise after fetchDelay.
func (g *stateGap) due(urgent bool, now time.Time) bool {
	if g.since.IsZero() {
		g.since = now
	}

	return !g.fetching && (urgent || now.Sub(g.since) >= fetchDelay)
}

// fetchMissingState fetches what is missing from boxes that have it. The configuration is fetched
// independently of the server entries. These change all the time while a large fleet loads its
// layers, so that fetching them could go on without a pause.
func (c *control) fetchMissingState(now time.Time) {
	c.fetchConfig(now)
	c.fetchServers(now)
}

func (c *control) fetchConfig(now time.Time) {
	o := c.peerWithNewer(c.hasNewerConfig)
	if o == nil {
		c.configGap.since = time.Time{}

		return
	}
	if !c.configGap.due(c.catalog == nil || o.inHall(c.settings.Hall), now) {
		return
	}
	c.configGap.fetching = true
	from, address, known := string(o.id), o.address, c.box.state.Load().ConfigVersion()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
		defer cancel()
		sentAt := clock.Now()
		raw, err := mesh.FetchConfig(ctx, c.box.peerClient, address)
		m := &peerConfig{configUpdate: configUpdate{from: from, call: logstore.CallTimes{SentAt: sentAt, AnsweredAt: clock.Now()}}, err: err}
		if err == nil {
			// Decoded outside the control actor, which has peer messages to process.
			var d DecodedConfig
			d, m.err = c.box.platform.DecodeConfig([]logstore.Entry{c.box.platform.EncodeConfig(raw)}, known)
			m.catalog, m.raw, m.decodedAt = d.Catalog, d.Raw, clock.Now()
		}
		c.box.post(m)
	}()
}

func (c *control) fetchServers(now time.Time) {
	o := c.peerWithNewer(c.hasNewerServers)
	if o == nil {
		c.serversGap.since = time.Time{}

		return
	}
	if !c.serversGap.due(c.serversPosition == 0, now) {
		return
	}
	c.serversGap.fetching = true
	address, from := o.address, c.serversPosition
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
		defer cancel()
		servers, err := mesh.FetchServers(ctx, c.box.peerClient, address, from)
		c.box.post(&peerServers{servers: servers, err: err})
	}()
}

// onUpdate handles an announcement of early suspect requests (see pushEarlySuspects), quarantine
// records or a newer configuration. A newer configuration is fetched at once if this box has none
// or a box of this hall has the newer one, and otherwise after fetchDelay.
func (c *control) onUpdate(msg mesh.Message, at time.Time) {
	o, ok := c.peers[msg.Box]
	if !ok || !o.live() {
		return
	}
	if len(msg.EarlySuspects) > 0 {
		c.applyEarlySuspects(msg, at)
	}
	if msg.QuarantinePosition > 0 {
		c.applyQuarantine(msg)
	}
	if msg.ConfigVersion == 0 {
		return
	}
	o.lastMessage.ConfigVersion = max(o.lastMessage.ConfigVersion, msg.ConfigVersion)
	c.fetchConfig(at)
}

// peerWithNewer returns a box that has newer state, or nil. Traffic between halls is billed, and
// halls read the store themselves, so a box of another hall is returned only if none of this hall
// qualifies.
func (c *control) peerWithNewer(newer func(o *peerBox) bool) *peerBox {
	var remote *peerBox
	for _, o := range c.peers {
		if !c.reachable(o) || !newer(o) {
			continue
		}
		if o.inHall(c.settings.Hall) {
			return o
		}
		remote = o
	}

	return remote
}

func (c *control) hasNewerServers(o *peerBox) bool {
	return o.lastMessage.ServersPosition > c.serversPosition
}

func (c *control) hasNewerConfig(o *peerBox) bool {
	return o.lastMessage.ConfigVersion > 0 && (c.catalog == nil || o.lastMessage.ConfigVersion > c.catalog.Version)
}

// receivePeerState handles the results of fetches.
func (c *control) receivePeerState(message any) {
	switch m := message.(type) {
	case *peerConfig:
		c.onPeerConfig(m)
	case *peerServers:
		c.onPeerServers(m)
	}
}

func (c *control) onPeerConfig(m *peerConfig) {
	c.configGap.fetching = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if m.catalog != nil {
		c.onConfig(&m.configUpdate)
	}
}

func (c *control) onPeerServers(m *peerServers) {
	c.serversGap.fetching = false
	if m.err != nil {
		c.box.metrics.meshError(m.err)

		return
	}
	if len(m.servers.Changes) > 0 {
		c.applyChanges(m.servers.Changes)

		return
	}
	list := make([]logstore.Entry, 0, len(m.servers.Entries))
	for k, v := range m.servers.Entries {
		list = append(list, logstore.Entry{Key: k, Value: v.Value, Position: v.Position})
	}
	c.onServers(&serversUpdate{entries: list, next: m.servers.NextPosition, full: true})
}
