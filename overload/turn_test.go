package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// overloaded returns a Returns that has observed perSecond admitted requests per second over a
// shortage of some seconds, and the time at the end of it.
func overloaded(perSecond int) (*Returns, time.Time) {
	const seconds, refusalsPerSecond = 4, 20
	r, now := &Returns{}, start
	for i := range seconds * refusalsPerSecond * perSecond {
		if i%perSecond == 0 {
			r.shortage.RecordRefused(now)
		}
		if i%refusalsPerSecond == 0 {
			r.RecordAdmitted(now)
		}
		now = now.Add(time.Second / time.Duration(refusalsPerSecond*perSecond))
	}

	return r, now
}

func checkPlan(t *testing.T, r *Returns, f Refusal, now time.Time, want ReturnPlan) time.Duration {
	t.Helper()
	delay, plan, _ := r.Refuse(f, now)
	if plan != want {
		t.Errorf("plan %s with a delay of %s, want %s", plan, delay, want)
	}

	return delay
}

func TestAdmissionRate(t *testing.T) {
	const perSecond, tolerance = 30, 3
	t.Run("during a shortage", func(t *testing.T) {
		r, now := overloaded(perSecond)
		if got, ok := r.shortage.AdmissionRate(now); !ok || got < perSecond-tolerance || got > perSecond+tolerance {
			t.Errorf("rate %.1f, %t, want about %d", got, ok, perSecond)
		}
	})
	t.Run("not before a shortage was observed", func(t *testing.T) {
		var s Shortage
		s.RecordAdmitted(start)
		if begins := s.RecordRefused(start); !begins {
			t.Error("the first refusal does not begin a shortage")
		}
		if got, ok := s.AdmissionRate(start.Add(minShortage / 2)); ok {
			t.Errorf("rate %.1f, want none", got)
		}
	})
	t.Run("not from requests after a shortage", func(t *testing.T) {
		r, now := overloaded(perSecond)
		before, _ := r.shortage.AdmissionRate(now.Add(shortageHold))
		r.RecordAdmitted(now.Add(shortageHold))
		if after, _ := r.shortage.AdmissionRate(now.Add(shortageHold)); after != before {
			t.Errorf("rate %.1f, before %.1f", after, before)
		}
	})
	t.Run("a clock that steps back", func(t *testing.T) {
		r, now := overloaded(perSecond)
		before, _ := r.shortage.AdmissionRate(now)
		if after, ok := r.shortage.AdmissionRate(now.Add(-time.Second)); !ok || after != before {
			t.Errorf("rate %.1f, %t, before %.1f", after, ok, before)
		}
	})
}

// TestReturnPlan checks how the return of a caller is planned.
func TestReturnPlan(t *testing.T) {
	f := Refusal{TimeLeft: 20 * time.Second, UsualDuration: 2 * time.Second, Random: 0.5}
	t.Run("without a forecast", func(t *testing.T) {
		if got, want := checkPlan(t, &Returns{}, f, start, ReturnUnplanned), CapacityRetryAfter(f.UsualDuration, f.Random); got != want {
			t.Errorf("delay %s, want %s", got, want)
		}
	})
	t.Run("the first free turn", func(t *testing.T) {
		r, now := overloaded(10)
		if got := checkPlan(t, r, f, now, ReturnInTurn); got != MinRetryAfter {
			t.Errorf("delay %s, want %s", got, MinRetryAfter)
		}
	})
	t.Run("no room found lately", func(t *testing.T) {
		r := &Returns{}
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(minShortage) {
			r.Refuse(f, now)
		}
		checkPlan(t, r, f, start.Add(time.Second), ReturnLate)
	})
	t.Run("no time left for a turn", func(t *testing.T) {
		r, now := overloaded(10)
		f := f
		f.TimeLeft = time.Second
		if got := checkPlan(t, r, f, now, ReturnLate); got != MinRetryAfter {
			t.Errorf("delay %s, want %s", got, MinRetryAfter)
		}
	})
	t.Run("a suspension makes forecast and turns void", func(t *testing.T) {
		r, now := overloaded(10)
		checkPlan(t, r, f, now, ReturnInTurn)
		now = now.Add(time.Minute)
		checkPlan(t, r, f, now, ReturnUnplanned)
		if _, ok := r.takeTurn(10, now, now, now); !ok || len(r.turns) != 1 {
			t.Errorf("%d turns after the suspension, want the new one only", len(r.turns))
		}
	})
}

// TestTurnsKeepTheRate refuses callers at random moments, many at once, while the rate varies. No
// turn is outside its bounds, the schedule stays bounded, and each turn keeps the distance from all
// others that the rate asks for.
func TestTurnsKeepTheRate(t *testing.T) {
	const seeds, refusals = 50, 400
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		var r Returns
		now := start
		for range refusals {
			if rnd.IntN(10) == 0 {
				now = now.Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			}
			perSecond := rnd.ExpFloat64() * 100
			earliest := now.Add(MinRetryAfter)
			latest := now.Add(time.Duration(rnd.IntN(10_000)) * time.Millisecond)
			others := slices.DeleteFunc(slices.Clone(r.turns), func(o time.Time) bool { return o.Before(now) })
			at, ok := r.takeTurn(perSecond, earliest, latest, now)
			if len(r.turns) > maxTurns || !slices.IsSortedFunc(r.turns, time.Time.Compare) {
				t.Fatalf("seed %d: %d turns, or out of order", seed, len(r.turns))
			}
			if !ok {
				continue
			}
			if at.Before(earliest) || at.After(latest) {
				t.Fatalf("seed %d: turn %s after the refusal, want %s to %s", seed, at.Sub(now), MinRetryAfter, latest.Sub(now))
			}
			spacing := time.Duration(float64(time.Second) / (turnShare * perSecond))
			for _, o := range others {
				if o.Sub(at).Abs() < spacing {
					t.Fatalf("seed %d: two turns %s apart, want %s", seed, o.Sub(at).Abs(), spacing)
				}
			}
		}
	}
}

// TestCallersRefusedAtOnce checks that callers refused at the same moment, before and after they
// return, do not return at the same moment: in no second more than the turns of that second and
// those that found no turn, which are spread over half of the time that callers wait.
func TestCallersRefusedAtOnce(t *testing.T) {
	const perSecond, callers, timeLeft = 20, 600, 18 * time.Second
	r, now := overloaded(perSecond)
	rnd := rand.New(rand.NewPCG(1, 1))
	inSecond := make(map[time.Duration]int)
	for range callers {
		delay, _, _ := r.Refuse(Refusal{TimeLeft: timeLeft, Random: rnd.Float64()}, now)
		if delay < MinRetryAfter || delay > timeLeft/3 {
			t.Fatalf("delay %s, want %s to %s", delay, MinRetryAfter, timeLeft/3)
		}
		inSecond[delay/time.Second]++
	}
	const spreadSeconds, margin = int(timeLeft/time.Second) / 6, 1.2
	for s, n := range inSecond {
		if limit := perSecond + margin*callers/float64(spreadSeconds); float64(n) > limit {
			t.Errorf("%d callers return in the second after %s, want at most %.0f", n, s*time.Second, limit)
		}
	}
}
