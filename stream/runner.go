// Package stream runs requests through pipelines of layer ranges. It validates every frame, detects
// frames that do not arrive in time, and resumes with a new attempt when a pipeline stage fails.
package stream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/retry"
)

// Timeouts of frames and delays of retries. The timeouts of the first frame and of the gaps between
// later frames are estimated separately.
const (
	firstFrameInitialTimeout = 2 * time.Second
	firstFrameMinTimeout     = 500 * time.Millisecond
	firstFrameMaxTimeout     = 10 * time.Second
	frameGapInitialTimeout   = time.Second
	frameGapMinTimeout       = 150 * time.Millisecond
	frameGapMaxTimeout       = 5 * time.Second
	// noPipelineRetryAfter is the retry delay given to callers when no pipeline could complete the
	// request.
	noPipelineRetryAfter = 2 * time.Second
	// selectRetryInterval is the time between two attempts to select a pipeline for a request of
	// which some tokens have been delivered.
	selectRetryInterval = 50 * time.Millisecond
)

// MaxAttempts is the maximum number of attempts of one request.
const MaxAttempts = 6

// ExcludedServers is the set of servers that have failed, or may have, during a request.
type ExcludedServers map[slatebridge.ServerID]bool

// SelectPipelineFunc returns a pipeline for the next attempt. previous is the pipeline of the
// attempt that failed, or nil.
type SelectPipelineFunc func(previous slatebridge.Pipeline, excluded ExcludedServers) (slatebridge.Pipeline, error)

// EmitFunc delivers the next token of the answer to the caller.
type EmitFunc func(token string) error

// Runner runs requests. All of them share its timeout estimators and its retry budget.
type Runner struct {
	engines           engine.Client
	logger            *zap.Logger
	firstFrameTimeout *TimeoutEstimator
	frameGapTimeout   *TimeoutEstimator
	budget            *retry.Budget
	resume            bool
	// onServerFailed is called with the server that caused an attempt to fail, if it is known.
	onServerFailed func(id slatebridge.ServerID, err error)
}

// Option configures a Runner.
type Option func(r *Runner)

// WithBudget sets the retry budget.
func WithBudget(b *retry.Budget) Option {
	return func(r *Runner) { r.budget = b }
}

// WithOnServerFailed sets a function to call with the server that caused an attempt to fail, if it
// is known.
func WithOnServerFailed(f func(id slatebridge.ServerID, err error)) Option {
	return func(r *Runner) { r.onServerFailed = f }
}

// WithFixedTimeouts replaces the adaptive timeouts by fixed ones. It is the baseline that the
// adaptive timeouts are compared with.
func WithFixedTimeouts(first, gap time.Duration) Option {
	return func(r *Runner) {
		r.firstFrameTimeout = &TimeoutEstimator{InitialTimeout: first, MinTimeout: first, MaxTimeout: first}
		r.frameGapTimeout = &TimeoutEstimator{InitialTimeout: gap, MinTimeout: gap, MaxTimeout: gap}
	}
}

// WithoutResume ends a request that has delivered tokens when its attempt fails. It is the baseline
// that resuming is compared with.
func WithoutResume() Option {
	return func(r *Runner) { r.resume = false }
}

// defaultRetryBounds limits the retries of one box to a share of its requests, so that retries
// cannot sustain an overload.
var defaultRetryBounds = retry.Bounds{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}

// budgetName is the name under which the streams of a box share a single retry budget.
const budgetName = "streams"

// NewRunner returns a Runner that opens attempts on the engines.
func NewRunner(engines engine.Client, logger *zap.Logger, opts ...Option) *Runner {
	r := &Runner{
		engines:           engines,
		logger:            logger,
		firstFrameTimeout: &TimeoutEstimator{InitialTimeout: firstFrameInitialTimeout, MinTimeout: firstFrameMinTimeout, MaxTimeout: firstFrameMaxTimeout},
		frameGapTimeout:   &TimeoutEstimator{InitialTimeout: frameGapInitialTimeout, MinTimeout: frameGapMinTimeout, MaxTimeout: frameGapMaxTimeout},
		budget:            retry.New(defaultRetryBounds),
		resume:            true,
		onServerFailed:    func(slatebridge.ServerID, error) {},
	}
	for _, opt := range opts {
		opt(r)
	}

	return r
}

