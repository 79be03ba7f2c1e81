package lab

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/result"
)

// RequestCounts counts requests, those served within their objectives, and all that were served.
type RequestCounts struct {
	Total, WithinObjectives, Served int
}

// WithinObjectivesRatio returns the fraction of requests that were served within their objectives.
func (c RequestCounts) WithinObjectivesRatio() float64 {
	return float64(c.WithinObjectives) / float64(max(1, c.Total))
}

// ServedRatio returns the fraction of requests that were served.
func (c RequestCounts) ServedRatio() float64 { return float64(c.Served) / float64(max(1, c.Total)) }

func (c *RequestCounts) add(o outcome) {
	c.Total++
	if o == withinObjectives {
		c.WithinObjectives++
	}
	if o == withinObjectives || o == servedLate {
		c.Served++
	}
}

// Result is the result of a simulation.
type Result struct {
	Scenario string
	Seed     uint64
	Total    RequestCounts
	// Refused counts the requests that were refused without being executed, and Failed the others
	// without a complete answer.
	Refused, Failed int
	ByClass         map[string]*RequestCounts
	ByHall          map[slatebridge.HallID]*RequestCounts
	// LargePrompts counts the tenth of the requests with the longest prompts.
	LargePrompts RequestCounts
	// MaxHoldTime is the longest time for which boxes held a request that was refused in the end.
	MaxHoldTime time.Duration
	// RecoveryTime is the time from the start of the first fault until nearly all requests are
	// served within their objectives again; negative if that does not happen.
	RecoveryTime time.Duration
	// MaxRetryBudgetUse is the maximum number of retries in a budget window, as a fraction of the
	// number allowed.
	MaxRetryBudgetUse float64
	// PoisonCrashes counts server crashes caused by poison requests, and FalseQuarantines the
	// refusals of other requests by the quarantine.
	PoisonCrashes, FalseQuarantines int
	// SentDuringCooldown counts requests that a box sent to a server during a cooldown which the
	// server had announced to it, and SentAfterLeaving those sent after the server had announced to
	// the box that it is leaving.
	SentDuringCooldown, SentAfterLeaving int
	// MaxLimitUse is the maximum number of requests that reached a rate-limited server in a limit
	// window, as a fraction of the number allowed.
	MaxLimitUse float64
	// capacityRejections counts rejections by servers for lack of memory or slots.
	capacityRejections int
	refusalsByCode     map[result.Code]int
	// missedExecutions counts executions that the retry rules missed: they decided to refuse the
	// request as not executed, although servers had executed it. It should be zero. refuse fails
	// such requests, so that no caller is told that they were not executed.
	missedExecutions int
	requests         []*request
}

func newResult(sc *Scenario, seed uint64) *Result {
	return &Result{
		Scenario: sc.Name, Seed: seed, ByClass: make(map[string]*RequestCounts), ByHall: make(map[slatebridge.HallID]*RequestCounts),
		refusalsByCode: make(map[result.Code]int),
	}
}

const (
	// A scenario counts as recovered when, for recoverySeconds in a row, at least recoveredRatio of
	// the requests that arrive in each second are served within their objectives.
	recoveredRatio  = 0.95
	recoverySeconds = 3
	// largePromptFraction is the fraction of requests that count as large.
	largePromptFraction = 0.1
)

// summarize computes the statistics from the requests. Poison requests are left out.
func (r *Result) summarize(sim *simulation) {
	perSecond := make([]RequestCounts, int(time.Duration(sim.scenario.ArrivalWindow)/time.Second)+1)
	r.requests = slices.DeleteFunc(r.requests, func(q *request) bool { return q.poison })
	for _, q := range r.requests {
		r.Total.add(q.outcome)
		countsFor(r.ByClass, q.class.Name).add(q.outcome)
		countsFor(r.ByHall, q.hall).add(q.outcome)
		perSecond[q.startedAt/time.Second].add(q.outcome)
		switch q.outcome {
		case refusedUnexecuted:
			r.Refused++
			r.MaxHoldTime = max(r.MaxHoldTime, q.holdTime)
		case failedIncomplete:
			r.Failed++
		case withinObjectives, servedLate:
		}
	}
	bySize := slices.Clone(r.requests)
	slices.SortFunc(bySize, func(a, b *request) int { return int(b.promptTokens - a.promptTokens) })
	for _, q := range bySize[:int(largePromptFraction*float64(len(bySize)))] {
		r.LargePrompts.add(q.outcome)
	}
	r.RecoveryTime = recoveryTime(perSecond, sim.scenario.Faults)
	r.MaxRetryBudgetUse = maxRetryBudgetUse(sim)
}

