// Package memnet is an in-memory network for tests in virtual time. Its hosts listen and dial, and
// can be cut off from each other, frozen and killed.
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
	// ErrRefused is returned by a dial to an address without a listener, and by a dial over a cut
	// link after its timeout.
	ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "memnet")
	errClosed  = errors.New("memnet: listener closed")
)

// Network is a set of hosts, which are identified by the host part of their addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cutPairs  map[hostPair]CutForm
	frozen    map[string]chan struct{}
	packets   map[string]*packetConn
	// packetDelay is how long datagrams are on their way, in nanoseconds.
	packetDelay atomic.Int64
	// idleTimeouts holds the time after which a host forgets an idle connection.
	idleTimeouts map[string]time.Duration
	// keepAliveIdle and keepAliveTimeout are the times of keep-alive probes; see SetKeepAlive.
	keepAliveIdle, keepAliveTimeout time.Duration
	closed                          chan struct{}
}

type hostPair struct {
	a string
	b string
}

func pairOf(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}

	return hostPair{a: a, b: b}
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners:    make(map[string]*listener),
		conns:        make(map[*conn]struct{}),
		cutPairs:     make(map[hostPair]CutForm),
		frozen:       make(map[string]chan struct{}),
		idleTimeouts: make(map[string]time.Duration),
		closed:       make(chan struct{}),
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

// Dialer returns the dial function of the host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, host, addr)
	}
}

// Client returns an HTTP client that dials from the host.
func (n *Network) Client(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(host), MaxIdleConnsPerHost: 100}}
}

// dialTimeout is the timeout of a dial. It equals the dial timeout of the programs.
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
	form, isCut := n.cutPairs[pairOf(from, to)]
	n.mu.Unlock()
	if isCut {
		return nil, n.dialCut(ctx, form)
	}
	if l == nil {
		return nil, ErrRefused
	}
	dialEnd, acceptEnd := net.Pipe()
	dialed := &conn{Conn: dialEnd, n: n, host: from, peer: to, closed: make(chan struct{}), lastWriteAt: time.Now()}
	accepted := &conn{Conn: acceptEnd, n: n, host: to, peer: from, closed: make(chan struct{}), lastWriteAt: time.Now()}
	dialed.other, accepted.other = accepted, dialed
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

// Cut cuts two hosts off from each other: open connections break, and dials return ErrRefused after
// their timeout, like a dial to an address without a listener.
func (n *Network) Cut(a, b string) { n.Partition(a, b, cutBroken) }

// Heal reverts Cut and Partition.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cutPairs, pairOf(a, b))
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

// Freeze blocks the host's writes and writes to it until Thaw, and drops datagrams from and to it.
// Connections stay open and new ones are accepted.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw ends the freeze of a host: blocked writes continue.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed := n.frozen[host]; thawed != nil {
		close(thawed)
		delete(n.frozen, host)
	}
}

// Reset closes the open connections of the host at both ends, without a TCP reset: reads do not
// return ECONNRESET. New connections work.
func (n *Network) Reset(host string) {
	n.closeWhere(func(c *conn) bool { return c.host == host || c.peer == host })
}

// Blackhole blackholes the open connections of the host permanently: written data is lost, and the
// peer does not see them close. New connections work.
func (n *Network) Blackhole(host string) {
	n.silenceWhere(func(c *conn) bool { return c.host == host || c.peer == host })
}

// SetIdleTimeout makes the host drop the state of connections that were idle for longer than
// idleTimeout: the next write of the peer is answered with a reset. Zero disables it.
func (n *Network) SetIdleTimeout(host string, idleTimeout time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idleTimeouts[host] = idleTimeout
}

// recordWrite records a write, and reports whether the peer had dropped the state of the idle
// connection before it.
func (n *Network) recordWrite(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	timeout, now := n.idleTimeouts[c.peer], time.Now()
	expired := timeout > 0 && now.Sub(c.lastWriteAt) > timeout
	c.lastWriteAt = now

	return expired
}

// Close closes all connections and ends pending dials.
func (n *Network) Close() {
	n.mu.Lock()
	for c := range n.conns {
		c.blackholed.Store(false)
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

// unfreezeSignal returns a channel that is closed when a frozen one of the two hosts is thawed, or
// nil if neither is frozen.
func (n *Network) unfreezeSignal(host, peer string) chan struct{} {
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
	// other is the other end.
	other *conn
	abort abortState
	// closed is closed with this end and unblocks a write that waits for a frozen host.
	closed    chan struct{}
	closeOnce sync.Once
	// blackholed is set when written data and the close are lost; see Blackhole.
	blackholed atomic.Bool
	// reset is set when the peer has dropped the state of the connection, see SetIdleTimeout, or a cut
	// has reset it.
	reset atomic.Bool
	// lastWriteAt is the time of the last write of this end, guarded by the mutex of the network.
	lastWriteAt time.Time
}

// RemoteAddr returns the address of the peer host.
func (c *conn) RemoteAddr() net.Addr { return hostAddr(c.peer) }

// hostAddr is the address of a host, without a port.
type hostAddr string

// Network returns the name of the network.
func (hostAddr) Network() string { return "memnet" }

// String returns the host with port 0.
func (a hostAddr) String() string { return net.JoinHostPort(string(a), "0") }

// Write writes to the connection. It blocks while one of the hosts is frozen.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	if c.n.recordWrite(c) {
		// The write succeeds, as in TCP, and the next read returns the reset.
		c.reset.Store(true)

		return len(p), c.SetReadDeadline(time.Unix(0, 1))
	}
	for thawed := c.n.unfreezeSignal(c.host, c.peer); thawed != nil; thawed = c.n.unfreezeSignal(c.host, c.peer) {
		select {
		case <-thawed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}

	c.abort.writing.Add(1)
	defer c.abort.writing.Add(-1)
	n, err := c.Conn.Write(p)

	return n, c.abort.writeError(err)
}

// Read reads from the connection. It returns ECONNRESET once a write has found that the peer has
// dropped the state of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reset.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}

	return n, c.abort.readError(err)
}

// Close closes this end. The peer of a blackholed connection does not notice it.
func (c *conn) Close() error {
	if c.blackholed.Load() {
		c.closeOnce.Do(func() { close(c.closed) })

		return c.SetDeadline(time.Unix(0, 1))
	}
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	if c.abort.onClose.Load() {
		c.other.abort.aborted.Store(true)
	}

	return c.Conn.Close()
}

// listener accepts the connections that were dialed to its address.
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
