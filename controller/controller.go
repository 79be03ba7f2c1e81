// Package controller implements the control plane of one box: it applies the configuration log,
// monitors the boxes and backend servers, competes for its hall's lease, sends placement orders to
// its hall's engines while it holds the lease, and serves routing snapshots to gateways.
//
// All control state belongs to one actor. Other goroutines do the waiting: they send messages to
// the actor, receive work from it through channels, and read its state as immutable values.
package controller

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/assign"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/lease"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/peer"
)

// Controller is the control plane of one box.
type Controller struct {
	box        slatebridge.BoxID
	hall       slatebridge.HallID
	bootID     string
	logger     *zap.Logger
	log        logstore.Log
	membership logstore.MembershipClient
	engines    engine.Client
	probePlain func(ctx context.Context, url string) error
	// dialPeer returns a client of another controller.
	dialPeer func(url string) peer.Controller

	system        *actor.ActorSystem
	pid           *actor.PID
	currentLease  atomic.Pointer[lease.Lease]
	publisher     *publisher
	recentRecords *recordBuffer
	orders        chan []assign.Order
	// boxes are the listed boxes as last published by the actor.
	boxes atomic.Pointer[[]slatebridge.Box]
	// probeTargets are the servers of this box's hall as last published by the actor.
	probeTargets atomic.Pointer[probeTargets]
	// appliedConfig is the newest configuration state, also served to peers.
	appliedConfig atomic.Pointer[config.State]
	// pendingLeases holds a lease record that is to be appended.
	pendingLeases chan lease.Record
	// pendingConfigSnapshots holds a configuration state that is to be written to the log.
	pendingConfigSnapshots chan config.State
}

// Option configures a Controller.
type Option func(c *Controller)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option {
	return func(c *Controller) { c.logger = l }
}

// WithPlatform sets the platform's log and membership list.
func WithPlatform(log logstore.Log, membership logstore.MembershipClient) Option {
	return func(c *Controller) {
		c.log = log
		c.membership = membership
	}
}

// WithHTTPClient sets the HTTP client used for engines, plain servers and peers.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Controller) {
		c.engines = engine.New(client)
		c.probePlain = newPlainProbe(client)
		c.dialPeer = func(url string) peer.Controller {
			return peer.NewControllerProtobufClient(url, client)
		}
	}
}

// WithBootID sets the boot ID, which is random by default.
func WithBootID(id string) Option {
	return func(c *Controller) { c.bootID = id }
}

// New returns a Controller for the box in the hall.
func New(box slatebridge.BoxID, hall slatebridge.HallID, opts ...Option) *Controller {
	c := &Controller{
		box:                    box,
		hall:                   hall,
		bootID:                 uuid.NewString(),
		logger:                 zap.NewNop(),
		publisher:              newPublisher(),
		recentRecords:          newRecordBuffer(),
		orders:                 make(chan []assign.Order, 1),
		pendingLeases:          make(chan lease.Record, 1),
		pendingConfigSnapshots: make(chan config.State, 1),
	}
	WithHTTPClient(http.DefaultClient)(c)
	for _, opt := range opts {
		opt(c)
	}
	c.boxes.Store(&[]slatebridge.Box{})
	c.probeTargets.Store(&probeTargets{})
	c.appliedConfig.Store(&config.State{})

	return c
}

// identity identifies this incarnation of the box's controller.
func (c *Controller) identity() string {
	return string(c.box) + "/" + c.bootID
}

// Run runs the controller until ctx is canceled.
func (c *Controller) Run(ctx context.Context) {
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(zapslog.NewHandler(c.logger.Core()))
	}))
	defer c.system.Shutdown()
	state := newState(c)
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(state.receive))
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		c.followConfig,
		c.followLease,
		c.followMembership,
		c.probeServers,
		c.pollHalls,
		c.sendOrders,
		c.appendLeases,
		c.writeConfigSnapshots,
		c.tick,
	} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
	_ = c.system.Root.StopFuture(c.pid).Wait()
}

func (c *Controller) send(msg any) {
	c.system.Root.Send(c.pid, msg)
}

// Status returns the controller's status.
func (c *Controller) Status() Status {
	return c.publisher.status()
}

// tickInterval is how often the actor checks its lease and its plan.
const tickInterval = 500 * time.Millisecond

func (c *Controller) tick(ctx context.Context) {
	every(ctx, tickInterval, func() { c.send(tick{}) })
}

// every calls f immediately and then in every interval until ctx is canceled.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
