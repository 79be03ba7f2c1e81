package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/ownload"
)

// TestWatchInterval checks that the short interval applies from the start of an activity to its
// end, and that a change of the interval does not count as a stall.
func TestWatchInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checks := 0
		h := &Handler{activity: activity{started: make(chan struct{}, 1)}, load: ownload.New(func() int { return 0 }), monitor: newMonitor(), httpClient: &http.Client{}, livenessQueue: make(chan slatebridge.ServerID)}
		h.fleet = fleet.New("a", clock.Now)
		w := &watcher{h: h, interval: idleWatchInterval, lastTick: clock.Now()}
		count := func(d time.Duration) int {
			checks = 0
			for end := time.Now().Add(d); time.Now().Before(end); checks++ {
				time.Sleep(w.interval)
				w.tick(t.Context(), clock.Now())
				w.adjustInterval()
			}

			return checks
		}
		if n, want := count(10*time.Second), int(10*time.Second/idleWatchInterval); n != want {
			t.Errorf("%d checks while idle, want %d", n, want)
		}
		end := h.activity.begin()
		select {
		case <-h.activity.started:
		default:
			t.Error("no notification of the first activity")
		}
		w.adjustInterval()
		if n, want := count(10*time.Second), int(10*time.Second/watchInterval); n != want {
			t.Errorf("%d checks during an activity, want %d", n, want)
		}
		if h.stalledAt.Load() != 0 {
			t.Error("a change of the interval counts as a stall")
		}
		end()
		count(watchInterval)
		if w.interval != idleWatchInterval {
			t.Errorf("interval %s after the activity", w.interval)
		}
		h.activity.begin()
		w.adjustInterval()
		w.lastTick = clock.Now()
		time.Sleep(watchInterval + 2*maxSchedulingDelay)
		w.tick(t.Context(), clock.Now())
		if h.stalledAt.Load() == 0 {
			t.Error("a stall is not detected")
		}
	})
}

// TestIdleBoxIsNotLate guards against taking a box for late because it watches less often once it is
// idle: it would close the new connections of a time after each request.
func TestIdleBoxIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Handler{
			activity: activity{started: make(chan struct{}, 1)}, load: ownload.New(func() int { return 0 }), monitor: newMonitor(), fleet: fleet.New("a", time.Now),
			logger: zap.NewNop(), httpClient: &http.Client{}, livenessQueue: make(chan slatebridge.ServerID), state: func() State { return State{} },
		}
		go h.WatchStreams(t.Context())
		for range 3 {
			end := h.activity.begin()
			time.Sleep(time.Second)
			end()
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				if !h.load.Accept(clock.Now()) {
					t.Fatal("an idle box closes a new connection")
				}
				h.load.Read()
			}
		}
	})
}
