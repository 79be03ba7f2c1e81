package forward

import (
	"cmp"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/repair"
)

// repairedInOrder reports whether streams of the route are repaired in order: it states which pause
// is acceptable, and another server may continue its streams.
func repairedInOrder(r *catalog.Route) bool {
	return r != nil && r.MaxEventInterval > 0 && r.Resumable
}

// repairStream describes the stream for its place in the order of repairs.
func (a *streamAttempt) repairStream() repair.Stream {
	a.mu.Lock()
	events := a.eventsBefore + a.events
	a.mu.Unlock()
	c := a.request
	s := repair.Stream{PauseEnds: a.pauseEnds(), CallerLeaves: a.callerLeaves(), RemainingTokens: max(0, a.expectedTokens()-events)}
	if c.prioritized {
		s.Priority = c.priority
	}

	return s
}

// expectedTokens returns the expected size of the output.
func (a *streamAttempt) expectedTokens() int {
	c := a.request
	expected := c.ExpectedTokens
	if expected == 0 && c.state.Catalog != nil {
		if s := c.state.Catalog.Service(a.service); s != nil && s.Model != nil {
			expected = s.Model.MeanOutputTokens
		}
	}
	if c.MaxTokens > 0 {
		expected = min(expected, c.MaxTokens)
	}

	return expected
}

// pauseEnds returns when the acceptable pause of the stream is over; before the first event, when
// its latency objective is.
func (a *streamAttempt) pauseEnds() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pauseFrom.IsZero() {
		return a.request.startedAt.Add(cmp.Or(a.request.route.LatencyObjective, defaultObjective))
	}

	return a.pauseFrom.Add(a.request.route.MaxEventInterval)
}

// callerLeaves returns when the caller is expected to give up.
func (a *streamAttempt) callerLeaves() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	leaves := a.request.deadline
	if a.pauseFrom.IsZero() {
		return leaves
	}
	if at := a.pauseFrom.Add(abandonSilence); at.Before(leaves) {
		leaves = at
	}

	return leaves
}

// hasEnded reports whether the attempt has ended, or is about to in favor of another one.
func (a *streamAttempt) hasEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.ended || a.nextPath != nil
}
