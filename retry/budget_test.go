package retry

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start  = time.Unix(1000, 0)
	bounds = Bounds{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
)

// takePart takes one retry from the equal part of a box that reaches no grantor.
func takePart(b *Budget, boxes int, u Urgency, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.take("s", boxes, now, allotment{urgency: u, share: 1})
}

// takeAll takes retries from the equal part until none is left, and returns their number.
func takeAll(b *Budget, boxes int, now time.Time) int {
	n := 0
	for takePart(b, boxes, Required, now) {
		n++
	}

	return n
}

func wantRetries(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%d retries were allowed, want %d", got, want)
	}
}

func TestTake(t *testing.T) {
	// others returns a budget that knows of nine other boxes without usage.
	others := func() *Budget {
		b := New(bounds)
		b.SetPeerGroup("others", 9, nil, start)

		return b
	}
	t.Run("each box gets an equal part of the remaining budget", func(t *testing.T) {
		wantRetries(t, takeAll(others(), 10, start), 7)
	})
	t.Run("another part after the usage of other boxes arrives", func(t *testing.T) {
		b := others()
		takeAll(b, 10, start)
		b.SetPeerGroup("others", 9, nil, start.Add(3*time.Second))
		wantRetries(t, takeAll(b, 10, start.Add(3*time.Second)), 6)
	})
	t.Run("boxes never heard count as using their part", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("box 2", 1, nil, start)
		wantRetries(t, takeAll(b, 10, start), 1)
	})
	t.Run("requests of all boxes add to the budget", func(t *testing.T) {
		b := New(bounds)
		for range 100 {
			b.RecordRequest("s", start)
		}
		b.SetPeerGroup("hall b", 9, map[string]Usage{"s": {Requests: 400}}, start)
		wantRetries(t, takeAll(b, 10, start), 14)
	})
	t.Run("retries of other boxes count against the budget", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("hall b", 9, map[string]Usage{"s": {Retries: 70}}, start)
		wantRetries(t, takeAll(b, 10, start), 0)
	})
	t.Run("a silent hall counts as using its part", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("hall b", 9, map[string]Usage{"s": {}}, start)
		wantRetries(t, takeAll(b, 10, start.Add(time.Minute)), 0)
	})
	t.Run("a lower usage reported after a restart is ignored for a while", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("hall b", 9, map[string]Usage{"s": {Retries: 70}}, start)
		b.SetPeerGroup("hall b", 9, map[string]Usage{}, start.Add(time.Second))
		wantRetries(t, takeAll(b, 10, start.Add(time.Second)), 0)
		b.SetPeerGroup("hall b", 9, map[string]Usage{}, start.Add(3*time.Second))
		wantRetries(t, takeAll(b, 10, start.Add(3*time.Second)), 7)
	})
	t.Run("optional retries leave budget for required ones", func(t *testing.T) {
		b := New(bounds)
		n := 0
		for takePart(b, 1, Optional, start) {
			n++
		}
		wantRetries(t, n, 40)
		wantRetries(t, takeAll(b, 1, start), 30)
	})
	t.Run("retries are limited to a ratio of the requests", func(t *testing.T) {
		b := New(Bounds{Ratio: 0.1, Extra: 2, Window: bounds.Window})
		n := 0
		for range 100 {
			b.RecordRequest("s", start)
			if b.Take("s", start) {
				n++
			}
		}
		wantRetries(t, n, 8)
	})
	t.Run("services have separate budgets", func(t *testing.T) {
		b := New(bounds)
		takeAll(b, 1, start)
		if !b.Take("other", start) {
			t.Error("the other service has no retry")
		}
	})
	t.Run("new bounds apply immediately", func(t *testing.T) {
		b := New(bounds)
		b.SetBounds(Bounds{Window: bounds.Window})
		wantRetries(t, takeAll(b, 1, start), 0)
	})
}

func TestLeaves(t *testing.T) {
	// takeLeaving takes retries as long as they leave the share, and returns their number.
	takeLeaving := func(b *Budget, share float64) int {
		n := 0
		for b.Leaves("s", 1, share, start) && b.Take("s", start) {
			n++
		}

		return n
	}
	t.Run("a share of zero leaves nothing", func(t *testing.T) {
		wantRetries(t, takeLeaving(New(bounds), 0), 70)
	})
	t.Run("others get what is left", func(t *testing.T) {
		b := New(bounds)
		wantRetries(t, takeLeaving(b, 0.5), 35)
		wantRetries(t, takeLeaving(b, 0.2), 21)
		wantRetries(t, takeAll(b, 1, start), 14)
	})
	t.Run("retries of other boxes count", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("hall b", 0, map[string]Usage{"s": {Retries: 30}}, start)
		wantRetries(t, takeLeaving(b, 0.5), 5)
	})
}

