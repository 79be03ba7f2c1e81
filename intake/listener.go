package intake

import (
	"container/list"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// headCost is how many bytes a byte of an unfinished head takes: heads are read line by line into buffers
// that grow by doubling, and are parsed into maps.
const headCost = 4

// errHeadFull is returned to the reader of a head that does not fit into the Memory.
var errHeadFull = errors.New("intake: no room for the head of the request")

// phase is what a connection is occupied with.
type phase int

const (
	// waiting stands for a connection without a request, or whose next head is being read.
	waiting phase = iota
	// reading stands for one whose request has a head, but not all of its body.
	reading
	// serving stands for one whose request has been read. It is never closed by the Listener.
	serving
)

// Listener limits the connections of callers, and reserves the heads that are read from them.
type Listener struct {
	net.Listener
	memory         *Memory
	maxConnections int
	// onClose is called for each connection that is closed because there are too many.
	onClose func()
	// next is the ConnState hook of the listener below, if it has one.
	next  func(net.Conn, http.ConnState)
	turns *turns

	mu sync.Mutex
	// open is the number of connections, and unread has those that are waiting and those that are being
	// read, the longest first.
	open   int
	unread [serving]list.List
}

// Option configures a Listener.
type Option func(*Listener)

// WithConnState sets a hook for the states of connections, which gets those of the listener below.
func WithConnState(f func(net.Conn, http.ConnState)) Option {
	return func(l *Listener) { l.next = f }
}

// WithOnClose sets a function that is called for each connection that is closed because there are too many.
func WithOnClose(f func()) Option {
	return func(l *Listener) { l.onClose = f }
}

// NewListener returns a Listener for at most maxConnections connections.
func NewListener(ln net.Listener, memory *Memory, maxConnections int, opts ...Option) *Listener {
	l := &Listener{
		Listener: ln, memory: memory, maxConnections: max(1, maxConnections), onClose: func() {},
		next: func(net.Conn, http.ConnState) {}, turns: newTurns(),
	}
	for _, o := range opts {
		o(l)
	}

	return l
}

// Attach makes a server use the Listener: it sets the hooks by which the Listener follows requests.
func (l *Listener) Attach(srv *http.Server) {
	srv.ConnState = l.connState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, hold: l.memory.Hold(), body: bodyReader{turns: l.turns}}
		closed, ok := l.admit(c)
		if closed != nil {
			l.onClose()
			closed.abort()
		}
		if ok {
			return c, nil
		}
		l.next(inner, http.StateClosed)
	}
}

// admit adds a connection if there is room, or if another one can be closed for it. It returns the
// connection to close, if any, and whether the new one was added.
func (l *Listener) admit(c *Conn) (closed *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConnections {
		closed = l.longestUnread()
		if closed == nil {
			return c, false
		}
		l.remove(closed)
	}
	l.open++
	c.element = l.unread[waiting].PushBack(c)

	return closed, true
}

// longestUnread returns the connection that has waited the longest, or else the one whose request has been
// read for the longest; nil if all are served. l.mu must be held.
func (l *Listener) longestUnread() *Conn {
	for i := range l.unread {
		if e := l.unread[i].Front(); e != nil {
			// The lists hold only connections.
			c, _ := e.Value.(*Conn)

			return c
		}
	}

	return nil
}

// remove removes a connection that is closed. l.mu must be held.
func (l *Listener) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	l.unlist(c)
}

// unlist removes a connection from its list of unread ones. l.mu must be held.
func (l *Listener) unlist(c *Conn) {
	if c.element != nil {
		l.unread[c.phase.Load()].Remove(c.element)
		c.element = nil
	}
}

// setPhase records what a connection is occupied with, and reports whether it is still open.
func (l *Listener) setPhase(c *Conn, p phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return false
	}
	l.unlist(c)
	c.phase.Store(int32(p))
	if p != serving {
		c.element = l.unread[p].PushBack(c)
	}

	return true
}

func (l *Listener) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		l.setPhase(c, reading)
	case http.StateIdle:
		c.hold.Release()
		l.setPhase(c, waiting)
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		l.remove(c)
		l.mu.Unlock()
		c.hold.Close()
	case http.StateNew:
	}
	l.next(c.Conn, state)
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	hold     *Hold
	phase    atomic.Int32
	body     bodyReader

	// element is the place in the list of unread connections, and removed is set once the connection is
	// closed. Both are guarded by the Listener's mutex.
	element *list.Element
	removed bool
}

// Read reads from the connection. It fails if the head that is being read does not fit into the Memory.
func (c *Conn) Read(p []byte) (int, error) {
	// net/http watches a connection whose body has been read by reading a single byte on another goroutine.
	if len(p) > 1 && c.body.active {
		c.body.beforeRead()
		n, err := c.Conn.Read(p)
		c.body.afterRead(n)

		return n, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && phase(c.phase.Load()) == waiting && !c.hold.Grow(headCost*int64(n)) {
		// An error of this type makes net/http close the connection without an answer, so that the caller
		// knows that its request was not read.
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: errHeadFull}
	}

	return n, err
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}

	return nil
}

// abort closes the connection so that the caller learns at once that its request was not read.
func (c *Conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type connKey struct{}

// Request is a request that is being read from a connection. A nil Request has no bound.
type Request struct{ conn *Conn }

// RequestOf returns the request of a context that a server with a Listener made.
func RequestOf(ctx context.Context) *Request {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}

	return &Request{conn: c}
}

// Hold returns what the request holds. It is released when the request is over.
func (r *Request) Hold() *Hold {
	if r == nil {
		return nil
	}

	return r.conn.hold
}

// Largest returns the size of the largest request that is ever served.
func (r *Request) Largest() int64 {
	if r == nil {
		return math.MaxInt64
	}

	return r.conn.listener.memory.Largest()
}

// ReadBody reads the body of the request; see the function ReadBody. While the caller's bytes are decoded,
// a long body takes turns with those of other requests.
func (r *Request) ReadBody(body io.Reader, length int64) (Body, error) {
	if r == nil {
		return ReadBody(body, length, nil)
	}
	b := &r.conn.body
	b.active, b.n = true, 0
	defer func() {
		b.beforeRead()
		b.active = false
	}()

	return ReadBody(body, length, r.conn.hold)
}

// WasRead records that the request has been read to its end, so that the Listener keeps its connection. It
// reports whether that is still open: otherwise the request must not be run.
func (r *Request) WasRead() bool {
	return r == nil || r.conn.listener.setPhase(r.conn, serving)
}
