// Package box runs one box, which accepts client requests for the backend servers. It follows the
// platform's store, gossips with the other boxes, and takes part in the election of the leader that
// assigns model layers to backend servers.
//
// All control state belongs to one actor. Requests read an immutable forward.State and the fleet,
// and never wait for the actor.
package box

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/follow"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/retry"
)

// Platform holds the platform services that a box uses. A platform adapter provides them.
type Platform struct {
	Config   logstore.KeyedTopic
	Servers  logstore.KeyedTopic
	Election logstore.ConditionalTopic
	// Quarantine is the topic through which boxes share the quarantine of poison requests.
	Quarantine logstore.KeyedTopic
	// CloseIdleConnections closes unused connections to the store.
	CloseIdleConnections func()
	// DecodeConfig returns the newest configuration among the entries that can be decoded. Versions up to
	// the known one are not decoded. The error is that of a newer entry that cannot be decoded.
	DecodeConfig func(entries []logstore.Entry, known int64) (DecodedConfig, error)
	// EncodeConfig returns an entry that DecodeConfig accepts.
	EncodeConfig func(raw []byte) logstore.Entry
	// DecodeServer returns the server described by an entry, or a *catalog.EntryError if the entry
	// describes none.
	DecodeServer func(e logstore.Entry) (catalog.Server, error)
	// HeaderCodec translates between HTTP headers and the types of package forward.
	HeaderCodec forward.HeaderCodec
	// ServerClient makes the calls to servers other than forwarded requests.
	ServerClient forward.ServerClient
	// LoadLayers sends an order to a server. It fails with place.ErrFenced if the server has seen a
	// newer fencing token, and with place.ErrRefused if the server has begun other orders than
	// expected.
	LoadLayers func(ctx context.Context, o Order) (fleet.Notice, error)
}

// DecodedConfig is one version of the configuration. The zero value stands for none.
type DecodedConfig struct {
	Version int64
	// Catalog and Raw are the decoded configuration and its bytes. They are nil for a version that was
	// known already.
	Catalog *catalog.Catalog
	Raw     []byte
}

// Order tells a server which layers to hold.
type Order struct {
	Server catalog.Server
	Layers slatebridge.LayerRange
	Token  int64
	// ExpectedOrders is the number of orders the server had begun since its start when it was last
	// queried. If its own count differs, the server refuses the order: it arrived late or was meant
	// for another incarnation.
	ExpectedOrders int64
}

// Box is one box, which accepts client requests for the backend servers.
type Box struct {
	settings Settings
	platform Platform
	logger   *zap.Logger
	// peerClient makes calls to other boxes.
	peerClient *http.Client
	// links are the ways to servers; nil if none were set.
	links     *ServerLinks
	bootID    string
	startedAt time.Time
	// assumedConfirmedAt stands in for the time of the last confirmation until there is one. If it
	// is zero, the first read of the store is due at once.
	assumedConfirmedAt time.Time

	fleet   *fleet.Fleet
	handler *forward.Handler
	metrics *metrics

	config  *follow.Follower
	servers *follow.Follower
	// quarantine holds the requests under which servers have crashed.
	quarantine *replicatedLedger
	// isReader reports whether this box reads the store for its hall.
	isReader atomic.Bool
	// hallPeers is the number of other live boxes known in the hall.
	hallPeers atomic.Int64
	// storeReadDelay is the extra time in nanoseconds that this box waits for the relays of its
	// hall before it reads the store itself; see control.storeReadDelay.
	storeReadDelay atomic.Int64
	// grants requests and allocates grants for rate-limited servers and retries from the shared
	// pools.
	grants *grants
	// rooms claims and gives room at nearly full servers.
	rooms *rooms
	// serversConfirmedAt is the time at which the server entries were last confirmed current.
	serversConfirmedAt atomic.Pointer[time.Time]

	system *actor.ActorSystem
	// pid is the control actor; nil until Run has started it.
	pid    atomic.Pointer[actor.PID]
	socket *mesh.Socket

	state atomic.Pointer[forward.State]
	// configDocument and entries are served to boxes that lag behind.
	configDocument atomic.Pointer[mesh.Document]
	entries        *entryTable
	ready          atomic.Bool
	// status is the status reported to operators.
	status atomic.Pointer[Status]
}

