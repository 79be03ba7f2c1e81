package engines

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/engine"
)

// Faults are the faults that are injected into the engine.
type Faults struct {
	// FailAtToken breaks the connection at this token and later ones, counted from 1.
	FailAtToken int `json:"fail_at_token"`
	// HangAtToken stops responding from this token on, counted from 1.
	HangAtToken int `json:"hang_at_token"`
	// DropFinal breaks the connection instead of sending the final frame.
	DropFinal bool `json:"drop_final"`
	// DuplicateFrames sends each frame twice.
	DuplicateFrames bool `json:"double_frames"`
	// SkipFrame omits the frame of this token, counted from 1; zero omits none.
	SkipFrame int `json:"skip_frame"`
	// StaleAttempt labels frames with the number of the previous attempt.
	StaleAttempt bool `json:"old_attempt"`
	// SkipLayer skips the last layer of the range.
	SkipLayer bool `json:"skip_layer"`
	// TokenDelay is added to the time that each token takes. Its JSON value is in nanoseconds.
	TokenDelay time.Duration `json:"slow"`
}

// Engine emulates a model engine on one accelerator.
type Engine struct {
	server slatebridge.BackendServer
	client *http.Client
	// loadTime is the time that it takes to load the layers of an order.
	loadTime time.Duration
	// linkDelay is the transfer time of activations to the next stage.
	linkDelay time.Duration

	mu             sync.Mutex
	tokenHook      TokenHook
	onOrder        func(order engine.Order)
	state          engine.State
	faults         Faults
	fencingToken   int64
	acceptedOrders int
	rejectedOrders int
	// lastIndexes holds the index of the last token of each attempt, to reject tokens that are
	// repeated or out of order.
	lastIndexes map[attemptKey]int
}

type attemptKey struct {
	stream  string
	attempt int
}

// TokenHook is called by the first stage before it generates a token, with the index of the token,
// and once more before the final frame.
type TokenHook func(req engine.StreamRequest, index int)

// SetTokenHook sets the hook that is called before each token. Nil removes it.
func (e *Engine) SetTokenHook(h TokenHook) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokenHook = h
}

// OnOrder sets a function that is called with each accepted order.
func (e *Engine) OnOrder(f func(order engine.Order)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOrder = f
}

func (e *Engine) callTokenHook(req engine.StreamRequest, index int) {
	e.mu.Lock()
	h := e.tokenHook
	e.mu.Unlock()
	if h != nil {
		h(req, index)
	}
}

// Option configures an Engine.
type Option func(e *Engine)

// WithLoadTime sets the time that it takes to load the layers of an order.
func WithLoadTime(d time.Duration) Option {
	return func(e *Engine) { e.loadTime = d }
}

// WithLinkDelay sets the transfer time of activations to the next stage.
func WithLinkDelay(d time.Duration) Option {
	return func(e *Engine) { e.linkDelay = d }
}

// WithLoadedLayers starts the engine with a layer range loaded.
func WithLoadedLayers(model slatebridge.ModelVersion, layers slatebridge.LayerRange, adapters ...string) Option {
	return func(e *Engine) {
		e.state.Model = model
		e.state.Layers = layers
		e.state.Adapters = adapters
	}
}

// New returns an engine that sends requests to other engines through the client.
func New(server slatebridge.BackendServer, client *http.Client, opts ...Option) *Engine {
	e := &Engine{server: server, client: client, lastIndexes: make(map[attemptKey]int)}
	for _, opt := range opts {
		opt(e)
	}

	return e
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Leave makes the engine refuse new streams and report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = true
}

// State returns the state that the engine reports.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.FencingToken = e.fencingToken

	return s
}

// OrderCounts returns the numbers of accepted and rejected orders.
func (e *Engine) OrderCounts() (accepted, rejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.acceptedOrders, e.rejectedOrders
}

// applyOrder loads the layers of an order. It returns false if the engine checks fencing tokens and
// has seen a newer one. The order counts as accepted even if ctx ends before the layers are loaded.
func (e *Engine) applyOrder(ctx context.Context, order engine.Order) bool {
	e.mu.Lock()
	if e.server.ChecksFencingTokens && order.FencingToken < e.fencingToken {
		e.rejectedOrders++
		e.mu.Unlock()

		return false
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	e.acceptedOrders++
	onOrder := e.onOrder
	e.mu.Unlock()
	if onOrder != nil {
		onOrder(order)
	}
	if !sleep(ctx, e.loadTime) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Model = order.Model
	e.state.Layers = order.Layers
	e.state.Adapters = order.Adapters

	return true
}

// tokenDuration returns the time that the layers take for one token. All active streams share the
// accelerator.
func (e *Engine) tokenDuration(layers slatebridge.LayerRange) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server.LayersPerMillisecond <= 0 {
		return e.faults.TokenDelay
	}
	ms := float64(layers.Len()) / e.server.LayersPerMillisecond * float64(max(e.state.Streams, 1))

	return time.Duration(ms*float64(time.Millisecond)) + e.faults.TokenDelay
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.faults
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
