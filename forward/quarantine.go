package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
)

const (
	// unansweredTTL is how long after its end an unanswered attempt can be blamed for the crash of
	// one of its servers. A crash is detected by a query within milliseconds, or when the next
	// connection to the server is refused, unless it has restarted by then.
	unansweredTTL = 3 * time.Second
	// maxUnanswered bounds the number of remembered attempts.
	maxUnanswered = 1024
	// crashCheckTimeout is how long a request without previous crashes waits for the check whether
	// its server has crashed: the host of a crashed server refuses connections within a
	// millisecond. Without the wait, each poison request would crash one more server.
	crashCheckTimeout = 10 * time.Millisecond
	// trialRetryAfter is the retry delay for a caller whose quarantined request cannot be tried
	// now: it is being tried for another caller, would run beside too many other requests, or could
	// not be claimed. Most trials end sooner, as most streams do.
	trialRetryAfter = 3 * time.Second
)

// unansweredAttempt is an attempt that ended without a response, or that a stream left for another
// path.
type unansweredAttempt struct {
	subject       quarantine.Subject
	ledgerAttempt quarantine.Attempt
	servers       []slatebridge.ServerID
	endedAt       time.Time
	// parts are the IDs of the shared prompt parts, for the log.
	parts []string
	// requestDone is set once the caller has its final response.
	requestDone *atomic.Bool
}

// newUnanswered describes an attempt of the request that has ended now.
func newUnanswered(c *inboundRequest, attempt quarantine.Attempt, servers []slatebridge.ServerID) unansweredAttempt {
	return unansweredAttempt{
		subject: c.subject(), ledgerAttempt: attempt, servers: servers, endedAt: clock.Now(), parts: c.sharedParts(), requestDone: c.done,
	}
}

// unansweredAttempts holds the recent attempts without a response.
type unansweredAttempts struct {
	mu   sync.Mutex
	list []unansweredAttempt
}

func (u *unansweredAttempts) add(v unansweredAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = slices.DeleteFunc(u.list, func(old unansweredAttempt) bool { return v.endedAt.Sub(old.endedAt) > unansweredTTL })
	if len(u.list) < maxUnanswered {
		u.list = append(u.list, v)
	}
}

// sentTo returns the recent attempts that used the server.
func (u *unansweredAttempts) sentTo(id slatebridge.ServerID, now time.Time) []unansweredAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	var attempts []unansweredAttempt
	for _, v := range u.list {
		if now.Sub(v.endedAt) <= unansweredTTL && slices.Contains(v.servers, id) {
			attempts = append(attempts, v)
		}
	}

	return attempts
}

// Ledger returns the quarantine ledger, which all boxes share.
func (h *Handler) Ledger() *quarantine.Ledger { return h.ledger }

// checkQuarantine refuses a request that may not be sent to any server. A poison request would
// crash all servers one by one, since its caller retries.
func (h *Handler) checkQuarantine(c *inboundRequest) *result.Error {
	if h.ledger.Empty() {
		return nil
	}

	return quarantineError(h.ledger.Decide(c.subject(), clock.Now()))
}

// quarantineError returns the error for a request that may not be sent; nil if it may.
func quarantineError(d quarantine.Decision) *result.Error {
	switch {
	case d.Verdict == quarantine.Held && d.Blamed.IsPart():
		// Without a retry delay: a retry would only crash another server.
		return result.New(result.PartHeldBack, "servers have ended each time they began to answer a request with a part of this prompt")
	case d.Verdict == quarantine.Held:
		return result.New(result.HeldBack, "servers have ended each time they began to run this request")
	case d.Verdict == quarantine.TrialRunning:
		return result.New(result.OnTrial, "servers have ended under this request, and it is being tried once more").WithRetryAfter(trialRetryAfter)
	default:
		return nil
	}
}

