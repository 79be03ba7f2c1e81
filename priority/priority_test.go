package priority

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// start is at the beginning of a slot, and now recentSlots slots later.
var (
	start = time.Unix(1000, 0)
	now   = start.Add(recentSlots * slotLength).Add(-time.Nanosecond)
)

// supply is the capacity in most tests: with one request a second and class, each class is expected
// to take 0.05 of the memory and 0.1 of the slots.
var supply = Supply{Tokens: 1000, Slots: 5, Boxes: 1, Staleness: 500 * time.Millisecond}

// offer records n requests of 100 tokens, of which some are admitted and the others refused.
func offer(t *Tracker, r Request, n, admitted int, at time.Time) {
	for i := range n {
		t.RecordOffered(r, 100, at)
		if i < admitted {
			t.RecordAdmitted(r, 100, at)
		} else {
			t.RecordRefused(r, 100, at)
		}
	}
}

// newTracker returns a tracker with three requests in three seconds of each of three classes.
func newTracker() *Tracker {
	t := NewTracker(start)
	for class := range 3 {
		offer(t, Request{Class: class}, 3, 3, start)
	}

	return t
}

func wantReserve(t *testing.T, got, want Reserve) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-6)); diff != "" {
		t.Error(diff)
	}
}

func TestReserve(t *testing.T) {
	t.Run("each class leaves room to the more urgent ones", func(t *testing.T) {
		tracker, s := newTracker(), supply
		s.Slots = 10
		for class, want := range []Reserve{{}, {Memory: 0.05, Slots: 0.05}, {Memory: 0.1, Slots: 0.1}} {
			wantReserve(t, tracker.Reserve(Request{Class: class}, s, now), want)
		}
	})
	t.Run("the bound reduces all classes alike", func(t *testing.T) {
		s := supply
		s.Boxes = 100
		for class, want := range []float64{0, maxReserve / 3, maxReserve * 2 / 3} {
			wantReserve(t, newTracker().Reserve(Request{Class: class}, s, now), Reserve{Memory: want, Slots: want})
		}
	})
	t.Run("the reserve falls with the number of boxes", func(t *testing.T) {
		s := supply
		s.Tokens, s.Slots, s.Boxes = 10_000, 100, 10
		all := newTracker().Reserve(Request{Class: 2}, s, now)
		s.Boxes = 5
		wantReserve(t, newTracker().Reserve(Request{Class: 2}, s, now), Reserve{Memory: all.Memory / 2, Slots: all.Slots / 2})
	})
	t.Run("old arrivals do not count", func(t *testing.T) {
		wantReserve(t, newTracker().Reserve(Request{Class: 2}, supply, now.Add(recentSlots*slotLength)), Reserve{})
	})
	t.Run("nothing is kept on unknown capacity", func(t *testing.T) {
		wantReserve(t, newTracker().Reserve(Request{Class: 2}, Supply{Boxes: 1, Staleness: time.Second}, now), Reserve{})
	})
	t.Run("a class that is admitted too rarely leaves nothing", func(t *testing.T) {
		tracker := newTracker()
		offer(tracker, Request{Class: 0}, 30, 30, now)
		offer(tracker, Request{Class: 2}, 30, 0, now)
		wantReserve(t, tracker.Reserve(Request{Class: 2}, supply, now), Reserve{Reason: Underserved})
	})
	t.Run("a few refused requests are no sign of that", func(t *testing.T) {
		tracker := newTracker()
		offer(tracker, Request{Class: 2, Account: "a"}, 50, 50, now)
		offer(tracker, Request{Class: 2, Account: "b"}, 4, 0, now)
		if got := tracker.Reserve(Request{Class: 2, Account: "b"}, supply, now).Reason; got != Ordinary {
			t.Errorf("reason %d, want %d", got, Ordinary)
		}
	})
	t.Run("undecided requests do not count", func(t *testing.T) {
		tracker := newTracker()
		for range 100 {
			tracker.RecordOffered(Request{Class: 2, Account: "a"}, 100, now)
		}
		if got := tracker.Reserve(Request{Class: 2, Account: "a"}, supply, now).Reason; got != Ordinary {
			t.Errorf("reason %d, want %d", got, Ordinary)
		}
	})
	t.Run("an account that is admitted too rarely leaves nothing", func(t *testing.T) {
		tracker := newTracker()
		offer(tracker, Request{Class: 2, Account: "a"}, 50, 50, now)
		offer(tracker, Request{Class: 2, Account: "b"}, 10, 0, now)
		wantReserve(t, tracker.Reserve(Request{Class: 2, Account: "b"}, supply, now), Reserve{Reason: Underserved})
	})
}