// Request is a request to a model service.
type Request struct {
	// AttemptTemplate is the request that opens a stream. The Runner sends it for each attempt,
	// with Attempt, Pipeline and DeliveredTokens set for that attempt.
	AttemptTemplate engine.StreamRequest
	// Layers is the number of layers of the model.
	Layers         int
	SelectPipeline SelectPipelineFunc
	Emit           EmitFunc
}

// Summary describes a request that has ended.
type Summary struct {
	Tokens   int
	Attempts int
}

// Run runs the request until its answer is complete. Every error is a *result.Error.
func (r *Runner) Run(ctx context.Context, req Request) (Summary, error) {
	r.budget.RecordRequest(budgetName, clock.Now())
	rr := &requestRun{runner: r, req: req, excluded: make(ExcludedServers)}
	err := rr.run(ctx)

	return Summary{Tokens: len(rr.delivered), Attempts: rr.attempt}, err
}

// requestRun is the state of a running request. It is not safe for concurrent use.
type requestRun struct {
	runner    *Runner
	req       Request
	attempt   int
	delivered []string
	previous  slatebridge.Pipeline
	excluded  ExcludedServers
	// mayHaveRun means that an engine may have run a part of an attempt.
	mayHaveRun bool
}

func (rr *requestRun) run(ctx context.Context) error {
	for {
		pipeline, err := rr.selectPipeline(ctx)
		if err != nil {
			return err
		}
		rr.attempt++
		failure := rr.runAttempt(ctx, pipeline)
		if failure == nil {
			return nil
		}
		rr.recordFailure(pipeline, failure)
		if err := rr.checkRetry(ctx, failure); err != nil {
			return err
		}
		rr.previous = pipeline
	}
}

// selectPipeline returns the pipeline of the next attempt. If there is none, a request that has
// delivered tokens waits for one, and any other is rejected immediately.
func (rr *requestRun) selectPipeline(ctx context.Context) (slatebridge.Pipeline, error) {
	for {
		p, err := rr.req.SelectPipeline(rr.previous, rr.excluded)
		if err == nil && p.Covers(rr.req.Layers) {
			return p, nil
		}
		if len(rr.excluded) > 0 {
			// A server that has failed once is better than no pipeline at all.
			clear(rr.excluded)

			continue
		}
		if len(rr.delivered) == 0 {
			return nil, rr.noPipelineError(err)
		}
		select {
		case <-ctx.Done():
			return nil, result.New(result.DeadlineExceeded, "no pipeline to go on with after %d tokens", len(rr.delivered))
		case <-time.After(selectRetryInterval):
		}
	}
}

// noPipelineError rejects a request for which no pipeline could be used.
func (rr *requestRun) noPipelineError(err error) error {
	rejection := result.New(result.NoPipeline, "%v", err).WithRetryAfter(noPipelineRetryAfter)
	if rr.mayHaveRun {
		return rejection.WithExecution(result.MayHaveExecuted)
	}

	return rejection
}

// attemptError is the reason why an attempt ended before its final frame.
type attemptError struct {
	cause error
	// server is the server that caused the failure, or empty if it is not known.
	server slatebridge.ServerID
	// callerGone means that the token could not be delivered to the caller.
	callerGone bool
}

func (e *attemptError) Error() string {
	return e.cause.Error()
}

func (rr *requestRun) runAttempt(ctx context.Context, p slatebridge.Pipeline) *attemptError {
	req := rr.req.AttemptTemplate
	req.Attempt = rr.attempt
	req.Pipeline = p
	req.DeliveredTokens = rr.delivered
	watch := newWatchdog(ctx, rr.runner.firstFrameTimeout.Timeout())
	defer watch.stop()
	started := clock.Now()
	frames, err := rr.runner.engines.OpenStream(watch.ctx, req)
	if err != nil {
		rr.mayHaveRun = rr.mayHaveRun || !errors.Is(err, engine.ErrRefused)

		return openFailure(watch.causeOf(err), p)
	}
	rr.mayHaveRun = true
	defer frames.Close()

	return rr.readFrames(frames, watch, started)
}

// openFailure attributes a failed open to the first stage, except for a timeout: the first stage
// may have been waiting for any of the others.
func openFailure(err error, p slatebridge.Pipeline) *attemptError {
	if errors.Is(err, errFrameTimeout) {
		return &attemptError{cause: err}
	}

	return &attemptError{cause: err, server: p[0].Server}
}

