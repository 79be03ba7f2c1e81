package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/result"
)

// Headers of callers' requests and of responses.
const (
	// accountHeader names the client account.
	accountHeader = "Slatebridge-Account"
	// idempotencyKeyHeader identifies a request and its retries.
	idempotencyKeyHeader = "Idempotency-Key"
	// firstTryHeader is set to "yes" by callers that have made no earlier attempt with
	// the idempotency key.
	firstTryHeader = "Slatebridge-First-Try"
	// executionHeader reports in the response whether the request was executed.
	executionHeader = "Slatebridge-Ran"
)

// firstTryYes is the value of firstTryHeader for a first attempt.
const firstTryYes = "yes"

// Request kinds in logs and metrics.
const (
	kindChat = "chat"
	kindCall = "call"
)

// request is a caller's request being handled.
type request struct {
	id             string
	kind           string
	account        string
	idempotencyKey string
	started        time.Time
	req            *http.Request
	resp           http.ResponseWriter
}

func newRequest(kind string, w http.ResponseWriter, r *http.Request) *request {
	return &request{
		id:             uuid.NewString(),
		kind:           kind,
		account:        r.Header.Get(accountHeader),
		idempotencyKey: r.Header.Get(idempotencyKeyHeader),
		started:        clock.Now(),
		req:            r,
		resp:           w,
	}
}

// adjustExecution returns the error with an execution status that also holds for earlier
// attempts with the same idempotency key, which may have run. It replaces NotExecuted by
// MayHaveExecuted unless the request has no idempotency key, the caller says that it is the
// first attempt, or the error already covers all attempts with the key (KeyScoped).
func (q *request) adjustExecution(err *result.Error) *result.Error {
	if q.idempotencyKey == "" || err.Execution != result.NotExecuted || err.KeyScoped || q.req.Header.Get(firstTryHeader) == firstTryYes {
		return err
	}

	return err.WithExecution(result.MayHaveExecuted)
}

// reject sends the error as the response.
func (g *Gateway) reject(q *request, err error) {
	e := q.adjustExecution(result.FromError(err))
	q.resp.Header().Set(executionHeader, string(e.Execution))
	result.WriteProblem(q.resp, e)
	g.finish(q, e)
}

// finish logs and counts a request that has its final response; e is nil if the response
// is complete.
func (g *Gateway) finish(q *request, e *result.Error) {
	code := result.OK
	id := event.RequestDone
	fields := []zap.Field{
		zap.String("request", q.id),
		zap.String("kind", q.kind),
		zap.String("account", q.account),
		zap.Duration("took", clock.Since(q.started)),
	}
	if e != nil {
		code = e.Code
		fields = append(fields, zap.String("ran", string(e.Execution)), zap.String("why", e.Detail))
		if e.Execution == result.NotExecuted {
			id = event.RouteRefused
		}
	}
	event.Log(g.logger, id, append(fields, zap.Stringer("code", code))...)
	g.metrics.observe(q.kind, code, clock.Since(q.started))
}

// lookupService returns the service of the request's client account with the given name and
// kind.
func (g *Gateway) lookupService(q *request, name string, kind slatebridge.ServiceKind) (slatebridge.Service, error) {
	snap := g.snapshot.Load()
	if snap.Revision.ControllerID == "" {
		return slatebridge.Service{}, result.New(result.NotReady, "no snapshot yet").WithRetryAfter(time.Second)
	}
	if _, ok := snap.Account(q.account); !ok {
		return slatebridge.Service{}, result.New(result.UnknownAccount, "account %q", q.account)
	}
	svc, ok := snap.Service(q.account, name)
	if !ok || svc.Template.Kind != kind {
		return slatebridge.Service{}, result.New(result.UnknownService, "service %q", name)
	}

	return svc, nil
}

// withAdmission admits the request and calls handle with the service's timeout, or rejects
// the request if a limit is exceeded.
func (g *Gateway) withAdmission(q *request, svc slatebridge.Service, handle func(ctx context.Context)) {
	release, err := g.limiter.Admit(q.account)
	if err != nil {
		g.reject(q, err)

		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(q.req.Context(), time.Duration(svc.Template.Timeout))
	defer cancel()
	handle(ctx)
}

const (
	// retryAfterFull is the Retry-After delay of requests for which there is no memory.
	retryAfterFull = time.Second
	// discardTimeout bounds how long the rest of a refused body is read after the answer.
	discardTimeout = 100 * time.Millisecond
)

// readBody reads the request body, which must not exceed limit bytes. Without a whole body, nothing of the
// request is run.
func readBody(q *request, limit int64) ([]byte, error) {
	req := intake.RequestOf(q.req.Context())
	limit = min(limit, req.Largest())
	if q.req.ContentLength > limit {
		q.refuseRest()

		return nil, bodyError(&http.MaxBytesError{Limit: limit})
	}
	body, err := req.ReadBody(http.MaxBytesReader(q.resp, q.req.Body, limit), q.req.ContentLength)
	if err != nil {
		q.refuseRest()

		return nil, bodyError(err)
	}
	if !req.WasRead() {
		return nil, result.New(result.Overloaded, "the connection was closed, as there were too many").WithRetryAfter(retryAfterFull)
	}
	if len(body.Parts()) > 1 && !req.Hold().Grow(body.Size()) {
		return nil, errNoMemory()
	}

	return body.Bytes(), nil
}

// refuseRest has the answer sent without waiting for the rest of the body, and the connection closed.
func (q *request) refuseRest() {
	q.resp.Header().Set("Connection", "close")
	// A writer without deadlines has no connection that could be held.
	_ = http.NewResponseController(q.resp).SetReadDeadline(time.Now().Add(discardTimeout))
}

// bodyError returns the error for a body that was not read to its end.
func bodyError(err error) error {
	switch {
	case errors.Is(err, intake.ErrFull):
		return errNoMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTooSlow, "the body did not arrive in time")
	default:
		return result.New(result.Malformed, "body: %v", err)
	}
}

// errNoMemory returns the error for a request that does not fit.
func errNoMemory() *result.Error {
	return result.New(result.NoMemory, "there is no memory for the request").WithRetryAfter(retryAfterFull)
}

// decodeStrict decodes JSON into a T and rejects unknown fields and trailing data.
func decodeStrict[T any](body []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, result.New(result.Malformed, "JSON: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return v, result.New(result.Malformed, "JSON: there is more behind the value")
	}

	return v, nil
}
