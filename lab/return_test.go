package lab

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// withBurst returns the scenario with a burst of four times the usual load in addition to its
// faults.
func withBurst(sc *Scenario) *Scenario {
	out := *sc
	burst := Fault{Type: FaultLoadBurst, Start: Duration(3 * time.Second), Duration: Duration(8 * time.Second), Magnitude: 4}
	out.Faults = append([]Fault{burst}, sc.Faults...)

	return &out
}

// simulateUnplanned simulates the scenario without planned returns.
func simulateUnplanned(sc *Scenario, seed uint64) *Result {
	baseline := *sc
	baseline.UnplannedReturns = true

	return Simulate(&baseline, seed)
}

// TestPlannedReturns simulates overloads. Among the callers that are refused for good, at least half
// must be spared by planned returns, and not at the cost of those served within their objectives.
func TestPlannedReturns(t *testing.T) {
	all := loadScenarios(t)
	for _, name := range []string{"burst", "memory-full", "impatient", "hot-hall"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, baseline := Simulate(all[name], 1), simulateUnplanned(all[name], 1)
			checkRefusals(t, r)
			if 2*r.Refused > baseline.Refused || r.Total.WithinObjectives < baseline.Total.WithinObjectives {
				t.Errorf("refused %d, without planned returns %d; within objectives %d and %d", r.Refused, baseline.Refused, r.Total.WithinObjectives, baseline.Total.WithinObjectives)
			}
		})
	}
}

// TestPlannedReturnsDuringFaults adds faults to an overload: boxes that have given turns are stopped
// and forget them, are suspended while turns pass, or are cut off with their hall; servers are lost. In none of these may more callers be refused than without planned returns.
func TestPlannedReturnsDuringFaults(t *testing.T) {
	all := loadScenarios(t)
	for _, name := range []string{"restart", "suspended", "cut", "lost"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := withBurst(all[name])
			r, baseline := Simulate(sc, 1), simulateUnplanned(sc, 1)
			checkRefusals(t, r)
			if r.Refused > baseline.Refused {
				t.Errorf("refused %d, without planned returns %d", r.Refused, baseline.Refused)
			}
		})
	}
}

// TestNoPlannedReturnsWithRoom checks that nothing changes while there is room.
func TestNoPlannedReturnsWithRoom(t *testing.T) {
	t.Parallel()
	sc := loadScenarios(t)["three-halls"]
	if diff := cmp.Diff(simulateUnplanned(sc, 1), Simulate(sc, 1), cmpopts.IgnoreUnexported(Result{})); diff != "" {
		t.Errorf("planned returns change the result (-without +with):\n%s", diff)
	}
}
