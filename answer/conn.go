package answer

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLinger is how long a server that has ended its answer may go on reading the request before the answer
// counts as broken off. It has stopped sending, so that its caller would wait in vain for longer.
const maxLinger = time.Second

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Guard returns a Dialer of connections of the type Conn.
func Guard(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return NewConn(c), nil
	}
}

// Conn is a connection over which answers are read. Its reads end with io.EOF only if all that was written to
// it has been taken.
//
// The kernel reports a reset to one system call only. If that is a write, the next read meets the end of
// what was received, just as if the other side had closed the connection after a whole answer.
type Conn struct {
	net.Conn

	// writing is held during a write, and guards writeErr, the error of the first one that failed.
	writing  sync.Mutex
	writeErr error

	closed    chan struct{}
	closeOnce sync.Once
	// linger bounds the wait for a request to be written whole.
	linger time.Duration
	// carried is set if the connection passes on what others exchange; see NewCarriedConn.
	carried bool

	mu sync.Mutex
	// current is the exchange under way; nil before the first one.
	current *exchange
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, closed: make(chan struct{}), linger: maxLinger}
}

// NewCarriedConn returns a Conn over c that passes on what others exchange. Nothing tells what a write that is
// under way at the end belongs to and how long it may take, so it is cut.
func NewCarriedConn(c net.Conn) *Conn {
	carried := NewConn(c)
	carried.carried = true

	return carried
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}

	return n, err
}

// Read reads from the connection. It returns ECONNRESET in place of io.EOF if something could not be written, and
// an error marked as ErrMalformed in place of the rest of a head that is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x, malformed := c.received(p[:n])
	if malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		err = c.end(x)
	}

	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })

	return c.Conn.Close()
}

// begin begins an exchange.
func (c *Conn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = x
}

// received records that p was read, and returns the exchange to which it belongs, and what is wrong with the head
// of its answer.
func (c *Conn) received(p []byte) (*exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.current
	if x == nil {
		return nil, nil
	}
	x.answered = x.answered || len(p) > 0
	if x.malformed == nil {
		x.malformed = x.head.scan(p)
	}

	return x, x.malformed
}

// end returns the error for the end of what the other side sends.
func (c *Conn) end(x *exchange) error {
	if c.carried {
		// The call can only fail on a connection that is already closed.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	if x != nil && x.answered {
		if err := c.awaitWritten(x); err != nil {
			return c.resetError(err)
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.resetError(c.writeErr)
	}

	return io.EOF
}

// errUnfinished is the cause for a request of which a part was not taken in time.
var errUnfinished = errors.New("the request was not taken whole")

// awaitWritten waits until the request has been written, and returns why it has not.
func (c *Conn) awaitWritten(x *exchange) error {
	timer := time.NewTimer(c.linger)
	defer timer.Stop()
	select {
	case <-x.written:
		return x.writeErr
	case <-c.closed:
	case <-timer.C:
	}

	return errUnfinished
}

// resetError returns the error of a connection that was broken off, as the failed write shows.
func (c *Conn) resetError(writeErr error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errors.Wrapf(syscall.ECONNRESET, "after a failed write (%s)", writeErr)}
}