// authorizeAttempt authorizes an attempt at the servers, or returns the error for the caller. A
// request that may be sent only as a trial must first be claimed as one (TrialFunc).
func (h *Handler) authorizeAttempt(ctx context.Context, c *inboundRequest, servers []slatebridge.ServerID) (quarantine.Attempt, *result.Error) {
	attempt := quarantine.Attempt{ID: rand.Uint32(), StartedAt: clock.Now()}
	if h.ledger.Empty() {
		return attempt, nil
	}
	d := h.ledger.Decide(c.subject(), attempt.StartedAt)
	attempt.CrashStreak, attempt.Suspected = d.CrashStreak, d.Suspected
	if d.Verdict != quarantine.TrialOnly {
		return attempt, quarantineError(d)
	}
	// The request itself is counted at its first server.
	if others := h.fleet.DirectRequests(servers[0]) - 1; !d.TrialAllowed(others, h.ledger.SinceLastCrash(d.Blamed, attempt.StartedAt)) {
		return attempt, result.New(result.OnTrial, "servers have just ended under this request, and it would be tried beside %.0f others", others).WithRetryAfter(trialRetryAfter)
	}
	trial := quarantine.Trial{ID: rand.Uint32() | 1}
	for _, id := range servers {
		trial.Servers = append(trial.Servers, fleet.ShortID(id))
	}
	if err := h.requestTrial(ctx, c.subject(), d.Blamed, trial); err != nil {
		event.Log(h.logger, event.TrialRefused, append(c.blamedFields(d.Blamed), zap.String("request", c.ID), event.Error(err))...)
		if d = h.ledger.Decide(c.subject(), clock.Now()); d.Verdict != quarantine.TrialOnly {
			return attempt, quarantineError(d)
		}

		return attempt, result.New(result.OnTrial, "servers have ended under this request, and the boxes could not agree to try it").WithRetryAfter(trialRetryAfter)
	}
	attempt.TrialID, attempt.TrialOf, attempt.StartedAt = trial.ID, d.Blamed, clock.Now()
	event.Log(h.logger, event.TrialBegun, append(c.blamedFields(d.Blamed), zap.String("request", c.ID),
		zap.Int("row", d.BlamedStreak), zap.String("server", string(servers[0])))...)

	return attempt, nil
}

// recordRequestDone records that the caller has its final response. RecordFailure has no effect
// after RecordSuccess, so that only a request that did not succeed is reported to the other boxes:
// its caller may send it to one of them.
func (h *Handler) recordRequestDone(c *inboundRequest) {
	c.done.Store(true)
	if !h.ledger.Empty() {
		h.ledger.RecordFailureOf(c.subject(), clock.Now())
	}
}

// trialState reports whether the quarantine restricts the request, so that it may be sent as a
// trial at most. If so, it also returns the servers that are reserved for trials.
func (h *Handler) trialState(c *inboundRequest) (reserved []slatebridge.ServerID, trialOnly bool) {
	if h.ledger.Empty() {
		return nil, false
	}
	now := clock.Now()
	if h.ledger.Decide(c.subject(), now).Verdict == quarantine.Allowed {
		return nil, false
	}

	return h.fleet.ResolveShortIDs(h.ledger.TrialServers(now)), true
}

// recordUnanswered records that an attempt ended without a response, with the given error, and
// finds out whether one of its servers has crashed.
func (h *Handler) recordUnanswered(ctx context.Context, c *inboundRequest, ledgerAttempt quarantine.Attempt, servers []catalog.Server, err error) {
	ids := make([]slatebridge.ServerID, 0, len(servers))
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	u := newUnanswered(c, ledgerAttempt, ids)
	h.unanswered.add(u)
	ended := false
	for _, id := range u.servers {
		if h.endedOrRefusing(id) {
			h.recordCrash(u, id)
			ended = true
		}
	}
	if !ended && connectionClosed(err) {
		h.awaitCrashCheck(context.WithoutCancel(ctx), servers[0], u)
	}
	if ledgerAttempt.TrialID != 0 {
		h.ledger.FinishTrial(ledgerAttempt.TrialOf, ledgerAttempt.TrialID, clock.Now())
	}
}

// awaitCrashCheck queries a server to find out whether it has crashed, and waits for the result,
// which decides how the request proceeds. Requests that are not suspected wait for crashCheckTimeout
// at most.
func (h *Handler) awaitCrashCheck(ctx context.Context, s catalog.Server, u unansweredAttempt) {
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if q := h.queryAfter(ctx, s, u.endedAt); connectionClosed(q.err) {
			// This connection was closed as well: the host of a crashed server may still accept one
			// connection and then refuses the next.
			h.queryAfter(ctx, s, clock.Now())
		}
	}()
	if u.ledgerAttempt.Suspected {
		<-checked

		return
	}
	select {
	case <-checked:
	case <-time.After(crashCheckTimeout):
	}
}

