package memnet

import (
	"context"
	"os"
	"syscall"
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

// Partition cuts two hosts off from each other in the given form, until Heal. Connections that went
// silent stay so.
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
	case CutReset:
		n.closeWhere(func(c *conn) bool {
			if between(c) {
				c.reset.Store(true)
			}

			return between(c)
		})
	case CutNew:
	case CutOneWay:
		n.silenceWhere(func(c *conn) bool { return c.host == a && c.peer == b })
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
