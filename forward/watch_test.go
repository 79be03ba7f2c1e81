package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
)

// TestPace: a box looks often only while something is under way, from its beginning on.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		looks := 0
		h := &Handler{work: underWay{began: make(chan struct{}, 1)}, runs: newRuns(), client: &http.Client{}, doubted: make(chan slatebridge.ServerID)}
		h.fleet = fleet.New("a", clock.Now)
		w := &watcher{h: h, every: idleEvery, last: clock.Now()}
		count := func(d time.Duration) int {
			looks = 0
			for end := time.Now().Add(d); time.Now().Before(end); looks++ {
				time.Sleep(w.every)
				w.look(t.Context(), clock.Now())
				w.pace()
			}

			return looks
		}
		if n, want := count(10*time.Second), int(10*time.Second/idleEvery); n != want {
			t.Errorf("%d looks without work, want %d", n, want)
		}
		end := h.work.begin()
		select {
		case <-h.work.began:
		default:
			t.Error("the watch is not told that work has begun")
		}
		w.pace()
		if n, want := count(10*time.Second), int(10*time.Second/watchEvery); n != want {
			t.Errorf("%d looks with work, want %d", n, want)
		}
		if h.stalledAt.Load() != 0 {
			t.Error("a change of pace counts as a stall")
		}
		end()
		count(watchEvery)
		if w.every != idleEvery {
			t.Errorf("looks every %s after the work", w.every)
		}
		h.work.begin()
		w.pace()
		w.last = clock.Now()
		time.Sleep(watchEvery + 2*stallLag)
		w.look(t.Context(), clock.Now())
		if h.stalledAt.Load() == 0 {
			t.Error("a box that stood still does not notice")
		}
	})
}
