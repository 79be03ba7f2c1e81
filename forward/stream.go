package forward

import (
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
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
)

const (
	// reservedOutputShare is the share of the expected output for which a request reserves memory.
	// Streams in flight are at all stages of their output, so that on average each holds its prompt
	// and half of its output. A larger share would refuse requests for which there is memory.
	reservedOutputShare = 0.5
	// noEventID is the event ID before the first event.
	noEventID int64 = -1
)

// Causes for ending an attempt of a stream early.
var (
	errStalled  = errors.New("stream made no progress")
	errEventGap = errors.New("gap in the event IDs")
)

// streamRequest is the state of one stream over its attempts.
type streamRequest struct {
	h   *Handler
	c   *inboundRequest
	ctx context.Context
	w   http.ResponseWriter
	// lastEventID is the ID of the last event written to the caller.
	lastEventID int64
	eventCount  int
	headWritten bool
	// completed is set once the response is complete.
	completed bool
	// lastEventAt is when the last event was written to the caller.
	lastEventAt     time.Time
	firstEventDelay time.Duration
	// longestPause is the longest pause between two events.
	longestPause time.Duration
	attempts     int
	// attemptsInVain counts the attempts since the last one that made progress, except withheld ones.
	attemptsInVain int
	// notRunCount counts the attempts that no server ran, except withheld ones.
	notRunCount int
	// ranOn lists the first servers of the attempts that may have run.
	ranOn []slatebridge.ServerID
	// exclude lists servers that failed this stream.
	exclude []slatebridge.ServerID
	// nextPath is the path of the next attempt if it was chosen during the previous one. In that
	// case the retry was taken from the budget when the path was chosen.
	nextPath        fleet.Path
	nextReservation *fleet.Reservation
	// budgetSettled is set if no retry has to be taken from the budget for the next attempt: it
	// was already taken, or nothing was sent that the attempt would repeat.
	budgetSettled bool
	// retryTakenAt is when the retry for the next attempt was taken; zero if it needs none.
	retryTakenAt time.Time
	// closedBy lists the servers that closed the connection during the stream.
	closedBy []slatebridge.ServerID
	// withheld counts the attempts with the fate withheld.
	withheld int
	// admitted is set once a server has accepted the request.
	admitted bool
	// preferred is set if the path of the stream uses room that others of its class leave free.
	preferred bool
	// roomKept is the last error for room that is kept for more urgent requests.
	roomKept roomKeptError
	// queuesForGrant is set once no path can be used at once and some server is rate-limited. The
	// request may then queue for a grant of such a server.
	queuesForGrant bool
}

// serveStream serves a request whose response is a stream of events.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, c *inboundRequest) {
	t := &streamRequest{h: h, c: c, ctx: ctx, w: w, lastEventID: noEventID}
	if c.LastEventID > 0 {
		t.lastEventID = c.LastEventID
	}
	t.recordOffered()
	for {
		plan, e := t.planAttempt()
		if e != nil {
			t.nextReservation.Release()
			t.fail(e)

			return
		}
		if t.runAttempt(plan) {
			t.nextReservation.Release()
			t.abortIncomplete()

			return
		}
		if e := t.prepareRetry(); e != nil {
			t.nextReservation.Release()
			t.fail(e)

			return
		}
	}
}

// abortIncomplete aborts the connection if only part of the response was written. The caller may have closed
// its own side only, and would read the end of the response as that of a complete one.
func (t *streamRequest) abortIncomplete() {
	if t.headWritten && !t.completed {
		panic(http.ErrAbortHandler)
	}
}

// attemptPlan is an attempt that is ready to be sent.
type attemptPlan struct {
	path        fleet.Path
	reservation *fleet.Reservation
	// grant is the grant for the first server of the path.
	grant Grant
	// ledgerAttempt identifies the attempt in the quarantine ledger.
	ledgerAttempt quarantine.Attempt
}

