package main

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/keepalive"
)

// Forms of a cut, as in the file.
const (
	// cutSilent makes open connections and new ones hang.
	cutSilent = "silent"
	// cutReset resets open connections and refuses new ones.
	cutReset = "reset"
	// cutNew refuses new connections while open ones go on.
	cutNew = "new"
)

// pollInterval is the pause between two looks at the file.
const pollInterval = 10 * time.Millisecond

// cutLinks are links to backend servers that can be cut from outside the process.
type cutLinks struct {
	file string

	mu    sync.Mutex
	form  string
	conns map[*cutConn]bool
}

func newCutLinks(file string) *cutLinks { return &cutLinks{file: file, conns: make(map[*cutConn]bool)} }

// watch applies the cut that the file names, for as long as the process lives.
func (l *cutLinks) watch() {
	for {
		// Without the file there is no cut.
		data, _ := os.ReadFile(l.file)
		l.apply(strings.TrimSpace(string(data)))
		time.Sleep(pollInterval)
	}
}

// apply begins or ends a cut.
func (l *cutLinks) apply(form string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if form == l.form {
		return
	}
	l.form = form
	for c := range l.conns {
		switch form {
		case cutSilent:
			c.silence()
		case cutReset:
			c.reset()
		}
	}
}

// dial opens a connection as the program does, unless the links are cut.
func (l *cutLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	form := l.form
	l.mu.Unlock()
	switch form {
	case cutSilent:
		select {
		case <-ctx.Done():
		case <-time.After(forward.ConnectTimeout()):
		}

		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	case cutReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := keepalive.NewDialer(forward.ConnectTimeout()).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: conn, links: l, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true

	return c, nil
}

// cutConn is a connection that a cut may silence or reset.
type cutConn struct {
	net.Conn
	links  *cutLinks
	silent atomic.Bool
	// ended is closed with the connection.
	ended chan struct{}
	once  sync.Once
}

// silence loses all that is sent and received from now on, until keep-alive probes break the
// connection.
func (c *cutConn) silence() {
	c.silent.Store(true)
	time.AfterFunc(keepalive.Timeout, func() { _ = c.Close() })
}

// reset breaks the connection at both ends.
func (c *cutConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Read reads from the connection.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.ended

		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
	}

	return n, err
}

// Write writes to the connection.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()

	return c.Conn.Close()
}
