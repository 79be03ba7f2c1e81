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
	// tickInterval is the interval of the control loop and of the gossip rounds.
	tickInterval = 250 * time.Millisecond
	// pushInterval is the minimum interval between immediate messages about servers (see
	// pushServerReports), which are sent between gossip rounds.
	pushInterval = 50 * time.Millisecond
	// confirmedPushInterval is the same for servers that two boxes have found dead.
	confirmedPushInterval = 10 * time.Millisecond
)

// control is the state of the control actor. Only the actor accesses it.
type control struct {
	box *Box
	ctx context.Context
	// settings are the most recently loaded settings.
	settings Settings

	catalog           *catalog.Catalog
	configConfirmedAt time.Time
	// configConfirmedBy is by whose word: the store's, or that of the box that it names.
	configConfirmedBy string
	// configOutdatedAt is when the last confirmation was found to be older than MaxStaleness; zero while
	// it is not.
	configOutdatedAt time.Time
	// configJoined is set once another box has confirmed a configuration that is not newer than this box's,
	// or none has done so within configJoinTimeout.
	configJoined bool
	// serversPosition is the position up to which the server entries in box.entries are known.
	serversPosition logstore.Position
	// serversByName maps the names of server entries to the servers that they describe.
	serversByName map[string]listedServer
	// restarts are the servers whose restart was detected recently.
	restarts []recentRestart
	// leavingServers are the servers that recently announced that they are leaving.
	leavingServers []leavingServer
	// limitChanges are the servers that recently began or ceased to announce a rate limit.
	limitChanges       []limitChange
	serversConfirmedAt time.Time
	// tombstones maps recently removed entries to the time of their removal or to the end of the
	// grace period in which they may come back.
	tombstones map[string]time.Time
	// serversStaleAt is the last time at which the latest confirmation of the entries was older
	// than MaxStaleness, or at which the store rolled back.
	serversStaleAt time.Time
	// lastNewServerAt is when a new server last appeared.
	lastNewServerAt time.Time
	// topologyChangedAt is when a server last joined, left or changed its layers without an order
	// of this box.
	topologyChangedAt time.Time
	// rebalanced holds the models that no further move improves until a server changes.
	rebalanced map[string]bool
	// firstSeenAt is when each server first appeared.
	firstSeenAt map[slatebridge.ServerID]time.Time
	// lastReturnAt is, by hall, when a server that holds layers last appeared.
	lastReturnAt map[slatebridge.HallID]time.Time
	// unloadedAt is when servers that held layers were seen without any. They are executing an
	// order, possibly one of another leader.
	unloadedAt map[slatebridge.ServerID]time.Time
	// crashedHolders are the servers whose entries were removed while they were suspected dead, and
	// which may come back. The list is emptied once no hall lacks layers.
	crashedHolders []place.Server
	// entriesChangedAt is when a change of a server entry was last applied.
	entriesChangedAt time.Time
	// topicFailed reports, by topic, whether the last call failed, and topicFailedAt when.
	topicFailed   map[string]bool
	topicFailedAt map[string]time.Time

	peers map[slatebridge.BoxID]*peerBox
	// hallSeenAt is, by hall, when any of its boxes was last seen.
	hallSeenAt map[slatebridge.HallID]time.Time
	// aggregatedWork is the in-flight work of this box and the boxes that report to it, hallWork
	// that of all boxes of the hall as far as known, and remoteWork that of the other halls.
	aggregatedWork work
	hallWork       work
	remoteWork     map[slatebridge.HallID]*work
	// hallBudgetBoxes is the number of boxes of the hall that may be using the retry budget, as
	// known at hallBudgetBoxesAt.
	hallBudgetBoxes   int
	hallBudgetBoxesAt time.Time
	// recentHallBoxes is the number of boxes of the hall that were heard at recentHallBoxesAt,
	// without those that have announced that they leave.
	recentHallBoxes   int
	recentHallBoxesAt time.Time
	// sentReports are the last reports of this box, and lastSentTimestamp the timestamp of its last
	// message.
	sentReports       []sentReport
	lastSentTimestamp int64
	// sendBudget is the number of bytes that may be sent now to the boxes that report to this one,
	// and sendBudgetAt when it was last refilled.
	sendBudget   float64
	sendBudgetAt time.Time
	// suspicions are what other boxes reported about servers, for this box to pass on.
	suspicions map[slatebridge.ServerID]suspicion
	// serverReportsPushedAt is when the hall was last sent an immediate message about servers, and
	// serverReportPushScheduled reports whether the next one is scheduled.
	serverReportsPushedAt     time.Time
	serverReportPushScheduled bool
	// confirmedDeadSentAt is, by server, when its confirmed failure was last sent to the hall.
	confirmedDeadSentAt map[slatebridge.ServerID]time.Time
	// appliedEntries counts the server entries applied since appliedLoggedAt, when the count was
	// last logged.
	appliedEntries  int
	appliedLoggedAt time.Time
	// configGap and serversGap track the parts of the state of which other boxes have newer
	// versions.
	configGap   stateGap
	serversGap  stateGap
	gossipRound int
	leaving     bool
	// everComplete reports whether every model has had all its layers at some time.
	everComplete bool

	term        elect.Term
	campaigning bool
	// termVerifiedAt is when the store was last asked whether this box's term is still valid.
	termVerifiedAt time.Time
	// electionFailedAt is when an election call to the store last failed.
	electionFailedAt time.Time
	// campaignWaitSince is when the wait before the next campaign began. It is set to the current
	// time at the start of the box, while the leader counts as alive, when a newer term is adopted,
	// after a campaign of this box, and when a suspension is noticed.
	campaignWaitSince time.Time
	// leaderSeenAt is when any box last saw the leader, or when this box adopted its term if that
	// is later; zero if the leader has resigned.
	leaderSeenAt time.Time
	// leaderResignedAt is when the leader last announced that it does not continue.
	leaderResignedAt time.Time
	// pendingOrders are the orders whose completion the servers have not yet shown.
	pendingOrders map[slatebridge.ServerID]pendingOrder
	verifying     bool
	// orderQueue holds the planned orders that were not sent yet, and ordersInFlight counts those
	// sent and not answered.
	orderQueue     []plannedOrder
	ordersInFlight int
	// layersMissingSince is the time since which some hall lacks layers.
	layersMissingSince time.Time
	// suspendedTotal is how long the machine had been suspended in all, as of the last tick.
	suspendedTotal time.Duration
	// quarantineSentAt is when the whole quarantine was last sent to boxes that lag behind.
	quarantineSentAt time.Time
	// joinedRunning reports whether a peer was found that was running well before this box.
	joinedRunning bool
	// detours is the number of servers that were connected to through tunnels at the last tick.
	detours int
	// resumedAt is when the last suspension was noticed.
	resumedAt time.Time
}