func TestLargeAccount(t *testing.T) {
	later := start.Add(slotCount * slotLength)
	// reason returns the reason for a request of the account, of which others may be recorded.
	reason := func(account string, record func(tracker *Tracker)) Reason {
		tracker := NewTracker(start)
		record(tracker)

		return tracker.Reserve(Request{Class: 1, Account: account}, supply, later).Reason
	}
	// burst records an account that offers ten times as much as each of two others.
	burst := func(tracker *Tracker) {
		offer(tracker, Request{Class: 1, Account: "large"}, 1000, 500, later)
		offer(tracker, Request{Class: 1, Account: "a"}, 100, 50, later)
		offer(tracker, Request{Class: 1, Account: "b"}, 100, 50, later)
	}
	for name, c := range map[string]struct {
		account string
		record  func(tracker *Tracker)
		want    Reason
	}{
		"its burst costs the account itself": {"large", burst, LargeAccount},
		"and no other account":               {"a", burst, Ordinary},
		"even if its class is underserved for it": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 0}, 1000, 1000, later)
			offer(tracker, Request{Class: 1, Account: "large"}, 2000, 200, later)
			offer(tracker, Request{Class: 1, Account: "a"}, 100, 20, later)
		}, LargeAccount},
		"the others of such a class get room": {"a", func(tracker *Tracker) {
			offer(tracker, Request{Class: 0}, 1000, 1000, later)
			offer(tracker, Request{Class: 1, Account: "large"}, 2000, 200, later)
			offer(tracker, Request{Class: 1, Account: "a"}, 100, 20, later)
		}, Underserved},
		"anonymous requests do not hide its burst": {"large", func(tracker *Tracker) {
			burst(tracker)
			offer(tracker, Request{Class: 1}, 1000, 500, later)
		}, LargeAccount},
		"a few requests more are no burst": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 1, Account: "large"}, 6, 4, later)
			offer(tracker, Request{Class: 1, Account: "a"}, 2, 1, later)
			offer(tracker, Request{Class: 1, Account: "b"}, 2, 0, later)
		}, Ordinary},
		"an account alone has no share to exceed": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 1, Account: "large"}, 1000, 500, later)
		}, Ordinary},
		"without contention there are no shares": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 1, Account: "large"}, 1000, 1000, later)
			offer(tracker, Request{Class: 1, Account: "a"}, 100, 100, later)
		}, Ordinary},
		"what the others leave is part of its share": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 1, Account: "large"}, 1000, 500, later)
			offer(tracker, Request{Class: 1, Account: "a"}, 100, 100, later)
		}, Ordinary},
		"accounts that stopped do not count": {"large", func(tracker *Tracker) {
			offer(tracker, Request{Class: 1, Account: "a"}, 100, 0, start)
			offer(tracker, Request{Class: 1, Account: "large"}, 1000, 500, later)
		}, Ordinary},
	} {
		t.Run(name, func(t *testing.T) {
			if got := reason(c.account, c.record); got != c.want {
				t.Errorf("reason %d, want %d", got, c.want)
			}
		})
	}
	t.Run("it leaves as much as the next class", func(t *testing.T) {
		tracker := NewTracker(start)
		burst(tracker)
		next := tracker.Reserve(Request{Class: 2}, supply, later)
		wantReserve(t, tracker.Reserve(Request{Class: 1, Account: "large"}, supply, later), Reserve{Memory: next.Memory, Slots: next.Slots, Reason: LargeAccount})
	})
}

