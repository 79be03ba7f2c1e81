package memnet

import (
	"context"
	"os"
	"syscall"
	"time"
)

// CutForm is the way in which two hosts are cut off from each other.
type CutForm int

const (
	// cutBroken breaks open connections, and dials fail after their timeout; see Cut.
	cutBroken CutForm = iota
	// CutSilent drops all packets: open connections and dials hang.
	CutSilent
	// CutReset resets open connections and refuses new ones.
	CutReset
	// CutNew refuses new connections while open ones go on.
	CutNew
	// CutOneWay drops the packets from the first host to the second one only.
	CutOneWay
)

// String returns the name of the form for subtests.
func (f CutForm) String() string {
	return [...]string{"broken", "silent", "reset", "new connections refused", "one way"}[f]
}

// SetKeepAlive makes connections that a cut has silenced break with a reset, as keep-alive probes do:
// one is sent after each idle time, and the connection breaks when the last answer is timeout old.
func (n *Network) SetKeepAlive(idle, timeout time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keepAliveIdle, n.keepAliveTimeout = idle, timeout
}

// Partition cuts two hosts off from each other in the given form, until Heal. Connections that went
// silent stay so, or break; see SetKeepAlive.
func (n *Network) Partition(a, b string, form CutForm) {
	n.mu.Lock()
	n.cutPairs[pairOf(a, b)] = form
	n.mu.Unlock()
	between := func(c *conn) bool { return pairOf(c.host, c.peer) == pairOf(a, b) }
	switch form {
	case cutBroken:
		n.closeWhere(between)
	case CutSilent:
		n.silenceWhere(between)
		n.resetLater(between)
	case CutReset:
		n.resetWhere(between)
	case CutNew:
	case CutOneWay:
		n.silenceWhere(func(c *conn) bool { return c.host == a && c.peer == b })
		n.resetLater(between)
	}
}

// resetWhere resets the matching ends of connections.
func (n *Network) resetWhere(match func(c *conn) bool) {
	n.closeWhere(func(c *conn) bool {
		if match(c) {
			c.blackholed.Store(false)
			c.reset.Store(true)
		}

		return match(c)
	})
}

// resetLater resets those of the matching ends of connections that are open now once keep-alive probes
// have failed.
func (n *Network) resetLater(match func(c *conn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keepAliveTimeout == 0 {
		return
	}
	for c := range n.conns {
		if !match(c) {
			continue
		}
		lastAnswer := time.Since(c.lastWriteAt) % n.keepAliveIdle
		time.AfterFunc(n.keepAliveTimeout-lastAnswer, func() { n.resetWhere(func(v *conn) bool { return v == c }) })
	}
}

// silenceWhere loses all that is written at the matching ends of connections from now on.
func (n *Network) silenceWhere(match func(c *conn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c) {
			c.blackholed.Store(true)
		}
	}
}

// dialCut returns the error of a dial between hosts that are cut off from each other.
func (n *Network) dialCut(ctx context.Context, form CutForm) error {
	if form == CutReset || form == CutNew {
		return ErrRefused
	}
	select {
	case <-ctx.Done():
	case <-n.closed:
	}
	if form == cutBroken {
		return ErrRefused
	}

	return os.NewSyscallError("connect", syscall.ETIMEDOUT)
}
