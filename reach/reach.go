// Package reach records what a box's own connections show of the servers: whether it reaches any of
// them at all.
//
// A single server that can't be reached tells nothing about the box. Several ones, with no sign of
// life from any other, say that the box itself has lost its links.
package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
)

const (
	// minFailedServers is the number of servers that a box must have failed to reach, with no sign of
	// life from any server since, to count as isolated.
	minFailedServers = 3
	// evidenceTTL is how long a failed connection attempt counts as evidence. A box that opens no
	// connections knows nothing, so it must not stay isolated for good.
	evidenceTTL = 2 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Result is the outcome of an attempt to open a connection to a server.
type Result string

// The results, as in metrics.
const (
	OK       Result = "ok"
	Refused  Result = "refused"
	TimedOut Result = "timed out"
	Canceled Result = "canceled"
	Failed   Result = "failed"
)

// resultOf classifies the error of a dial.
func resultOf(err error) Result {
	var timeout net.Error
	switch {
	case err == nil:
		return OK
	case errors.Is(err, context.Canceled):
		return Canceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	default:
		return Failed
	}
}

// Observer watches the box's own connections to servers. It is safe for concurrent use.
type Observer struct {
	dial     DialFunc
	onDial   func(Result)
	onChange func(isolated bool, failedServers int)
	isLate   func() bool

	// aliveAt is the time of the last sign of life of any server, in Unix nanoseconds, and isolated
	// whether the box was isolated when that was last checked.
	aliveAt  atomic.Int64
	isolated atomic.Bool
	// answeredAt is when bytes of any server were last read, in Unix nanoseconds.
	answeredAt atomic.Int64

	mu sync.Mutex
	// failedAt is the time of the last failed dial, by address.
	failedAt map[string]time.Time
}

// Option configures an Observer.
type Option func(*Observer)

// WithOnDial sets a function that receives the result of each dial.
func WithOnDial(f func(Result)) Option {
	return func(o *Observer) { o.onDial = f }
}

// WithOnChange sets a function that is called when the box becomes isolated, with the number of
// servers that it failed to reach, and when a server shows life again.
func WithOnChange(f func(isolated bool, failedServers int)) Option {
	return func(o *Observer) { o.onChange = f }
}

// WithLateness sets a function that reports whether the box is late with its own work, so that
// connections time out that servers have accepted.
func WithLateness(isLate func() bool) Option {
	return func(o *Observer) { o.isLate = isLate }
}

// NewObserver returns an Observer of the connections that dial opens.
func NewObserver(dial DialFunc, opts ...Option) *Observer {
	o := &Observer{dial: dial, onDial: func(Result) {}, onChange: func(bool, int) {}, isLate: func() bool { return false }, failedAt: make(map[string]time.Time)}
	for _, opt := range opts {
		opt(o)
	}

	return o
}

// DialContext opens a connection to a server for this box.
func (o *Observer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := o.DialForPeer(ctx, network, address)
	switch resultOf(err) {
	case OK:
		return c, nil
	case Canceled:
		// The server had no time to answer.
	case TimedOut:
		if !o.isLate() {
			o.recordFailure(address, clock.Now())
		}
	case Refused, Failed:
		o.recordFailure(address, clock.Now())
	}

	return nil, err
}

// DialForPeer opens a connection to a server for another box, which does not reach it. A failure is no
// evidence of this box's own links, since most such servers have failed.
func (o *Observer) DialForPeer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := o.dial(ctx, network, address)
	o.onDial(resultOf(err))
	if err != nil {
		return nil, err
	}
	o.recordAlive()

	return &observedConn{Conn: c, observer: o}, nil
}

// Dismiss drops the failed dials to a server as evidence: other boxes do not reach it either.
func (o *Observer) Dismiss(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.failedAt, address)
	o.update(clock.Now())
}

// AliveSince reports whether any server has shown life to this box since the given time.
func (o *Observer) AliveSince(at time.Time) bool { return o.aliveAt.Load() >= at.UnixNano() }

// AnsweredSince reports whether any server has sent something to this box since the given time. A server
// that stands still may accept connections, but sends nothing.
func (o *Observer) AnsweredSince(at time.Time) bool { return o.answeredAt.Load() >= at.UnixNano() }

// Isolated reports whether the box reaches no server, as far as its connections show.
func (o *Observer) Isolated() bool {
	if !o.isolated.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(clock.Now())

	return o.isolated.Load()
}

// recordAlive records a sign of life of a server.
func (o *Observer) recordAlive() {
	o.aliveAt.Store(clock.Now().UnixNano())
	if !o.isolated.Load() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(clock.Now())
}

func (o *Observer) recordFailure(address string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt[address] = now
	o.update(now)
}

// update drops what is no evidence any more, and decides whether the box is isolated. The caller
// holds mu.
func (o *Observer) update(now time.Time) {
	alive, oldest := o.aliveAt.Load(), now.Add(-evidenceTTL)
	for address, at := range o.failedAt {
		if at.UnixNano() <= alive || at.Before(oldest) {
			delete(o.failedAt, address)
		}
	}
	failed := len(o.failedAt)
	if isolated := failed >= minFailedServers; o.isolated.Swap(isolated) != isolated {
		o.onChange(isolated, failed)
	}
}

// observedConn is a connection to a server. What is read from it shows that the server lives.
type observedConn struct {
	net.Conn
	observer *Observer
}

// Read reads from the connection.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.observer.answeredAt.Store(clock.Now().UnixNano())
		c.observer.recordAlive()
	}

	return n, err
}
