package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge/catalog"
)

// TestUnusableServers checks, for each belief about a server of a service without a model, that it is
// counted by its reason, and that it ends without news where it is not of the server's own word.
func TestUnusableServers(t *testing.T) {
	entry := catalog.Server{ID: "s1", Service: "till", Hall: "a", Slots: 6, Address: "10.1.0.1:80"}
	const suspicion = 700 * time.Millisecond
	for name, v := range map[string]struct {
		begin func(n *fakeClockFleet)
		want  Unusable
		// lasts is how long the belief lasts without news; zero if it lasts until there is news.
		lasts time.Duration
	}{
		"listed":            {func(*fakeClockFleet) {}, "", 0},
		"suspected":         {func(n *fakeClockFleet) { n.Suspect("s1", n.now.Add(suspicion)) }, UnusableSuspect, suspicion},
		"rejecting":         {func(n *fakeClockFleet) { n.RecordRejection("s1") }, "", 0},
		"connection failed": {func(n *fakeClockFleet) { n.RecordConnectionFailure("s1") }, "", 0},
		"slow":              {func(n *fakeClockFleet) { n.RecordSlowness("s1", 9) }, "", 0},
		"all failed":        {func(n *fakeClockFleet) { n.RecordResponse("s1", false, time.Second) }, "", 0},
		"address taken":     {func(n *fakeClockFleet) { n.RecordAddressConflict("s1") }, UnusableAddressTaken, addressConflictTTL},
		"cooling down": {
			func(n *fakeClockFleet) { n.ApplyNotice("s1", Notice{Cooldown: time.Second}) }, UnusableCoolingDown, time.Second + maxCooldownJitter,
		},
		"announced as leaving": {func(n *fakeClockFleet) { n.ApplyNotice("s1", Notice{Leaving: true}) }, UnusableLeaving, 0},
		"listed as leaving": {func(n *fakeClockFleet) {
			leaving := entry
			leaving.Leaving = true
			n.Set(leaving)
		}, UnusableLeaving, 0},
		"invalid entry": {func(n *fakeClockFleet) {
			invalid := entry
			invalid.EntryInvalid = true
			n.Set(invalid)
		}, UnusableInvalidEntry, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newFakeClockFleet(t)
			n.Set(entry)
			v.begin(n)
			want := map[Unusable]int{}
			if v.want != "" {
				want[v.want] = 1
			}
			wantUnusable(t, n, want)
			if v.lasts > 0 {
				n.advance(v.lasts + time.Millisecond)
				wantUnusable(t, n, map[Unusable]int{})
			} else {
				n.advance(time.Hour)
				wantUnusable(t, n, want)
			}
		})
	}
}

// wantUnusable fails the test unless the servers of the service are unusable for these reasons, and
// one is picked if and only if it is usable.
func wantUnusable(t *testing.T, n *fakeClockFleet, want map[Unusable]int) {
	t.Helper()
	if diff := cmp.Diff(want, n.UnusableServers("till")); diff != "" {
		t.Error(diff)
	}
	if _, r, ok := n.Pick("till", nil); ok != (len(want) == 0) {
		t.Errorf("server found: %t", ok)
	} else if ok {
		r.Release()
	}
}

// TestWhoSuspects checks that a server that only other boxes report dead is told apart from one that
// this box suspects itself.
func TestWhoSuspects(t *testing.T) {
	n := newFakeClockFleet(t, "s1", "s2")
	n.SuspectReported("s1", n.now.Add(time.Second))
	n.SuspectReported("s2", n.now.Add(time.Second))
	n.Suspect("s2", n.now.Add(time.Second))
	want := map[Unusable]int{UnusableReported: 1, UnusableSuspect: 1}
	if diff := cmp.Diff(want, n.UnusableServers("till")); diff != "" {
		t.Errorf("unusable servers (-want +got):\n%s", diff)
	}
}
