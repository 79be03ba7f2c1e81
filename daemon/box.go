package daemon

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/box"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/connpool"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/internal/program"
	"github.com/slatebridge/slatebridge/keepalive"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/platform"
	"github.com/slatebridge/slatebridge/reach"
)

const (
	// drainGracePeriod is how long a draining box still accepts new connections. The platform
	// checks readiness every second and acts after two failed checks.
	drainGracePeriod = 2500 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that remains when the last streams are
	// aborted.
	shutdownMargin = 700 * time.Millisecond
	// serverIdleTimeout is how long an idle connection to a server is kept.
	serverIdleTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept. The platform allows
	// callers 15 s; the box must not close the connection earlier.
	callerIdleTimeout = 20 * time.Second
	// logFlushTimeout bounds how long the last log lines may take to be written at shutdown.
	logFlushTimeout = 200 * time.Millisecond
	// maxIdleConnsPerServer bounds the idle connections to one server.
	maxIdleConnsPerServer = 64
	// maxAnswerHeadBytes bounds the head of an answer, interim ones included. It is four times what callers
	// may send as the head of a request.
	maxAnswerHeadBytes = 64 << 10
)

// BoxOption configures a box.
type BoxOption func(*boxRunner)

// WithServerDial sets the function that opens connections to backend servers.
func WithServerDial(dial reach.DialFunc) BoxOption {
	return func(r *boxRunner) { r.dialServer = dial }
}

// boxRunner runs a box.
type boxRunner struct {
	dialServer reach.DialFunc
}

// NewBoxRunner returns a function that runs an entry box until its context ends, and then drains it.
func NewBoxRunner(opts ...BoxOption) func(ctx context.Context, s box.Settings) error {
	r := &boxRunner{dialServer: keepalive.NewDialer(forward.ConnectTimeout()).DialContext}
	for _, o := range opts {
		o(r)
	}

	return r.run
}

// RunBox runs an entry box without options; see NewBoxRunner.
func RunBox(ctx context.Context, s box.Settings) error { return NewBoxRunner()(ctx, s) }

func (r *boxRunner) run(ctx context.Context, s box.Settings) error {
	logWriter := event.NewAsyncWriter(os.Stdout)
	defer logWriter.Close(logFlushTimeout)
	logger := logWriter.Logger(zap.InfoLevel).With(zap.String("box", string(s.Box)))
	logProgram(logger, s)
	go logWriter.RunReports(ctx.Done(), logger)
	reg := newRegistry()
	onIdleClosed := func() { event.Log(logger, event.ChannelsDropped) }
	links := box.NewServerLinks(s, r.dialServer, keepalive.NewDialer(forward.ConnectTimeout()).DialContext, logger, reg)
	client := newServerClient(links.DialContext, onIdleClosed)
	links.SetCloseIdle(client.CloseIdleConnections)
	store := platform.NewStore(s.Store, newStoreClient(onIdleClosed))
	b := box.New(s, platform.New(store, client), client, logger, reg, box.WithServerLinks(links), box.WithPeerClient(newPeerClient(onIdleClosed)))
	// The address for other boxes has a UDP socket for messages and, below, an HTTP listener for
	// state.
	meshSocket, err := mesh.Listen(ctx, s.Listen.Mesh)
	if err != nil {
		return err
	}
	operators := NewOperatorMux(reg, b.Ready)
	box.HandleStatus(operators, b.Status)
	box.HandleLiftQuarantine(operators, b.LiftQuarantine)
	internalServers, err := Listen(ctx, logger,
		ListenerConfig{Name: "boxes", Addr: s.Listen.Mesh, Handler: b.PeerHandler()},
		ListenerConfig{Name: "operators", Addr: s.Listen.Operators, Handler: operators},
		ListenerConfig{Name: "ready", Addr: s.Listen.Ready, Handler: readyHandler(b)},
	)
	if err != nil {
		return err
	}
	defer internalServers.Close()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go b.Run(runCtx, meshSocket)
	callers := &http.Server{
		Handler:           b.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	tcp, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.Callers)
	if err != nil {
		return err
	}
	limitMemory(s.MemoryBytes)
	ln := callerListener(s, tcp, b.Handler().Load(), reg)
	ln.Attach(callers)
	go func() { _ = callers.Serve(ln) }()
	event.Log(logger, event.Started, zap.String("version", program.Version), zap.String("hall", string(s.Hall)))
	watchSettings(ctx, s, logger, func(next box.Settings) {
		store.SetAddress(next.Store)
		b.Reconfigure(next)
	})
	drainBox(s, b, callers, logger)

	return nil
}

