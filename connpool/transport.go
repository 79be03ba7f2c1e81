// Package connpool provides an HTTP transport that closes idle connections which appear to be
// broken.
//
// It handles two failure patterns. In the first, the open connections of many machines stop
// responding at the same moment, without a reset, while new ones work. Each idle connection would
// then time out one more call, and each server with such a connection would be suspected of having
// failed. In the second, servers drop connections that were idle for some time and reset them on
// the next use. Since a call sent over such a connection may have run, it fails if it must not be
// repeated.
package connpool

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/answer"
	"github.com/slatebridge/slatebridge/clock"
)

const (
	// When a call times out after at least longTimeout, all idle connections are closed
	// immediately, without the confirmation described at confirmationWindow. Requests are normally
	// answered within milliseconds.
	longTimeout = time.Second
	// unconfirmedCloseCooldown is the minimum time between two such closes. When servers are
	// overloaded, many calls time out, and new connections for all of them would only add load.
	unconfirmedCloseCooldown = 10 * time.Second
	// confirmationWindow is how long a timeout over a reused connection is remembered. If the same
	// server answers over a new connection within it, this confirms that the old connection was
	// broken and not the server: after a crash, a server takes longer to return. All idle
	// connections are then closed.
	confirmationWindow = time.Second
	// When a connection is reset on use, the idle timeout is reduced to idleTimeoutFactor
	// multiplied by the time for which that connection was idle. minIdleTimeout is its lower bound:
	// it is longer than a call and its response take (milliseconds), so that a connection that is
	// used for one call after another stays open. Connections of a server that exits are reset
	// immediately and not reused, so they do not reduce the idle timeout.
	idleTimeoutFactor = 0.25
	minIdleTimeout    = 20 * time.Millisecond
	// resetWindow is the time after the start of a call within which a connection that the server
	// has dropped is reset: one network round trip. A connection that breaks later does so while
	// the server processes the call.
	resetWindow = 20 * time.Millisecond
	// idleTimeoutLifetime is how long the reduced idle timeout applies after the last reset.
	idleTimeoutLifetime = time.Minute
)

// Transport sends requests over pooled connections, and closes the idle ones when connections are
// found to have stopped responding or are reset on use.
type Transport struct {
	// base is the transport passed to New. current is the one in use: base itself, or a clone of it
	// with a shorter idle timeout.
	base    *http.Transport
	current atomic.Pointer[http.Transport]
	// onIdleClosed is called whenever idle connections were closed because some are broken.
	onIdleClosed func()

	mu sync.Mutex
	// timedOutAt is the time of the last timeout over a reused connection, by host.
	timedOutAt map[string]time.Time
	// lastUnconfirmedClose is when idle connections were last closed without confirmation.
	lastUnconfirmedClose time.Time
	// idleTimeout is the reduced idle timeout, or zero if that of base applies. lastResetAt is the
	// time of the last reset on use.
	idleTimeout time.Duration
	lastResetAt time.Time
}

// Option configures a Transport.
type Option func(*Transport)

// WithOnIdleClosed sets a function to call whenever idle connections are closed because some are
// broken.
func WithOnIdleClosed(f func()) Option {
	return func(t *Transport) { t.onIdleClosed = f }
}

// New returns a Transport over base, which must no longer be used directly.
func New(base *http.Transport, opts ...Option) *Transport {
	dial := dialer(base.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = answer.Guard(dial.dialWithoutLabel)
	t := &Transport{base: base, onIdleClosed: func() {}, timedOutAt: make(map[string]time.Time)}
	for _, o := range opts {
		o(t)
	}
	t.current.Store(base)

	return t
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// GotConn may be called after the request has been canceled.
	var gotConn atomic.Pointer[httptrace.GotConnInfo]
	ctx := httptrace.WithClientTrace(answer.Watch(r.Context()), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { gotConn.Store(&i) }})
	startedAt := clock.Now()
	resp, err := t.transportAt(startedAt).RoundTrip(r.WithContext(ctx))
	conn := gotConn.Load()
	switch {
	case err == nil && conn != nil && !conn.Reused:
		t.onNewConnAnswered(r.URL.Host, clock.Now())
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		t.onTimeout(r.URL.Host, conn != nil && conn.Reused, startedAt, clock.Now())
	case err != nil && conn != nil && conn.Reused && r.Context().Err() == nil:
		t.onReset(conn.IdleTime, startedAt, clock.Now())
	}

	return resp, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.current.Load().CloseIdleConnections() }

// transportAt returns the transport to use at the given time.
func (t *Transport) transportAt(now time.Time) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleTimeout > 0 && now.Sub(t.lastResetAt) > idleTimeoutLifetime {
		t.setIdleTimeout(0)
	}

	return t.current.Load()
}

// setIdleTimeout sets the idle timeout of connections; zero restores that of base. t.mu must be
// held.
func (t *Transport) setIdleTimeout(idleTimeout time.Duration) {
	next := t.base
	if idleTimeout > 0 {
		next = t.base.Clone()
		next.IdleConnTimeout = idleTimeout
	}
	t.idleTimeout = idleTimeout
	// Connections in use by the previous transport finish their calls and are not reused.
	t.current.Swap(next).CloseIdleConnections()
}

// onReset handles a connection that broke when a call was sent over it after an idle period.
//
// Scenario: servers drop connections that were idle for 100 ms. Each reset costs a retry, and
// requests fail once the retry budget is used up.
func (t *Transport) onReset(idle time.Duration, startedAt, now time.Time) {
	if idle <= minIdleTimeout || now.Sub(startedAt) > resetWindow {
		return
	}
	t.mu.Lock()
	idleTimeout := max(minIdleTimeout, time.Duration(idleTimeoutFactor*float64(idle)))
	lowered := t.idleTimeout == 0 || idleTimeout < t.idleTimeout
	t.lastResetAt = now
	if lowered {
		t.setIdleTimeout(idleTimeout)
	}
	t.mu.Unlock()
	if lowered {
		t.onIdleClosed()
	}
}

// onTimeout handles a call that got no response, over a reused or a new connection.
func (t *Transport) onTimeout(host string, reused bool, startedAt, now time.Time) {
	t.mu.Lock()
	if reused {
		t.timedOutAt[host] = now
	}
	unconfirmed := now.Sub(startedAt) >= longTimeout && now.Sub(t.lastUnconfirmedClose) >= unconfirmedCloseCooldown
	if unconfirmed {
		t.lastUnconfirmedClose = now
	}
	t.mu.Unlock()
	if unconfirmed {
		t.closeIdle()
	}
}

// onNewConnAnswered handles a response over a new connection.
func (t *Transport) onNewConnAnswered(host string, now time.Time) {
	t.mu.Lock()
	at, ok := t.timedOutAt[host]
	delete(t.timedOutAt, host)
	t.mu.Unlock()
	if ok && now.Sub(at) < confirmationWindow {
		t.closeIdle()
	}
}

// closeIdle closes all idle connections. Those to other servers may have stopped responding as
// well, and opening a connection again takes little time.
func (t *Transport) closeIdle() {
	t.mu.Lock()
	clear(t.timedOutAt)
	t.mu.Unlock()
	t.CloseIdleConnections()
	t.onIdleClosed()
}
