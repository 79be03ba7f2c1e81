package lab

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// loadScenarios returns the scenarios in testdata by name.
func loadScenarios(tb testing.TB) map[string]*Scenario {
	tb.Helper()
	files, err := filepath.Glob("testdata/patterns/*.toml")
	if err != nil || len(files) == 0 {
		tb.Fatalf("no scenarios: %v", err)
	}
	scenarios := make(map[string]*Scenario, len(files))
	for _, f := range files {
		sc, err := LoadScenario(f)
		if err != nil {
			tb.Fatal(err)
		}
		scenarios[sc.Name] = sc
	}

	return scenarios
}

// TestCallerGuarantees simulates all scenarios. The guarantees to callers hold in each, however few
// requests can be served.
func TestCallerGuarantees(t *testing.T) {
	for name, sc := range loadScenarios(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Simulate(sc, 0)
			checkRefusals(t, r)
			checkFairness(t, sc, r)
			checkPriorities(t, sc, r)
		})
	}
}

// checkRefusals fails the test if the retry rules decided to refuse a request as not executed
// although it was executed, if a refused request was held for more than maxHoldTime, which is the
// first-token objective of the scenarios, or if the retry budget was exceeded.
func checkRefusals(t *testing.T, r *Result) {
	t.Helper()
	const maxHoldTime = 600 * time.Millisecond
	if r.missedExecutions > 0 || r.MaxHoldTime > maxHoldTime || r.MaxRetryBudgetUse > 1 {
		t.Errorf("seed %d: %d executions of requests that the retry rules decided to refuse as not executed, refused requests held for up to %s, %.2f of the retry budget used", r.Seed, r.missedExecutions, r.MaxHoldTime, r.MaxRetryBudgetUse)
	}
}

// checkFairness fails the test if a class, a hall or the large requests are served much less than
// the average. Halls with a fault of their own are left out. Less urgent classes of a
// scenario with priorities may be served half as often.
func checkFairness(t *testing.T, sc *Scenario, r *Result) {
	t.Helper()
	const tolerance = 0.15
	mostUrgent := slices.MinFunc(sc.RequestClasses, func(a, b RequestClass) int { return a.PriorityRank - b.PriorityRank }).PriorityRank
	for _, class := range sc.RequestClasses {
		minRatio := r.Total.ServedRatio() - tolerance
		if sc.Prioritized && class.PriorityRank > mostUrgent {
			// Less urgent classes are to be served less, but at least half as often as all together.
			minRatio = min(minRatio, r.Total.ServedRatio()/2)
		}
		if s, ok := r.ByClass[class.Name]; ok && s.ServedRatio() < minRatio {
			t.Errorf("seed %d: class %s: served ratio %.3f, of all requests %.3f", r.Seed, class.Name, s.ServedRatio(), r.Total.ServedRatio())
		}
	}
	for hall, s := range r.ByHall {
		hasFault := false
		for _, fault := range sc.Faults {
			hasFault = hasFault || fault.Hall == string(hall)
		}
		if !hasFault && s.ServedRatio() < r.Total.ServedRatio()-tolerance {
			t.Errorf("seed %d: hall %s: served ratio %.3f, of all requests %.3f", r.Seed, hall, s.ServedRatio(), r.Total.ServedRatio())
		}
	}
	if r.LargePrompts.ServedRatio() < r.Total.ServedRatio()-tolerance {
		t.Errorf("seed %d: large requests: served ratio %.3f, of all requests %.3f", r.Seed, r.LargePrompts.ServedRatio(), r.Total.ServedRatio())
	}
}

// checkPriorities fails the test if a class is served less than a less urgent one.
func checkPriorities(t *testing.T, sc *Scenario, r *Result) {
	t.Helper()
	const tolerance = 0.05
	for _, a := range sc.RequestClasses {
		for _, b := range sc.RequestClasses {
			moreUrgent, lessUrgent := r.ByClass[a.Name], r.ByClass[b.Name]
			if a.PriorityRank < b.PriorityRank && moreUrgent.ServedRatio() < lessUrgent.ServedRatio()-tolerance {
				t.Errorf("seed %d: class %s: served ratio %.3f, of the less urgent class %s %.3f", r.Seed, a.Name, moreUrgent.ServedRatio(), b.Name, lessUrgent.ServedRatio())
			}
		}
	}
}

