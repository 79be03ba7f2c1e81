package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
	"github.com/slatebridge/slatebridge/retry"
)

const (
	// maxBufferedResponse is the largest response, in bytes, that is buffered before it is relayed.
	// Larger responses are relayed as they arrive and cannot be retried.
	maxBufferedResponse = 1 << 20
	// hedgeQuantile is the quantile of a service's response times after which a second server is
	// tried: one request in twenty is hedged.
	hedgeQuantile = 0.95
	// attemptLinger is how long attempts continue after another one succeeded or the caller
	// disconnected: a rejection arrives within milliseconds and may carry a notice of the server.
	// Servers must drop work within half a second of the caller's disconnect.
	attemptLinger = 50 * time.Millisecond
	// defaultHedgeDelay is the hedge delay while no response times are known.
	defaultHedgeDelay = 100 * time.Millisecond
)

// outcome is the outcome of one attempt at a single server.
type outcome struct {
	attemptResult
	server      catalog.Server
	reservation *fleet.Reservation
	// body is the complete response body, unless remainder is set.
	body intake.Body
	// remainder is the unread part of a body that is too large to buffer, or for which there is no memory.
	remainder io.ReadCloser
	// startedAt is when the attempt started, and duration the time until its body was read or buffered.
	startedAt time.Time
	duration  time.Duration
	cancel    context.CancelFunc
	// ledgerAttempt identifies the attempt in the quarantine ledger.
	ledgerAttempt quarantine.Attempt
	// grantTimeout is how long the attempt may wait for a grant for a rate-limited server.
	grantTimeout time.Duration
}

// acceptable reports whether the response is to be relayed without waiting for other attempts.
func (o *outcome) acceptable() bool {
	return o.fate == answered && o.resp.StatusCode < http.StatusInternalServerError
}

// servePlain serves a request of which each attempt goes to a single server, not over a path: one
// for a service without a model, or one on a route whose kind is not a stream.
func (h *Handler) servePlain(ctx context.Context, w http.ResponseWriter, c *inboundRequest) {
	t := &plainRequest{h: h, c: c, ctx: ctx, results: make(chan *outcome, overload.MaxRejections+c.route.MaxServers)}
	best := t.run()
	defer t.finish(best)
	if best != nil && best.fate == answered {
		h.writeResponse(w, c, best)

		return
	}
	h.refuse(w, c, t.finalError())
}

// plainRequest is the state of one request over its attempts.
type plainRequest struct {
	h        *Handler
	c        *inboundRequest
	ctx      context.Context
	results  chan *outcome
	inFlight []*outcome
	exclude  []slatebridge.ServerID
	// notRunCount counts the attempts that no server ran: rejected, unsent and withheld ones.
	notRunCount int
	// queuesForGrant is set once no server can be used at once. The request may then queue for a
	// grant of a rate-limited one.
	queuesForGrant bool
	// mayHaveRun is set if a server may have run the request.
	mayHaveRun bool
	// attemptBroken is set if an attempt ended without a valid response after bytes of the request
	// may have reached the server.
	attemptBroken bool
	// deniedErr is set if the quarantine does not allow an attempt.
	deniedErr *result.Error
}

// run sends the request to servers until one gives an acceptable response, and returns the best
// outcome.
func (t *plainRequest) run() *outcome {
	if !t.sendNext(nil) {
		return nil
	}
	hedge := time.NewTimer(t.hedgeDelay())
	defer hedge.Stop()
	var best *outcome
	for len(t.inFlight) > 0 {
		select {
		case <-t.ctx.Done():
			return best
		case <-hedge.C:
			if t.c.route.Retryable() {
				t.tryAnother(t.takeOptional)
			}
		case o := <-t.results:
			t.attemptEnded(o)
			if o.acceptable() {
				return o
			}
			if o.fate == answered {
				best = o
			}
			switch {
			case !t.recordFate(o):
			case o.fate == withheld:
				// Nothing was sent, so another attempt costs no retry.
				t.sendNext(nil)
			default:
				t.tryAnother(t.takeRequired)
			}
		}
	}

	return best
}

// hedgeDelay returns when a second server is tried if none has responded.
func (t *plainRequest) hedgeDelay() time.Duration {
	times := t.h.responseTimes(t.c.service)
	high, n := times.Quantile(hedgeQuantile)
	if n == 0 {
		return defaultHedgeDelay
	}
	typical, _ := times.Quantile(medianQuantile)

	return overload.HedgeDelay(high, typical, t.c.route.LatencyObjective)
}

// budgetFunc takes one retry from the budget, if there is one left.
type budgetFunc func() bool

func (t *plainRequest) takeRequired() bool { return t.h.takeRetry(t.ctx, t.c.service, retry.Required) }

func (t *plainRequest) takeOptional() bool { return t.h.takeRetry(t.ctx, t.c.service, retry.Optional) }