// confirmationShare is the share of MaxRevocationDelay that the age of the configuration may use.
// The rest is left for the transfer of the request to its server.
const confirmationShare = 0.9

// New returns a Box that sends requests to servers through client.
func New(s Settings, p Platform, client *http.Client, logger *zap.Logger, reg prometheus.Registerer, opts ...Option) *Box {
	b := &Box{
		settings: s, platform: p, logger: logger, peerClient: client,
		bootID: newBootID(), startedAt: clock.Now(),
		fleet: fleet.New(s.Hall, clock.Now), entries: newEntryTable(), metrics: newMetrics(reg),
	}
	for _, o := range opts {
		o(b)
	}
	if s.FirstStart && !slices.Contains(s.Seeds, s.Listen.Mesh) {
		// At the first start of the system the seeds read the store. Each call is billed, and
		// hundreds of boxes start together before any caller sends requests. A box that restarts
		// later reads at once. With this time the first read is due joinDelay after the start of
		// the box, plus storeReadDelay.
		b.assumedConfirmedAt = b.startedAt.Add(joinDelay - time.Duration(ownReadShare*float64(s.Bounds.MaxStaleness)))
	}
	b.config, b.servers = b.followConfig(), b.followServers()
	b.quarantine = newReplicatedLedger(b)
	b.grants = newGrants(b)
	b.rooms = newRooms(b)
	b.serversConfirmedAt.Store(&time.Time{})
	b.state.Store(&forward.State{BoxCount: 1, LiveBoxes: 1})
	b.status.Store(&Status{})
	b.handler = forward.New(forward.Config{
		Codec: p.HeaderCodec, Fleet: b.fleet, HTTPClient: client, ServerClient: p.ServerClient,
		State:             func() forward.State { return *b.state.Load() },
		Bounds:            forwardBounds(s.Bounds),
		ServersAliveSince: b.serversAliveSince, ServersAnsweredSince: b.serversAnsweredSince,
		OnSuspect: func() { b.post(&serverReportPushDue{}) },
		OnServerRestart: func(asked catalog.Server, incarnation string) {
			b.post(&serverRestarted{mesh.Restart{Name: asked.Name, PreviousIncarnation: asked.Incarnation, NewIncarnation: incarnation}})
		},
		OnServerLeaving: func(id slatebridge.ServerID) { b.post(&serverLeaving{id: id}) },
		OnServerLimit:   func(id slatebridge.ServerID, w allowance.Observation) { b.post(&limitObserved{id: id, observation: w}) },
		Ledger:          b.quarantine.ledger, RequestTrial: b.quarantine.beginTrial, RequestGrant: b.grants.request, RequestRetry: b.grants.requestRetry, RetryPool: b.grants.retryPool,
		RequestRoom: b.rooms.claim,
		Random:      rand.Float64, Logger: logger, Metrics: forward.NewMetrics(reg),
	})
	if b.links != nil {
		b.links.setLateness(func() bool { return b.handler.Load().Late(clock.Now()) })
	}

	return b
}

// newBootID returns an identifier of this process: the last 12 hex digits of a random UUID.
// Messages carry a dozen of these identifiers, and 48 random bits are enough to distinguish the
// processes of some hundred boxes.
func newBootID() string {
	const digits = 12
	id := uuid.NewString()

	return id[len(id)-digits:]
}

func forwardBounds(b Bounds) forward.Bounds {
	return forward.Bounds{
		MaxConfigAge:    time.Duration(confirmationShare * float64(b.MaxRevocationDelay)),
		MaxRejectionAge: b.MaxStaleness,
		Retry:           retry.Bounds{Ratio: b.RetryRatio, Extra: b.RetryExtra, Window: b.RetryWindow},
	}
}

// Reconfigure applies new settings to client requests and to the control actor. The listen
// addresses, the MaxStaleness used to follow the store, and the box and hall used for the fleet and
// for grants stay as given to New.
func (b *Box) Reconfigure(s Settings) {
	b.handler.SetBounds(forwardBounds(s.Bounds))
	b.post(&reconfigured{settings: s})
}

