package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
)

// fate is what is known about whether a server ran an attempt.
type fate int

// The fates of an attempt.
const (
	// unsent means that no connection to the server was obtained, so that no byte can have reached
	// it.
	unsent fate = iota
	// withheld means that this box did not try to send it: the server accepts no requests now, or
	// no grant was obtained.
	withheld
	// notRun means that a server stated that it did not run the request.
	notRun
	// mayHaveRun means that bytes may have reached the server and there is no valid response.
	mayHaveRun
	// answered means that the server sent a valid response.
	answered
)

// String returns the name of the fate in logs and metrics.
func (f fate) String() string {
	return [...]string{"unsent", "withheld", "not run", "may have run", "answered"}[f]
}

// errInvalidResponse is the error for a response that does not repeat the ID of the request, has a content
// encoding, or reports success without proof that a server wrote it.
var errInvalidResponse = errors.New("response belongs to another request, is encoded or lacks proof of origin")

// attemptResult is the result of one attempt.
type attemptResult struct {
	fate fate
	resp *http.Response
	head ResponseHead
	err  error
}

// nonRewindableBody is a body that net/http cannot rewind, so that it never retries a request by
// itself.
type nonRewindableBody struct {
	io.Reader
}

// Close does nothing; the body is in memory.
func (nonRewindableBody) Close() error { return nil }

// send makes one attempt and returns once the head of the response has arrived. The caller must
// close the body of a returned response.
func (h *Handler) send(ctx context.Context, c *inboundRequest, a Attempt) attemptResult {
	if err := h.checkEligible(a); err != nil {
		a.Grant.release()

		return attemptResult{fate: withheld, err: err}
	}
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { used.Store(&i.Conn) }}
	req := h.newRequest(httptrace.WithClientTrace(ctx, trace), c, a)
	times := exchangeTimes{sent: clock.Now()}
	resp, err := h.httpClient.Do(req)
	if err != nil {
		if used.Load() == nil {
			a.Grant.release()

			return attemptResult{fate: unsent, err: err}
		}

		return attemptResult{fate: mayHaveRun, err: err}
	}
	head := h.codec.ParseResponse(resp)
	if times.read = clock.Now(); head.RequestID != c.ID || head.wrongServer() {
		// It may be a late response to an earlier request, or another server's. A rate limit in it
		// may then have been written before this request was sent.
		times.sent = time.Time{}
	}
	h.applyNotice(a.Server.ID, head.Notice, times)
	switch {
	case head.RequestID != c.ID:
		// The request had an ID, which its answer repeats. This is an answer too many, perhaps to a request
		// of the box's own, and the next one on the connection would not be the one that is due either.
		_ = resp.Body.Close()
		_ = (*used.Load()).Close()

		return attemptResult{fate: mayHaveRun, head: head, err: errInvalidResponse}
	case head.NotExecuted:
		_ = resp.Body.Close()

		return attemptResult{fate: notRun, head: head, err: errors.Newf("rejected with status %d", resp.StatusCode)}
	case resp.Header.Get("Content-Encoding") != "", !head.HasOriginProof && resp.StatusCode/100 == 2:
		_ = resp.Body.Close()

		return attemptResult{fate: mayHaveRun, head: head, err: errInvalidResponse}
	}

	return attemptResult{fate: answered, resp: resp, head: head}
}

func (h *Handler) newRequest(ctx context.Context, c *inboundRequest, a Attempt) *http.Request {
	header := c.header.Clone()
	h.codec.PrepareHeader(header, a)
	req := &http.Request{
		Method:        c.method,
		URL:           &url.URL{Scheme: "http", Host: a.Server.PoolHost(), Opaque: c.target},
		Host:          c.host,
		Header:        header,
		Body:          nonRewindableBody{c.body.Reader()},
		ContentLength: c.body.Size(),
	}

	return req.WithContext(ctx)
}

// hopByHopHeaders apply to a single connection and are not forwarded. Expect is not one of them,
// but is dropped too, since the body has already been read.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns the headers without the hop-by-hop headers.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}

	return out
}

// connectTimeout bounds the time to open a connection. A server accepts one at once, and there is
// no point in waiting longer for a server that does not.
const connectTimeout = 200 * time.Millisecond

// ConnectTimeout returns how long a connection to a server may take to open.
func ConnectTimeout() time.Duration { return connectTimeout }

// copyHeaders copies the headers of a server's response to the caller's response.
func copyHeaders(w http.ResponseWriter, resp *http.Response) {
	connection := w.Header().Get("Connection")
	for name, values := range endToEndHeaders(resp.Header) {
		w.Header()[name] = values
	}
	if connection != "" {
		w.Header().Set("Connection", connection)
	}
}

func setContentLength(w http.ResponseWriter, n int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
}
