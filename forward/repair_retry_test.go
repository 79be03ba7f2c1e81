package forward

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/retry"
)

// TestRetriesOfOtherBoxes checks that streams that wait for a retry of other boxes do not hold up the
// moves of others.
func TestRetriesOfOtherBoxes(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		firsts := []slatebridge.ServerID{"f2", "f3"}
		rt.addSilentServers(firsts...)
		rt.h.requestRetry = func(context.Context, string, retry.Urgency) bool {
			time.Sleep(60 * time.Millisecond)

			return false
		}
		var stranded, moved []*streamAttempt
		for i := range maxRetriedRepairs * 2 {
			stranded = append(stranded, rt.streamFrom(firsts[i%2], fmt.Sprint("stranded", i), 0))
			moved = append(moved, rt.stream(fmt.Sprint("moved", i), 1))
		}
		for _, id := range firsts {
			rt.h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))
		}
		rt.lose(append(stranded, moved...)...)
		time.Sleep(30 * time.Millisecond)
		for _, a := range moved {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s has not been moved", a.requestID)
			}
		}
		rt.settle()
		if rt.h.repairs.has(stranded[0]) {
			rt.Error("a repair has not ended")
		}
	})
}

// TestLivenessOfSilentFirstServer checks that a first server that does not respond to a move is
// queried, although another server of the path is suspect already.
func TestLivenessOfSilentFirstServer(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		rt.addSilentServers("silent")
		rt.lose(rt.streamFrom("silent", "r", 0))
		time.Sleep(3 * reportTimeout)
		if diff := cmp.Diff([]slatebridge.ServerID{lostServer, "silent"}, slices.Sorted(slices.Values(rt.h.fleet.Suspects()))); diff != "" {
			rt.Error(diff)
		}
		cancel()
		rt.settle()
	})
}

// TestWaitingStreamIsRetried checks that a stream that waits for room is moved soon after there is
// some, and not only at its next regular check.
func TestWaitingStreamIsRetried(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		a := rt.stream("r", 0)
		_, full, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 965, Exclude: []slatebridge.ServerID{lostServer}, Limits: fleet.Limits{Memory: 0.99}})
		rt.lose(a)
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(560 * time.Millisecond)
		wantMoves(rt)
		full.Release()
		time.Sleep(repairRetryInterval + 2*watchInterval)
		wantServer(rt, a, "s2")
	})
}

// TestWaitingStreamsThatFitNowhere checks that urgent streams that fit nowhere do not keep others from
// being tried again.
func TestWaitingStreamsThatFitNowhere(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		const large, small = maxRetriedRepairs, 3 * maxRetriedRepairs
		var all []*streamAttempt
		for i := range large + small {
			a := rt.stream(fmt.Sprint("r", i), min(i/large, 1))
			if i < large {
				a.kvTokens = 5000
			}
			all = append(all, a)
		}
		rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Address: "f2:80", Layers: slatebridge.LayerRange{To: 4}})
		_, full, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 965, Exclude: []slatebridge.ServerID{lostServer, "first"}, Limits: fleet.Limits{Memory: 0.99}})
		rt.lose(all...)
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(560 * time.Millisecond)
		wantMoves(rt)
		full.Release()
		time.Sleep(small/maxRetriedRepairs*repairRetryInterval + 2*watchInterval)
		for _, a := range all[large:] {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s still waits", a.requestID)
			}
		}
	})
}

// TestRefusalOfOneStream checks that a server that refuses one stream, however often, is still used
// by others, and that it is left alone for a moment once it has refused two in a row.
func TestRefusalOfOneStream(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		large, large2, small := rt.stream("large", 0), rt.stream("large2", 0), rt.stream("small", 0)
		rt.answer = func(id string, p fleet.Path) error {
			if id != "small" {
				return refusedBy("s2")(id, p)
			}

			return nil
		}
		wantRefused := func(want bool, streams ...*streamAttempt) {
			rt.Helper()
			for _, a := range streams {
				rt.lose(a)
				time.Sleep(10 * time.Millisecond)
			}
			p, r, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 10})
			r.Release()
			if (p == nil) != want {
				rt.Errorf("path of another request: %s", p)
			}
		}
		wantRefused(false, large, large)
		wantRefused(false, small)
		if path, _ := small.current(); path.Contains(lostServer) {
			rt.Error("the small stream has not been moved")
		}
		wantRefused(false, large)
		wantRefused(true, large2)
		wantMoves(rt, "large first[0,4)>s2[4,8)", "large first[0,4)>s2[4,8)", "small first[0,4)>s2[4,8)", "large first[0,4)>s2[4,8)", "large2 first[0,4)>s2[4,8)")
	})
}

// TestWaitingForRetry checks that a stream that lost its first server when the budget had no retry is
// restarted soon after there is one.
func TestWaitingForRetry(t *testing.T) {
	withRepairs(t, 0, []string{"s1"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		a := rt.stream("r", 0)
		rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Layers: slatebridge.LayerRange{To: 4}})
		rt.h.fleet.Suspect("first", clock.Now().Add(suspicionTTL))
		// Of the regular checks, one is just over and the next one comes after half a second.
		time.Sleep(600 * time.Millisecond)
		if !a.replaceable() {
			rt.Fatal("the stream is restarted without a retry")
		}
		rt.h.SetBounds(Bounds{Retry: retry.Bounds{Extra: 100, Window: 10 * time.Second}})
		time.Sleep(repairRetryInterval + 2*watchInterval)
		if a.replaceable() {
			rt.Error("the stream still waits")
		}
	})
}

// TestWaitingStreams replays replacements without room, at which more streams wait than have room as
// others end there. It checks that the most urgent ones get it.
func TestWaitingStreams(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.h.activity.begin()
		ctx, cancel := context.WithCancel(rt.Context())
		defer cancel()
		go rt.h.WatchStreams(ctx)
		var room atomic.Int64
		rt.answer = func(_ string, p fleet.Path) error {
			if room.Add(-1) < 0 {
				room.Add(1)

				return refusedBy("s2")("", p)
			}

			return nil
		}
		var all []*streamAttempt
		for i, priority := range []int{1, 0, 1, 0, 1, 1, 0, 1, 0, 1} {
			all = append(all, rt.stream(fmt.Sprint("r", i), priority))
		}
		rt.lose(all...)
		time.Sleep(400 * time.Millisecond)
		room.Store(4)
		// The server is left alone for up to a second after each rejection.
		time.Sleep(time.Second + 2*repairRetryInterval)
		for i, a := range all {
			if path, _, _ := a.state(); path.Contains("s2") != (a.request.priority == 0) {
				rt.Errorf("stream %d of priority %d is on %s", i, a.request.priority, path)
			}
		}
	})
}