func TestTakeLocalLeaving(t *testing.T) {
	const hallBoxes, allBoxes = 20, 59
	// takeLocal takes retries from the allotment as long as they leave the share, and returns their
	// number.
	takeLocal := func(b *Budget, boxes int, share float64) int {
		n := 0
		for b.TakeLocalLeaving("s", boxes, share, start) {
			n++
		}

		return n
	}
	// cutOff returns the budget of a box that hears only those of its hall.
	cutOff := func(other *peerGroup) *Budget {
		b := New(Bounds{Extra: 10_000, Window: bounds.Window})
		b.SetPeerGroup("own hall", hallBoxes-1, nil, start)
		if other != nil {
			b.SetPeerGroup("other halls", other.boxes, other.usage, start.Add(-time.Hour))
		}

		return b
	}
	for name, other := range map[string]*peerGroup{
		"silent boxes": {boxes: allBoxes - hallBoxes, usage: map[string]Usage{"s": {Requests: 100}}}, "unknown boxes": nil,
	} {
		t.Run(name+" use up no reserve", func(t *testing.T) {
			all := takeLocal(cutOff(other), allBoxes, 0)
			for _, share := range []float64{0.2, 0.35, 0.5} {
				if got, want := takeLocal(cutOff(other), allBoxes, share), (1-share)*float64(all); math.Abs(float64(got)-want) > 1 {
					t.Errorf("leaving %.2f: %d retries, want %.1f of %d", share, got, want, all)
				}
			}
		})
	}
	t.Run("the allotments of all boxes together leave the share", func(t *testing.T) {
		b := New(bounds)
		b.SetPeerGroup("others", 1, nil, start)
		wantRetries(t, takeLocal(b, 2, 0.5), 4)
		wantRetries(t, takeLocal(b, 2, 0), 4)
	})
	t.Run("no rounding goes into the share", func(t *testing.T) {
		b := New(bounds, WithRounding(1))
		b.SetPeerGroup("others", 0, map[string]Usage{"s": {Retries: 36}}, start)
		wantRetries(t, takeLocal(b, 1, 0.5), 0)
		wantRetries(t, takeLocal(b, 1, 0.2), 6)
	})
}

func TestSum(t *testing.T) {
	b := New(bounds)
	b.RecordRequest("s", start)
	takeAll(b, 100, start)
	own := b.Usage(start)
	other := map[string]Usage{"s": {Requests: 4, Retries: 2}, "t": {Requests: 1}}
	sum := Sum(own, other)
	if diff := cmp.Diff(map[string]Usage{"s": {Requests: 5, Retries: 2}, "t": {Requests: 1}}, sum); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]Usage{"s": {Requests: 4, Retries: 2}, "t": {Requests: 1}}, Subtract(sum, own)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]Usage{"s": {}}, Subtract(own, other)); diff != "" {
		t.Error(diff)
	}
}

// TestSimultaneousStart checks that boxes that have just started and want a retry for each request,
// before they have heard of each other, stay within the budget.
func TestSimultaneousStart(t *testing.T) {
	const (
		boxes    = 59
		requests = 20
	)
	retries := 0
	for range boxes {
		b := New(bounds, WithStartTime(start))
		for i := range requests {
			now := start.Add(time.Duration(i) * stepLength)
			b.RecordRequest("s", now)
			if takeLocalOrGranted(b, b, 1, Required, now) {
				retries++
			}
		}
	}
	if limit := int(bounds.Ratio*boxes*requests + bounds.Extra); retries > limit {
		t.Errorf("%d retries, the budget is %d", retries, limit)
	}
	t.Run("a box takes its part once it has heard of the others", func(t *testing.T) {
		b := New(bounds, WithStartTime(start))
		wantRetries(t, takeAll(b, 2, start.Add(propagationDelay)), takeAll(New(bounds), 2, start.Add(propagationDelay)))
	})
}

func peerName(kind string, i int) string { return kind + " " + string(rune('a'+i)) }

func BenchmarkTake(b *testing.B) {
	budget := New(bounds)
	for i := range 43 {
		budget.SetPeerGroup(peerName("box", i), 1, map[string]Usage{"s": {Requests: 100, Retries: 1}}, start)
	}
	for b.Loop() {
		budget.TakeLocal("s", 340, Required, start)
	}
}
