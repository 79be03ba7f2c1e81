package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/answer"
	"github.com/slatebridge/slatebridge/intake"
)

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 64 << 10

// ErrNotSent marks errors of calls of which no byte was sent.
var ErrNotSent = errors.New("engine: not sent")

// Call is a call to a plain service.
type Call struct {
	Service string
	// IdempotencyKey is the value of the Idempotency-Key header; empty for none.
	IdempotencyKey string
	Body           []byte
	// Hold reserves the bytes of the answer; nil for no bound.
	Hold *intake.Hold
}

// Response is the complete response of a plain server.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainClient sends calls to the servers of plain services. Its field is a function
// so that tests can replace it.
type PlainClient struct {
	// Call sends the call once to the server at the base URL. If the error is marked
	// ErrNotSent, no byte of the call was sent.
	Call func(ctx context.Context, base string, c Call) (Response, error)
}

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewPlainClient returns a PlainClient that dials with the given function.
//
// net/http resends a POST request that has an Idempotency-Key header if a reused
// connection fails. Each call therefore uses a new connection, on which net/http does
// not retry. Redirects are not followed because they can resend the body.
func NewPlainClient(dial DialFunc) PlainClient {
	c := plainClient{client: &http.Client{
		Transport:     answer.NewTransport(&http.Transport{DialContext: markNotSent(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}

	return PlainClient{Call: c.call}
}

type plainClient struct {
	client *http.Client
}

// markNotSent wraps dial to mark its errors as ErrNotSent.
func markNotSent(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}

		return conn, nil
	}
}

func (c plainClient) call(ctx context.Context, base string, call Call) (Response, error) {
	target := base + "/v1/calls/" + url.PathEscape(call.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "engine: call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAnswer(resp.Body, call.Hold)
	if err != nil {
		return Response{}, err
	}

	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// readAnswer reads the body of an answer, and reserves what it takes.
func readAnswer(r io.Reader, h *intake.Hold) ([]byte, error) {
	body, whole, err := intake.ReadPrefix(r, maxResponseBytes+1, h)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "engine: call: the answer was cut")
	case body.Size() > maxResponseBytes:
		return nil, errors.New("engine: call: the answer is too large")
	case !whole, len(body.Parts()) > 1 && !h.Grow(body.Size()):
		return nil, errors.New("engine: call: there is no memory for the answer")
	}

	return body.Bytes(), nil
}