func TestAccountsAreBounded(t *testing.T) {
	tracker := NewTracker(start)
	offer(tracker, Request{Account: "large"}, 2, 2, now)
	for i := range 10 * maxAccounts {
		offer(tracker, Request{Account: strconv.Itoa(i)}, 1, 1, now)
	}
	accounts := tracker.classes[0].accounts
	if len(accounts) != maxAccounts || accounts["large"] == nil {
		t.Errorf("%d accounts are known, the largest among them: %t", len(accounts), accounts["large"] != nil)
	}
}

func TestRetryReserve(t *testing.T) {
	for class, want := range []float64{streamRetryReserve, streamRetryReserve + urgentRetryReserve/3, streamRetryReserve + urgentRetryReserve*2/3} {
		if got := newTracker().RetryReserve(Request{Class: class}, now); math.Abs(got-want) > 1e-6 {
			t.Errorf("class %d leaves %.3f of the retries, want %.3f", class, got, want)
		}
	}
	t.Run("an underserved class leaves as much as the most urgent", func(t *testing.T) {
		tracker := newTracker()
		offer(tracker, Request{Class: 0}, 30, 30, now)
		offer(tracker, Request{Class: 2}, 30, 0, now)
		if got, want := tracker.RetryReserve(Request{Class: 2}, now), tracker.RetryReserve(Request{Class: 0}, now); got != want {
			t.Errorf("it leaves %.3f, want %.3f", got, want)
		}
	})
}

// TestReserveIsMonotonic checks that no request leaves less than a more urgent one, unless it is
// underserved, and none more than maxReserve.
func TestReserveIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, at := NewTracker(start), start
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			r := Request{Class: rapid.IntRange(-1, Classes).Draw(t, "class"), Account: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account")}
			at = at.Add(time.Duration(rapid.IntRange(-500, 1500).Draw(t, "ms")) * time.Millisecond)
			tokens := rapid.Float64Range(0, 5000).Draw(t, "tokens")
			tracker.RecordOffered(r, tokens, at)
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				tracker.RecordAdmitted(r, tokens, at)
			case 1:
				tracker.RecordRefused(r, tokens, at)
			}
		}
		s := Supply{
			Tokens: rapid.Float64Range(0, 1e5).Draw(t, "capacity"), Slots: rapid.Float64Range(0, 100).Draw(t, "slots"),
			Boxes: rapid.IntRange(0, 100).Draw(t, "boxes"), Staleness: time.Second,
		}
		var before Reserve
		for class := range Classes {
			r := tracker.Reserve(Request{Class: class}, s, at)
			if r.Reason == Underserved {
				wantNone(t, r)

				continue
			}
			if r.Memory < before.Memory || r.Slots < before.Slots || max(r.Memory, r.Slots) > maxReserve+1e-9 {
				t.Fatalf("class %d leaves %+v, the class before %+v", class, r, before)
			}
			before = r
		}
	})
}

func wantNone(t rapid.TB, r Reserve) {
	t.Helper()
	if r.Memory != 0 || r.Slots != 0 {
		t.Fatalf("an underserved request leaves %+v", r)
	}
}

// TestNoClassStarves fills one server for half a minute with more requests than it has room for, in
// classes of any sizes. Each class must be admitted nearly minRelativeService times as often as all
// together; the tolerance is for those that are refused until that is observed.
func TestNoClassStarves(t *testing.T) {
	const (
		step, steps, warmup = 10 * time.Millisecond, 3000, 500
		capacity, duration  = 60, 100
		tolerance           = 0.15
	)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rates := rapid.SliceOfN(rapid.Float64Range(0.1, 2), 2, 4).Draw(t, "requests per step")
		tracker := NewTracker(start)
		var ends [steps + 2*duration]int
		var offered, admitted [Classes]float64
		used := 0
		for n := range steps {
			used -= ends[n]
			for _, class := range random.Perm(len(rates)) {
				if random.Float64() >= rates[class]/2 {
					continue
				}
				at, r := start.Add(time.Duration(n)*step), Request{Class: class}
				tracker.RecordOffered(r, 1, at)
				reserve := tracker.Reserve(r, Supply{Tokens: capacity, Boxes: 1, Staleness: time.Second}, at)
				ok := used < capacity && float64(used) <= (1-reserve.Memory)*capacity
				if ok {
					tracker.RecordAdmitted(r, 1, at)
					used++
					ends[n+1+random.IntN(2*duration)]++
				} else {
					tracker.RecordRefused(r, 1, at)
				}
				if n >= warmup {
					offered[class]++
					if ok {
						admitted[class]++
					}
				}
			}
		}
		checkFloors(t, offered[:len(rates)], admitted[:len(rates)], minRelativeService-tolerance)
	})
}