// planAttempt chooses a path for the next attempt and obtains the grant and the permission of the
// quarantine for it.
func (t *streamRequest) planAttempt() (attemptPlan, *result.Error) {
	if e := t.h.checkQuarantine(t.c); e != nil {
		return attemptPlan{}, e
	}
	plan, e := t.choosePathWithGrant()
	if e != nil {
		return attemptPlan{}, e
	}
	if plan.ledgerAttempt, e = t.h.authorizeAttempt(t.ctx, t.c, serverIDs(plan.path)); e != nil {
		plan.grant.release()
		plan.reservation.Release()
	}

	return plan, e
}

// choosePathWithGrant chooses a path and waits for a grant if its first server is rate-limited. A
// server for which no grant was obtained is passed over in the next round.
func (t *streamRequest) choosePathWithGrant() (attemptPlan, *result.Error) {
	for {
		path, reservation, e := t.awaitPath()
		if e != nil {
			return attemptPlan{}, e
		}
		grant, err := t.h.awaitGrant(t.ctx, path[0].Server, t.h.grantTimeout(t.c, t.queuesForGrant))
		if err == nil {
			return attemptPlan{path: path, reservation: reservation, grant: grant}, nil
		}
		reservation.Release()
		if t.ctx.Err() != nil {
			return attemptPlan{}, result.New(result.NoServer, "the request had no turn in time").WithRetryAfter(overload.MinRetryAfter)
		}
	}
}

// kvTokens returns the number of tokens for which the request reserves memory at the servers.
func (t *streamRequest) kvTokens() float64 {
	c := t.c
	output := c.ExpectedTokens
	if output == 0 {
		output = t.model().MeanOutputTokens
	}
	if c.MaxTokens > 0 {
		output = min(output, c.MaxTokens)
	}

	return float64(c.PromptTokens) + reservedOutputShare*float64(output)
}

func (t *streamRequest) model() *catalog.Model {
	return t.c.state.Catalog.Service(t.c.service).Model
}

// choosePath chooses a path for the next attempt, with at most the given number of claims of room.
func (t *streamRequest) choosePath(claims int) (fleet.Path, *fleet.Reservation, *result.Error) {
	reserved, trialOnly := t.h.trialState(t.c)
	if t.nextPath != nil {
		path, reservation := t.nextPath, t.nextReservation
		t.nextPath, t.nextReservation = nil, nil
		if _, eligibility := t.h.fleet.IneligibleInPath(path); !trialOnly && eligibility == fleet.Eligible {
			return path, reservation, nil
		}
		// A trial needs an isolated path, or a server of the path has stopped accepting requests
		// since.
		reservation.Release()
	}
	firstServers := t.h.allowedFirstServers(t.possiblyRunningOn(), t.c.route.MaxServers)
	query := fleet.Query{Service: t.c.service, Tokens: t.kvTokens(), Exclude: slices.Concat(t.exclude, reserved), Isolated: trialOnly, Limits: t.h.roomLimits(t.c, len(t.ranOn) > 0)}
	t.preferred = t.needsPreference(query, firstServers)
	choice := &pathChoice{requestID: t.c.ID, claims: claims, urgent: t.c.urgent()}
	path, reservation, shortage := t.h.findPathWithRoom(t.ctx, choice, query, firstServers)
	if path == nil && t.mayWaitForGrant() {
		query.WaitForGrant, t.queuesForGrant = true, true
		path, reservation, shortage = t.h.findPathWithRoom(t.ctx, choice, query, firstServers)
	}
	if path == nil {
		e := t.h.noPathError(t.c, shortage)
		if shortage == fleet.RoomKept {
			t.roomKept = roomKeptError{err: e, limits: query.Limits}
		}

		return nil, nil, e
	}

	return path, reservation, nil
}

// mayWaitForGrant reports whether the stream may wait for a grant for a rate-limited server if no
// other path is left: once before its first event, and any number of times after it.
func (t *streamRequest) mayWaitForGrant() bool {
	_, limited := t.h.fleet.GrantDelay(t.c.service)

	return limited && (!t.queuesForGrant || t.headWritten)
}

