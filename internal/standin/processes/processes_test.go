package processes

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/standin/engines"
)

const refundPath = "/v1/services/refunds/call"

func expectedText(tokens int) string {
	return engines.ExpectedAnswer(slatebridge.ModelVersion{Model: "isle", Version: "1"}, "", []string{"user:", "x"}, 16, tokens)
}

// TestKilledEngine checks that an answer is completed when an engine of its pipeline is killed.
func TestKilledEngine(t *testing.T) {
	c := startCluster(t, "")
	var wg sync.WaitGroup
	wg.Go(func() { c.requireChat("b1", 150, expectedText(150)) })
	var engine string
	c.eventually("an engine is busy", func() bool {
		engine = c.busyEngine()

		return engine != ""
	})
	c.signal(engine, syscall.SIGKILL)
	wg.Wait()
}

// TestStoppedEngine checks that an answer is completed when an engine of its pipeline is stopped,
// and that chats work after the engine is continued.
func TestStoppedEngine(t *testing.T) {
	c := startCluster(t, "")
	var wg sync.WaitGroup
	wg.Go(func() { c.requireChat("b1", 150, expectedText(150)) })
	var engine string
	c.eventually("an engine is busy", func() bool {
		engine = c.busyEngine()

		return engine != ""
	})
	c.stop(engine)
	wg.Wait()
	c.signal(engine, syscall.SIGCONT)
	c.requireChat("b1", 20, expectedText(20))
}

// TestStoppedGateway stops a gateway while one of its calls is running. A retry through the other
// box must not execute the call again, and the first caller gets the answer after the gateway is
// continued.
func TestStoppedGateway(t *testing.T) {
	// The call still runs when its gateway has been stopped.
	const callTime = 6 * time.Second
	c := startCluster(t, "")
	c.put("http://"+c.plainAddr+"/v1/faults", fmt.Sprintf(`{"delay":%d}`, callTime))
	key := uuid.Must(uuid.NewV7()).String()
	first := make(chan answer, 1)
	go func() { first <- c.request("b1", refundPath, key, `{"amount":1}`) }()
	c.eventually("the call is running", func() bool { return c.executions(key) == 1 })
	c.stop("gw-b1")
	if a := c.request("b2", refundPath, key, `{"amount":1}`); a.status != 502 || a.executionStatus != "maybe" {
		t.Errorf("retry while the first gateway is stopped: %+v", a)
	}
	c.signal("gw-b1", syscall.SIGCONT)
	if a := <-first; a.status != 200 {
		t.Errorf("answer to the first caller: %+v", a)
	}
	if a := c.request("b2", refundPath, key, `{"amount":1}`); a.status != 200 {
		t.Errorf("retry after the first gateway was continued: %+v", a)
	}
	if n := c.executions(key); n != 1 {
		t.Errorf("the call was executed %d times, want 1", n)
	}
}

// TestStoppedLeaseHolder checks that the other controller takes the lease over while its holder is
// stopped, and keeps it when the former holder is continued.
func TestStoppedLeaseHolder(t *testing.T) {
	c := startCluster(t, "")
	holder, other := "b1", "b2"
	if c.status("b2").HoldsLease {
		holder, other = "b2", "b1"
	}
	c.stop("ct-" + holder)
	c.eventually("the other box holds the lease", func() bool { return c.status(other).HoldsLease })
	c.signal("ct-"+holder, syscall.SIGCONT)
	c.eventually("the former holder knows the new holder", func() bool {
		s := c.status(holder)

		return !s.HoldsLease && s.LeaseHolder == slatebridge.BoxID(other)
	})
	if !c.status(other).HoldsLease {
		t.Error("the new holder lost the lease")
	}
	c.requireChat("b1", 5, expectedText(5))
}

// TestTerminatedGateway checks that a gateway completes a running answer on SIGTERM and then exits
// without an error.
func TestTerminatedGateway(t *testing.T) {
	c := startCluster(t, "")
	var wg sync.WaitGroup
	wg.Go(func() { c.requireChat("b1", 150, expectedText(150)) })
	c.eventually("an engine is busy", func() bool { return c.busyEngine() != "" })
	c.signal("gw-b1", syscall.SIGTERM)
	wg.Wait()
	if err := c.processes["gw-b1"].Wait(); err != nil {
		t.Errorf("the gateway exited with %v", err)
	}
	c.requireChat("b2", 5, expectedText(5))
}

// TestLongAnswerOutlivesReadTimeout checks that the timeouts for reading a request do not limit the
// duration of its answer.
func TestLongAnswerOutlivesReadTimeout(t *testing.T) {
	c := startCluster(t, "[limits]\nread_timeout = \"300ms\"\nheader_timeout = \"300ms\"\n")
	c.requireChat("b1", 100, expectedText(100))
}

// TestPlatformGone checks that chats work on both boxes after the log, the member list and one
// controller were killed.
func TestPlatformGone(t *testing.T) {
	c := startCluster(t, "")
	c.signal("log", syscall.SIGKILL)
	c.signal("list", syscall.SIGKILL)
	c.signal("ct-b1", syscall.SIGKILL)
	for range 5 {
		c.requireChat("b1", 5, expectedText(5))
		c.requireChat("b2", 5, expectedText(5))
		time.Sleep(200 * time.Millisecond)
	}
}
