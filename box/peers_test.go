package box

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge/mesh"
)

// TestRetryBudgetBoxes checks that boxes reported by a lost relay share the retry budget until they
// are forgotten, and count as live until its reports are too old.
func TestRetryBudgetBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 30
		c := newTestControl(t)
		c.onPeerMessage(&peerMessage{receivedAt: time.Now(), message: mesh.ReceivedMessage{Message: mesh.Message{
			Kind: mesh.RelayDigest, Box: "box-2", Hall: "a", Boot: "2", SentAt: 1, Work: mesh.Work{Hall: "a", LiveBoxes: boxes, BudgetBoxes: boxes},
		}}})
		for _, v := range []struct {
			after time.Duration
			want  int
			live  int
		}{{0, boxes, boxes}, {digestTTL + time.Second, boxes, 1}, {peerRetention, 1, 1}} {
			time.Sleep(v.after)
			c.expirePeers(time.Now())
			c.updateHallWork(c.ownWork(time.Now()), time.Now())
			if n := c.retryBudgetBoxes(); n != v.want {
				t.Errorf("%d boxes share the retry budget after another %s, want %d", n, v.after, v.want)
			}
			c.publish()
			if n := c.box.state.Load().LiveBoxes; n != v.live {
				t.Errorf("%d boxes are live after another %s, want %d", n, v.after, v.live)
			}
		}
	})
}
