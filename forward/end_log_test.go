package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap/zaptest/observer"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/result"
)

// breakStream ends the stream without its last part, and returns the log line of its end.
func (f *roomFixture) breakStream(t *testing.T, s *streamRequest, want event.ID, e *result.Error) observer.LoggedEntry {
	t.Helper()
	s.headWritten = true
	func() {
		defer func() {
			if got, _ := recover().(error); !errors.Is(got, http.ErrAbortHandler) {
				t.Errorf("the connection is not aborted: %v", got)
			}
		}()
		s.fail(e)
	}()

	return f.lastLine(t, want)
}

// lastLine returns the last log line, which has to be of the event.
func (f *roomFixture) lastLine(t *testing.T, id event.ID) observer.LoggedEntry {
	t.Helper()
	lines := f.logs.All()
	if len(lines) == 0 || lines[len(lines)-1].ContextMap()["event"] != int64(id) {
		t.Fatalf("the last of %d lines is not of event %d", len(lines), id)
	}

	return lines[len(lines)-1]
}

// wantFields fails the test unless the line begins with the fields.
func wantFields(t *testing.T, l observer.LoggedEntry, want ...string) {
	t.Helper()
	var got []string
	for _, f := range l.Context[:min(len(l.Context), len(want))] {
		got = append(got, f.Key)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// wantValues fails the test unless the line has the fields with these values.
func wantValues(t *testing.T, l observer.LoggedEntry, want map[string]any) {
	t.Helper()
	got := make(map[string]any)
	for key := range want {
		if v, ok := l.ContextMap()[key]; ok {
			got[key] = v
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestLineOfBrokenStream guards against lines that are cut before they say why a stream was broken off,
// and checks that they say what the box knew of the retry budget, of the configuration and of its own lag.
func TestLineOfBrokenStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(0)
		f.handler.retryPool = func(string) RetryPool {
			return RetryPool{Grantor: "b7", Answer: "refused", AnsweredAt: time.Now().Add(-30 * time.Millisecond)}
		}
		s := f.stream(0, 50)
		begunWith := *f.catalog
		begunWith.Version = 7
		s.c.ID, s.c.state.Catalog, s.c.tried = "r1", &begunWith, []string{"s"}
		f.handler.Load().Observe(70*time.Millisecond, time.Now())
		time.Sleep(5 * time.Second)
		f.handler.Load().Observe(20*time.Millisecond, time.Now())
		s.eventCount, s.lastEventAt = 3, time.Now().Add(-1600*time.Millisecond)
		f.handler.RetryBudget().RecordGrant("llm", time.Now())
		l := f.breakStream(t, s, event.RequestBroken, result.New(result.AttemptsExhausted, "the budget for retries is used up"))
		wantFields(t, l, "event", "request", "code", "events", "silent_ms", "why", "own_retries", "all_retries", "grantor_lost", "grantor", "pool", "pool_age_ms", "config_now", "lag_ms",
			"took_ms", "config", "config_age_ms", "config_by", "route", "kind", "service", "account", "attempts", "tried")
		wantValues(t, l, map[string]any{
			"request": "r1", "code": int64(result.AttemptsExhausted), "events": int64(3), "silent_ms": 1600 * time.Millisecond, "why": "the budget for retries is used up",
			"own_retries": 18.0, "all_retries": 69.0, "grantor_lost": false, "grantor": "b7", "pool": "refused", "pool_age_ms": 30 * time.Millisecond,
			"config_now": int64(1), "config": int64(7), "lag_ms": 20 * time.Millisecond,
		})
		if n := testutil.ToFloat64(f.handler.metrics.streamsBroken.WithLabelValues("4003")); n != 1 {
			t.Errorf("%.0f streams are counted as broken off, want 1", n)
		}
	})
}

// TestStreamEndedByCallerOrDeadline checks that a stream that waits for a server is not logged as broken off
// by the box when its caller leaves, and that at its deadline the line says what was missing.
func TestStreamEndedByCallerOrDeadline(t *testing.T) {
	noRetry, tooLate := result.New(result.AttemptsExhausted, "no retry"), result.New(result.DeadlineExceeded, "no whole answer within 20s")
	atDeadline := func(ctx context.Context) (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, 0) }
	for name, v := range map[string]struct {
		end  func(ctx context.Context) (context.Context, context.CancelFunc)
		with *result.Error
		want event.ID
		code result.Code
		why  string
	}{
		"the caller left":             {context.WithCancel, noRetry, event.CallerLeft, result.AttemptsExhausted, noRetry.Detail},
		"the deadline passed":         {atDeadline, noRetry, event.RequestBroken, result.DeadlineExceeded, "no whole answer within 20s: no retry"},
		"the deadline was the reason": {atDeadline, tooLate, event.RequestBroken, result.DeadlineExceeded, tooLate.Detail},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRoomFixture(0)
				s := f.stream(0, 50)
				ctx, cancel := v.end(t.Context())
				cancel()
				s.ctx, s.ranOn, s.c.deadline = ctx, []slatebridge.ServerID{"s"}, s.c.startedAt.Add(20*time.Second)
				l := f.breakStream(t, s, v.want, v.with)
				wantValues(t, l, map[string]any{"code": int64(v.code), "why": v.why})
			})
		})
	}
}

