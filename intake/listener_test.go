package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge/internal/standin/memnet"
)

const (
	address        = "10.0.0.1:80"
	maxConnections = 4
	memoryBytes    = 1 << 20
)

// listenerFixture is a server with a Listener. Requests wait in the handler until their path is released.
type listenerFixture struct {
	t       *testing.T
	net     *memnet.Network
	memory  *Memory
	began   chan string
	release chan struct{}
	// closed counts the connections that were closed for others.
	closed chan struct{}
	// runs receives whether a request that was read may be run.
	runs chan bool
	// serveNext is called for each request, and ended receives each connection that the server has closed.
	serveNext func(r *http.Request)
	ended     chan struct{}
}

func newListenerFixture(t *testing.T) *listenerFixture {
	t.Helper()
	f := &listenerFixture{
		t: t, net: memnet.New(), memory: NewMemory(memoryBytes), began: make(chan string, 100), release: make(chan struct{}),
		closed: make(chan struct{}, 100), runs: make(chan bool, 100),
		serveNext: func(*http.Request) {}, ended: make(chan struct{}, 100),
	}
	ln := NewListener(f.net.Listen(address), f.memory, maxConnections, WithOnClose(func() { f.closed <- struct{}{} }))
	srv := &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	ln.Attach(srv)
	hook := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		hook(c, state)
		if state == http.StateClosed {
			f.ended <- struct{}{}
		}
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })

	return f
}

// serve reads the body, and answers a request to /wait once it is released.
func (f *listenerFixture) serve(w http.ResponseWriter, r *http.Request) {
	req := RequestOf(r.Context())
	f.began <- r.URL.Path
	f.serveNext(r)
	if _, err := ReadBody(r.Body, r.ContentLength, req.Hold()); err != nil {
		return
	}
	f.runs <- req.WasRead()
	if r.URL.Path == "/wait" {
		<-f.release
	}
	_, _ = io.WriteString(w, "done")
}

// awaitClosed waits until the server has closed a connection.
func (f *listenerFixture) awaitClosed() { <-f.ended }

// dial opens a connection and sends the text.
func (f *listenerFixture) dial(text string) net.Conn {
	f.t.Helper()
	c, err := f.net.Dialer("10.0.0.2")(f.t.Context(), "tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.WriteString(c, text)

	return c
}

// request returns a whole request.
func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// wantAnswer fails the test unless the connection has an answer.
func (f *listenerFixture) wantAnswer(c net.Conn) {
	f.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "done" {
		f.t.Errorf("the answer is %q", body)
	}
	_ = resp.Body.Close()
}

// wantClosed fails the test unless the connection ends without an answer.
func (f *listenerFixture) wantClosed(c net.Conn) {
	f.t.Helper()
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		f.t.Errorf("%d bytes, error %v, want a closed connection", n, err)
	}
}

func TestListener(t *testing.T) {
	t.Run("a connection that waits gives way to a new one", func(t *testing.T) {
		f := newListenerFixture(t)
		var idle []net.Conn
		for range maxConnections {
			idle = append(idle, f.dial("GET / HT"))
		}
		f.wantAnswer(f.dial(request("/")))
		f.wantClosed(idle[0])
		if len(f.closed) != 1 {
			t.Errorf("%d connections were closed, want 1", len(f.closed))
		}
	})
	t.Run("a request that is being read gives way, and is not run", func(t *testing.T) {
		f := newListenerFixture(t)
		var stalled []net.Conn
		for n := range maxConnections {
			stalled = append(stalled, f.dial(fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf", n)))
			<-f.began
		}
		f.wantAnswer(f.dial(request("/")))
		f.wantClosed(stalled[0])
		_, _ = io.WriteString(stalled[1], "123456")
		f.wantAnswer(stalled[1])
	})
	t.Run("requests that are served do not give way", func(t *testing.T) {
		f := newListenerFixture(t)
		var served []net.Conn
		for range maxConnections {
			served = append(served, f.dial(request("/wait")))
			<-f.began
			if !<-f.runs {
				t.Error("a request was not to be run")
			}
		}
		f.wantClosed(f.dial(request("/")))
		close(f.release)
		for _, c := range served {
			f.wantAnswer(c)
		}
	})
	t.Run("a kept connection serves one request after the other", func(t *testing.T) {
		f := newListenerFixture(t)
		c := f.dial("")
		for range 3 {
			_, _ = io.WriteString(c, request("/"))
			f.wantAnswer(c)
		}
	})
}

// TestHeadsAreReserved guards against heads that take memory without a bound.
func TestHeadsAreReserved(t *testing.T) {
	f := newListenerFixture(t)
	c := f.dial("GET / HTTP/1.1\r\nHost: a\r\nPadding: ")
	const piece = 16 << 10
	for range memoryBytes / headCost / piece {
		if _, err := io.WriteString(c, strings.Repeat("x", piece)); err != nil {
			break
		}
	}
	f.wantClosed(c)
	if f.memory.Used() > memoryBytes {
		t.Errorf("%d bytes are reserved", f.memory.Used())
	}
	f.wantAnswer(f.dial(request("/")))
}

// TestLateReservation guards against memory that stays reserved for good: what an attempt reserves that outlives
// its request is given back by nobody once the connection is closed.
func TestLateReservation(t *testing.T) {
	f := newListenerFixture(t)
	holds := make(chan *Hold, 1)
	f.serveNext = func(r *http.Request) { holds <- RequestOf(r.Context()).Hold() }
	c := f.dial(request("/"))
	f.wantAnswer(c)
	h := <-holds
	_ = c.Close()
	f.awaitClosed()
	if h.Grow(1000) || f.memory.Used() != 0 {
		t.Errorf("%d bytes stay reserved", f.memory.Used())
	}
}

// TestEvictedRequestIsNotRun guards against a request that runs although its connection was closed for
// others while the request was read.
func TestEvictedRequestIsNotRun(t *testing.T) {
	ln := NewListener(nil, NewMemory(memoryBytes), 1)
	first, second := &Conn{listener: ln, hold: ln.memory.Hold()}, &Conn{listener: ln, hold: ln.memory.Hold()}
	if _, ok := ln.admit(first); !ok {
		t.Fatal("the first connection was not admitted")
	}
	ln.setPhase(first, reading)
	if closed, ok := ln.admit(second); closed != first || !ok {
		t.Fatal("the first connection did not give way")
	}
	if (&Request{conn: first}).WasRead() {
		t.Error("the request of a closed connection may be run")
	}
	if ln.setPhase(second, serving); !(&Request{conn: second}).WasRead() {
		t.Error("a request may not be run")
	}
	if _, ok := ln.admit(&Conn{listener: ln, hold: ln.memory.Hold()}); ok {
		t.Error("a connection in use gave way")
	}
}
