// Package cluster runs several boxes and stand-ins of the platform in one process, for end-to-end
// tests in virtual time.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/claim"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/controller"
	"github.com/slatebridge/slatebridge/gateway"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
	"github.com/slatebridge/slatebridge/internal/standin/logservice"
	"github.com/slatebridge/slatebridge/internal/standin/memberlist"
	"github.com/slatebridge/slatebridge/internal/standin/memnet"
	"github.com/slatebridge/slatebridge/internal/standin/plainservice"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/operator"
	"github.com/slatebridge/slatebridge/route"
	"github.com/slatebridge/slatebridge/stream"
)

// Hosts of the platform's services.
const (
	LogHost        = "log"
	MemberListHost = "list"
	// CallerHost is the host of callers and operators.
	CallerHost = "caller"
)

// MemberListLag is the lag of the member list behind its updates.
const MemberListLag = 2 * time.Second

// Options configure a cluster. Boxes and Engines are numbers per hall.
type Options struct {
	Halls   int
	Boxes   int
	Engines int
	// DeduplicatingService makes the plain service answer a repeated call without executing it
	// again.
	DeduplicatingService bool
	// IgnoreFencingTokens makes the engines accept orders with stale fencing tokens.
	IgnoreFencingTokens bool
	// Logger returns the logger of a process of a box; nil disables logs.
	Logger func(process string) *zap.Logger
	// StreamOptions are the stream options of the gateways.
	StreamOptions []stream.Option
}

// Cluster is a running system of boxes, backend servers and platform services.
type Cluster struct {
	Net            *memnet.Network
	Log            *logservice.Service
	MemberList     *memberlist.Service
	Executions     *plainservice.Executions
	PlainServers   map[slatebridge.ServerID]*plainservice.Server
	Engines        map[slatebridge.ServerID]*engines.Engine
	Boxes          map[slatebridge.BoxID]*Box
	InitialMembers logstore.Membership

	ctx         context.Context
	options     Options
	wg          sync.WaitGroup
	mu          sync.Mutex
	httpServers []*http.Server
}

// Box is a running box. Its two processes have separate hosts, so that they can be killed and
// frozen separately.
type Box struct {
	ID         slatebridge.BoxID
	Hall       slatebridge.HallID
	Gateway    *gateway.Gateway
	Controller *controller.Controller

	stopGateway    context.CancelFunc
	stopController context.CancelFunc
}

// GatewayHost returns the host of the box's gateway.
func GatewayHost(id slatebridge.BoxID) string { return "gw-" + string(id) }

// ControllerHost returns the host of the box's controller.
func ControllerHost(id slatebridge.BoxID) string { return "ct-" + string(id) }

// Start starts a cluster. Stop must be called before the synctest bubble ends.
func Start(ctx context.Context, options Options) *Cluster {
	f := &Cluster{
		Net:          memnet.New(),
		Log:          logservice.New(),
		Executions:   plainservice.NewExecutions(options.DeduplicatingService),
		PlainServers: make(map[slatebridge.ServerID]*plainservice.Server),
		Engines:      make(map[slatebridge.ServerID]*engines.Engine),
		Boxes:        make(map[slatebridge.BoxID]*Box),
		ctx:          ctx,
		options:      options,
	}
	if options.Logger == nil {
		f.options.Logger = func(string) *zap.Logger { return zap.NewNop() }
	}
	f.InitialMembers = f.initialMembers()
	f.MemberList = memberlist.New(f.InitialMembers, MemberListLag)
	f.Serve(LogHost+":80", f.Log.Handler())
	f.Serve(MemberListHost+":80", f.MemberList.Handler())
	for _, s := range f.InitialMembers.Servers {
		f.StartServer(s)
	}
	for _, b := range f.InitialMembers.Boxes {
		f.StartBox(b.ID, "1")
	}

	return f
}

