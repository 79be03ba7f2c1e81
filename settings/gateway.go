package settings

import (
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/admit"
	"github.com/slatebridge/slatebridge/route"
)

// Defaults and upper bounds of the settings.
const (
	defaultMaxBodyBytes      = 1 << 20
	defaultMaxHeldBytes      = 64 << 20
	defaultMaxConnections    = 2000
	defaultHeaderTimeout     = 5 * time.Second
	defaultReadTimeout       = 10 * time.Second
	defaultDedupWindow       = 15 * time.Minute
	defaultMaxClockSkew      = 10 * time.Second
	defaultClaimTimeout      = 2 * time.Second
	defaultMinAppendInterval = 150 * time.Millisecond
	defaultDrainGracePeriod  = 3 * time.Second
	defaultDrainTimeout      = 2 * time.Minute
	maxMinAppendInterval     = 10 * time.Second
	maxTimeout               = time.Hour
	maxDedupWindow           = 24 * time.Hour
)

// Gateway holds the settings of slatebridge-gateway.
type Gateway struct {
	Box  slatebridge.BoxID  `toml:"box"`
	Hall slatebridge.HallID `toml:"hall"`
	// Controllers are the base URLs that routing snapshots are fetched from, starting with the
	// box's own controller.
	Controllers []string      `toml:"controllers"`
	Listen      GatewayListen `toml:"listen"`
	Platform    PlatformLog   `toml:"platform"`
	Limits      Limits        `toml:"limits"`
	Routing     Routing       `toml:"routing"`
	Claims      Claims        `toml:"claims"`
	Drain       Drain         `toml:"drain"`
	Logging     Logging       `toml:"logging"`
}

// GatewayListen holds the listen addresses of a gateway.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// PlatformLog holds the base URL of the platform's log.
type PlatformLog struct {
	LogURL string `toml:"log"`
}

// Limits bounds the requests that a box accepts from callers.
type Limits struct {
	MaxInFlight  int   `toml:"max_in_flight"`
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeldBytes bounds what all requests hold together while they are read and served, and
	// MaxConnections the connections of callers.
	MaxHeldBytes   int64                `toml:"max_held_bytes"`
	MaxConnections int                  `toml:"max_connections"`
	HeaderTimeout  slatebridge.Duration `toml:"header_timeout"`
	ReadTimeout    slatebridge.Duration `toml:"read_timeout"`
}

// Routing configures the choice of backend servers.
type Routing struct {
	Policy string `toml:"policy"`
	Seed   uint64 `toml:"seed"`
}

// Claims configures how the gateway claims, in the platform's log, calls that must not run twice.
type Claims struct {
	// DedupWindow is how long an Idempotency-Key is remembered. A second call with the same key is
	// recognized within it; calls with older keys are rejected.
	DedupWindow slatebridge.Duration `toml:"window"`
	// MaxClockSkew is the maximum difference between the clocks of any two of the callers, the
	// boxes and the log.
	MaxClockSkew slatebridge.Duration `toml:"skew"`
	// Timeout is how long to wait for the confirmation of a claim before it is abandoned.
	Timeout slatebridge.Duration `toml:"timeout"`
	// MinAppendInterval is the minimum time between two appends of this box to the log.
	MinAppendInterval slatebridge.Duration `toml:"interval"`
}

// Drain configures the shutdown of a box.
type Drain struct {
	// GracePeriod is how long the box still accepts requests after it reports that it is not
	// ready, so that the load balancer can take it out of rotation.
	GracePeriod slatebridge.Duration `toml:"grace"`
	// Timeout is how long in-flight requests may take after the grace period.
	Timeout slatebridge.Duration `toml:"timeout"`
}

// Logging configures the log output of the process.
type Logging struct {
	Level string `toml:"level"`
}

// LoadGateway reads and validates the settings of slatebridge-gateway.
func LoadGateway(file string) (Gateway, error) {
	return load(file, defaultGateway())
}

func defaultGateway() Gateway {
	return Gateway{
		Limits: Limits{
			MaxInFlight:    admit.DefaultMaxInFlight,
			MaxBodyBytes:   defaultMaxBodyBytes,
			MaxHeldBytes:   defaultMaxHeldBytes,
			MaxConnections: defaultMaxConnections,
			HeaderTimeout:  slatebridge.Duration(defaultHeaderTimeout),
			ReadTimeout:    slatebridge.Duration(defaultReadTimeout),
		},
		Routing: Routing{Policy: route.DefaultPolicy},
		Claims: Claims{
			DedupWindow:       slatebridge.Duration(defaultDedupWindow),
			MaxClockSkew:      slatebridge.Duration(defaultMaxClockSkew),
			Timeout:           slatebridge.Duration(defaultClaimTimeout),
			MinAppendInterval: slatebridge.Duration(defaultMinAppendInterval),
		},
		Drain: Drain{
			GracePeriod: slatebridge.Duration(defaultDrainGracePeriod),
			Timeout:     slatebridge.Duration(defaultDrainTimeout),
		},
		Logging: Logging{Level: "info"},
	}
}

func (g Gateway) problems() []Problem {
	var c checker
	c.notEmpty("box", string(g.Box))
	c.notEmpty("hall", string(g.Hall))
	c.baseURLs("controllers", g.Controllers)
	c.listenAddress("listen.callers", g.Listen.Callers)
	c.listenAddress("listen.peers", g.Listen.Peers)
	c.listenAddress("listen.operators", g.Listen.Operators)
	c.distinctAddresses(
		listener{"listen.callers", g.Listen.Callers},
		listener{"listen.peers", g.Listen.Peers},
		listener{"listen.operators", g.Listen.Operators},
	)
	c.baseURL("platform.log", g.Platform.LogURL)
	c.positive("limits.max_in_flight", int64(g.Limits.MaxInFlight))
	c.positive("limits.max_body_bytes", g.Limits.MaxBodyBytes)
	c.positive("limits.max_held_bytes", g.Limits.MaxHeldBytes)
	c.positive("limits.max_connections", int64(g.Limits.MaxConnections))
	c.durationBetween("limits.header_timeout", g.Limits.HeaderTimeout, time.Millisecond, maxTimeout)
	c.durationBetween("limits.read_timeout", g.Limits.ReadTimeout, time.Millisecond, maxTimeout)
	if !slices.Contains(route.Policies(), g.Routing.Policy) {
		c.addf("routing.policy", "%q is not one of %v", g.Routing.Policy, route.Policies())
	}
	g.Claims.check(&c)
	c.durationBetween("drain.grace", g.Drain.GracePeriod, 0, maxTimeout)
	c.durationBetween("drain.timeout", g.Drain.Timeout, 0, maxTimeout)
	g.Logging.check(&c)

	return c.problems
}

func (s Claims) check(c *checker) {
	c.durationBetween("claims.window", s.DedupWindow, time.Minute, maxDedupWindow)
	c.durationBetween("claims.skew", s.MaxClockSkew, 0, time.Minute)
	c.durationBetween("claims.timeout", s.Timeout, 10*time.Millisecond, maxTimeout)
	c.durationBetween("claims.interval", s.MinAppendInterval, time.Millisecond, maxMinAppendInterval)
	if 4*time.Duration(s.MaxClockSkew) >= time.Duration(s.DedupWindow) {
		c.addf("claims.skew", "is %s, but must be less than a quarter of the window", time.Duration(s.MaxClockSkew))
	}
}

func (l Logging) check(c *checker) {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		c.addf("logging.level", "%q is not one of debug, info, warn and error", l.Level)
	}
}
