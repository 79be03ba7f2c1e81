package box

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/mesh"
)

func TestAcceptSuspicion(t *testing.T) {
	// suspectsAfterReport returns which servers are suspected after a box of the hall has reported one
	// dead, with the servers that two boxes found dead as far as it knows.
	suspectsAfterReport := func(t *testing.T, hall slatebridge.HallID, dead slatebridge.ServerID, confirmed []slatebridge.ServerID, before func(c *control)) []slatebridge.ServerID {
		t.Helper()
		var got []slatebridge.ServerID
		synctest.Test(t, func(t *testing.T) {
			c := newTestControl(t)
			if before != nil {
				before(c)
			}
			c.onPeerMessage(&peerMessage{receivedAt: time.Now(), message: mesh.ReceivedMessage{Message: mesh.Message{
				Kind: mesh.Suspicion, Box: "box-2", Hall: hall, SuspectedServers: []slatebridge.ServerID{dead}, ConfirmedDead: confirmed,
			}}})
			got = c.box.fleet.Suspects()
		})

		return got
	}
	suspectsAfter := func(t *testing.T, hall slatebridge.HallID, dead slatebridge.ServerID, before func(c *control)) []slatebridge.ServerID {
		t.Helper()

		return suspectsAfterReport(t, hall, dead, nil, before)
	}
	progress := func(ago time.Duration) func(c *control) {
		return func(c *control) {
			s, _ := c.box.fleet.Server("a1")
			c.box.fleet.RecordProgress(fleet.Path{{Server: s}})
			time.Sleep(ago)
		}
	}
	want := func(t *testing.T, got []slatebridge.ServerID, want ...slatebridge.ServerID) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	t.Run("a box of the same hall is trusted on that hall", func(t *testing.T) {
		want(t, suspectsAfter(t, "a", "a1", nil), "a1")
	})
	t.Run("two boxes of the same hall are trusted on another hall, one is not", func(t *testing.T) {
		want(t, suspectsAfter(t, "a", "b1", nil))
		want(t, suspectsAfterReport(t, "a", "b1", []slatebridge.ServerID{"b1"}, nil), "b1")
	})
	t.Run("a relay that hears of it from two boxes suspects a server of another hall", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newTestControl(t)
			for _, box := range []slatebridge.BoxID{"box-2", "box-3"} {
				c.addPeer(box, "a", func(o *peerBox) { o.lastReport.asOf = time.Now() })
				c.onPeerMessage(&peerMessage{receivedAt: time.Now(), message: mesh.ReceivedMessage{Message: mesh.Message{
					Kind: mesh.Suspicion, Box: box, Hall: "a", SuspectedServers: []slatebridge.ServerID{"b1"},
				}}})
			}
			want(t, c.box.fleet.Suspects(), "b1")
		})
	})
	t.Run("a box of another hall is trusted on its own hall", func(t *testing.T) {
		want(t, suspectsAfter(t, "b", "b1", nil), "b1")
		want(t, suspectsAfter(t, "b", "a1", nil))
	})
	t.Run("a server with recent stream progress is not suspected", func(t *testing.T) {
		want(t, suspectsAfter(t, "a", "a1", progress(progressWindow/2)))
	})
	t.Run("a server whose progress is too old is suspected", func(t *testing.T) {
		want(t, suspectsAfter(t, "a", "a1", progress(2*progressWindow)), "a1")
	})
}

// TestSuspicionAcrossHalls checks that once two boxes of a hall have found one of its servers dead,
// boxes of other halls learn it before the next gossip round. A suspicion of a single box stays in
// its hall, since the box may be at fault.
func TestSuspicionAcrossHalls(t *testing.T) {
	dead := []slatebridge.ServerID{"a1"}
	for name, reporters := range map[string][]slatebridge.BoxID{"one box": {"a-3"}, "two boxes": {"a-3", "a-2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				boxes := startHalls(t)
				// The rounds of all boxes coincide; this is between two of them.
				time.Sleep(4*time.Second + tickInterval/2)
				for _, b := range boxes {
					for _, f := range reporters {
						if b.settings.Hall == "a" && b.settings.Box != f {
							b.post(&peerMessage{receivedAt: time.Now(), message: mesh.ReceivedMessage{Message: mesh.Message{
								Kind: mesh.Suspicion, Box: f, Hall: "a", SuspectedServers: dead,
							}}})
						}
					}
				}
				time.Sleep(pushInterval + 10*time.Millisecond)
				for _, b := range boxes {
					// All boxes of both halls immediately apply what two boxes have found.
					confirmed := len(b.fleet.ConfirmedSuspects()) > 0
					if confirmed != (len(reporters) > 1) && !slices.Contains(reporters, b.settings.Box) {
						t.Errorf("%s has confirmed suspects: %v", b.settings.Box, confirmed)
					}
					want := dead
					if b.settings.Hall == "b" && len(reporters) == 1 {
						want = nil
					}
					if diff := cmp.Diff(want, b.fleet.Suspects()); diff != "" && !slices.Contains(reporters, b.settings.Box) {
						t.Errorf("%s: %s", b.settings.Box, diff)
					}
				}
			})
		})
	}
}
