// Package forward serves callers' requests: it selects backend servers, sends the requests to them,
// retries them where that is safe, and relays the responses. It is independent of header names; a
// HeaderCodec translates them.
package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/ownload"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/retry"
)

// Request holds what the headers of a caller's request state.
type Request struct {
	// ID identifies this request; a retry by the caller has another ID.
	ID string
	// APIKey is the caller's API key; empty if it sent none.
	APIKey string
	// Timeout is how long the caller waits; zero if it is not stated.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller received if it resumes a stream; zero
	// otherwise.
	LastEventID int64
	// PromptTokens and MaxTokens are the sizes of the prompt and of the longest allowed output.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the output size; zero if it gave none.
	ExpectedTokens int
	// PromptParts are the IDs of the parts of the prompt, in order; empty if they are not stated.
	// Requests share all parts but the last, which belongs to the request or to its session.
	PromptParts []string
}

// Attempt holds what a server receives with one attempt besides the caller's own headers.
type Attempt struct {
	Server catalog.Server
	// Path is empty for an attempt at a single server.
	Path fleet.Path
	// Grant is required for a rate-limited server.
	Grant Grant
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Account names the client account; empty for anonymous requests.
	Account string
	// LastEventID is the ID of the last event relayed to the caller; zero if there is none.
	LastEventID int64
	// Priority is the priority of the request, 0 for the most urgent. The server is told it only if
	// Prioritized is set.
	Priority    int
	Prioritized bool
}

// ResponseHead holds what the head of a server's response states.
type ResponseHead struct {
	// RequestID is the ID of the request that the response belongs to; empty if it is not stated.
	RequestID string
	// HasOriginProof is set if the response carries proof that a server itself wrote it.
	HasOriginProof bool
	// NotExecuted is set if the server did not execute the request and never will.
	NotExecuted bool
	// Misdirected is set if the request reached another server than the intended one, or one that
	// does not hold the layers it was to run.
	Misdirected bool
	// FaultAddress is the address of the server at fault; empty if it is not stated.
	FaultAddress string
	// Status is the HTTP status, and Notice what the server announces about itself.
	Status int
	Notice fleet.Notice
}

// wrongServer reports whether a server other than the intended one responded. A rejection because
// of missing layers states the address of the server that lacks them; one by a wrong server states
// none.
func (r ResponseHead) wrongServer() bool { return r.Misdirected && r.FaultAddress == "" }

// HeaderCodec translates between HTTP headers and the types of this package.
type HeaderCodec struct {
	ParseRequest func(r *http.Request) (Request, error)
	// PrepareHeader turns the caller's headers into those of an attempt.
	PrepareHeader func(h http.Header, a Attempt)
	ParseResponse func(resp *http.Response) ResponseHead
	// WriteError writes an error response of the box itself.
	WriteError func(w http.ResponseWriter, id string, e *result.Error)
}

// State is the box's view of the configuration at one moment.
type State struct {
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	// ConfigVerifiedAt is when the configuration was last verified to be current.
	ConfigVerifiedAt time.Time
	// ConfigVerifiedBy names by whose word: the store, or the box that said so.
	ConfigVerifiedBy string
	// Synced is set once the configuration and the backend servers are known, shortly after start.
	Synced bool
	// BoxCount is the number of boxes that share the work and the retry budget.
	BoxCount int
	// LiveBoxes is the number of boxes that are not known to be lost, this one included.
	LiveBoxes int
}

// ConfigVersion returns the version of the configuration, or zero while none is known.
func (s *State) ConfigVersion() int64 {
	if s.Catalog == nil {
		return 0
	}

	return s.Catalog.Version
}

// Bounds are limits from the settings.
type Bounds struct {
	// MaxConfigAge is the maximum time since the configuration was last verified to be current.
	// Beyond it, requests that need an API key are refused.
	MaxConfigAge time.Duration
	// MaxRejectionAge is the same for requests that are rejected since the configuration has no such
	// route or key; zero if they are rejected by a configuration of any age.
	MaxRejectionAge time.Duration
	// Retry bounds the retries of all boxes together.
	Retry retry.Bounds
}

func (b *Bounds) configAgeLimits() configAgeLimits {
	return configAgeLimits{accept: b.MaxConfigAge, reject: b.MaxRejectionAge}
}

// Handler serves callers' requests.
type Handler struct {
	codec        HeaderCodec
	fleet        *fleet.Fleet
	httpClient   *http.Client
	serverClient ServerClient
	state        func() State
	bounds       atomic.Pointer[Bounds]
	random       func() float64
	logger       *zap.Logger
	metrics      *Metrics
	budget       *retry.Budget
	monitor      *monitor
	repairs      repairQueue
	refusals     moveRefusals
	drain        drainState
	activity     activity
	startedAt    time.Time
	// hallPeers is the number of other live boxes in the hall, and jitterBound the longest jitter.
	hallPeers         atomic.Int64
	jitterBound       atomic.Int64
	serversAliveSince func(at time.Time) bool
	// serversAnsweredSince reports whether any server has sent something to this box itself.
	serversAnsweredSince func(at time.Time) bool
	onSuspect            func()
	onServerRestart      func(queried catalog.Server, incarnation string)
	onServerLeaving      func(id slatebridge.ServerID)
	// stalledAt is when this process was last found to have stalled, in Unix nanoseconds.
	stalledAt atomic.Int64
	latencies latencyStats
	// priorities holds the *servicePriority of each service, by name.
	priorities sync.Map
	// returns holds the *serviceReturns of each service that refused a request, by name.
	returns sync.Map
	// priorityConfig is the newest configuration whose classes the priorities have. The mutex guards
	// its replacement.
	priorityConfig   atomic.Pointer[catalog.Catalog]
	priorityConfigMu sync.Mutex
	// livenessQueue holds servers whose liveness is to be checked.
	livenessQueue chan slatebridge.ServerID
	ledger        *quarantine.Ledger
	requestTrial  TrialFunc
	requestGrant  GrantFunc
	requestRetry  RetryGrantFunc
	retryPool     func(service string) RetryPool
	requestRoom   RoomFunc
	// roomUnanswered bounds the volume of the lines about claims that no ledger decided on.
	roomUnanswered eventLimiter
	onServerLimit  func(id slatebridge.ServerID, limit allowance.Observation)
	unanswered     unansweredAttempts
	// load limits what the box takes from callers while it is late.
	load *ownload.Limiter
	// lastInvalidLimit is the last rate limit of a server that could not be parsed.
	lastInvalidLimit atomic.Pointer[invalidLimit]
}

