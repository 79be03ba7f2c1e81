package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// awaitPath chooses a path for the next attempt. A request that may wait searches again after each
// pause, then with one claim of room per search and with the servers that failed it allowed again.
func (t *streamRequest) awaitPath() (fleet.Path, *fleet.Reservation, *result.Error) {
	for claims := maxRoomClaims; ; claims = 1 {
		path, reservation, e := t.choosePath(claims)
		if e == nil && !t.renewRetry() {
			reservation.Release()
			path, reservation, e = nil, nil, result.New(result.AttemptsExhausted, "the budget for retries is used up")
		}
		wait := t.pathWait()
		if e == nil || !wait.MayWait() {
			return path, reservation, e
		}
		t.exclude = nil
		select {
		case <-t.ctx.Done():
			return nil, nil, e
		case <-time.After(wait.PollInterval()):
		}
	}
}

// renewRetry takes the retry for the next attempt once more if it was taken too long ago, and reports
// whether the attempt has one or needs none.
//
// Scenario: streams take their retries as servers are lost, and wait for a path until some are back. The
// budget no longer counts these retries when they are sent.
func (t *streamRequest) renewRetry() bool {
	if t.retryTakenAt.IsZero() || !overload.RetryLapsed(clock.Since(t.retryTakenAt)) {
		return true
	}
	if !t.takeRequired() {
		return false
	}
	t.retryTakenAt = clock.Now()

	return true
}

// pathWait describes the stream while it has no path.
func (t *streamRequest) pathWait() overload.PathWait {
	return overload.PathWait{
		Started: t.headWritten, Silence: t.silence(clock.Now()), Patience: callerPatience(t.c.route), HasExcluded: len(t.exclude) > 0,
	}
}

// retryWait describes the stream while it has no retry. It does not matter then which servers failed it.
func (t *streamRequest) retryWait() overload.PathWait {
	w := t.pathWait()
	w.AwaitsRetry, w.HasExcluded = len(t.ranOn) > 0, false

	return w
}

// callerPatience returns how long callers of the route wait for the next event.
func callerPatience(r *catalog.Route) time.Duration {
	return overload.CallerPatience(r.LatencyObjective, r.MaxEventInterval)
}

// progress summarizes the attempts so far.
func (t *streamRequest) progress() overload.StreamAttempts {
	return overload.StreamAttempts{
		Total: t.attempts - t.withheld, NotRun: t.notRunCount, InVain: t.attemptsInVain, MayHaveRun: len(t.ranOn) > 0,
		Started: t.headWritten, Idempotent: t.c.route.Retryable(), Expired: t.ctx.Err() != nil,
	}
}

// prepareRetry returns nil if another attempt may be made. It takes the retry from the budget,
// unless that was done when the path was chosen.
func (t *streamRequest) prepareRetry() *result.Error {
	c, progress := t.c, t.progress()
	switch progress.Decide() {
	case overload.ExpiredBeforeRun:
		return result.New(result.NoServer, "no server took the request in time").WithRetryAfter(overload.MinRetryAfter)
	case overload.ExpiredAfterRun:
		return result.New(result.DeadlineExceeded, "no whole answer within %s", c.deadline.Sub(c.startedAt))
	case overload.NotRetryable:
		return result.New(result.MayHaveRun, "the server gave no whole answer")
	case overload.Rejected:
		return result.New(result.Overloaded, "%d paths turned the request away", t.notRunCount).WithRetryAfter(overload.MinRetryAfter)
	case overload.Exhausted:
		return result.New(result.AttemptsExhausted, "%d attempts brought no whole answer", t.attempts)
	case overload.Retry:
	}
	if t.nextPath == nil {
		t.pauseBeforeRetry(progress.RetryPause(t.h.random()))
	}
	settled := t.budgetSettled || t.nextPath != nil
	if !settled && !t.awaitRetry() {
		if !progress.MayHaveRun {
			return result.New(result.Overloaded, "the budget for retries is used up").WithRetryAfter(overload.MinRetryAfter)
		}

		return result.New(result.AttemptsExhausted, "the budget for retries is used up")
	}
	if !t.budgetSettled {
		t.retryTakenAt = clock.Now()
	}
	t.budgetSettled = false
	if progress.MayHaveRun {
		t.h.metrics.streamMoved("resumed")
		event.Log(t.h.logger, event.StreamResumed, append(t.h.logFields(c), zap.Int64("after_event", t.lastEventID))...)
	}

	return nil
}

// pauseBeforeRetry waits for the time before the next attempt, or until the request ends.
func (t *streamRequest) pauseBeforeRetry(pause time.Duration) {
	if pause == 0 {
		return
	}
	select {
	case <-t.ctx.Done():
	case <-time.After(pause):
	}
}

// awaitRetry takes the retry for the next attempt from the budget, if there is one. A stream that a
// server may have run waits for a retry.
//
// Scenario: most streams of a hall began at one server. It crashes, and then the server that they
// moved to. The boxes of the hall have used up their allotments of the budget, and get larger ones
// within a second, when the other boxes have reported that they use less.
func (t *streamRequest) awaitRetry() bool {
	c := t.c
	for t.ctx.Err() == nil {
		if t.takeRequired() {
			return true
		}
		wait := t.retryWait()
		if !wait.MayWait() {
			t.h.metrics.retryDenied(c.service)

			return false
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(wait.PollInterval()):
		}
	}

	return false
}
