package answer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// exchange is a request and its answer on a connection.
type exchange struct {
	// written is closed once the request has been written, or writing it has failed with writeErr.
	written   chan struct{}
	writeErr  error
	writeOnce sync.Once
	// answered is set once a byte was read since the exchange began, head checks what was read, and malformed is
	// what was wrong with it. They are guarded by the mutex of the connection.
	answered  bool
	head      headScanner
	malformed error
}

// Watch returns a context for one request, whose connection then knows what it carries. It has no effect on
// connections other than those of the type Conn.
func Watch(ctx context.Context) context.Context {
	// net/http sends a request that it may repeat over a second connection if the first one was closed.
	var current atomic.Pointer[exchange]

	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*Conn); ok {
				x := &exchange{written: make(chan struct{})}
				current.Store(x)
				c.begin(x)
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if x := current.Load(); x != nil {
				x.endWrite(i.Err)
			}
		},
	})
}

// endWrite records that the request has been written, or why it has not.
func (x *exchange) endWrite(err error) {
	x.writeOnce.Do(func() {
		x.writeErr = err
		close(x.written)
	})
}

// Transport is an http.Transport of guarded connections.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport over base, which must no longer be used directly and needs a DialContext.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = Guard(base.DialContext)

	return &Transport{base: base}
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(r.WithContext(Watch(r.Context())))
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