// connectionClosed reports whether an attempt failed because its connection was closed, as happens
// when the server ends. Behind a failed link, or if the server hangs, the connection stays open.
func connectionClosed(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// endedOrRefusing reports whether a server's incarnation has ended or refuses connections.
func (h *Handler) endedOrRefusing(id slatebridge.ServerID) bool {
	refusing, _ := h.monitor.failureState(id)

	return refusing || h.fleet.IsRetired(id)
}

// handleServerEnd handles the detected end of a server, or its refusal of connections: any request
// in flight there may have caused it. A leaving server ends by itself.
func (h *Handler) handleServerEnd(s catalog.Server, reason string) {
	streams, unstarted := h.monitor.countStreams(s.ID)
	event.Log(h.logger, event.ServerEnded, zap.String("server", string(s.ID)), zap.String("why", reason),
		zap.Int("streams", streams), zap.Int("unstarted", unstarted))
	if entry, ok := h.fleet.Server(s.ID); ok {
		s = entry
	}
	if s.Leaving || s.EntryInvalid {
		return
	}
	detectedAt := clock.Now()
	for _, a := range h.monitor.all() {
		if path, ledgerAttempt := a.current(); path.Contains(s.ID) {
			h.recordCrash(newUnanswered(a.request, ledgerAttempt, nil), s.ID)
		}
	}
	for _, u := range h.unanswered.sentTo(s.ID, detectedAt) {
		h.recordCrash(u, s.ID)
	}
}

func (h *Handler) recordCrash(u unansweredAttempt, id slatebridge.ServerID) {
	if s, ok := h.fleet.Server(id); ok && (s.Leaving || s.EntryInvalid) {
		return
	}
	findings := h.ledger.RecordCrashUnder(u.subject, u.ledgerAttempt, id, clock.Now())
	if len(findings) == 0 {
		return
	}
	if u.requestDone.Load() {
		h.ledger.RecordFailureOf(u.subject, clock.Now())
	}
	for _, finding := range findings {
		h.logEndedAgain(u, id, finding)
	}
}

// logEndedAgain logs a crash that is not the first one under a request or a prompt part.
func (h *Handler) logEndedAgain(u unansweredAttempt, id slatebridge.ServerID, finding quarantine.CrashFinding) {
	if finding.CrashStreak <= 1 || (!finding.Blamed.IsPart() && u.ledgerAttempt.CrashStreak == 0) {
		return
	}
	d := h.ledger.Decide(u.subject, clock.Now())
	fields := []zap.Field{
		zap.Stringer("same", finding.Blamed), zap.String("server", string(id)), zap.Int("row", finding.CrashStreak),
		zap.Bool("trial", u.ledgerAttempt.TrialID != 0), zap.Stringer("verdict", d.Verdict),
	}
	if i := slices.Index(u.subject.Parts, finding.Blamed); i >= 0 {
		fields = append(fields, zap.String("part", u.parts[i]))
	}
	event.Log(h.logger, event.EndedAgain, fields...)
}

// serverIDs returns the IDs of the servers of the path.
func serverIDs(p fleet.Path) []slatebridge.ServerID {
	ids := make([]slatebridge.ServerID, 0, len(p))
	for _, s := range p {
		ids = append(ids, s.Server.ID)
	}

	return ids
}

// serverEntries returns the entries of the servers of the path.
func serverEntries(p fleet.Path) []catalog.Server {
	servers := make([]catalog.Server, 0, len(p))
	for _, s := range p {
		servers = append(servers, s.Server)
	}

	return servers
}

// attemptEnd describes the end of an attempt of a stream: complete, or with an error after which it
// may have run. If neither is set, it did not run or the server responded with an error status;
// unsent means that it reached no server.
type attemptEnd struct {
	complete bool
	err      error
	unsent   bool
}

// recordStreamEnd records the end of an attempt of a stream in the quarantine ledger.
func (h *Handler) recordStreamEnd(ctx context.Context, c *inboundRequest, a *streamAttempt, end attemptEnd) {
	path, ledgerAttempt := a.current()
	switch {
	case end.complete:
		h.ledger.RecordSuccessOf(c.subject(), clock.Now())
	case end.err != nil:
		h.recordUnanswered(ctx, c, ledgerAttempt, serverEntries(path), end.err)
	case ledgerAttempt.TrialID != 0 && end.unsent:
		h.ledger.CancelTrial(ledgerAttempt.TrialOf, ledgerAttempt.TrialID, clock.Now())
	case ledgerAttempt.TrialID != 0:
		h.ledger.FinishTrial(ledgerAttempt.TrialOf, ledgerAttempt.TrialID, clock.Now())
	}
}

// recordPlainEnd does the same for an attempt at a single server. Only a successful response shows
// that the request is harmless, as a server that returns an error may not have begun to run it.
func (h *Handler) recordPlainEnd(ctx context.Context, c *inboundRequest, o *outcome) {
	switch {
	case o.fate == mayHaveRun:
		h.recordUnanswered(ctx, c, o.ledgerAttempt, []catalog.Server{o.server}, o.err)
	case o.fate == answered && o.remainder == nil && o.resp.StatusCode < http.StatusMultipleChoices:
		h.ledger.RecordSuccessOf(c.subject(), clock.Now())
	case o.ledgerAttempt.TrialID != 0 && (o.fate == unsent || o.fate == withheld):
		h.ledger.CancelTrial(o.ledgerAttempt.TrialOf, o.ledgerAttempt.TrialID, clock.Now())
	case o.ledgerAttempt.TrialID != 0:
		h.ledger.FinishTrial(o.ledgerAttempt.TrialOf, o.ledgerAttempt.TrialID, clock.Now())
	}
}