// TestPriorities simulates a load that exceeds the capacity for some seconds. The most urgent class
// must be served in time more often than without priorities, and than the least urgent one; no class
// less than half as often as all together.
func TestPriorities(t *testing.T) {
	const minGain, tolerance, seeds = 0.1, 0.15, 3
	t.Parallel()
	sc := loadScenarios(t)["contended"]
	unordered := *sc
	unordered.Prioritized = false
	for seed := range uint64(seeds) {
		with, without := Simulate(sc, seed+1), Simulate(&unordered, seed+1)
		urgent, deferrable := with.ByClass["dispute"].WithinObjectivesRatio(), with.ByClass["help"].WithinObjectivesRatio()
		if before := without.ByClass["dispute"].WithinObjectivesRatio(); urgent < before+minGain || urgent < deferrable+minGain {
			t.Errorf("seed %d: the most urgent class is in time for %.3f, without priorities %.3f, the least urgent for %.3f", seed+1, urgent, before, deferrable)
		}
		for class, n := range with.ByClass {
			if n.WithinObjectivesRatio() < with.Total.WithinObjectivesRatio()/2 {
				t.Errorf("seed %d: class %s is in time for %.3f, all together for %.3f", seed+1, class, n.WithinObjectivesRatio(), with.Total.WithinObjectivesRatio())
			}
		}
		if large := with.LargePrompts.ServedRatio(); large < with.Total.ServedRatio()-tolerance {
			t.Errorf("seed %d: large requests are served for %.3f, all together for %.3f", seed+1, large, with.Total.ServedRatio())
		}
	}
}

// TestEqualPrioritiesChangeNothing simulates classes with equal ranks with and without priorities.
func TestEqualPrioritiesChangeNothing(t *testing.T) {
	t.Parallel()
	sc := *loadScenarios(t)["contended"]
	sc.RequestClasses = slices.Clone(sc.RequestClasses)
	for i := range sc.RequestClasses {
		sc.RequestClasses[i].PriorityRank = 1
	}
	with := Simulate(&sc, 0)
	sc.Prioritized = false
	if diff := cmp.Diff(Simulate(&sc, 0), with, cmpopts.IgnoreUnexported(Result{})); diff != "" {
		t.Errorf("equal priorities change the result:\n%s", diff)
	}
}

// TestLinkAdmission simulates servers that leave, so that halls lack layers and prompts must be
// sent to other halls. Requests that the links cannot carry must be refused, not admitted and
// abandoned by their callers after two seconds. That happens to about 9 percent of the requests if
// a box accounts only for the link use of its own hall.
func TestLinkAdmission(t *testing.T) {
	const maxFailedRatio, seeds = 0.01, 2
	t.Parallel()
	sc := loadScenarios(t)["drained"]
	for seed := range uint64(seeds) {
		if r := Simulate(sc, seed+1); float64(r.Failed) > maxFailedRatio*float64(r.Total.Total) {
			t.Errorf("seed %d: %d of %d requests were admitted but not completed", r.Seed, r.Failed, r.Total.Total)
		}
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	sc := loadScenarios(t)["lost"]
	opts := cmpopts.IgnoreUnexported(Result{})
	if diff := cmp.Diff(Simulate(sc, 3), Simulate(sc, 3), opts); diff != "" {
		t.Errorf("two simulations with the same seed differ:\n%s", diff)
	}
	if diff := cmp.Diff(Simulate(sc, 3), Simulate(sc, 4), opts); diff == "" {
		t.Error("two simulations with different seeds have equal results")
	}
}

func TestLoadScenarioErrors(t *testing.T) {
	base, err := os.ReadFile("testdata/patterns/three-halls.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, replacement, want string }{
		"an unknown key":                  {"seed = 7", "sed = 7", "unknown keys"},
		"no length":                       {"length = \"24s\"", "length = \"0s\"", "length and news"},
		"an invalid duration":             {"news = \"500ms\"", "news = \"soon\"", "soon"},
		"an unknown card":                 {"card = \"middle\"", "card = \"none\"", "there is no card \"none\""},
		"an unknown fault type":           {"[budget]", "[[trouble]]\nwhat = \"rain\"\n[budget]", "not \"rain\""},
		"a missing base file":             {"seed = 7", "base = \"none.toml\"", "none.toml"},
		"a class without an arrival rate": {"per_second = 30", "per_second = 0", "per_second"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "pattern.toml")
			text := strings.Replace(string(base), c.old, c.replacement, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadScenario(file); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// BenchmarkScenarios runs each scenario with ten seeds and reports the fractions of requests that
// were served within their objectives, served, refused, and failed.
func BenchmarkScenarios(b *testing.B) {
	const seeds = 10
	for name, sc := range loadScenarios(b) {
		b.Run(name, func(b *testing.B) {
			var total, withinObjectives, served, refused, failed float64
			for b.Loop() {
				for seed := range uint64(seeds) {
					r := Simulate(sc, seed+1)
					total += float64(r.Total.Total)
					withinObjectives += float64(r.Total.WithinObjectives)
					served += float64(r.Total.Served)
					refused += float64(r.Refused)
					failed += float64(r.Failed)
				}
			}
			b.ReportMetric(withinObjectives/total, "in-time")
			b.ReportMetric(served/total, "served")
			b.ReportMetric(refused/total, "refused")
			// The metric "given-up" is the fraction of failed requests.
			b.ReportMetric(failed/total, "given-up")
		})
	}
}
