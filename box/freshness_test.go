package box

import (
	"testing"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/mesh"
)

// TestWordOfEarlierProcess guards against a copy that counts as current by what a box had said before it was
// started again with an older configuration.
func TestWordOfEarlierProcess(t *testing.T) {
	const stillOld, newer = 4, 5
	c := newTestControl(t)
	c.catalog = catalog.New(stillOld, catalog.Limits{}, nil, nil, nil, true)
	c.lastSentTimestamp = time.Minute.Microseconds()
	say := func(boot string, sentAt, version, age int64) {
		m := mesh.Message{
			Kind: mesh.Report, Box: "box-2", Hall: "a", Boot: boot, Address: "10.1.0.2:7340", SentAt: sentAt,
			ConfigVersion: version, ConfigAge: age, ServersAge: -1,
		}
		c.onPeerMessage(&peerMessage{message: mesh.ReceivedMessage{Message: m, Echo: c.lastSentTimestamp}, receivedAt: clock.Now()})
	}
	say("first", 100, newer, 0)
	if !c.configConfirmedAt.IsZero() {
		t.Fatal("version 4 counts as current by the word of a box that has version 5")
	}
	say("second", 1, stillOld, -1)
	if !c.configConfirmedAt.IsZero() {
		t.Error("version 4 counts as current as of when the box had version 5")
	}
	say("second", 2, stillOld, 0)
	if c.configConfirmedAt.IsZero() {
		t.Error("version 4 does not count as current by the word of a box that says so")
	}
}