// settingsPollInterval is how often the settings file is checked for changes that are not announced
// by a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings checks the settings file on SIGHUP and at regular intervals until ctx ends, and
// calls apply with the new settings if it has changed. Invalid settings are logged, and the last
// valid ones stay in force. A box that drains keeps its settings: the requests in flight began with
// them, and the next process reads the file.
func watchSettings(ctx context.Context, s box.Settings, logger *zap.Logger, apply func(box.Settings)) {
	hup := make(chan os.Signal, 1)
	// Never stopped: that would bring back the default action, which ends a draining box with its streams.
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(s.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(s.File)
		if err == nil && bytes.Equal(data, last) {
			continue
		}
		last = data
		next, err := platform.LoadSettings(s.File)
		event.Log(logger, event.SettingsReloaded, zap.String("file", s.File), event.Error(err),
			zap.Bool("listeners_need_restart", err == nil && !next.SameListeners(s)))
		if err == nil {
			apply(next)
		}
	}
}

// maxCallerHeaderBytes bounds the header of a caller's request. The platform allows callers
// 16 KiB; the box must not reject such a header.
const maxCallerHeaderBytes = 64 << 10

// readyHandler answers the platform's readiness checks: status 503 while the box is not ready for
// callers, or has no room for new connections.
func readyHandler(b *box.Box) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() || b.Handler().Load().Full() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
}

// drainBox stops a box without aborting requests that end at least shutdownMargin before the
// shutdown timeout.
func drainBox(s box.Settings, b *box.Box, callers *http.Server, logger *zap.Logger) {
	deadline := clock.Now().Add(s.Bounds.ShutdownTimeout - shutdownMargin)
	event.Log(logger, event.Stopping, zap.Int64("in_flight", b.Handler().InFlight()))
	b.BeginDrain()
	clock.Sleep(context.Background(), drainGracePeriod)
	ctx, cancel := clock.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := callers.Shutdown(ctx)
	_ = callers.Close()
	event.Log(logger, event.Stopped, event.Error(err), zap.Int64("in_flight", b.Handler().InFlight()))
}

// newServerClient returns the client for calls to backend servers over connections that dial opens.
// It calls onIdleClosed when it closes its idle connections because they appear to be dead.
func newServerClient(dial reach.DialFunc, onIdleClosed func()) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: connpool.New(&http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeadBytes,
			MaxIdleConnsPerHost:    maxIdleConnsPerServer,
			IdleConnTimeout:        serverIdleTimeout,
			ExpectContinueTimeout:  time.Second,
		}, connpool.WithOnIdleClosed(onIdleClosed)),
	}
}

// newPeerClient returns the client for calls to other boxes; see newServerClient for onIdleClosed.
func newPeerClient(onIdleClosed func()) *http.Client {
	dial := keepalive.NewDialer(forward.ConnectTimeout()).DialContext

	return &http.Client{Transport: connpool.New(&http.Transport{
		DialContext: dial, DisableCompression: true, IdleConnTimeout: serverIdleTimeout, MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}, connpool.WithOnIdleClosed(onIdleClosed))}
}

// newStoreClient returns the client for calls to the store; see newServerClient for onIdleClosed.
func newStoreClient(onIdleClosed func()) *http.Client {
	const maxIdleConns = 4
	return &http.Client{Transport: connpool.New(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		IdleConnTimeout:        idleTimeout,
	}, connpool.WithOnIdleClosed(onIdleClosed))}
}