// TestRandomDifferencesAreTolerated sends a few requests a second of accounts of three classes, all alike, to a
// box before servers that refuse less urgent requests more often. What was admitted of single
// accounts differs by chance only, so that neither the floor nor the rule for large accounts may act
// on more than a few of them.
func TestRandomDifferencesAreTolerated(t *testing.T) {
	const accounts, runs, maxShare = 24, 20, 0.03
	length, warmup := 40*time.Second, slotCount*slotLength
	for _, rate := range []float64{4, 4.5, 5} {
		for _, delay := range []time.Duration{0, time.Second} {
			random := rand.New(rand.NewPCG(1, 2))
			var all, acted float64
			for range runs {
				tracker := NewTracker(start)
				var decisions []func()
				for at := start; at.Sub(start) < length; at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
					account := random.IntN(accounts)
					r, tokens, offeredAt := Request{Class: account % 3, Account: strconv.Itoa(account)}, 100+400*random.ExpFloat64(), at
					tracker.RecordOffered(r, tokens, at)
					if at.Sub(start) > warmup {
						all++
						if tracker.Reserve(r, supply, at).Reason != Ordinary {
							acted++
						}
					}
					record := tracker.RecordRefused
					if random.Float64() < []float64{0.85, 0.6, 0.45}[r.Class] {
						record = tracker.RecordAdmitted
					}
					decisions = append(decisions, func() { record(r, tokens, offeredAt) })
					for float64(len(decisions)) > rate*delay.Seconds() {
						decisions[0]()
						decisions = decisions[1:]
					}
				}
			}
			if acted > maxShare*all {
				t.Errorf("%.1f requests a second, decided after %s: acted on %.3f of them", rate, delay, acted/all)
			}
		}
	}
}

func checkFloors(t rapid.TB, offered, admitted []float64, floor float64) {
	t.Helper()
	var allOffered, allAdmitted float64
	for class := range offered {
		allOffered += offered[class]
		allAdmitted += admitted[class]
	}
	for class := range offered {
		if rate, all := admitted[class]/offered[class], allAdmitted/allOffered; rate < floor*all {
			t.Errorf("class %d: %.3f of its requests were admitted, of all %.3f", class, rate, all)
		}
	}
}

// A box with urgent and deferrable requests: the latter leave room that the former are expected to
// take before the box learns of them.
func ExampleTracker_Reserve() {
	urgent, deferrable := Request{Class: 0, Account: "a"}, Request{Class: 1, Account: "b"}
	start := time.Unix(1000, 0)
	t := NewTracker(start)
	for range 10 {
		t.RecordOffered(urgent, 500, start)
		t.RecordAdmitted(urgent, 500, start)
		t.RecordOffered(deferrable, 500, start)
		t.RecordAdmitted(deferrable, 500, start)
	}
	s := Supply{Tokens: 200_000, Slots: 400, Boxes: 4, Staleness: 500 * time.Millisecond}
	at := start.Add(time.Second)
	fmt.Printf("urgent: %.3f of the memory\n", t.Reserve(urgent, s, at).Memory)
	fmt.Printf("deferrable: %.3f of the memory\n", t.Reserve(deferrable, s, at).Memory)
	// Output:
	// urgent: 0.000 of the memory
	// deferrable: 0.050 of the memory
}

// BenchmarkRequest measures what a request costs that is offered and admitted while there is room.
func BenchmarkRequest(b *testing.B) {
	tracker, at := newTracker(), now
	r := Request{Class: 2, Account: "a"}
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(time.Millisecond)
		tracker.RecordOffered(r, 100, at)
		tracker.Reserve(r, supply, at)
		tracker.RecordAdmitted(r, 100, at)
	}
}
