package box

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
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
	current time.Time
	// next is the offset up to which the entries of the servers are known, which
	// box.entries has.
	next logstore.Place
	// byName are the servers that the entries name, by the names of the entries.
	byName map[string]listed
	// restarts are the servers that were lately found to have started again.
	restarts []foundRestart
	// leavers are the servers that lately said that they are leaving.
	leavers []leaver
	// limits are the servers that lately began or ceased to name a limit.
	limits    []limitTold
	serversAt time.Time
	// left has the entries that lately went, with when they did or their time to come back
	// ended.
	left map[string]time.Time
	// unprovedAt is when the entries were last not proved current.
	unprovedAt time.Time
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
	// returned is when a server that holds layers last appeared in each hall.
	returned map[slatebridge.HallID]time.Time
	// emptied is when servers that held layers were seen with none. They are
	// carrying an order out, which may be that of another box.
	emptied map[slatebridge.ServerID]time.Time
	// crashed are the servers that were taken as dead when their entries went,
	// since some hall lacks layers. They may come back.
	crashed []place.Holder
	// changedAt is when the last change of a server's entry was taken up.
	changedAt time.Time
	// storeDown says, by topic, that the last call failed, and storeDownAt when.
	storeDown   map[string]bool
	storeDownAt map[string]time.Time

	peers map[slatebridge.BoxID]*otherBox
	// hallHeard is when any box of each hall was last heard.
	hallHeard map[slatebridge.HallID]time.Time
	// reported is the work of the boxes that report to this one, hallWork that of all
	// boxes of the hall as far as it is known, and farWork that of the other halls.
	reported work
	hallWork work
	farWork  map[slatebridge.HallID]*work
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
	// lackingConfig and lackingServers are the parts of the state that other boxes
	// have newer.
	lackingConfig  lacking
	lackingServers lacking
	round          int
	leaving        bool
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
	// queue are the planned orders that were not sent yet, and ordersOpen counts those
	// that were sent and not answered.
	queue      []order
	ordersOpen int
	// lackingLayers is since when some hall lacks layers.
	lackingLayers time.Time
	// away is for how long the machine had been suspended at the last round.
	away time.Duration
	// helpedAt is when boxes were last told of the whole quarantine.
	helpedAt time.Time
	// returnedAt is when the last suspension was noticed.
	returnedAt time.Time
}

func newControl(ctx context.Context, b *Box) *control {
	return &control{
		box: b, ctx: ctx, settings: b.settings, savedAt: clock.Now(),
		left:      make(map[string]time.Time),
		byName:    make(map[string]listed),
		firstSeen: make(map[slatebridge.ServerID]time.Time),
		emptied:   make(map[slatebridge.ServerID]time.Time),
		returned:  make(map[slatebridge.HallID]time.Time),
		improved:  make(map[string]bool),
		storeDown: make(map[string]bool), storeDownAt: make(map[string]time.Time),
		farWork: make(map[slatebridge.HallID]*work), said: make(map[slatebridge.ServerID]word), toldSure: make(map[slatebridge.ServerID]time.Time),
		peers:     make(map[slatebridge.BoxID]*otherBox),
		hallHeard: make(map[slatebridge.HallID]time.Time),
		pending:   make(map[slatebridge.ServerID]pendingOrder),
		absent:    clock.Now(),
	}
}

// receive handles one message.
func (c *control) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *tick:
		c.tick()
	case *configFound, *configRefused, *configCurrent, *serversFound, *serversCurrent, *storeFailed, *storeAnswered:
		c.receiveStore(m)
	case *heard:
		c.onHeard(m)
	case *helpedConfig, *helpedServers:
		c.receiveHelp(m)
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

// receiveStore handles what the store said.
func (c *control) receiveStore(message any) {
	switch m := message.(type) {
	case *configFound:
		c.onConfig(m)
	case *configRefused:
		c.onConfigRefused(m)
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
	}
}

// receiveOrder handles the messages that come from outside the control loop.
func (c *control) receiveOrder(message any) {
	switch m := message.(type) {
	case *reconfigured:
		listen := c.settings.Listen
		c.settings = m.settings
		c.settings.Listen = listen
	case *restarted:
		c.onRestarted(m.Restart, clock.Now())
	case *saidLeaving:
		c.onSaidLeaving(m.id, clock.Now())
	case *limitNews:
		c.onLimit(m.id, m.word, clock.Now())
	case *quarantineNews:
		c.pushQuarantine(m, clock.Now())
	case *youngSuspects:
		c.pushYoung(m.list, clock.Now())
	case *foundDoubt:
		c.doubtSoon(clock.Now())
	case *stopping:
		c.leaving = true
		c.gossip(clock.Now())
	}
}

func (c *control) tick() {
	now := clock.Now()
	c.noteAway(clock.Away(), now)
	for _, id := range c.box.fleet.Expire() {
		event.Log(c.box.logger, event.ServerRemoved, zap.String("server", string(id)), zap.String("why", "its entry did not come back"))
	}
	c.noteProved(now)
	c.forgetLeft(now)
	c.expirePeers(now)
	c.box.grants.see(c.allocators(now))
	c.gossip(now)
	if reads := c.readsForHall(now); c.box.reader.Swap(reads) != reads {
		c.box.wakeFollowers()
	}
	c.box.patience.Store(int64(c.patience(now)))
	c.askForHelp(now)
	c.noteApart()
	c.helpLagging(now)
	c.box.quarantine.ledger.Expire(now)
	c.logTaken(now)
	c.elect(now)
	c.place(now)
	c.publish()
	c.judgeReady(now)
}
