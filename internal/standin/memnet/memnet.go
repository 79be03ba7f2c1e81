// Package memnet is a network within one process, for tests with virtual time:
// hosts listen and dial, and can be cut off, frozen and killed.
package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrRefused is the error of a dial to an address nobody listens on.
	ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "memnet")
	errClosed  = errors.New("memnet: listener closed")
)

// Network is a set of hosts, named by the host part of their addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[pair]bool
	frozen    map[string]chan struct{}
	packets   map[string]*packetConn
	// forget is how long connections of each host may rest.
	forget map[string]time.Duration
	closed chan struct{}
}

type pair struct {
	a string
	b string
}

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}

	return pair{a: a, b: b}
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cut:       make(map[pair]bool),
		frozen:    make(map[string]chan struct{}),
		forget:    make(map[string]time.Duration),
		closed:    make(chan struct{}),
	}
}

// Listen opens a listener at the address, "host:port".
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{n: n, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l

	return l
}

// Dialer returns how the host opens connections.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, host, addr)
	}
}

// Client returns an HTTP client of the host.
func (n *Network) Client(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(host), MaxIdleConnsPerHost: 100}}
}

// dialTimeout is how long a dial may take, as in the programs.
const dialTimeout = time.Second

func (n *Network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[addr]
	isCut := n.cut[pairOf(from, to)]
	n.mu.Unlock()
	if isCut {
		// A cut link gives no answer, not even a refusal.
		select {
		case <-ctx.Done():
		case <-n.closed:
		}

		return nil, ErrRefused
	}
	if l == nil {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	dialed := &conn{Conn: near, n: n, host: from, peer: to, closed: make(chan struct{}), usedAt: time.Now()}
	accepted := &conn{Conn: far, n: n, host: to, peer: from, closed: make(chan struct{}), usedAt: time.Now()}
	select {
	case l.incoming <- accepted:
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[dialed] = struct{}{}
	n.conns[accepted] = struct{}{}
	n.mu.Unlock()

	return dialed, nil
}

// Cut cuts two hosts off from each other: open connections break, and new
// ones get no answer.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[pairOf(a, b)] = true
	n.mu.Unlock()
	n.closeWhere(func(c *conn) bool { return pairOf(c.host, c.peer) == pairOf(a, b) })
}

// Heal takes a cut back.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pairOf(a, b))
}

// Kill closes the listeners and all connections of the host.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*listener
	for addr, l := range n.listeners {
		if h, _, _ := net.SplitHostPort(addr); h == host {
			dead = append(dead, l)
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	for _, l := range dead {
		_ = l.Close()
	}
	n.closeWhere(func(c *conn) bool { return c.host == host || c.peer == host })
}

// Freeze stops all traffic of the host until Thaw; connections stay open.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw lets the host's traffic go on.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[host]; gate != nil {
		close(gate)
		delete(n.frozen, host)
	}
}

// Reset breaks the open connections of the host. New ones work.
func (n *Network) Reset(host string) {
	n.closeWhere(func(c *conn) bool { return c.host == host || c.peer == host })
}

// Hush makes the open connections of the host silent for good: what is written to
// them is lost, and the other end does not see them close. New ones work.
func (n *Network) Hush(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.host == host || c.peer == host {
			c.hushed.Store(true)
		}
	}
}

// Forget makes the host forget connections that have rested for so long: they break
// when they are next written to. Zero ends that.
func (n *Network) Forget(host string, rest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget[host] = rest
}

// forgotten reports whether the other end of the connection has forgotten it, and notes
// that it is used.
func (n *Network) forgotten(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	rest, now := n.forget[c.peer], time.Now()
	old := rest > 0 && now.Sub(c.usedAt) > rest
	c.usedAt = now

	return old
}

// Close breaks every connection, and ends every dial.
func (n *Network) Close() {
	n.mu.Lock()
	for c := range n.conns {
		c.hushed.Store(false)
	}
	n.mu.Unlock()
	close(n.closed)
	n.closeWhere(func(*conn) bool { return true })
}

func (n *Network) closeWhere(match func(c *conn) bool) {
	n.mu.Lock()
	var list []*conn
	for c := range n.conns {
		if match(c) {
			list = append(list, c)
			delete(n.conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// gate returns what is closed when neither host is frozen any more, or nil.
func (n *Network) gate(host, peer string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.frozen[host]; g != nil {
		return g
	}

	return n.frozen[peer]
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	n    *Network
	host string
	peer string
	// closed is closed with this end, so that a held write returns.
	closed    chan struct{}
	closeOnce sync.Once
	// hushed says that the connection has gone silent.
	hushed atomic.Bool
	// reset says that the other end has forgotten it.
	reset atomic.Bool
	// usedAt is when this end last wrote; the network's mu guards it.
	usedAt time.Time
}

// RemoteAddr returns the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return hostAddr(c.peer) }

// hostAddr is a host as an address, with no port.
type hostAddr string

// Network returns the name of the network.
func (hostAddr) Network() string { return "memnet" }

// String returns the host and port zero.
func (a hostAddr) String() string { return net.JoinHostPort(string(a), "0") }

// Write writes unless one of the hosts is frozen; then it waits.
func (c *conn) Write(p []byte) (int, error) {
	if c.hushed.Load() {
		return len(p), nil
	}
	if c.n.forgotten(c) {
		// The reset comes as the answer.
		c.reset.Store(true)

		return len(p), c.SetReadDeadline(time.Unix(0, 1))
	}
	for gate := c.n.gate(c.host, c.peer); gate != nil; gate = c.n.gate(c.host, c.peer) {
		select {
		case <-gate:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}

	return c.Conn.Write(p)
}

// Read reads. It fails once the other end has been found to have forgotten the
// connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reset.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}

	return n, err
}

// Close closes this end. The other end of a silent connection does not see that.
func (c *conn) Close() error {
	if c.hushed.Load() {
		c.closeOnce.Do(func() { close(c.closed) })

		return c.SetDeadline(time.Unix(0, 1))
	}
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })

	return c.Conn.Close()
}

// listener hands out the connections that were dialed.
type listener struct {
	n        *Network
	addr     string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

// Close makes Accept fail.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr {
	return addr(l.addr)
}

type addr string

// Network returns "mem".
func (a addr) Network() string { return "mem" }

// String returns the address.
func (a addr) String() string { return string(a) }
