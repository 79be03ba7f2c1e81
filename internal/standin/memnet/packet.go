package memnet

import (
	"net"
	"sync"
	"time"
)

// maxQueuedPackets is the size of a socket's receive queue; further datagrams are dropped.
const maxQueuedPackets = 256

// packet is a datagram in a receive queue.
type packet struct {
	data []byte
	from addr
}

// ListenPacket opens a datagram socket at the address.
func (n *Network) ListenPacket(address string) net.PacketConn {
	c := &packetConn{n: n, addr: address, incoming: make(chan packet, maxQueuedPackets), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets == nil {
		n.packets = make(map[string]*packetConn)
	}
	n.packets[address] = c

	return c
}

// packetConn is a datagram socket.
type packetConn struct {
	n        *Network
	addr     string
	incoming chan packet
	once     sync.Once
	closed   chan struct{}
}

// ReadFrom reads the next datagram. It blocks until one arrives or the socket is closed.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case datagram := <-c.incoming:
		return copy(p, datagram.data), datagram.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. It is dropped silently if no socket listens at the address, the hosts
// are cut off from each other, one of them is frozen, or the receive queue is full.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	from, _, _ := net.SplitHostPort(c.addr)
	host, _, _ := net.SplitHostPort(to.String())
	c.n.mu.Lock()
	target := c.n.packets[to.String()]
	_, isCut := c.n.cutPairs[pairOf(from, host)]
	lost := target == nil || isCut || c.n.frozen[from] != nil || c.n.frozen[host] != nil
	c.n.mu.Unlock()
	if lost {
		return len(p), nil
	}
	datagram := packet{data: append([]byte(nil), p...), from: addr(c.addr)}
	if delay := time.Duration(c.n.packetDelay.Load()); delay > 0 {
		time.AfterFunc(delay, func() { target.deliver(datagram) })
	} else {
		target.deliver(datagram)
	}

	return len(p), nil
}

// deliver queues a datagram that has arrived.
func (c *packetConn) deliver(datagram packet) {
	select {
	case c.incoming <- datagram:
	default:
	}
}

// SetPacketDelay sets how long datagrams are on their way. Without a delay they arrive at the instant at which they
// are sent, and whether their receiver does first what it does at that instant itself is left to the scheduler.
func (n *Network) SetPacketDelay(delay time.Duration) { n.packetDelay.Store(int64(delay)) }

// Close closes the socket.
func (c *packetConn) Close() error {
	c.n.mu.Lock()
	if c.n.packets[c.addr] == c {
		delete(c.n.packets, c.addr)
	}
	c.n.mu.Unlock()
	c.once.Do(func() { close(c.closed) })

	return nil
}

// LocalAddr returns the address of the socket.
func (c *packetConn) LocalAddr() net.Addr { return addr(c.addr) }

// SetDeadline does nothing: deadlines of datagram sockets are not implemented.
func (c *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