// sendNext sends the request to one more server and reports whether it did. take takes the retry
// for it from the budget; it is nil for an attempt that needs none.
func (t *plainRequest) sendNext(take budgetFunc) bool {
	reserved, _ := t.h.trialState(t.c)
	s, reservation, ok := t.pickServer(slices.Concat(t.exclude, reserved))
	if !ok {
		return false
	}
	if take != nil && !take() {
		reservation.Release()
		t.h.metrics.retryDenied(t.c.service)

		return false
	}
	ledgerAttempt, refusal := t.h.authorizeAttempt(t.ctx, t.c, []slatebridge.ServerID{s.ID})
	if refusal != nil {
		reservation.Release()
		t.deniedErr = refusal

		return false
	}
	t.exclude = append(t.exclude, s.ID)
	t.c.plainAttempts++
	t.c.tried = append(t.c.tried, string(s.ID))
	ctx, cancel := t.lingerContext()
	o := &outcome{server: s, reservation: reservation, cancel: cancel, ledgerAttempt: ledgerAttempt, grantTimeout: t.h.grantTimeout(t.c, t.queuesForGrant)}
	t.inFlight = append(t.inFlight, o)
	go func() {
		t.runAttempt(ctx, o)
		t.results <- o
	}()

	return true
}

// lingerContext returns the context of an attempt, which outlives its request by attemptLinger.
//
// Otherwise the response of a canceled hedge would be lost, and a server that asks for a cooldown
// in it would still receive requests.
func (t *plainRequest) lingerContext() (context.Context, context.CancelFunc) {
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(t.ctx), t.c.deadline)
	context.AfterFunc(t.ctx, func() { time.AfterFunc(attemptLinger, cancel) })

	return ctx, cancel
}

// tryAnother sends the request to one more server if the limits on attempts and the retry budget
// allow it.
func (t *plainRequest) tryAnother(take budgetFunc) {
	if (overload.PlainAttempts{Total: t.c.plainAttempts, NotRun: t.notRunCount, MaxRuns: t.c.route.MaxServers}).MayRetry() {
		t.sendNext(take)
	}
}

// recordFate records the fate of an attempt and reports whether another server may be tried after
// it.
func (t *plainRequest) recordFate(o *outcome) bool {
	switch o.fate {
	case unsent, notRun, withheld:
		t.notRunCount++
		if errors.Is(o.err, errNoGrant) {
			// There may be a grant for it later, once all other servers have been tried.
			t.exclude = slices.DeleteFunc(t.exclude, func(id slatebridge.ServerID) bool { return id == o.server.ID })
		}

		return true
	case mayHaveRun:
		t.mayHaveRun, t.attemptBroken = true, true
	case answered:
		t.mayHaveRun = true
	}

	return t.c.route.Retryable()
}

func (t *plainRequest) attemptEnded(o *outcome) {
	for i, v := range t.inFlight {
		if v == o {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
		}
	}
	t.h.recordOutcome(t.c, o)
	t.h.recordPlainEnd(t.ctx, t.c, o)
}

// finish records the attempts still in flight, which end soon after the request. The outcome keep
// has been relayed to the caller.
func (t *plainRequest) finish(keep *outcome) {
	for _, o := range t.inFlight {
		t.h.recordUnanswered(t.ctx, t.c, o.ledgerAttempt, []catalog.Server{o.server}, context.Canceled)
	}
	if keep != nil {
		keep.cancel()
	}
}

// finalError returns the error for a request without a response.
func (t *plainRequest) finalError() *result.Error {
	reachedServer := t.mayHaveRun || len(t.inFlight) > 0
	switch {
	case callerGone(t.ctx):
		return result.New(result.MayHaveRun, "the caller has left")
	case !reachedServer && t.deniedErr != nil:
		return t.deniedErr
	case !reachedServer && t.ctx.Err() != nil:
		return result.New(result.NoServer, "no server took the request in time").WithRetryAfter(overload.MinRetryAfter)
	case !reachedServer:
		if e := cmp.Or(t.h.cooldownError(t.c), t.h.rateLimitError(t.c)); e != nil {
			return e
		}

		return result.New(result.NoServer, "no server takes the request").WithRetryAfter(overload.MinRetryAfter)
	case t.ctx.Err() != nil, clock.Until(t.c.deadline) <= 0:
		// A server observes the same deadline, and its response may arrive before the context
		// expires.
		return result.New(result.DeadlineExceeded, "no answer within %s", t.c.deadline.Sub(t.c.startedAt))
	case t.attemptBroken:
		return result.New(result.BrokenAnswer, "the answer broke off or was not one to this request")
	default:
		return result.New(result.AttemptsExhausted, "no server answered")
	}
}