func countsFor[K comparable](m map[K]*RequestCounts, k K) *RequestCounts {
	if m[k] == nil {
		m[k] = &RequestCounts{}
	}

	return m[k]
}

// recoveryTime computes Result.RecoveryTime.
func recoveryTime(perSecond []RequestCounts, faults []Fault) time.Duration {
	if len(faults) == 0 {
		return 0
	}
	first := faults[0].Start
	for _, f := range faults {
		first = min(first, f.Start)
	}
	start := int(time.Duration(first) / time.Second)
	recovered := 0
	// The last second is incomplete.
	for i := start; i < len(perSecond)-1; i++ {
		if recovered++; perSecond[i].WithinObjectivesRatio() < recoveredRatio {
			recovered = 0
		}
		if recovered == recoverySeconds {
			return time.Duration(i+1-recoverySeconds-start) * time.Second
		}
	}

	return -1
}

// maxRetryBudgetUse computes Result.MaxRetryBudgetUse with a sliding window over the requests and
// retries.
func maxRetryBudgetUse(sim *simulation) float64 {
	maxUse, windowStart, retryWindowStart := 0.0, 0, 0
	windowEnd := 0
	for i, at := range sim.retryTimes {
		for sim.retryTimes[retryWindowStart] <= at-time.Duration(sim.scenario.RetryBudget.Window) {
			retryWindowStart++
		}
		for windowEnd < len(sim.requestTimes) && sim.requestTimes[windowEnd] <= at {
			windowEnd++
		}
		for windowStart < windowEnd && sim.requestTimes[windowStart] <= at-time.Duration(sim.scenario.RetryBudget.Window) {
			windowStart++
		}
		allowed := sim.scenario.RetryBudget.Ratio*float64(windowEnd-windowStart) + sim.scenario.RetryBudget.Extra
		maxUse = max(maxUse, float64(i+1-retryWindowStart)/max(1, allowed))
	}

	return maxUse
}

// tableHeader is the header row that matches the columns of WriteTable.
const tableHeader = "scenario\tseed\trequests\tin time\tserved\trefused\tfailed\tlarge in time\tworst class\tworst hall\tmax hold\trecovery\trejected\tretries/allowed\tcrashes\tfalse quarantines\tin cooldown\tafter leaving\trequests/limit\n"

// WriteTable writes results as an aligned table.
func WriteTable(out io.Writer, list []*Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprint(t, tableHeader)
	for _, r := range list {
		if err == nil {
			_, err = fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t%d\t%.2f\t%d\t%d\t%d\t%d\t%.2f\n",
				r.Scenario, r.Seed, r.Total.Total, r.Total.WithinObjectivesRatio(), r.Total.ServedRatio(), r.Refused, r.Failed, r.LargePrompts.WithinObjectivesRatio(),
				worstRatio(r.ByClass), worstRatio(r.ByHall), r.MaxHoldTime.Round(time.Millisecond), r.RecoveryTime, r.capacityRejections, r.MaxRetryBudgetUse, r.PoisonCrashes, r.FalseQuarantines, r.SentDuringCooldown, r.SentAfterLeaving, r.MaxLimitUse)
		}
	}

	return errors.Wrap(errors.CombineErrors(err, t.Flush()), "lab: write table")
}

// worstRatio returns the lowest WithinObjectivesRatio.
func worstRatio[K comparable](m map[K]*RequestCounts) float64 {
	lowest := 1.0
	for _, s := range m {
		lowest = min(lowest, s.WithinObjectivesRatio())
	}

	return lowest
}
