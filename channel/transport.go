// Package channel keeps idle connections as long as they work.
//
// Load pattern: open connections of many machines go silent at the same moment,
// without a reset, while new ones work. Each idle connection would then swallow one
// call more, and each server reached over one would be taken as dead.
package channel

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// longSilence is after which time without an answer all idle connections are
	// dropped at once, without proof. Answers of calls and questions take milliseconds.
	longSilence = time.Second
	// longPause is between two such drops: where servers are overloaded many calls get
	// no answer, and new connections for all of them would only add to the load.
	longPause = 10 * time.Second
	// proofTime is how long a shorter silence is remembered. If a new connection to the
	// same server is answered within it, the used one was at fault and not the server:
	// one that crashed takes longer to come back.
	proofTime = time.Second
)

// Transport sends requests over connections that it keeps, and drops the idle ones
// when they are found to have gone silent.
type Transport struct {
	base *http.Transport
	// onDrop is told when idle connections are dropped.
	onDrop func()

	mu sync.Mutex
	// silent is when a call over a used connection to each host last got no answer.
	silent map[string]time.Time
	// unproven is when idle connections were last dropped without proof.
	unproven time.Time
}

// Option changes a Transport.
type Option func(*Transport)

// WithDropped makes f be told whenever the idle connections are dropped.
func WithDropped(f func()) Option {
	return func(t *Transport) { t.onDrop = f }
}

// New returns a Transport over base.
func New(base *http.Transport, opts ...Option) *Transport {
	t := &Transport{base: base, onDrop: func() {}, silent: make(map[string]time.Time)}
	for _, o := range opts {
		o(t)
	}

	return t
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A connection may be got after the call was given up.
	var used, fresh atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		used.Store(i.Reused)
		fresh.Store(!i.Reused)
	}})
	began := time.Now()
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	switch {
	case err == nil && fresh.Load():
		t.answered(r.URL.Host, time.Now())
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		t.unanswered(r.URL.Host, used.Load(), began, time.Now())
	}

	return resp, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// unanswered notes that a call got no answer, over a connection that had been used or
// a new one.
func (t *Transport) unanswered(host string, used bool, began, now time.Time) {
	t.mu.Lock()
	if used {
		t.silent[host] = now
	}
	long := now.Sub(began) >= longSilence && now.Sub(t.unproven) >= longPause
	if long {
		t.unproven = now
	}
	t.mu.Unlock()
	if long {
		t.drop()
	}
}

// answered notes an answer over a new connection.
func (t *Transport) answered(host string, now time.Time) {
	t.mu.Lock()
	at, ok := t.silent[host]
	delete(t.silent, host)
	t.mu.Unlock()
	if ok && now.Sub(at) < proofTime {
		t.drop()
	}
}

// drop closes all idle connections. Those to other servers went silent as well, as far
// as is known, and to open one again takes about a millisecond.
func (t *Transport) drop() {
	t.mu.Lock()
	clear(t.silent)
	t.mu.Unlock()
	t.base.CloseIdleConnections()
	t.onDrop()
}