func (rr *requestRun) readFrames(frames *engine.FrameStream, watch *watchdog, last time.Time) *attemptError {
	timeout := rr.runner.firstFrameTimeout
	for {
		f, err := frames.Next()
		if err != nil {
			return &attemptError{cause: watch.causeOf(err)}
		}
		done, failure := rr.handleFrame(f)
		if done || failure != nil {
			return failure
		}
		now := clock.Now()
		timeout.Observe(now.Sub(last))
		last = now
		timeout = rr.runner.frameGapTimeout
		watch.reset(timeout.Timeout())
	}
}

// handleFrame validates one frame and delivers its token.
func (rr *requestRun) handleFrame(f engine.Frame) (done bool, failure *attemptError) {
	if f.Failure != "" {
		return false, &attemptError{cause: errors.Newf("engine: %s", f.Failure), server: f.FailedServer}
	}
	if err := rr.validateFrame(f); err != nil {
		event.Log(rr.runner.logger, event.FrameRefused, zap.String("stream", rr.req.AttemptTemplate.StreamID), event.Error(err))

		return false, &attemptError{cause: err}
	}
	if f.Final {
		return true, nil
	}
	if err := rr.req.Emit(f.Token); err != nil {
		return false, &attemptError{cause: err, callerGone: true}
	}
	rr.delivered = append(rr.delivered, f.Token)

	return false, nil
}

// validateFrame rejects a frame that is not the next one of this attempt, or whose token has not
// passed every layer exactly once and in order.
func (rr *requestRun) validateFrame(f engine.Frame) error {
	switch {
	case f.Attempt != rr.attempt:
		return errors.Newf("frame of attempt %d in attempt %d", f.Attempt, rr.attempt)
	case f.Index != len(rr.delivered):
		return errors.Newf("frame %d where %d was due", f.Index, len(rr.delivered))
	case !f.Final && !slatebridge.CoversExactly(f.ExecutedLayers, rr.req.Layers):
		return errors.Newf("token %d has passed the layers %v of %d", f.Index, f.ExecutedLayers, rr.req.Layers)
	default:
		return nil
	}
}

func (rr *requestRun) recordFailure(p slatebridge.Pipeline, failure *attemptError) {
	event.Log(rr.runner.logger, event.AttemptFailed,
		zap.String("stream", rr.req.AttemptTemplate.StreamID),
		zap.Int("attempt", rr.attempt),
		zap.Int("tokens", len(rr.delivered)),
		zap.Stringer("pipeline", p),
		zap.String("server", string(failure.server)),
		event.Error(failure.cause))
	if failure.callerGone {
		return
	}
	if failure.server == "" {
		// Any stage may have failed, so prefer other servers for all of them.
		for _, stage := range p {
			rr.excluded[stage.Server] = true
		}

		return
	}
	rr.excluded[failure.server] = true
	rr.runner.onServerFailed(failure.server, failure.cause)
}

// checkRetry returns the final error if no further attempt may be made.
func (rr *requestRun) checkRetry(ctx context.Context, failure *attemptError) error {
	switch {
	case ctx.Err() != nil:
		return result.New(result.DeadlineExceeded, "after %d tokens: %v", len(rr.delivered), failure.cause)
	case failure.callerGone:
		// No code says that the caller has gone. This one says that the box stopped before the
		// answer was complete, and that the request may have run and may be retried.
		return result.New(result.StreamMoved, "the caller has gone: %v", failure.cause)
	case !rr.runner.resume && len(rr.delivered) > 0:
		return result.New(result.AttemptsExhausted, "%v", failure.cause)
	case rr.attempt >= MaxAttempts && !rr.mayHaveRun:
		return rr.noPipelineError(failure.cause)
	case rr.attempt >= MaxAttempts:
		return result.New(result.AttemptsExhausted, "attempt %d: %v", rr.attempt, failure.cause).WithRetryAfter(noPipelineRetryAfter)
	case !rr.runner.budget.Take(budgetName, clock.Now()):
		return result.New(result.AttemptsExhausted, "the retry budget is used up: %v", failure.cause).WithRetryAfter(noPipelineRetryAfter)
	default:
		return nil
	}
}