// possiblyRunningOn returns the servers that have run the stream and may still be running it. A
// server that closed the connection during the stream and refuses new ones has ended; a leaving
// server refuses new connections as well but completes its streams.
//
// Scenario: a server crashes, and 0.3 s later the one that its streams moved to. Neither is
// confirmed as ended within the time that callers wait.
func (t *streamRequest) possiblyRunningOn() []slatebridge.ServerID {
	return slices.DeleteFunc(slices.Clone(t.ranOn), func(id slatebridge.ServerID) bool {
		refusing, _ := t.h.monitor.failureState(id)

		return refusing && slices.Contains(t.closedBy, id)
	})
}

// allowedFirstServers returns the servers at which another attempt of a request may begin if it may
// run on at most maxRuns servers and has run on ranOn; nil stands for any server. Servers that are
// confirmed as ended do not count. A server without an entry does count, as it may still be
// serving.
func (h *Handler) allowedFirstServers(ranOn []slatebridge.ServerID, maxRuns int) []slatebridge.ServerID {
	var counted []slatebridge.ServerID
	for _, id := range ranOn {
		if !h.confirmedEnded(id) {
			counted = append(counted, id)
		}
	}
	if len(counted) < maxRuns {
		return nil
	}

	return counted
}

// healthyWindow is how long this process must have run without a stall before a server's silence
// counts as the server's own fault.
const healthyWindow = 2 * time.Second

// confirmedEnded reports whether a server has ended or is cut off. Silence alone is not enough, as
// this process may be the slow one, and the request would then run on more servers than it may.
func (h *Handler) confirmedEnded(id slatebridge.ServerID) bool {
	if h.fleet.IsRetired(id) {
		return true
	}
	refusing, silent := h.monitor.failureState(id)
	since := clock.Now().Add(-healthyWindow)
	if h.fleet.ProgressedSince(id, since) {
		// A leaving server refuses new connections but is still serving.
		return false
	}

	return refusing || (silent && h.stalledAt.Load() < since.UnixNano())
}

// runAttempt makes one attempt and reports whether the request is finished.
func (t *streamRequest) runAttempt(plan attemptPlan) bool {
	path := plan.path
	t.countAttempt(path)
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	a := t.h.monitor.add(&streamAttempt{
		requestID: t.c.ID, service: t.c.service, path: path, reservation: plan.reservation, kvTokens: t.kvTokens(), cancel: cancel,
		ranOn: append(slices.Clone(t.ranOn), path[0].Server.ID), maxRuns: t.c.route.MaxServers, jitter: t.h.jitter(),
		limits: silenceLimitsFor(t.c.route), meanGap: t.h.medianGap(t.c.service), gapFactor: t.h.gapFactor(t.c.service),
		eventsBefore: t.eventCount, pauseFrom: t.lastEventAt, mustNotReplace: t.progress().MustNotReplace(), request: t.c, ledgerAttempt: plan.ledgerAttempt,
	})
	defer func() { t.nextPath, t.nextReservation = t.h.monitor.remove(a) }()
	var end attemptEnd
	defer func() { t.h.recordStreamEnd(t.ctx, t.c, a, end) }()
	first := path[0].Server
	event.Log(t.h.logger, event.StreamSent, zap.String("request", t.c.ID), zap.Int("attempt", t.attempts), zap.Stringer("path", path),
		zap.Strings("parts", t.c.PromptParts))
	r := t.h.send(ctx, t.c, Attempt{
		Server: first, Path: path, Grant: plan.grant, Timeout: clock.Until(t.c.deadline), Account: t.c.account, LastEventID: max(0, t.lastEventID),
		Priority: t.c.priority, Prioritized: t.c.prioritized,
	})
	t.recordSent(r.fate)
	if r.fate != answered {
		if end.unsent = r.fate == unsent || r.fate == withheld; r.fate == mayHaveRun {
			end.err = r.err
		}

		return t.handleNoResponse(ctx, path, r)
	}
	defer func() { _ = r.resp.Body.Close() }()
	t.recordRoomFound()
	t.recordAdmitted()
	t.recordRan(first.ID)
	t.h.fleet.RecordAcceptance(serverIDs(path)...)
	if r.resp.StatusCode != http.StatusOK {
		return t.relayErrorResponse(first, r)
	}
	err := t.relayEvents(a, r)
	if errors.Is(err, io.EOF) && t.endedEarly(a, r) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		end.complete = true
		t.complete(r.resp)

		return true
	}
	end.err = err
	if connectionClosed(err) {
		t.closedBy = append(t.closedBy, first.ID)
	}
	t.recordBrokenStream(ctx, path, r, err)

	return callerGone(t.ctx)
}

