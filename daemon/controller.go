package daemon

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/controller"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/internal/program"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/settings"
)

// RunController runs a controller until ctx ends.
func RunController(ctx context.Context, cfg settings.Controller) error {
	logger := NewLogger(cfg.Logging.Level).With(zap.String("box", string(cfg.Box)), zap.String("hall", string(cfg.Hall)))
	logProgram(logger, cfg)
	client := NewHTTPClient()
	c := controller.New(cfg.Box, cfg.Hall,
		controller.WithLogger(logger),
		controller.WithPlatform(logstore.NewLog(cfg.Platform.LogURL, client), logstore.NewMembershipClient(cfg.Platform.MembershipURL, client)),
		controller.WithHTTPClient(client),
	)
	reg := newRegistry()
	reg.MustRegister(controllerGauges(c)...)
	mux := NewOperatorMux(reg, c.Ready)
	mux.Handle("/v1/", c.OperatorHandler())
	servers, err := Listen(ctx, logger,
		ListenerConfig{Name: "peers", Addr: cfg.Listen.Peers, Handler: c.PeerHandler()},
		ListenerConfig{Name: "operators", Addr: cfg.Listen.Operators, Handler: mux},
	)
	if err != nil {
		return err
	}
	defer servers.Close()
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	event.Log(logger, event.Started, zap.String("version", program.Version))
	wg.Wait()
	event.Log(logger, event.Stopped)

	return nil
}

func controllerGauges(c *controller.Controller) []prometheus.Collector {
	return []prometheus.Collector{
		gauge("slatebridge_controller_applied", "Offset of the first configuration record that is not applied yet.", func() float64 {
			return float64(c.Status().AppliedOffset)
		}),
		gauge("slatebridge_controller_current", "1 once the controller has caught up with the configuration log since its start.", func() float64 {
			return boolGauge(c.Status().ConfigCaughtUp)
		}),
		gauge("slatebridge_controller_leading", "1 while the box holds its hall's lease.", func() float64 {
			return boolGauge(c.Status().HoldsLease)
		}),
		gauge("slatebridge_controller_servers", "Backend servers that answer.", func() float64 {
			return float64(len(c.Status().Servers))
		}),
	}
}

func gauge(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}

	return 0
}
