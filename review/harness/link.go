package main

import (
	"context"
	"io"
	"net"
	"sync"
)

// link passes connections on to an address. While it is cut, it is silent: it keeps what either side sends.
type link struct {
	to string

	mu sync.Mutex
	// whole is closed while the link is whole.
	whole chan struct{}
}

// newLink listens on a loopback address and returns the link and that address.
func newLink(ctx context.Context, to string) (*link, string, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	l := &link{to: to, whole: make(chan struct{})}
	close(l.whole)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(ctx, c)
		}
	}()

	return l, ln.Addr().String(), nil
}

// cut makes the link silent.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = make(chan struct{})
}

// heal makes the link pass on what it has kept, and what follows.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.whole)
}

// isCut reports whether the link is cut.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.whole:
		return false
	default:
		return true
	}
}

func (l *link) await(ctx context.Context) bool {
	l.mu.Lock()
	whole := l.whole
	l.mu.Unlock()
	select {
	case <-whole:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *link) pass(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	if !l.await(ctx) {
		return
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	done := make(chan struct{}, 1)
	go func() {
		l.copy(ctx, far, c)
		done <- struct{}{}
	}()
	go func() {
		l.copy(ctx, c, far)
		done <- struct{}{}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (l *link) copy(ctx context.Context, to io.Writer, from io.Reader) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !l.await(ctx) {
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