// Handler returns the handler of caller requests.
func (b *Box) Handler() *forward.Handler { return b.handler }

// PeerHandler returns the handler of requests of other boxes. It serves the configuration and the
// server entries to those that lag behind, and tunnels to those that do not reach a server.
func (b *Box) PeerHandler() http.Handler {
	state := mesh.StateHandler(mesh.StateSource{Config: b.configDocument.Load, Servers: b.entries.document})
	if b.links == nil {
		return state
	}
	tunnels := b.links.handler(b)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			tunnels.ServeHTTP(w, r)
		} else {
			state.ServeHTTP(w, r)
		}
	})
}

// Ready reports whether the box can serve callers.
func (b *Box) Ready() bool { return b.ready.Load() }

// Status returns the status reported to operators.
func (b *Box) Status() Status { return *b.status.Load() }

// LiftQuarantine lifts the quarantine of the requests whose fingerprints start with the given
// prefix, and returns their number. The change is shared with the other boxes.
func (b *Box) LiftQuarantine(prefix string) int {
	n := b.quarantine.ledger.Lift(prefix, clock.Now())
	event.Log(b.logger, event.QuarantineLifted, zap.String("same", prefix), zap.Int("requests", n))

	return n
}

// Run runs the box until ctx ends, and then closes the socket.
func (b *Box) Run(ctx context.Context, socket *mesh.Socket) {
	b.socket = socket
	b.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(zapslog.NewHandler(b.logger.Core()))
	}))
	c := newControl(ctx, b)
	b.pid.Store(b.system.Root.Spawn(actor.PropsFromFunc(c.receive)))
	go socket.Receive(
		func(m mesh.ReceivedMessage) {
			if !b.grants.receive(m) && !b.rooms.receive(m) {
				b.post(&peerMessage{message: m, receivedAt: clock.Now()})
			}
		},
		func(err error) { b.metrics.meshError(err) },
	)
	go b.config.Run(ctx)
	go b.servers.Run(ctx)
	go b.quarantine.run(ctx)
	go b.handler.WatchStreams(ctx)
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = b.system.Root.StopFuture(b.pid.Load()).Wait()
			b.system.Shutdown()
			_ = socket.Close()

			return
		case <-ticks.C:
			b.post(&tickMsg{})
		}
	}
}

// BeginDrain announces to the platform and to the other boxes that this box is about to stop.
func (b *Box) BeginDrain() {
	b.ready.Store(false)
	b.handler.BeginDrain()
	b.post(&stopping{})
}

// post sends a message to the control actor. Messages sent before the actor has started are
// dropped: there is no state yet that they could change.
func (b *Box) post(m any) {
	if pid := b.pid.Load(); pid != nil {
		b.system.Root.Send(pid, m)
	}
}

// Shares of MaxStaleness.
const (
	// readWaitShare is the time a read waits for changes: short enough for two failed reads within
	// the bound.
	readWaitShare = 0.4
	// ownReadShare is the age of a confirmation at which a box reads the store itself although the
	// store reader of its hall should do so. The reader's confirmations are at most as old as one
	// wait plus two messages.
	ownReadShare = 0.7
	// hedgeShare is how long a box waits for the answer to such a read before it makes another one.
	hedgeShare = 0.1
)

// Pauses after a failed call to the store. Each call is billed. The store reader of a hall pauses
// for the shortest time and is the first to notice that the store is back. The other boxes pause
// longer, so that together they call about as often as the reader alone. If the store refuses only
// the reader, they notice about as fast that it answers again.
const (
	readerRetryPause = 300 * time.Millisecond
	peerRetryPause   = 2 * time.Second
	// pausePerPeer is the pause for each other box of the hall, if that gives more than
	// peerRetryPause in total: the more boxes share the calls, the longer each one pauses.
	// storeReadDelay uses it too.
	pausePerPeer = 400 * time.Millisecond
)

