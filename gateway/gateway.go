// Package gateway implements the data plane of a box: it admits callers' requests and
// sends them through pipelines of engines or to plain services.
//
// The control state reaches it only as immutable routing snapshots fetched from the
// controllers. While no controller is reachable, it keeps using its last snapshot.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/admit"
	"github.com/slatebridge/slatebridge/claim"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/peer"
	"github.com/slatebridge/slatebridge/route"
	"github.com/slatebridge/slatebridge/stream"
)

// Gateway is the data plane of one box.
type Gateway struct {
	box    slatebridge.BoxID
	hall   slatebridge.HallID
	bootID string
	logger *zap.Logger
	log    logstore.Log

	controllerURLs []string
	httpClient     *http.Client
	engineClient   engine.Client
	plainClient    engine.PlainClient
	policy         string
	seed           uint64
	maxInFlight    int
	maxBodyBytes   int64
	claimOptions   []claim.Option
	streamOptions  []stream.Option
	registerer     prometheus.Registerer

	snapshot atomic.Pointer[slatebridge.Snapshot]
	router   *route.Router
	limiter  *admit.Limiter
	runner   *stream.Runner
	claimer  *claim.Claimer
	metrics  *metrics
	notReady atomic.Bool
}

// Option configures a Gateway.
type Option func(g *Gateway)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option {
	return func(g *Gateway) { g.logger = l }
}

// WithControllers sets the base URLs of the controllers that serve snapshots, in order of
// preference.
func WithControllers(urls ...string) Option {
	return func(g *Gateway) { g.controllerURLs = urls }
}

// WithLog sets the platform's log, in which the gateway claims calls before it sends them; see
// callDeduplicated.
func WithLog(log logstore.Log) Option {
	return func(g *Gateway) { g.log = log }
}

// WithHTTPClient sets the HTTP client for requests to engines, controllers and peers.
func WithHTTPClient(client *http.Client) Option {
	return func(g *Gateway) {
		g.httpClient = client
		g.engineClient = engine.New(client)
	}
}

// WithDial sets the function that opens connections to plain servers.
func WithDial(dial engine.DialFunc) Option {
	return func(g *Gateway) { g.plainClient = engine.NewPlainClient(dial) }
}

// WithPolicy sets the load balancing policy and its random seed.
func WithPolicy(name string, seed uint64) Option {
	return func(g *Gateway) {
		g.policy = name
		g.seed = seed
	}
}

// WithMaxInFlight sets the maximum number of in-flight requests of the box.
func WithMaxInFlight(n int) Option {
	return func(g *Gateway) { g.maxInFlight = n }
}

// WithMaxBodyBytes sets the maximum size of a request body in bytes.
func WithMaxBodyBytes(n int64) Option {
	return func(g *Gateway) { g.maxBodyBytes = n }
}

// WithClaimOptions sets the options of the claimer.
func WithClaimOptions(opts ...claim.Option) Option {
	return func(g *Gateway) { g.claimOptions = opts }
}

// WithStreamOptions sets the options of the stream runner.
func WithStreamOptions(opts ...stream.Option) Option {
	return func(g *Gateway) { g.streamOptions = opts }
}

// WithRegisterer sets the Prometheus registerer of the metrics.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(g *Gateway) { g.registerer = r }
}

// WithBootID sets the boot ID; the default is random.
func WithBootID(id string) Option {
	return func(g *Gateway) { g.bootID = id }
}

// DefaultMaxBodyBytes is the default maximum size of a request body in bytes.
const DefaultMaxBodyBytes = 1 << 20

// New returns a Gateway for a box in a hall.
func New(box slatebridge.BoxID, hall slatebridge.HallID, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		box:          box,
		hall:         hall,
		bootID:       uuid.NewString(),
		logger:       zap.NewNop(),
		policy:       route.DefaultPolicy,
		maxInFlight:  admit.DefaultMaxInFlight,
		maxBodyBytes: DefaultMaxBodyBytes,
		registerer:   prometheus.NewRegistry(),
	}
	WithHTTPClient(http.DefaultClient)(g)
	WithDial((&net.Dialer{}).DialContext)(g)
	for _, opt := range opts {
		opt(g)
	}
	policy, err := route.NewPolicy(g.policy, g.seed)
	if err != nil {
		return nil, err
	}
	g.initComponents(policy)

	return g, nil
}

func (g *Gateway) initComponents(policy route.Policy) {
	g.snapshot.Store(&slatebridge.Snapshot{})
	g.router = route.New(g.hall, policy, g.logger)
	g.limiter = admit.New(g.maxInFlight)
	onServerFailed := stream.WithOnServerFailed(func(id slatebridge.ServerID, _ error) { g.router.MarkFailed(id) })
	g.runner = stream.NewRunner(g.engineClient, g.logger, append([]stream.Option{onServerFailed}, g.streamOptions...)...)
	g.claimer = claim.New(g.log, g.logger, g.box, g.bootID, g.queryClaimOwner, g.claimOptions...)
	g.metrics = newMetrics(g.registerer, g)
}

// Run keeps the snapshot and the claim table up to date until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.followSnapshots(ctx) })
	wg.Go(func() { g.claimer.Run(ctx) })
	wg.Wait()
}

// Ready reports whether load balancers may send requests to this box.
func (g *Gateway) Ready() bool {
	if g.notReady.Load() || g.limiter.Draining() {
		return false
	}
	snap := g.snapshot.Load()
	if snap.Revision.ControllerID == "" {
		return false
	}
	box, listed := snap.Box(g.box)

	return !listed || box.State == slatebridge.Live
}

// MarkNotReady makes Ready return false. Requests are still accepted until Drain.
func (g *Gateway) MarkNotReady() {
	g.notReady.Store(true)
}

// Drain rejects new requests and waits until all in-flight requests are done or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.limiter.Drain()
	select {
	case <-g.limiter.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot returns the current routing snapshot.
func (g *Gateway) Snapshot() *slatebridge.Snapshot {
	return g.snapshot.Load()
}

// installSnapshot makes the snapshot current if it supersedes the current one, and reports
// whether it did.
func (g *Gateway) installSnapshot(snap *slatebridge.Snapshot) bool {
	current := g.snapshot.Load()
	if !snap.Revision.Supersedes(current.Revision) {
		event.Log(g.logger, event.SnapshotRefused,
			zap.Any("have", current.Revision),
			zap.Any("got", snap.Revision))

		return false
	}
	g.snapshot.Store(snap)
	g.router.SetSnapshot(snap)
	g.limiter.SetAccounts(snap.Accounts, snap.LiveBoxCount(g.hall))
	event.Log(g.logger, event.SnapshotTaken, zap.Any("revision", snap.Revision))

	return true
}

// PeerHandler returns the HTTP handler for requests from other gateways.
func (g *Gateway) PeerHandler() http.Handler {
	return peer.NewGatewayServer(peerService{g: g})
}