func newControl(ctx context.Context, b *Box) *control {
	return &control{
		box: b, ctx: ctx, settings: b.settings, sendBudgetAt: clock.Now(),
		tombstones:    make(map[string]time.Time),
		serversByName: make(map[string]listedServer),
		firstSeenAt:   make(map[slatebridge.ServerID]time.Time),
		unloadedAt:    make(map[slatebridge.ServerID]time.Time),
		lastReturnAt:  make(map[slatebridge.HallID]time.Time),
		rebalanced:    make(map[string]bool),
		topicFailed:   make(map[string]bool), topicFailedAt: make(map[string]time.Time),
		remoteWork: make(map[slatebridge.HallID]*work), suspicions: make(map[slatebridge.ServerID]suspicion), confirmedDeadSentAt: make(map[slatebridge.ServerID]time.Time),
		peers:             make(map[slatebridge.BoxID]*peerBox),
		hallSeenAt:        make(map[slatebridge.HallID]time.Time),
		pendingOrders:     make(map[slatebridge.ServerID]pendingOrder),
		campaignWaitSince: clock.Now(),
	}
}

// receive handles one message.
func (c *control) receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *tickMsg:
		c.tick()
	case *configUpdate, *configInvalid, *configConfirmed, *serversUpdate, *serversConfirmed, *storeFailed, *storeSucceeded:
		c.receiveStoreMessage(m)
	case *peerMessage:
		c.onPeerMessage(m)
	case *peerConfig, *peerServers:
		c.receivePeerState(m)
	case *electionFinished:
		c.onElectionFinished(m)
	case *termVerified:
		c.onTermVerified(m)
	case *orderFinished:
		c.onOrderFinished(m)
	default:
		c.receiveEvent(m)
	}
}

// receiveStoreMessage handles results of store calls.
func (c *control) receiveStoreMessage(message any) {
	switch m := message.(type) {
	case *configUpdate:
		c.onConfig(m)
	case *configInvalid:
		c.onConfigInvalid(m)
	case *configConfirmed:
		c.onConfigRead(m, clock.Now())
	case *serversUpdate:
		c.onServers(m)
	case *serversConfirmed:
		c.onServersConfirmed(m.at)
	case *storeFailed:
		c.onStoreFailed(m)
	case *storeSucceeded:
		c.onStoreSucceeded(m)
	}
}

// receiveEvent handles the remaining messages: new settings, what requests have observed of
// servers, quarantine records and early suspects for other boxes, due pushes, new allocators, and the
// stop of the box.
func (c *control) receiveEvent(message any) {
	switch m := message.(type) {
	case *reconfigured:
		listen := c.settings.Listen
		c.settings = m.settings
		c.settings.Listen = listen
	case *serverRestarted:
		c.onServerRestarted(m.Restart, clock.Now())
	case *serverLeaving:
		c.onServerLeaving(m.id, clock.Now())
	case *limitObserved:
		c.onLimitObserved(m.id, m.observation, clock.Now())
	case *quarantineUpdate:
		c.pushQuarantine(m, clock.Now())
	case *earlySuspects:
		c.pushEarlySuspects(m.list, clock.Now())
	case *serverReportPushDue:
		c.scheduleServerReportPush(clock.Now())
	case *allocatorsDue:
		c.updateAllocators(clock.Now())
	case *stopping:
		c.stop(clock.Now())
	}
}

// stop announces that the box is about to stop. A relay also tells the other halls, from which it
// would otherwise be silent.
func (c *control) stop(now time.Time) {
	relays := c.isRelay(now)
	c.leaving = true
	if relays {
		var to []*peerBox
		for _, hall := range c.remoteHalls() {
			to = append(to, c.remoteRelays(hall, now)...)
		}
		c.sendRemoteDigest(to, now)
	}
	c.gossip(now)
}

func (c *control) tick() {
	now := clock.Now()
	c.noteSuspension(clock.SuspendedTotal(), now)
	for _, id := range c.box.fleet.Expire() {
		event.Log(c.box.logger, event.ServerRemoved, zap.String("server", string(id)), zap.String("why", "its entry did not come back"))
	}
	c.noteStaleness(now)
	c.noteConfigAge(now)
	c.expireTombstones(now)
	c.expirePeers(now)
	c.updateAllocators(now)
	c.updateServerLinks(now)
	c.gossip(now)
	c.updateReadSchedule(now)
	c.fetchMissingState(now)
	c.noteIsolation()
	c.sendQuarantine(now)
	c.box.quarantine.ledger.Expire(now)
	c.logAppliedEntries(now)
	c.campaign(now)
	c.placeLayers(now)
	c.publish()
	c.updateReadiness(now)
}