// newFollower returns a follower of a topic. confirmedAt returns the time of the last confirmation,
// and onConfirmed receives a new one.
func (b *Box) newFollower(topic logstore.KeyedTopic, name string, confirmedAt func() time.Time, onConfirmed func(time.Time)) follow.Follower {
	maxStaleness := float64(b.settings.Bounds.MaxStaleness)
	// ownRead is the last confirmation from this box's own reads. The control actor processes it
	// slightly later; without ownRead each starting box would read every topic twice.
	var ownRead atomic.Pointer[time.Time]
	ownRead.Store(&time.Time{})

	return follow.Follower{
		Topic:        topic,
		LongPollWait: time.Duration(readWaitShare * maxStaleness),
		Steady:       true,
		ReadDelay: func() time.Duration {
			if b.isReader.Load() {
				return 0
			}
			confirmed := latest(latest(confirmedAt(), *ownRead.Load()), b.assumedConfirmedAt)

			return time.Duration(ownReadShare*maxStaleness) + time.Duration(b.storeReadDelay.Load()) - clock.Since(confirmed)
		},
		Backoff: func() time.Duration {
			if b.isReader.Load() {
				return readerRetryPause
			}

			return max(peerRetryPause, time.Duration(b.hallPeers.Load())*pausePerPeer)
		},
		OnConfirmed: func(confirmedAt time.Time) {
			ownRead.Store(&confirmedAt)
			onConfirmed(confirmedAt)
			b.post(&storeSucceeded{name})
		},
		OnError:             func(err error) { b.post(&storeFailed{topic: name, err: err}) },
		Single:              func() bool { return !b.isReader.Load() },
		HedgeDelay:          time.Duration(hedgeShare * maxStaleness),
		DropIdleConnections: b.platform.CloseIdleConnections,
	}
}

// wakeFollowers makes the followers check whether a read is due.
func (b *Box) wakeFollowers() {
	for _, f := range []*follow.Follower{b.config, b.servers, b.quarantine.follower} {
		if f != nil {
			f.Wake()
		}
	}
}

func (b *Box) followConfig() *follow.Follower {
	// era is that of the last read, and readVersion the newest version read. The follower calls its
	// functions from a single goroutine.
	var era, readVersion int64
	f := b.newFollower(b.platform.Config, topicConfig,
		func() time.Time { return b.state.Load().ConfigVerifiedAt },
		func(at time.Time) { b.post(&configConfirmed{at: at, era: era}) })
	f.Behind = func() bool { return readVersion < b.state.Load().ConfigVersion() }
	f.OnSnapshot = func(c logstore.Changes, _ time.Duration) {
		era = c.NextPosition.Era()
		known := b.state.Load().ConfigVersion()
		d, err := b.platform.DecodeConfig(c.Entries, known)
		if err != nil {
			b.post(&configInvalid{err: err})
		}
		readVersion = max(readVersion, d.Version)
		switch {
		case d.Catalog != nil:
			b.post(&configUpdate{catalog: d.Catalog, raw: d.Raw, from: sourceStore, call: c.Call, decodedAt: clock.Now()})
		case d.Version > 0 && d.Version < known:
			event.Log(b.logger, event.CatalogRefused, zap.Int64("version", d.Version), zap.Int64("have", known), zap.String("from", sourceStore))
		}
	}
	f.OnChanges = f.OnSnapshot

	return follow.New(f)
}

func (b *Box) followServers() *follow.Follower {
	f := b.newFollower(b.platform.Servers, topicServers,
		func() time.Time { return *b.serversConfirmedAt.Load() },
		func(at time.Time) { b.post(&serversConfirmed{at: at}) })
	update := func(full bool) func(logstore.Changes, time.Duration) {
		return func(c logstore.Changes, grace time.Duration) {
			b.post(&serversUpdate{entries: c.Entries, next: c.NextPosition, full: full, grace: grace, fromStore: true})
		}
	}
	f.OnSnapshot, f.OnChanges = update(true), update(false)

	return follow.New(f)
}

// Names of the followed topics in logs and metrics.
const (
	topicConfig  = "configuration"
	topicServers = "servers"
	// topicQuarantine is read only on demand, so its failures say little about the store and do not
	// mark it as failed.
	topicQuarantine = "quarantine"
	// sourceStore names the store as the source of an update.
	sourceStore = "store"
)
