package processes

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/slatebridge/slatebridge/gateway"
	"github.com/slatebridge/slatebridge/internal/standin/crowd"
)

// The crowds at a gateway and the bounds on what it may use.
const (
	crowdSize           = 300
	crowdHeads          = 3000
	crowdMaxMemoryMB    = 256
	crowdMaxDescriptors = 2500
)

// TestCrowdAtGateway guards against crowds of callers that make a gateway end, hang, or hold ever more
// memory or descriptors.
func TestCrowdAtGateway(t *testing.T) {
	for _, cr := range crowd.LargeBodies {
		t.Run(cr.Name, func(t *testing.T) { testCrowdAtGateway(t, cr, crowdSize, "") })
	}
	t.Run("large chats of short words", func(t *testing.T) {
		const head, tail = `{"model":"assistant","max_tokens":1,"messages":[{"role":"user","content":"`, `"}]}`
		words := strings.Repeat("x ", (gateway.DefaultMaxBodyBytes-len(head)-len(tail))/2)
		testCrowdAtGateway(t, crowd.Whole("large chats of short words", head+words+tail), crowdSize, "")
	})
	t.Run(crowd.HalfHeads.Name, func(t *testing.T) { testCrowdAtGateway(t, crowd.HalfHeads, crowdHeads, "") })
}

func testCrowdAtGateway(t *testing.T, cr crowd.Crowd, size int, gatewayExtra string) {
	t.Helper()
	c := startCluster(t, gatewayExtra)
	u := crowd.Watch(c.processes["gw-b1"].Process.Pid)
	t.Cleanup(u.Stop)
	end := cr.Gather(t.Context(), crowd.Target{
		Address: c.callerAddrs["b1"], MaxBody: gateway.DefaultMaxBodyBytes,
		Head: func(int) string {
			return "POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\nSlatebridge-Account: store\r\nContent-Type: application/json\r\n"
		},
	}, size)
	c.awaitChat("x")
	end()
	c.awaitChat("x")
	peak, err := u.PeakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of resident memory %d MB, %d descriptors", peak, u.Descriptors())
	if peak >= crowdMaxMemoryMB {
		t.Errorf("the gateway held %d MB, want less than %d", peak, crowdMaxMemoryMB)
	}
	if n := u.Descriptors(); n > crowdMaxDescriptors {
		t.Errorf("the gateway had %d descriptors, want %d at most", n, crowdMaxDescriptors)
	}
	const aboutLargest = gateway.DefaultMaxBodyBytes - 1000
	c.awaitChat(strings.Repeat("x", aboutLargest))
}

// awaitChat waits until a chat request with the content is answered.
func (c *cluster) awaitChat(content string) {
	c.t.Helper()
	c.eventually("a chat request is answered", func() bool {
		resp, err := c.post(context.Background(), "b1", "/v1/chat/completions", "",
			fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":%q}],"max_tokens":1}`, content))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	})
}
