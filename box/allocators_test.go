package box

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

// limited is the rate-limited server of these tests.
var limited = catalog.Server{ID: "s-1", Hall: "a"}

// newAllocators returns allocators with the given boxes in each hall.
func newAllocators(halls map[slatebridge.HallID][]slatebridge.BoxID) *allocators {
	v := &allocators{byHall: make(map[slatebridge.HallID][]relay.Candidate), liveShare: 1}
	for hall, boxes := range halls {
		for _, b := range boxes {
			v.byHall[hall] = append(v.byHall[hall], relay.Candidate{Box: b, Address: string(b) + ":1"})
		}
	}

	return v
}

func TestAllocator(t *testing.T) {
	for name, v := range map[string]struct {
		halls map[slatebridge.HallID][]slatebridge.BoxID
		want  []slatebridge.BoxID
	}{
		"a box of the server's hall": {map[slatebridge.HallID][]slatebridge.BoxID{"a": {"a1", "a2"}, "b": {"b1"}}, []slatebridge.BoxID{"a1", "a2"}},
		"no box of its hall is seen": {map[slatebridge.HallID][]slatebridge.BoxID{"a": nil, "b": {"b1"}}, []slatebridge.BoxID{"b1"}},
		"no box is seen":             {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := newAllocators(v.halls).allocator(limited)
			if ok != (len(v.want) > 0) || (ok && !slices.Contains(v.want, got.Box)) {
				t.Errorf("%s, %t; want one of %v", got.Box, ok, v.want)
			}
		})
	}
}

// TestAllocatorHandover checks that a new allocator gives no grants for handoverDelay, and that a
// box that already was the allocator continues.
func TestAllocatorHandover(t *testing.T) {
	both := newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"a1", "a2"}})
	first, _ := both.allocator(limited)
	other := slatebridge.BoxID("a1")
	if first.Box == other {
		other = "a2"
	}
	alone := newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {other}})
	for name, v := range map[string]struct {
		box     slatebridge.BoxID
		before  *allocators
		now     *allocators
		after   time.Duration
		granted bool
	}{
		"it became the allocator":       {other, both, alone, handoverDelay - time.Millisecond, false},
		"the handover delay has passed": {other, both, alone, handoverDelay, true},
		"it already was the allocator":  {first.Box, both, newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {first.Box}}), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			c.box.settings.Box = v.box
			g := newGrants(c.box)
			began := time.Now()
			v.before.asOf, v.now.asOf = began.Add(-time.Minute), began
			g.setAllocators(v.before)
			g.setAllocators(v.now)
			now := began.Add(v.after)
			observed := []allowance.Observation{{Rate: 5, SentAt: began, ReadAt: began}}
			ask := mesh.GrantMessage{Server: limited.ID, Hall: limited.Hall, MaxWait: time.Second.Microseconds()}
			if m := g.allocate("b", ask, observed, now); m.Granted != v.granted {
				t.Errorf("granted %t after %s", m.Granted, v.after)
			}
		})
	}
}

// TestHandoverDuringChanges checks that a change in another hall does not shorten the delay of a new
// allocator.
func TestHandoverDuringChanges(t *testing.T) {
	c := newTestControl(t)
	c.box.settings.Box = "a2"
	g, began := newGrants(c.box), time.Now()
	for i, halls := range []map[slatebridge.HallID][]slatebridge.BoxID{
		{"a": {"a1"}, "b": {"b1", "b2"}},
		{"a": {"a2"}, "b": {"b1", "b2"}},
		{"a": {"a2"}, "b": {"b1"}},
		{"a": {"a2"}, "b": {"b2"}},
	} {
		v := newAllocators(halls)
		v.asOf = began.Add(time.Duration(i) * 100 * time.Millisecond)
		g.setAllocators(v)
	}
	becameAt := began.Add(100 * time.Millisecond)
	for _, delay := range []time.Duration{handoverDelay, retry.GrantorWarmup} {
		if remaining := g.handoverRemaining(limited, delay, becameAt.Add(delay-time.Millisecond)); remaining != time.Millisecond {
			t.Errorf("%s are left of a delay of %s, want a millisecond", remaining, delay)
		}
		if remaining := g.handoverRemaining(limited, delay, becameAt.Add(delay)); remaining != 0 {
			t.Errorf("%s are left after a delay of %s", remaining, delay)
		}
	}
}

// TestAllocatorRedirect checks that a box that is not the allocator names the allocator.
func TestAllocatorRedirect(t *testing.T) {
	c := newTestControl(t)
	c.box.settings.Box = "b1"
	g := newGrants(c.box)
	g.setAllocators(newAllocators(map[slatebridge.HallID][]slatebridge.BoxID{"a": {"a1"}, "b": {"b1"}}))
	m, err := g.askAllocator(t.Context(), relay.Candidate{Box: "b1"}, limited, nil, 0)
	if err != nil || m.Granted || m.Allocator == nil || m.Allocator.Box != "a1" {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestLowestRates(t *testing.T) {
	var list []allowance.Observation
	for _, rate := range []float64{2, 7, 5, 9, 8} {
		list = append(list, allowance.Observation{Rate: rate})
	}
	want := []allowance.Observation{{Rate: 2}, {Rate: 5}, {Rate: 7}}
	if diff := cmp.Diff(want, lowestRates(list, 3)); diff != "" {
		t.Error(diff)
	}
}
