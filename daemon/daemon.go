// Package daemon runs boxes, gateways and controllers (RunBox, RunGateway and RunController), and
// implements what the programs share: command line, logger, listeners, and graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/slatebridge/slatebridge/answer"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/internal/program"
)

// Exit codes of the programs.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Flags are the command-line flags of every daemon.
type Flags struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the TOML settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Option sets defaults of the command-line flags for Main.
type Option func(*Flags)

// WithSettingsFileFromEnv sets the default of --settings from the environment variable.
func WithSettingsFileFromEnv(variable string) Option {
	return func(f *Flags) { f.Settings = os.Getenv(variable) }
}

// OutliveSignals ignores SIGHUP, and SIGPIPE, which a write to a log without a reader raises: by
// default both end a process with all that it has under way. Programs call it first of all.
func OutliveSignals() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }

// StopContext returns a context that SIGTERM or SIGINT ends. Until the process ends, further ones
// have no effect.
func StopContext() context.Context {
	// Letting the signals go would bring back their default action, which ends a process amid its drain.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)

	return ctx
}

// Main parses the command line, loads the settings with load, and calls run with them and a context
// that SIGTERM or SIGINT ends. It returns the exit code.
func Main[T any](name string, load func(file string) (T, error), run func(ctx context.Context, cfg T) error, opts ...Option) int {
	OutliveSignals()
	var f Flags
	for _, o := range opts {
		o(&f)
	}
	parser := flags.NewNamedParser(name, flags.Default)
	_, err := parser.AddGroup("Options", "", &f)
	if err != nil {
		return fail(name, err)
	}
	if _, err := parser.Parse(); err != nil {
		return parseExit(err)
	}
	if f.Version {
		fmt.Println(program.Current())

		return exitOK
	}
	if f.Settings == "" {
		return fail(name, errors.New("--settings is missing"))
	}
	cfg, err := load(f.Settings)
	if err != nil {
		return fail(name, err)
	}
	if f.Check {
		fmt.Println(f.Settings + ": settings are valid")

		return exitOK
	}
	if err := run(StopContext(), cfg); err != nil {
		return fail(name, err)
	}

	return exitOK
}

func parseExit(err error) int {
	if flags.WroteHelp(err) {
		return exitOK
	}

	return exitUsage
}

func fail(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)

	return exitError
}

// NewLogger returns a logger that writes JSON lines of the given level and above to standard error.
// The level must be valid; the settings check it.
func NewLogger(level string) *zap.Logger {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	if l, err := zapcore.ParseLevel(level); err == nil {
		cfg.Level.SetLevel(l)
	}
	logger, err := cfg.Build()
	if err != nil {
		return zap.NewNop()
	}

	return logger
}

// ListenerConfig configures one HTTP listener.
type ListenerConfig struct {
	Name    string
	Addr    string
	Handler http.Handler
	// HeaderTimeout and ReadTimeout bound how long reading a request may take; zero selects the
	// default.
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration
	// HeldBytes bounds what all requests hold together, and MaxConnections the connections. Without them,
	// the listener is not for callers: it has bounds of its own, which include the size of a body.
	HeldBytes      int64
	MaxConnections int
	// Registerer, if set, gets the metrics of what the requests hold.
	Registerer prometheus.Registerer
}

// Default timeouts and limits of listeners.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	closeTimeout   = 2 * time.Second
	maxHeaderBytes = 16 << 10
	// internalHeldBytes and internalConnections are for listeners that no caller reaches, and
	// internalBodyBytes bounds the bodies there: what boxes and operators send is small.
	internalHeldBytes   = 16 << 20
	internalConnections = 1000
	internalBodyBytes   = 1 << 20
)

// HTTPServers are the HTTP servers of a set of open listeners.
type HTTPServers struct {
	logger  *zap.Logger
	servers []*http.Server
}

// Listen opens all listeners and serves them. If one cannot be opened, it closes the others.
func Listen(ctx context.Context, logger *zap.Logger, list ...ListenerConfig) (*HTTPServers, error) {
	s := &HTTPServers{logger: logger}
	var cfg net.ListenConfig
	for _, l := range list {
		ln, err := cfg.Listen(ctx, "tcp", l.Addr)
		if err != nil {
			s.Close()

			return nil, errors.Wrapf(err, "opening the listener for %s", l.Name)
		}
		s.serve(l, ln)
	}

	return s, nil
}

func (s *HTTPServers) serve(l ListenerConfig, ln net.Listener) {
	handler, held, connections := l.Handler, l.HeldBytes, l.MaxConnections
	if held == 0 {
		handler, held, connections = http.MaxBytesHandler(l.Handler, internalBodyBytes), internalHeldBytes, internalConnections
	}
	memory := intake.NewMemory(held)
	var opts []intake.Option
	if l.Registerer != nil {
		opts = append(opts, intake.WithOnClose(intake.NewMetrics(l.Registerer, memory).ConnectionClosed))
	}
	limited := intake.NewListener(ln, memory, connections, opts...)
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: orDefault(l.HeaderTimeout, headerTimeout),
		ReadTimeout:       orDefault(l.ReadTimeout, readTimeout),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	limited.Attach(srv)
	s.servers = append(s.servers, srv)
	go func() {
		err := srv.Serve(limited)
		if !errors.Is(err, http.ErrServerClosed) {
			event.Log(s.logger, event.ListenerFailed, zap.String("listener", l.Name), event.Error(err))
		}
	}()
}

// Close closes the listeners. It waits up to closeTimeout for open requests and then aborts them.
func (s *HTTPServers) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, srv := range s.servers {
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}

	return d
}

// NewOperatorMux returns a mux with /metrics, /healthz and /readyz, to which a program adds its own
// endpoints.
func NewOperatorMux(g prometheus.Gatherer, ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})

	return mux
}

// NewHTTPClient returns a client for calls to other processes. It keeps many idle connections per
// host, because a box has many streams to few servers.
func NewHTTPClient() *http.Client {
	const maxIdleConnsPerHost = 256
	return &http.Client{Transport: answer.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		IdleConnTimeout:        idleTimeout,
	})}
}
