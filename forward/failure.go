package forward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
)

// handleNoResponse handles an attempt without a valid response. It returns true if the caller has
// disconnected.
func (t *streamRequest) handleNoResponse(ctx context.Context, path fleet.Path, r attemptResult) bool {
	first := path[0].Server
	switch r.fate {
	case withheld:
		t.withheld++
		t.attemptsInVain--
		t.budgetSettled = true
	case notRun:
		t.notRunCount++
		t.recordRejection(path, r.head)
	case unsent:
		t.notRunCount++
		t.recordConnectionFailure(first.ID)
	default:
		t.recordRan(first.ID)
		if ctx.Err() == nil && !errors.Is(r.err, errInvalidResponse) {
			t.recordConnectionFailure(first.ID)
		} else {
			t.exclude = append(t.exclude, first.ID)
		}
	}
	cause := context.Cause(ctx)
	if callerGone(t.ctx) {
		t.logFailedAttempt(first, r, cause)

		return true
	}
	if cause != nil {
		r.err = cause
	}
	t.logFailedAttempt(first, r, cause)

	return false
}

// recordConnectionFailure records that the connection to a server could not be opened, or was
// closed before a valid response arrived. It has the server's liveness checked, as perhaps only the
// response was lost.
func (t *streamRequest) recordConnectionFailure(id slatebridge.ServerID) {
	t.exclude = append(t.exclude, id)
	t.h.fleet.RecordConnectionFailure(id)
	t.h.enqueueLivenessCheck(id)
}

// recordRejection records which server of the path rejected the request.
func (t *streamRequest) recordRejection(path fleet.Path, head ResponseHead) {
	id := path[0].Server.ID
	for _, s := range path {
		if s.Server.Address == head.FaultAddress {
			id = s.Server.ID
		}
	}
	switch {
	case head.wrongServer():
		t.h.fleet.RecordAddressConflict(id)
	case head.Misdirected:
		t.h.fleet.RecordMissingLayers(id)
	case head.Notice.Cooldown > 0 && id == path[0].Server.ID:
		// The server is not used during its cooldown.
	default:
		t.h.fleet.RecordRejection(id)
		if id != path[0].Server.ID {
			// The first server reports a failure of a later one, which may be dead.
			t.h.enqueueLivenessCheck(id)
		}
	}
	t.exclude = append(t.exclude, id)
}

// relayErrorResponse writes a server's error response to the caller and reports whether it did. It
// does not if part of a response was already written, another attempt is to be made, or the body
// cannot be read.
func (t *streamRequest) relayErrorResponse(first catalog.Server, r attemptResult) bool {
	t.logFailedAttempt(first, r, nil)
	t.exclude = append(t.exclude, first.ID)
	if t.headWritten || (r.resp.StatusCode >= http.StatusInternalServerError && t.takeRetryNow()) {
		return false
	}
	o := &outcome{attemptResult: r}
	if err := o.readBody(t.c.hold); err != nil {
		return false
	}
	t.h.writeResponse(t.w, t.c, o)

	return true
}

// takeRetryNow takes the retry for another attempt from the budget, if the attempt is allowed and a
// retry is available without waiting. If it returns false, relayErrorResponse writes the error
// response.
func (t *streamRequest) takeRetryNow() bool {
	t.budgetSettled = t.progress().Decide() == overload.Retry && t.takeRequired()

	return t.budgetSettled
}

func (t *streamRequest) recordBrokenStream(ctx context.Context, path fleet.Path, r attemptResult, err error) {
	cause := context.Cause(ctx)
	if cause != nil {
		err = cause
	}
	r.err, r.fate = err, mayHaveRun
	if !errors.Is(err, errStalled) {
		t.exclude = append(t.exclude, path[0].Server.ID)
	}
	t.logFailedAttempt(path[0].Server, r, cause)
}

// logFailedAttempt logs an attempt that failed, with the cause for which its context ended, if it did.
func (t *streamRequest) logFailedAttempt(first catalog.Server, r attemptResult, cause error) {
	t.h.logFailedAttempt(t.c, first, r, zap.String("ended_by", endedBy(r, cause)), zap.Duration("silent_ms", t.silence(clock.Now())))
}

// endedBy returns who ended an attempt, by its result and the cause for which its context ended, if it did.
func endedBy(r attemptResult, cause error) string {
	switch {
	case errors.Is(cause, errStalled):
		return "box"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	case cause != nil:
		return "caller"
	case r.fate == withheld, errors.IsAny(r.err, errEventGap, errInvalidResponse):
		return "box"
	default:
		return "server"
	}
}