// TestLineWithoutPool checks the line of a stream at a box that shares no retries.
func TestLineWithoutPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(0)
		s := f.stream(0, 50)
		time.Sleep(time.Second)
		l := f.breakStream(t, s, event.RequestBroken, result.New(result.NoPipeline, "some layers are on no server that can be used"))
		wantValues(t, l, map[string]any{"grantor": "", "silent_ms": time.Second})
		if _, ok := l.ContextMap()["pool"]; ok {
			t.Error("the line has an answer of a pool that was not asked")
		}
	})
}

// TestLineOfRefusedRequest guards against lines that are cut before they say why a request was refused.
func TestLineOfRefusedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(0)
		s := f.stream(0, 50)
		s.fail(result.New(result.Overloaded, noRoom))
		l := f.lastLine(t, event.RequestRefused)
		wantFields(t, l, "event", "request", "code", "ran", "why", "retry_after_ms", "took_ms", "config", "config_age_ms", "config_by", "route", "kind", "service", "account", "attempts", "tried")
		wantValues(t, l, map[string]any{"code": int64(result.Overloaded), "why": noRoom})
	})
}

// TestLineOfEndedAttempt checks that the line of an attempt that failed says who ended it.
func TestLineOfEndedAttempt(t *testing.T) {
	for name, v := range map[string]struct {
		result attemptResult
		cause  error
		want   string
	}{
		"given up":            {attemptResult{fate: mayHaveRun, err: errStalled}, errStalled, "box"},
		"not sent":            {attemptResult{fate: withheld, err: errNoGrant}, nil, "box"},
		"a gap":               {attemptResult{fate: mayHaveRun, err: errEventGap}, nil, "box"},
		"an invalid response": {attemptResult{fate: mayHaveRun, err: errInvalidResponse}, nil, "box"},
		"a caller that left":  {attemptResult{fate: mayHaveRun, err: context.Canceled}, context.Canceled, "caller"},
		"the deadline":        {attemptResult{fate: mayHaveRun, err: context.DeadlineExceeded}, context.DeadlineExceeded, "deadline"},
		"a reset":             {attemptResult{fate: mayHaveRun, err: errors.New("reset")}, nil, "server"},
		"a slow connection":   {attemptResult{fate: unsent, err: context.DeadlineExceeded}, nil, "server"},
		"a rejection":         {attemptResult{fate: notRun, err: errors.New("rejected")}, nil, "server"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRoomFixture(0)
				s := f.stream(0, 50)
				s.ctx = t.Context()
				ctx, cancel := context.WithCancelCause(t.Context())
				cancel(v.cause)
				if v.cause == nil {
					ctx = t.Context()
				}
				time.Sleep(40 * time.Millisecond)
				s.handleNoResponse(ctx, fleet.Path{{Server: f.server()}}, v.result)
				l := f.lastLine(t, event.AttemptEnded)
				wantFields(t, l, "event", "request", "ended_by", "silent_ms", "took_ms")
				wantValues(t, l, map[string]any{"ended_by": v.want, "silent_ms": 40 * time.Millisecond})
			})
		})
	}
}