// countAttempt counts an attempt that is about to be sent.
func (t *streamRequest) countAttempt(path fleet.Path) {
	t.attempts++
	t.attemptsInVain++
	t.c.tried = append(t.c.tried, path.String())
}

// recordSent records what became of sending an attempt. One that was sent has used its retry.
func (t *streamRequest) recordSent(f fate) {
	t.h.metrics.attemptDone(t.c, f)
	if f != withheld {
		t.retryTakenAt = time.Time{}
	}
}

// endedEarly reports whether a stream that ended between two events was broken off nevertheless. That of
// an answer with neither a length nor chunks looks the same as its end: it has broken off if it had no
// event although the caller has none, or if its server is known to have ended.
func (t *streamRequest) endedEarly(a *streamAttempt, r attemptResult) bool {
	if r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0 {
		return false
	}
	path, _ := a.current()

	return (t.eventCount == 0 && t.c.LastEventID == 0) || t.h.confirmedEnded(path[0].Server.ID)
}

func (t *streamRequest) recordRan(id slatebridge.ServerID) {
	if !slices.Contains(t.ranOn, id) {
		t.ranOn = append(t.ranOn, id)
	}
}

// fail ends a request without a complete response. If part of the response was written, the
// connection is aborted so that the response does not appear complete, even if the caller has closed its
// own side only.
func (t *streamRequest) fail(e *result.Error) {
	t.recordRefused(e)
	switch {
	case len(t.ranOn) > 0 && errors.Is(t.ctx.Err(), context.DeadlineExceeded) && e.Code != result.DeadlineExceeded:
		e = result.New(result.DeadlineExceeded, "no whole answer within %s: %s", t.c.deadline.Sub(t.c.startedAt), e.Detail)
	case len(t.ranOn) > 0 && e.Execution == result.NotExecuted:
		e = result.New(result.AttemptsExhausted, "%s", e.Detail)
	}
	if !t.headWritten {
		t.h.refuse(t.w, t.c, t.withReturn(e))

		return
	}
	t.h.metrics.requestDone(t.c, e.Code)
	end := event.CallerLeft
	if !callerGone(t.ctx) {
		end = event.RequestBroken
		t.h.metrics.streamBroken(e.Code)
	}
	event.Log(t.h.logger, end, t.h.endLogFields(t.c, t.brokenLogFields(e, clock.Now())...)...)
	panic(http.ErrAbortHandler)
}

// brokenLogFields returns the log fields that say why the stream was not continued and what this box knows.
func (t *streamRequest) brokenLogFields(e *result.Error, now time.Time) []zap.Field {
	s := t.h.state()
	fields := []zap.Field{zap.Int("code", int(e.Code)), zap.Int("events", t.eventCount), zap.Duration("silent_ms", t.silence(now)), zap.String("why", e.Detail)}
	fields = append(fields, remainingFields(t.h.budget.Remaining(t.c.service, s.BoxCount, now))...)
	fields = append(fields, t.h.retryPool(t.c.service).logFields(now)...)
	if s.Catalog != nil {
		fields = append(fields, zap.Int64("config_now", s.Catalog.Version))
	}

	return append(fields, zap.Duration("lag_ms", t.h.load.RecentLag(now)))
}

// silence returns the time since the caller's last event, or since the request if there is none.
func (t *streamRequest) silence(now time.Time) time.Duration {
	if t.eventCount == 0 {
		return now.Sub(t.c.startedAt)
	}

	return now.Sub(t.lastEventAt)
}
