package processes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/standin/crowd"
)

const (
	// endlessCallers send endlessRounds requests each, one after the other.
	endlessCallers = 40
	endlessRounds  = 3
	// endlessDeadline is how long they wait for an answer.
	endlessDeadline = 5 * time.Second
)

// TestCrowdAtEndlessPlainServer guards against a server of a plain service whose answers do not end and that
// makes a gateway end, hang or hold more memory than its bound.
func TestCrowdAtEndlessPlainServer(t *testing.T) {
	for name, answer := range crowd.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := startClusterWith(t, "", func(c *cluster) {
				c.addEndless(answer, slatebridge.BackendServer{ID: "p-endless", Hall: "h", Kind: slatebridge.PlainServer, Service: "refund", State: slatebridge.Live})
			})
			c.testEndless(refundPath, func() string { return uuid.Must(uuid.NewV7()).String() }, `{"n":1}`)
		})
	}
}

// TestCrowdAtEndlessEngine is TestCrowdAtEndlessPlainServer for an engine.
func TestCrowdAtEndlessEngine(t *testing.T) {
	for name, answer := range crowd.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := startClusterWith(t, "", func(c *cluster) {
				c.addEndless(answer, slatebridge.BackendServer{
					ID: "e-endless", Hall: "h", Kind: slatebridge.EngineServer, State: slatebridge.Live, LayersPerMillisecond: 1, MaxLayers: 8, ChecksFencingTokens: true,
				})
			})
			c.testEndless("/v1/chat/completions", func() string { return "" }, `{"model":"assistant","messages":[{"role":"user","content":"x"}],"max_tokens":1}`)
		})
	}
}

// addEndless adds a server whose answers do not end to the member list.
func (c *cluster) addEndless(answer crowd.Endless, s slatebridge.BackendServer) {
	c.t.Helper()
	var cfg net.ListenConfig
	ln, err := cfg.Listen(c.t.Context(), "tcp", c.freeAddr())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = ln.Close() })
	go answer.Serve(ln)
	s.URL = "http://" + ln.Addr().String()
	c.members.Servers = append(c.members.Servers, s)
}

// testEndless sends requests to a gateway, and checks that this and its controller stay within their bounds.
func (c *cluster) testEndless(path string, key func() string, body string) {
	c.t.Helper()
	usage := make(map[string]*crowd.Usage)
	for _, name := range []string{"gw-b1", "ct-b1"} {
		u := crowd.Watch(c.processes[name].Process.Pid)
		c.t.Cleanup(u.Stop)
		usage[name] = u
	}
	var callers sync.WaitGroup
	for range endlessCallers {
		callers.Go(func() {
			for range endlessRounds {
				ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
				if resp, err := c.post(ctx, "b1", path, key(), body); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	c.awaitChat("x")
	c.eventually("a call is answered", func() bool {
		return c.request("b1", refundPath, uuid.Must(uuid.NewV7()).String(), fmt.Sprintf(`{"n":%d}`, 2)).status == http.StatusOK
	})
	for name, u := range usage {
		peak, err := u.PeakMemoryMB()
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Logf("%s: peak of resident memory %d MB, %d descriptors", name, peak, u.Descriptors())
		if peak >= crowdMaxMemoryMB {
			c.t.Errorf("%s held %d MB, want less than %d", name, peak, crowdMaxMemoryMB)
		}
	}
}
