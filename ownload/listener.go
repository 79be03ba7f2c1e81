package ownload

import (
	"net"
	"net/http"
	"sync"

	"github.com/slatebridge/slatebridge/clock"
)

// Listener accepts connections of callers that a Limiter allows, and closes the others unread.
type Listener struct {
	net.Listener
	limiter *Limiter
	onClose func()

	mu sync.Mutex
	// unread holds the connections from which no request has been read.
	unread map[net.Conn]bool
}

// NewListener returns a Listener that calls onClose for each connection that it closes.
func NewListener(ln net.Listener, limiter *Limiter, onClose func()) *Listener {
	return &Listener{Listener: ln, limiter: limiter, onClose: onClose, unread: make(map[net.Conn]bool)}
}

// Accept returns the next connection that the limiter allows.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.Accept(clock.Now()) {
			l.mu.Lock()
			l.unread[c] = true
			l.mu.Unlock()

			return c, nil
		}
		l.onClose()
		closeUnread(c)
	}
}

// closeUnread closes a connection so that the caller learns at once that nothing was read: with a
// reset, also if it has sent something.
func closeUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ConnState is the hook for http.Server.ConnState, which tells when the first request of a connection
// is read.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return
	}
	l.mu.Lock()
	unread := l.unread[c]
	delete(l.unread, c)
	l.mu.Unlock()
	if unread {
		l.limiter.Read()
	}
}
