package box

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/place"
)

const (
	// tickEvery is the pause between two rounds of control work and messages.
	tickEvery = 250 * time.Millisecond
	// pushPause is between two messages on dead and slow servers beside the usual rounds.
	pushPause = 50 * time.Millisecond
	// surePause is the same when two boxes have found a server dead.
	surePause = 10 * time.Millisecond
)

// control is the state of the control actor. Only the actor uses it.
type control struct {
	box *Box
	ctx context.Context
	// settings are the box's settings, as they were last read.
	settings Settings

	catalog *catalog.Catalog
	raw     []byte
	current time.Time
	// helpVersion is the version of the configuration that other boxes are given.
	helpVersion int64
	// entries are the entries of the servers as the store has them, up to the
	// offset next. recent are the last changes, without a gap up to next.
	entries   map[string][]byte
	next      int64
	recent    []mesh.Change
	serversAt time.Time
	// newServer is when the last new server appeared.
	newServer time.Time
	// unsettledAt is when a server last came, left or changed its layers without
	// an order of this box.
	unsettledAt time.Time
	// improved has the models for which no move helps as long as no server
	// changes.
	improved map[string]bool
	// firstSeen is when each server first appeared.
	firstSeen map[slatebridge.ServerID]time.Time
	// emptied is when servers that held layers were seen with none. They are
	// carrying an order out, which may be that of another box.
	emptied map[slatebridge.ServerID]time.Time
	// crashed are the servers that were taken as dead when their entries went,
	// since some hall lacks layers. They may come back.
	crashed []place.Holder
	// changedAt is when the last of them came.
	changedAt time.Time
	// storeDown says, by topic, that the last call failed, and storeDownAt when.
	storeDown   map[string]bool
	storeDownAt map[string]time.Time

	peers map[slatebridge.BoxID]*otherBox
	// hallHeard is when any box of each hall was last heard.
	hallHeard map[slatebridge.HallID]time.Time
	// reported is the work of the boxes that report to this one, near that of all
	// boxes of the hall as far as it is known, and halls that of the other halls.
	reported work
	near     work
	halls    map[slatebridge.HallID]work
	// nearBoxes is how many boxes of the hall may be using the retry budget, as was
	// known at nearBoxesAt.
	nearBoxes   int
	nearBoxesAt time.Time
	// told are the last reports of this box, and sent the clock reading of the
	// last message.
	told []told
	sent int64
	// bytes is what may be sent at once to boxes that report to this one, and
	// savedAt when it was last reckoned.
	bytes   float64
	savedAt time.Time
	// said is what boxes said of servers that this one passes on.
	said map[slatebridge.ServerID]word
	// pushedDoubt is when the hall was last told at once of a dead or slow server,
	// and doubtDue says that it will be told again soon.
	pushedDoubt time.Time
	doubtDue    bool
	// toldSure is when the hall was last told of each server that it is surely dead.
	toldSure map[slatebridge.ServerID]time.Time
	// taken counts the entries of servers taken up since takenAt, when that was
	// last logged.
	taken   int
	takenAt time.Time
	// behind is since when some box knows more.
	behind  time.Time
	helping bool
	round   int
	leaving bool
	// wasComplete says that at some time every model had all its layers.
	wasComplete bool

	term     elect.Term
	standing bool
	// verifiedAt is when the store was last asked whether this box's term stands.
	verifiedAt time.Time
	// turnedAway is when the store last did not answer about the election.
	turnedAway time.Time
	// absent is since when the box that gives orders is not heard.
	absent time.Time
	// holderHeard is when the box that gives orders was last heard by any box.
	holderHeard time.Time
	// holderGone is when it last said itself that it does not go on.
	holderGone time.Time
	// pending are the orders that servers have not yet shown to be done.
	pending  map[slatebridge.ServerID]pendingOrder
	ordering bool
	// lacking is since when some hall lacks layers.
	lacking time.Time
}

func newControl(ctx context.Context, b *Box) *control {
	return &control{
		box: b, ctx: ctx, settings: b.settings, savedAt: time.Now(),
		entries:   make(map[string][]byte),
		firstSeen: make(map[slatebridge.ServerID]time.Time),
		emptied:   make(map[slatebridge.ServerID]time.Time),
		improved:  make(map[string]bool),
		storeDown: make(map[string]bool), storeDownAt: make(map[string]time.Time),
		halls: make(map[slatebridge.HallID]work), said: make(map[slatebridge.ServerID]word), toldSure: make(map[slatebridge.ServerID]time.Time),
		peers:     make(map[slatebridge.BoxID]*otherBox),
		hallHeard: make(map[slatebridge.HallID]time.Time),
		pending:   make(map[slatebridge.ServerID]pendingOrder),
		absent:    time.Now(),
	}
}

