package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/claim"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/gateway"
	"github.com/slatebridge/slatebridge/internal/program"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/settings"
)

// dialTimeout bounds how long opening a connection to a plain server may take.
const dialTimeout = time.Second

// RunGateway runs a gateway until ctx ends, and then drains it.
func RunGateway(ctx context.Context, cfg settings.Gateway) error {
	logger := NewLogger(cfg.Logging.Level).With(zap.String("box", string(cfg.Box)), zap.String("hall", string(cfg.Hall)))
	logProgram(logger, cfg)
	reg := newRegistry()
	g, err := newGateway(cfg, logger, reg)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { g.Run(runCtx) })
	defer wg.Wait()
	defer stop()
	servers, err := Listen(ctx, logger, gatewayListeners(cfg, g, reg)...)
	if err != nil {
		return err
	}
	defer servers.Close()
	event.Log(logger, event.Started, zap.String("version", program.Version))
	<-ctx.Done()
	drainGateway(cfg, g, logger)

	return nil
}

// drainGateway drains a gateway: the gateway first reports that it is not ready, rejects new
// requests after the grace period, and then has up to the drain timeout to finish those in flight.
func drainGateway(cfg settings.Gateway, g *gateway.Gateway, logger *zap.Logger) {
	event.Log(logger, event.Stopping)
	g.MarkNotReady()
	time.Sleep(time.Duration(cfg.Drain.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(cfg.Drain.Timeout))
	defer cancel()
	err := g.Drain(ctx)
	event.Log(logger, event.Stopped, event.Error(err))
}

func newGateway(cfg settings.Gateway, logger *zap.Logger, reg *prometheus.Registry) (*gateway.Gateway, error) {
	client := NewHTTPClient()

	return gateway.New(cfg.Box, cfg.Hall,
		gateway.WithLogger(logger),
		gateway.WithRegisterer(reg),
		gateway.WithControllers(cfg.Controllers...),
		gateway.WithLog(logstore.NewLog(cfg.Platform.LogURL, client)),
		gateway.WithHTTPClient(client),
		gateway.WithDial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		gateway.WithPolicy(cfg.Routing.Policy, cfg.Routing.Seed),
		gateway.WithMaxInFlight(cfg.Limits.MaxInFlight),
		gateway.WithMaxBodyBytes(cfg.Limits.MaxBodyBytes),
		gateway.WithClaimOptions(
			claim.WithDedupWindow(time.Duration(cfg.Claims.DedupWindow)),
			claim.WithMaxClockSkew(time.Duration(cfg.Claims.MaxClockSkew)),
			claim.WithClaimTimeout(time.Duration(cfg.Claims.Timeout)),
			claim.WithMinAppendInterval(time.Duration(cfg.Claims.MinAppendInterval)),
		),
	)
}

func gatewayListeners(cfg settings.Gateway, g *gateway.Gateway, reg *prometheus.Registry) []ListenerConfig {
	return []ListenerConfig{
		{
			Name:          "callers",
			Addr:          cfg.Listen.Callers,
			Handler:       g.CallerHandler(),
			HeaderTimeout: time.Duration(cfg.Limits.HeaderTimeout),
			ReadTimeout:   time.Duration(cfg.Limits.ReadTimeout),
			HeldBytes:     cfg.Limits.MaxHeldBytes, MaxConnections: cfg.Limits.MaxConnections, Registerer: reg,
		},
		{Name: "peers", Addr: cfg.Listen.Peers, Handler: g.PeerHandler()},
		{Name: "operators", Addr: cfg.Listen.Operators, Handler: NewOperatorMux(reg, g.Ready)},
	}
}

func newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	// The memory statistics of the runtime are longer than all other metrics together, and come first.
	reg.MustRegister(collectors.NewGoCollector(collectors.WithGoCollectorMemStatsMetricsDisabled()), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), programInfo(program.Current()))

	return reg
}
