package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/claim"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/result"
)

// noServerRetryAfter is the Retry-After delay of NoServer results.
const noServerRetryAfter = time.Second

// serveCall handles a call to a plain service.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	q := newRequest(kindCall, w, r)
	name := r.PathValue("service")
	body, svc, err := g.readCall(q, name)
	if err != nil {
		g.reject(q, err)

		return
	}
	g.withAdmission(q, svc, func(ctx context.Context) {
		response, err := g.call(ctx, q, svc, body)
		if err != nil {
			g.reject(q, err)

			return
		}
		g.writeResponse(q, response)
	})
}

// readCall reads and validates a call, and returns its body and service.
func (g *Gateway) readCall(q *request, name string) ([]byte, slatebridge.Service, error) {
	body, err := readBody(q, g.maxBodyBytes)
	if err != nil {
		return nil, slatebridge.Service{}, err
	}
	if !json.Valid(body) {
		return nil, slatebridge.Service{}, result.New(result.Malformed, "the body is not JSON")
	}
	svc, err := g.lookupService(q, name, slatebridge.PlainService)
	if err != nil {
		return nil, svc, err
	}

	return body, svc, checkIdempotencyKey(q, svc)
}

// checkIdempotencyKey rejects a call that lacks the idempotency key required by its service.
// DeduplicatedByRouter, for which the gateway claims each call, requires a version 7 UUID.
func checkIdempotencyKey(q *request, svc slatebridge.Service) error {
	switch svc.Template.Deduplication {
	case slatebridge.Idempotent:
	case slatebridge.DeduplicatedByRouter:
		if _, err := claim.ParseKeyID(q.idempotencyKey); err != nil {
			return result.New(result.KeyRequired, "%s %q is not a version 7 UUID", idempotencyKeyHeader, q.idempotencyKey)
		}
	case slatebridge.DeduplicatedByService:
		if q.idempotencyKey == "" {
			return result.New(result.KeyRequired, "%s is missing", idempotencyKeyHeader)
		}
	}

	return nil
}

// call sends the call according to the deduplication mode of its service.
func (g *Gateway) call(ctx context.Context, q *request, svc slatebridge.Service, body []byte) (claim.Response, error) {
	c := engine.Call{Service: svc.Template.Name, IdempotencyKey: q.idempotencyKey, Body: body, Hold: intake.RequestOf(q.req.Context()).Hold()}
	switch svc.Template.Deduplication {
	case slatebridge.DeduplicatedByRouter:
		return g.callDeduplicated(ctx, q, svc, c)
	default:
		// Retries are safe: the service is idempotent or does not run a repeated key again.
		return g.callWithRetries(ctx, c)
	}
}

// callDeduplicated claims the call, which means recording in the platform's log that this gateway
// runs it, so that no other gateway does, and then sends it.
func (g *Gateway) callDeduplicated(ctx context.Context, q *request, svc slatebridge.Service, c engine.Call) (claim.Response, error) {
	id, err := claim.ParseKeyID(q.idempotencyKey)
	if err != nil {
		return claim.Response{}, result.New(result.KeyRequired, "%s: %q", idempotencyKeyHeader, q.idempotencyKey)
	}
	key := claim.Key{Account: svc.Instance.Account, Service: svc.Instance.Name, ID: id}

	return g.claimer.Do(ctx, key, c.Body, func(ctx context.Context) (claim.Response, error) {
		response, err := g.sendOnce(ctx, c)
		if errors.Is(err, engine.ErrNotSent) {
			err = errors.Mark(err, claim.ErrNotSent)
		}

		return response, err
	})
}

// maxCallAttempts is the maximum number of times a retryable call is sent.
const maxCallAttempts = 3

// callWithRetries resends the call while its outcome is unknown. Once an attempt may have
// run, the call is never reported as not executed.
func (g *Gateway) callWithRetries(ctx context.Context, c engine.Call) (claim.Response, error) {
	var errMayHaveRun error
	for range maxCallAttempts {
		response, err := g.sendOnce(ctx, c)
		if err == nil {
			return response, nil
		}
		if errors.Is(err, engine.ErrNotSent) {
			return claim.Response{}, unansweredError(ctx, errMayHaveRun, err)
		}
		errMayHaveRun = err
		if ctx.Err() != nil {
			break
		}
	}

	return claim.Response{}, unansweredError(ctx, errMayHaveRun, errMayHaveRun)
}

// unansweredError returns the result error of a call without a response. errMayHaveRun is the
// error of an attempt that may have run, or nil; last is the error of the last attempt.
func unansweredError(ctx context.Context, errMayHaveRun, last error) error {
	switch {
	case errMayHaveRun == nil:
		return result.New(result.NoServer, "%v", last).WithRetryAfter(noServerRetryAfter)
	case ctx.Err() != nil:
		return result.New(result.DeadlineExceeded, "%v", errMayHaveRun)
	default:
		return result.New(result.MayHaveRun, "%v", errMayHaveRun)
	}
}

// sendOnce sends the call to at most one server. It tries the next server only if no byte
// of the call was sent to the previous one.
func (g *Gateway) sendOnce(ctx context.Context, c engine.Call) (claim.Response, error) {
	servers, err := g.router.PlainServers(c.Service)
	if err != nil {
		return claim.Response{}, errors.Mark(err, engine.ErrNotSent)
	}
	for _, s := range servers {
		var response engine.Response
		response, err = g.plainClient.Call(ctx, s.URL, c)
		if err == nil {
			return claim.Response(response), nil
		}
		g.router.MarkFailed(s.ID)
		if !errors.Is(err, engine.ErrNotSent) {
			return claim.Response{}, err
		}
	}

	return claim.Response{}, err
}

// writeResponse passes a server's response on to the caller.
func (g *Gateway) writeResponse(q *request, response claim.Response) {
	if response.ContentType != "" {
		q.resp.Header().Set("Content-Type", response.ContentType)
	}
	q.resp.Header().Set(executionHeader, string(result.Executed))
	q.resp.WriteHeader(response.Status)
	_, _ = q.resp.Write(response.Body)
	g.finish(q, nil)
}
