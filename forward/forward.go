// Package forward takes callers' requests, chooses backend servers for them,
// and brings the answers back. It knows no wire names: a Wire translates
// headers.
package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/retry"
)

// Request is what a caller's headers say.
type Request struct {
	// ID names this try of the caller; a later try has another ID.
	ID string
	// Key is the caller's key; empty if it sent none.
	Key string
	// Deadline is how long the caller waits; zero if it did not say.
	Deadline time.Duration
	// LastEvent is the ID of the last event that the caller has, when it takes
	// up a stream; zero otherwise.
	LastEvent int64
	// PromptTokens and MaxTokens are the sizes of the prompt and of the
	// longest answer.
	PromptTokens int
	MaxTokens    int
	// GuessedTokens is the caller's guess of the answer; zero if it has none.
	GuessedTokens int
}

// Attempt is what a server is told of one attempt besides the caller's own
// headers.
type Attempt struct {
	Server catalog.Server
	// Path is empty for servers without a model.
	Path fleet.Path
	// Grant is needed for a server that is limited.
	Grant Grant
	// Left is how long the caller still waits.
	Left time.Duration
	// Account names the client account; empty for anonymous requests.
	Account string
	// LastEvent is the ID of the last event that was passed on; zero if none.
	LastEvent int64
}

// Answer is what the head of a server's answer says beside its status.
type Answer struct {
	// ID is the request that it answers; empty if it does not say.
	ID string
	// Sealed says that a server vouches for the answer.
	Sealed bool
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Misdirected says that the server is not the one that was meant, or does
	// not hold the layers that it was to run.
	Misdirected bool
	// Fault is the address of the server at fault; empty if the answer does
	// not say.
	Fault string
	// Status is the status of the answer, and Notice what its sender says of itself.
	Status int
	Notice fleet.Notice
}

// elsewhere reports whether another server has answered than the one that was meant.
func (a Answer) elsewhere() bool { return a.Misdirected && a.Fault == "" }

// Wire translates between headers and the types of this package.
type Wire struct {
	Request func(r *http.Request) (Request, error)
	// Prepare changes the caller's headers to those of one attempt.
	Prepare func(h http.Header, a Attempt)
	Answer  func(resp *http.Response) Answer
	// Refuse sends an answer of the router's own.
	Refuse func(w http.ResponseWriter, id string, e *result.Error)
}

// State is what the router believes at one moment.
type State struct {
	// Catalog is nil as long as no configuration is known.
	Catalog *catalog.Catalog
	// Current is the time of the last proof that the configuration is current.
	Current time.Time
	// Informed says that the configuration and the backend servers are known,
	// which takes a moment after a start.
	Informed bool
	// Boxes is how many boxes share the work and the retry budget.
	Boxes int
}

// Bounds are the limits that the installation sets.
type Bounds struct {
	// Proof is how old the proof of the configuration may be for requests
	// with a key.
	Proof time.Duration
	// Retry bounds what all boxes together send again.
	Retry retry.Bounds
}

// Handler serves callers.
type Handler struct {
	wire    Wire
	fleet   *fleet.Fleet
	client  *http.Client
	servers ServerCalls
	state   func() State
	bounds  atomic.Pointer[Bounds]
	random  func() float64
	logger  *zap.Logger
	metrics *Metrics
	budget  *retry.Budget
	runs    *runs
	drain   drainState
	work    underWay
	started time.Time
	// others is how many other boxes of the hall are heard, and crowd the longest
	// jitter.
	others    atomic.Int64
	crowd     atomic.Int64
	onDoubt   func()
	onRestart func(asked catalog.Server, start string)
	onLeaving func(id slatebridge.ServerID)
	// stalledAt is when the box was last found to have stood still.
	stalledAt atomic.Int64
	seen      observed
	// doubted are servers that are to be asked whether they are alive.
	doubted  chan slatebridge.ServerID
	ledger   *quarantine.Ledger
	trial    TrialFunc
	grants   GrantFunc
	retry    RetryFunc
	onLimit  func(id slatebridge.ServerID, w allowance.Observation)
	departed departures
	// unreadable is the last limit of a server that could not be read.
	unreadable atomic.Pointer[unreadable]
}

// TrialFunc asks all boxes to allow one trial of a request. It fails if there is another
// one, or they can't be asked.
type TrialFunc func(ctx context.Context, f quarantine.Fingerprint, t quarantine.Trial) error

// mostDoubted is how many servers may wait to be asked.
const mostDoubted = 16

// Config is what a Handler needs.
type Config struct {
	Wire    Wire
	Fleet   *fleet.Fleet
	Client  *http.Client
	Servers ServerCalls
	State   func() State
	Bounds  Bounds
	// Random returns numbers from 0 to 1.
	Random func() float64
	// OnDoubt is called when a server has been found dead or slow.
	OnDoubt func()
	// OnRestart is told that another start of the server answered than the one that
	// was asked, which has ended.
	OnRestart func(asked catalog.Server, start string)
	// OnLeaving is told that a server has said in an answer that it is leaving.
	OnLeaving func(id slatebridge.ServerID)
	// Ledger has the requests under which servers have ended, and Trial asks for trials.
	Ledger *quarantine.Ledger
	Trial  TrialFunc
	// Grants asks for grants for limited servers, and Retry for retries. OnLimit is told that
	// a server began or ceased to name a limit.
	Grants  GrantFunc
	Retry   RetryFunc
	OnLimit func(id slatebridge.ServerID, w allowance.Observation)
	Logger  *zap.Logger
	Metrics *Metrics
}

// New returns a Handler.
func New(c Config) *Handler {
	h := &Handler{
		wire: c.Wire, fleet: c.Fleet, client: c.Client, servers: c.Servers, state: c.State,
		random: c.Random, logger: c.Logger, metrics: c.Metrics,
		budget: retry.New(c.Bounds.Retry, retry.WithStart(clock.Now()), retry.WithRounding(c.Random())), runs: newRuns(),
		work: underWay{began: make(chan struct{}, 1)}, onDoubt: c.OnDoubt, onRestart: c.OnRestart, onLeaving: c.OnLeaving,
		started: clock.Now(), seen: newObserved(), doubted: make(chan slatebridge.ServerID, mostDoubted),
		ledger: c.Ledger, trial: c.Trial, grants: c.Grants, retry: c.Retry, onLimit: c.OnLimit,
	}
	h.bounds.Store(&c.Bounds)

	return h
}

// Budget returns the budget for retries, which the boxes share.
func (h *Handler) Budget() *retry.Budget { return h.budget }

// SetBounds takes up other bounds for later requests.
func (h *Handler) SetBounds(b Bounds) {
	h.bounds.Store(&b)
	h.budget.SetBounds(b.Retry)
}