func (f *Cluster) initialMembers() logstore.Membership {
	var m logstore.Membership
	for h := range f.options.Halls {
		hall := slatebridge.HallID(fmt.Sprintf("h%d", h+1))
		for b := range f.options.Boxes {
			id := slatebridge.BoxID(fmt.Sprintf("b%d%d", h+1, b+1))
			m.Boxes = append(m.Boxes, slatebridge.Box{
				ID:                id,
				Hall:              hall,
				GatewayPeerURL:    "http://" + GatewayHost(id) + ":81",
				ControllerPeerURL: "http://" + ControllerHost(id) + ":81",
				State:             slatebridge.Live,
			})
		}
		for e := range f.options.Engines {
			m.Servers = append(m.Servers, f.EngineEntry(hall, slatebridge.ServerID(fmt.Sprintf("e%d%d", h+1, e+1))))
		}
		id := slatebridge.ServerID(fmt.Sprintf("p%d", h+1))
		m.Servers = append(m.Servers, slatebridge.BackendServer{
			ID:      id,
			Hall:    hall,
			Kind:    slatebridge.PlainServer,
			Service: "refund",
			URL:     "http://" + string(id) + ":80",
			State:   slatebridge.Live,
		})
	}

	return m
}

// EngineEntry returns the member list's entry of an engine in the hall.
func (f *Cluster) EngineEntry(hall slatebridge.HallID, id slatebridge.ServerID) slatebridge.BackendServer {
	return slatebridge.BackendServer{
		ID:                   id,
		Hall:                 hall,
		Kind:                 slatebridge.EngineServer,
		URL:                  "http://" + string(id) + ":80",
		State:                slatebridge.Live,
		LayersPerMillisecond: 1,
		MaxLayers:            8,
		ChecksFencingTokens:  !f.options.IgnoreFencingTokens,
	}
}

// StartServer starts a backend server.
func (f *Cluster) StartServer(s slatebridge.BackendServer) {
	host := string(s.ID)
	if s.Kind == slatebridge.PlainServer {
		f.PlainServers[s.ID] = plainservice.New(f.Executions)
		f.Serve(host+":80", f.PlainServers[s.ID].Handler())

		return
	}
	f.Engines[s.ID] = engines.New(s, f.Net.Client(host), engines.WithLoadTime(300*time.Millisecond))
	f.Serve(host+":80", f.Engines[s.ID].Handler())
}

// RestartServer restarts a killed backend server, with no layers loaded.
func (f *Cluster) RestartServer(id slatebridge.ServerID) {
	for _, s := range f.InitialMembers.Servers {
		if s.ID == id {
			f.StartServer(s)
		}
	}
}

// Serve serves HTTP requests to the address.
func (f *Cluster) Serve(addr string, h http.Handler) {
	ln := f.Net.Listen(addr)
	srv := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return f.ctx }}
	f.mu.Lock()
	f.httpServers = append(f.httpServers, srv)
	f.mu.Unlock()
	f.wg.Go(func() { _ = srv.Serve(ln) })
}

// StartBox starts the gateway and the controller of a box.
func (f *Cluster) StartBox(id slatebridge.BoxID, bootID string) {
	b := &Box{ID: id, Hall: f.hallOf(id)}
	f.mu.Lock()
	f.Boxes[id] = b
	f.mu.Unlock()
	f.StartController(id, bootID)
	f.startGateway(b, bootID)
}

// StartController starts or restarts the controller of a box.
func (f *Cluster) StartController(id slatebridge.BoxID, bootID string) {
	b := f.Boxes[id]
	host := ControllerHost(id)
	client := f.Net.Client(host)
	c := controller.New(id, b.Hall,
		controller.WithBootID(bootID),
		controller.WithLogger(f.options.Logger(host)),
		controller.WithPlatform(logstore.NewLog("http://"+LogHost+":80", client), logstore.NewMembershipClient("http://"+MemberListHost+":80", client)),
		controller.WithHTTPClient(client),
	)
	ctx, cancel := context.WithCancel(f.ctx)
	b.Controller = c
	b.stopController = cancel
	f.Serve(host+":81", c.PeerHandler())
	f.Serve(host+":82", c.OperatorHandler())
	f.wg.Go(func() { c.Run(ctx) })
}