// runAttempt makes one attempt and reads the response. It does not wait for a grant once the
// request is over.
func (t *plainRequest) runAttempt(ctx context.Context, o *outcome) {
	h, c := t.h, t.c
	o.startedAt = clock.Now()
	defer func() { o.duration = clock.Since(o.startedAt) }()
	defer func() {
		if o.remainder == nil {
			o.reservation.Release()

			return
		}
		// The place of an answer that is still being sent is taken until its end, or that of the attempt if
		// another answer is relayed.
		context.AfterFunc(ctx, o.reservation.Release)
	}()
	grant, err := h.awaitGrant(t.ctx, o.server, o.grantTimeout)
	if err != nil {
		o.attemptResult = attemptResult{fate: withheld, err: err}

		return
	}
	o.attemptResult = h.send(ctx, c, Attempt{Server: o.server, Grant: grant, Timeout: clock.Until(c.deadline), Account: c.account, Priority: c.priority, Prioritized: c.prioritized})
	if o.fate != answered {
		return
	}
	if err := o.readBody(c.hold); err != nil {
		o.attemptResult = attemptResult{fate: mayHaveRun, err: errors.Wrap(err, "response truncated")}
	}
}

// readBody reads the response body, as much of it as is buffered.
func (o *outcome) readBody(h *intake.Hold) error {
	body, whole, err := intake.ReadPrefix(o.resp.Body, maxBufferedResponse, h)
	o.body = body
	if err == nil && !whole {
		o.remainder = o.resp.Body

		return nil
	}
	_ = o.resp.Body.Close()

	return err
}

// recordOutcome reports the outcome to the fleet and logs a failed attempt.
func (h *Handler) recordOutcome(c *inboundRequest, o *outcome) {
	h.metrics.attemptDone(c, o.fate)
	if o.acceptable() {
		h.recordAlive(o.server.ID)
		h.fleet.RecordAcceptance(o.server.ID)
		if o.remainder == nil {
			h.responseTimes(c.service).Record(o.duration)
			h.fleet.RecordResponse(o.server.ID, true, o.duration)
		}

		return
	}
	if o.fate == answered {
		h.recordAlive(o.server.ID)
		h.fleet.RecordAcceptance(o.server.ID)
	}
	if o.fate == withheld || (o.fate == mayHaveRun && errors.Is(o.err, context.Canceled)) {
		return
	}
	if o.head.Notice.Cooldown > 0 {
		// The server is not used during its cooldown; asking for one does not count as a failure.
		h.logFailedAttempt(c, o.server, o.attemptResult)

		return
	}
	h.fleet.RecordResponse(o.server.ID, false, o.duration)
	switch o.fate {
	case notRun:
		if o.head.wrongServer() {
			h.fleet.RecordAddressConflict(o.server.ID)
		} else {
			h.recordAlive(o.server.ID)
			h.fleet.RecordRejection(o.server.ID)
		}
	case unsent:
		h.fleet.Suspect(o.server.ID, clock.Now().Add(unreachableBackoff))
	default:
	}
	h.logFailedAttempt(c, o.server, o.attemptResult)
}

// unreachableBackoff is how long this box does not use a server after a failed connection attempt.
const unreachableBackoff = 500 * time.Millisecond

// logFailedAttempt logs an attempt that failed. The given fields follow the ID of the request.
func (h *Handler) logFailedAttempt(c *inboundRequest, s catalog.Server, r attemptResult, first ...zap.Field) {
	fields := append(slices.Insert(h.logFields(c), 1, first...), zap.String("server", string(s.ID)), zap.Stringer("same", c.fingerprint()),
		zap.String("path", lastTried(c.tried)),
		zap.Stringer("fate", r.fate), zap.Int("status", r.head.Status), event.Error(r.err))
	if r.head.FaultAddress != "" {
		fields = append(fields, zap.String("fault", r.head.FaultAddress))
	}
	if len(c.PromptParts) > 0 {
		fields = append(fields, zap.Strings("parts", c.PromptParts))
	}
	event.Log(h.logger, event.AttemptEnded, append(fields, noticeFields(r.head.Notice)...)...)
}

// noticeFields returns the log fields for a server's notice.
func noticeFields(n fleet.Notice) []zap.Field {
	var fields []zap.Field
	if n.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if n.Cooldown > 0 {
		fields = append(fields, zap.Duration("rest_ms", n.Cooldown))
	}
	if n.InvalidCooldown != "" {
		fields = append(fields, zap.String("unreadable", n.InvalidCooldown))
	}
	if n.Limited {
		fields = append(fields, zap.Float64("limit", n.Limit))
	}

	return fields
}

func lastTried(tried []string) string {
	if len(tried) == 0 {
		return ""
	}

	return tried[len(tried)-1]
}

// writeResponse writes a server's response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, c *inboundRequest, o *outcome) {
	copyHeaders(w, o.resp)
	if o.remainder == nil && c.method != http.MethodHead {
		setContentLength(w, o.body.Size())
	}
	w.WriteHeader(o.resp.StatusCode)
	err := h.writeBody(w, c, o)
	h.metrics.requestDone(c, result.OK)
	event.Log(h.logger, event.RequestAnswered, append(h.finalLogFields(c), zap.Int("status", o.resp.StatusCode), event.Error(err))...)
	if err != nil {
		// The response is incomplete, and the caller must be able to tell.
		panic(http.ErrAbortHandler)
	}
}
