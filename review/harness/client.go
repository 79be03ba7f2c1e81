package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "till.example"

// client sends one request after the other on a channel that it keeps, as long as the box keeps it too.
type client struct {
	address string
	rec     *recorder
	c       net.Conn
	r       *bufio.Reader
}

// request is what a client sends.
type request struct {
	method, path, id, key string
	// tokens is the value of Token-Usage; empty for a plain request.
	tokens string
}

// answer is what a client gets. err is set if the answer is not whole.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// send sends a request and reads the whole answer.
func (c *client) send(ctx context.Context, q request) answer {
	a := c.exchange(ctx, q)
	if a.err != nil {
		c.close()
	}
	c.rec.add("client gets %d to %s, seal %q, %d bytes, whole: %t (%v)", a.status, q.id, a.seal, len(a.body), a.err == nil, a.err)

	return a
}

func (c *client) exchange(ctx context.Context, q request) answer {
	if c.c == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
		if err != nil {
			return answer{err: err}
		}
		c.c, c.r = conn, bufio.NewReader(conn)
	}
	c.rec.add("client sends %s: %s %s, key %q", q.id, q.method, q.path, q.key)
	_ = c.c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c.c, q.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}

	return answer{status: resp.StatusCode, seal: resp.Header.Get("Server-Seal"), body: string(body), err: err}
}

func (c *client) close() {
	if c.c != nil {
		_ = c.c.Close()
	}
	c.c = nil
}

// text returns the request as it is sent.
func (q request) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\n", q.method, q.path, host, q.id)
	if q.key != "" {
		_, _ = fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.tokens != "" {
		_, _ = fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %s\r\nPrompt-Prefix: 5c1e07a2:40,%s:60\r\n", q.tokens, q.id)
	}
	if q.method == http.MethodPost {
		b.WriteString("Content-Length: 2\r\n\r\nhi")
	} else {
		b.WriteString("\r\n")
	}

	return b.String()
}