// receive handles one message.
func (c *control) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *tick:
		c.tick()
	case *configFound:
		c.onConfig(m)
	case *configCurrent:
		c.onCurrent(m.at)
	case *serversFound:
		c.onServers(m)
	case *serversCurrent:
		c.onServersCurrent(m.at)
	case *storeFailed:
		c.onStoreFailed(m)
	case *storeAnswered:
		c.onStoreAnswered(m)
	case *heard:
		c.onHeard(m)
	case *helped:
		c.onHelped(m)
	case *stood:
		c.onStood(m)
	case *verified:
		c.onVerified(m)
	case *ordered:
		c.onOrdered(m)
	default:
		c.receiveOrder(m)
	}
}

// receiveOrder handles the messages that come from outside the control loop.
func (c *control) receiveOrder(message any) {
	switch m := message.(type) {
	case *reconfigured:
		listen := c.settings.Listen
		c.settings = m.settings
		c.settings.Listen = listen
	case *foundDoubt:
		c.doubtSoon(time.Now())
	case *stopping:
		c.leaving = true
		c.gossip(time.Now())
	}
}

func (c *control) tick() {
	now := time.Now()
	for _, id := range c.box.fleet.Expire() {
		event.Log(c.box.logger, event.ServerRemoved, zap.String("server", string(id)), zap.String("why", "its entry did not come back"))
	}
	c.expirePeers(now)
	c.gossip(now)
	c.box.reader.Store(c.readsForHall(now))
	c.box.patience.Store(int64(c.patience(now)))
	c.askForHelp(now)
	c.logTaken(now)
	c.elect(now)
	c.place(now)
	c.publish()
	c.judgeReady(now)
}

// takenEvery is the least time between two lines on entries taken up.
const takenEvery = time.Second

// logTaken logs how many entries of servers were taken up, and up to which offset.
func (c *control) logTaken(now time.Time) {
	if c.taken == 0 || now.Sub(c.takenAt) < takenEvery {
		return
	}
	event.Log(c.box.logger, event.ServersTaken, zap.Int("entries", c.taken), zap.Int("servers", len(c.entries)), zap.Int64("next", c.next))
	c.taken, c.takenAt = 0, now
}

func (c *control) onConfig(m *configFound) {
	if c.catalog != nil && m.catalog.Version <= c.catalog.Version {
		if m.catalog.Version < c.catalog.Version {
			event.Log(c.box.logger, event.CatalogRefused, zap.Int64("version", m.catalog.Version),
				zap.Int64("have", c.catalog.Version), zap.String("from", m.from))
		}

		return
	}
	c.catalog, c.raw = m.catalog, m.raw
	clear(c.improved)
	c.box.fleet.SetCatalog(m.catalog)
	c.box.metrics.configVersion(m.catalog.Version)
	event.Log(c.box.logger, event.CatalogTaken, zap.Int64("version", m.catalog.Version), zap.String("from", m.from))
	c.publish()
	c.publishHelp()
	if m.from == fromStore {
		c.pushNews()
	}
}

// onCurrent takes up a proof that the configuration was the newest at a time.
func (c *control) onCurrent(at time.Time) {
	if c.catalog == nil || !at.After(c.current) {
		return
	}
	c.current = at
	c.publish()
	if !c.box.ready.Load() {
		c.judgeReady(time.Now())
	}
}

// publish makes the state known to requests.
func (c *control) publish() {
	c.box.state.Store(&forward.State{Catalog: c.catalog, Current: c.current, Boxes: c.boxesForBudget(), Informed: c.catalog != nil && len(c.entries) > 0})
}

func (c *control) publishHelp() {
	h := *c.box.help.Load()
	if c.raw != nil && (h.Config == nil || c.helpVersion != c.catalog.Version) {
		h.Config, c.helpVersion = mesh.NewDocument(c.raw), c.catalog.Version
	}
	if c.next > 0 {
		h.Servers = mesh.NewDocument(mesh.Servers{Entries: maps.Clone(c.entries), Next: c.next})
	}
	c.box.help.Store(&h)
}

// onServersCurrent takes up a proof that the entries were current at a time.
func (c *control) onServersCurrent(at time.Time) {
	if at.After(c.serversAt) {
		c.serversAt = at
		c.box.serversAt.Store(&at)
	}
}

func (c *control) onServers(m *serversFound) {
	if m.next <= c.next && (c.next > 0 || len(m.entries) == 0) {
		return
	}
	if m.whole {
		c.replaceServers(m)
	} else {
		c.changeServers(m)
	}
	c.next, c.changedAt = m.next, time.Now()
	c.taken += len(m.entries)
	c.publish()
	c.publishHelp()
	if m.fromStore {
		c.pushNews()
	}
	if m.whole {
		c.judgeReady(time.Now())
	}
}