// TrialFunc claims one trial of what is blamed in a request for this box, so that no other box tries it
// at the same time. It fails if another trial is running or the claim cannot be stored.
type TrialFunc func(ctx context.Context, s quarantine.Subject, blamed quarantine.Fingerprint, t quarantine.Trial) error

// livenessQueueSize bounds how many servers may wait for a liveness check.
const livenessQueueSize = 16

// Config configures a Handler.
type Config struct {
	Codec        HeaderCodec
	Fleet        *fleet.Fleet
	HTTPClient   *http.Client
	ServerClient ServerClient
	State        func() State
	Bounds       Bounds
	// Random returns random numbers from 0 to 1.
	Random func() float64
	// ServersAliveSince reports whether any server has shown life to this box itself since the given
	// time; nil if that is not known, and the box always relies on its links.
	ServersAliveSince func(at time.Time) bool
	// ServersAnsweredSince reports whether any server has sent something to this box itself since the
	// given time; nil if that is not known, and silent attempts are then given up without it.
	ServersAnsweredSince func(at time.Time) bool
	// OnSuspect is called when a server becomes suspect or slow.
	OnSuspect func()
	// OnServerRestart is called when an incarnation of a server other than the queried one
	// responds, so that the queried one has ended.
	OnServerRestart func(queried catalog.Server, incarnation string)
	// OnServerLeaving is called when a server announces in a response that it is leaving.
	OnServerLeaving func(id slatebridge.ServerID)
	// Ledger records the requests during which servers crashed, and RequestTrial claims trials of
	// such requests.
	Ledger       *quarantine.Ledger
	RequestTrial TrialFunc
	// RequestGrant asks for grants for rate-limited servers, and RequestRetry for retries from the
	// shared pool. OnServerLimit is called when a server sets or lifts a rate limit.
	RequestGrant GrantFunc
	RequestRetry RetryGrantFunc
	// RetryPool returns what is known of the shared pool of a service, for the log; nil if there is none.
	RetryPool     func(service string) RetryPool
	OnServerLimit func(id slatebridge.ServerID, limit allowance.Observation)
	// RequestRoom claims room at nearly full servers; nil if boxes do not share room.
	RequestRoom RoomFunc
	Logger      *zap.Logger
	Metrics     *Metrics
}

// New returns a Handler.
func New(c Config) *Handler {
	h := &Handler{
		codec: c.Codec, fleet: c.Fleet, httpClient: c.HTTPClient, serverClient: c.ServerClient, state: c.State,
		random: c.Random, logger: c.Logger, metrics: c.Metrics,
		budget: retry.New(c.Bounds.Retry, retry.WithStartTime(clock.Now()), retry.WithRounding(c.Random())), monitor: newMonitor(),
		activity: activity{started: make(chan struct{}, 1)}, onSuspect: c.OnSuspect, onServerRestart: c.OnServerRestart, onServerLeaving: c.OnServerLeaving,
		serversAliveSince: c.ServersAliveSince, serversAnsweredSince: c.ServersAnsweredSince, startedAt: clock.Now(), latencies: newLatencyStats(), livenessQueue: make(chan slatebridge.ServerID, livenessQueueSize),
		ledger: c.Ledger, requestTrial: c.RequestTrial, requestGrant: c.RequestGrant, requestRetry: c.RequestRetry, retryPool: c.RetryPool, requestRoom: c.RequestRoom, onServerLimit: c.OnServerLimit,
	}
	h.load = ownload.New(func() int { return int(h.InFlight()) }, ownload.WithOnChange(h.logLoad))
	h.bounds.Store(&c.Bounds)
	if h.serversAliveSince == nil {
		h.serversAliveSince = func(time.Time) bool { return true }
	}
	if h.serversAnsweredSince == nil {
		h.serversAnsweredSince = func(time.Time) bool { return true }
	}
	if h.retryPool == nil {
		h.retryPool = func(string) RetryPool { return RetryPool{} }
	}

	return h
}

// Load returns the limit on what the box takes from callers.
func (h *Handler) Load() *ownload.Limiter { return h.load }

// logLoad logs that the box began or ceased to limit what it takes from callers.
func (h *Handler) logLoad(c ownload.Change) {
	e := event.OwnLoadLimited
	if c.Limit == 0 {
		e = event.OwnLoadLifted
	}
	event.Log(h.logger, e, zap.Int("limit", c.Limit), zap.Int("in_flight", c.InFlight), zap.Duration("lag_ms", c.Lag))
}

// RetryBudget returns the retry budget, which all boxes share.
func (h *Handler) RetryBudget() *retry.Budget { return h.budget }

// SetBounds sets the bounds for later requests.
func (h *Handler) SetBounds(b Bounds) {
	h.bounds.Store(&b)
	h.budget.SetBounds(b.Retry)
}