func (f *Cluster) startGateway(b *Box, bootID string) {
	host := GatewayHost(b.ID)
	client := f.Net.Client(host)
	urls := []string{"http://" + ControllerHost(b.ID) + ":81"}
	for _, other := range f.InitialMembers.Boxes {
		if other.Hall == b.Hall && other.ID != b.ID {
			urls = append(urls, other.ControllerPeerURL)
		}
	}
	g, err := gateway.New(b.ID, b.Hall,
		gateway.WithBootID(bootID),
		gateway.WithLogger(f.options.Logger(host)),
		gateway.WithControllers(urls...),
		gateway.WithLog(logstore.NewLog("http://"+LogHost+":80", client)),
		gateway.WithHTTPClient(client),
		gateway.WithDial(f.Net.Dialer(host)),
		gateway.WithPolicy(route.DefaultPolicy, 1),
		gateway.WithStreamOptions(f.options.StreamOptions...),
		gateway.WithClaimOptions(claim.WithClaimTimeout(2*time.Second)),
	)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	b.Gateway = g
	b.stopGateway = cancel
	f.Serve(host+":80", g.CallerHandler())
	f.Serve(host+":81", g.PeerHandler())
	f.wg.Go(func() { g.Run(ctx) })
}

func (f *Cluster) hallOf(id slatebridge.BoxID) slatebridge.HallID {
	for _, b := range f.InitialMembers.Boxes {
		if b.ID == id {
			return b.Hall
		}
	}

	return ""
}

// KillController kills the controller of a box. StartController starts a new one.
func (f *Cluster) KillController(id slatebridge.BoxID) {
	f.Boxes[id].stopController()
	f.Net.Kill(ControllerHost(id))
}

// KillGateway kills the gateway of a box.
func (f *Cluster) KillGateway(id slatebridge.BoxID) {
	f.Boxes[id].stopGateway()
	f.Net.Kill(GatewayHost(id))
}

// Operator returns an operator's client for the controllers of all boxes.
func (f *Cluster) Operator(name string) *operator.Client {
	var urls []string
	for _, b := range f.InitialMembers.Boxes {
		urls = append(urls, "http://"+ControllerHost(b.ID)+":82")
	}
	client := f.Net.Client(CallerHost)

	return operator.New(name, logstore.NewLog("http://"+LogHost+":80", client), client, urls...)
}

// Publish appends the changes to the configuration stream of the log. It does not wait until they
// are applied.
func (f *Cluster) Publish(changes []operator.Change) error {
	for _, c := range changes {
		rec := config.Record{ID: uuid.NewString(), Action: config.Put, Object: c.ObjectID, Author: "test", Value: c.Value}
		if _, err := config.Publish(f.ctx, f.Log.Client(), rec); err != nil {
			return err
		}
	}

	return nil
}

// Stop stops the cluster and waits until all its goroutines have ended.
func (f *Cluster) Stop() {
	for _, b := range f.Boxes {
		b.stopController()
		b.stopGateway()
	}
	f.mu.Lock()
	servers := f.httpServers
	f.mu.Unlock()
	for _, host := range append(f.hosts(), CallerHost) {
		f.Net.Thaw(host)
	}
	for _, s := range servers {
		_ = s.Close()
	}
	f.Net.Close()
	f.wg.Wait()
}

func (f *Cluster) hosts() []string {
	var list []string
	for _, b := range f.InitialMembers.Boxes {
		list = append(list, GatewayHost(b.ID), ControllerHost(b.ID))
	}
	for _, s := range f.InitialMembers.Servers {
		list = append(list, string(s.ID))
	}

	return append(list, LogHost, MemberListHost)
}