// replaceServers takes up the entries of all servers.
func (c *control) replaceServers(m *serversFound) {
	seen := make(map[string]bool, len(m.entries))
	for _, e := range m.entries {
		seen[e.Key] = true
		c.setServer(e, m.fromStore && c.next > 0)
	}
	for key := range c.entries {
		if !seen[key] {
			c.removeServer(key, m.grace)
		}
	}
	c.recent = nil
}

// mostRecent is how many changes are kept for other boxes. A start brings two
// for each server.
const mostRecent = 60

// changeServers takes up changes that are not yet known.
func (c *control) changeServers(m *serversFound) {
	for _, e := range m.entries {
		if e.Offset < c.next {
			continue
		}
		if e.Removed() {
			c.removeServer(e.Key, m.grace)
		} else {
			c.setServer(e, m.fromStore)
		}
		c.recent = append(c.recent, mesh.Change{Offset: e.Offset, Key: e.Key, Value: e.Value, Grace: m.grace.Microseconds()})
	}
	if n := len(c.recent); n > mostRecent {
		c.recent = c.recent[n-mostRecent:]
	}
}

// setServer takes up the entry of a server. Only the box that read the change in
// the store logs it: hundreds of boxes hear of each, and their lines made most of
// 58 MB in 50 s of 295 boxes.
func (c *control) setServer(e logstore.Entry, read bool) {
	if string(c.entries[e.Key]) == string(e.Value) {
		return
	}
	s, err := c.box.platform.DecodeServer(e)
	if err != nil {
		c.onStoreFailed(&storeFailed{topic: topicServers, err: err})

		return
	}
	if _, known := c.entries[e.Key]; !known {
		c.newServer = time.Now()
		c.firstSeen[s.ID] = c.newServer
	}
	c.entries[e.Key] = e.Value
	clear(c.improved)
	before, known := c.box.fleet.Server(s.ID)
	p, ordered := c.pending[s.ID]
	switch {
	case ordered && p.layers == s.Layers:
		delete(c.pending, s.ID)
	case !known || before.Layers != s.Layers || before.Leaving != s.Leaving:
		c.unsettledAt = time.Now()
	}
	c.noteEmptied(before, s)
	c.box.fleet.Set(s)
	if !read {
		return
	}
	event.Log(c.box.logger, event.ServerChanged, zap.String("server", string(s.ID)), zap.String("service", s.Service),
		zap.String("address", s.Address), zap.Bool("leaving", s.Leaving), zap.Stringer("layers", s.Layers), zap.Int64("offset", e.Offset))
}

// noteEmptied notes whether a server has just given all its layers up.
func (c *control) noteEmptied(before, now catalog.Server) {
	switch {
	case now.Layers.Len() > 0:
		delete(c.emptied, now.ID)
	case before.Layers.Len() > 0:
		c.emptied[now.ID] = time.Now()
	}
}

// removeServer drops a server. Entries also lapse while the store is away, so
// after an outage a server has some time to come back.
func (c *control) removeServer(key string, grace time.Duration) {
	if _, known := c.entries[key]; !known {
		return
	}
	id := slatebridge.ServerID(key)
	delete(c.entries, key)
	delete(c.firstSeen, id)
	delete(c.emptied, id)
	delete(c.toldSure, id)
	c.unsettledAt = time.Now()
	clear(c.improved)
	if s, ok := c.box.fleet.Server(id); ok && !s.Leaving && slices.Contains(c.box.fleet.Suspects(), id) {
		c.crashed = append(c.crashed, holderOf(s, s.Layers))
	}
	c.box.fleet.Remove(id, time.Now().Add(grace))
	event.Log(c.box.logger, event.ServerRemoved, zap.String("server", key), zap.Duration("grace_ms", grace))
}

func (c *control) onStoreFailed(m *storeFailed) {
	c.box.metrics.storeCall(m.topic, m.err)
	if !c.storeDown[m.topic] {
		event.Log(c.box.logger, event.StoreLost, zap.String("topic", m.topic), event.Error(m.err))
	}
	c.storeDown[m.topic], c.storeDownAt[m.topic] = true, time.Now()
}

func (c *control) onStoreAnswered(m *storeAnswered) {
	c.box.metrics.storeCall(m.topic, nil)
	if c.storeDown[m.topic] {
		event.Log(c.box.logger, event.StoreRegained, zap.String("topic", m.topic))
	}
	c.storeDown[m.topic] = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
