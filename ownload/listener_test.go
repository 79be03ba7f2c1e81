package ownload

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestListener checks that connections are closed unread while the box is late, and that those that
// were accepted no longer count once a request was read from them.
func TestListener(t *testing.T) {
	tcp, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inFlight, closed := 0, 0
	limiter := New(func() int { return inFlight })
	ln := NewListener(tcp, limiter, func() { closed++ })
	server := &http.Server{ConnState: ln.ConnState, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	get := func() error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+tcp.Addr().String(), nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)

		return resp.Body.Close()
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	if n := limiter.State().Unread; n != 0 {
		t.Errorf("%d connections count as unread, want none", n)
	}
	inFlight = 100
	now := time.Now()
	limiter.Observe(longLag, now)
	if get() == nil {
		t.Error("a request is answered although the box is late")
	}
	_ = server.Close()
	<-done
	if closed != 1 {
		t.Errorf("%d connections were closed unread, want 1", closed)
	}
}
