package repair

import (
	"cmp"
	"time"
)

// Stream is a stream under way that lost servers of its path.
type Stream struct {
	// Priority is the priority of the request, 0 for the most urgent. It is the same for all
	// streams of a service without priorities.
	Priority int
	// PauseEnds is when the longest acceptable pause of the stream is over, and CallerLeaves when
	// its caller is expected to give up.
	PauseEnds    time.Time
	CallerLeaves time.Time
	// Prefill is the expected time in which the replacements prefill the stream's tokens.
	Prefill time.Duration
	// RemainingTokens is the expected number of tokens still to be generated.
	RemainingTokens int
}

// prospect is what a repair that starts now can achieve.
type prospect int

const (
	// inTime means that the pause stays acceptable.
	inTime prospect = iota
	// beforeCallerLeaves means that the pause is too long, but the caller still waits.
	beforeCallerLeaves
	// tooLate means that the caller is expected to give up before the repair is done.
	tooLate
)

// prospectAt returns what a repair that starts now can achieve, and the deadline for that.
func (s Stream) prospectAt(now time.Time) (prospect, time.Time) {
	done := now.Add(s.Prefill)
	switch {
	case !done.After(s.PauseEnds):
		return inTime, s.PauseEnds
	case !done.After(s.CallerLeaves):
		return beforeCallerLeaves, s.CallerLeaves
	default:
		return tooLate, s.CallerLeaves
	}
}

// InTime reports whether a repair that starts now keeps the pause of the stream acceptable.
func (s Stream) InTime(now time.Time) bool {
	p, _ := s.prospectAt(now)

	return p == inTime
}

// Compare orders streams for repair; the result is negative if a goes before b. Streams that can be
// in time go before those that cannot, then more urgent ones before less urgent ones, then those
// with the nearer deadline, then those with fewer tokens to generate, which free their memory
// first.
//
// Load pattern: several servers crash at once. Of the hundreds of streams that passed them, not all
// can be repaired within the acceptable pause, as a few replacements prefill the tokens of all. In
// an arbitrary order, streams that are late in any case delay those that could still be in time.
func Compare(a, b Stream, now time.Time) int {
	prospectA, deadlineA := a.prospectAt(now)
	prospectB, deadlineB := b.prospectAt(now)

	return cmp.Or(
		cmp.Compare(prospectA, prospectB),
		cmp.Compare(a.Priority, b.Priority),
		deadlineA.Compare(deadlineB),
		cmp.Compare(a.RemainingTokens, b.RemainingTokens),
	)
}
