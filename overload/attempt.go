package overload

const (
	// MaxAttempts bounds how often one stream is started or taken up.
	//
	// Load pattern: servers on its path are lost one after the other. Most streams are
	// taken up once or twice; a sixth attempt begins after its caller has left.
	MaxAttempts = 6
	// MaxRefusals bounds to how many servers or paths a request is offered that turn it
	// away.
	//
	// Load pattern: all servers are full. Each offer costs a retry of the budget that
	// all boxes share, and a request that three servers have turned away is not taken
	// by the fourth either.
	MaxRefusals = 3
)

// Attempts is what has become of a stream so far.
type Attempts struct {
	// Made counts attempts, and Refused those that servers turned away, not run.
	Made    int
	Refused int
	// Ran says that some server may have run it.
	Ran bool
	// Repeatable says that it may run again.
	Repeatable bool
	// Expired says that its time has run out.
	Expired bool
}

// Verdict is what is done with a request after an attempt.
type Verdict int

// The verdicts.
const (
	// Again says that it is offered again, if the budget has a retry for it.
	Again Verdict = iota
	// TimedOut says that its time ran out before any server took it.
	TimedOut
	// TooLate says that its time ran out while a server may have run it.
	TooLate
	// MayHaveRun says that a server may have run it and it may not run twice.
	MayHaveRun
	// TurnedAway says that enough servers have turned it away; it was not run.
	TurnedAway
	// Exhausted says that enough was tried; it may have run.
	Exhausted
)

// Next returns what is done after an attempt that brought no whole answer.
func (a Attempts) Next() Verdict {
	switch {
	case a.Expired && !a.Ran:
		return TimedOut
	case a.Expired:
		return TooLate
	case a.Ran && !a.Repeatable:
		return MayHaveRun
	case a.Refused > MaxRefusals && !a.Ran:
		return TurnedAway
	case a.Made >= MaxAttempts || a.Refused > MaxRefusals:
		return Exhausted
	default:
		return Again
	}
}

// Last reports whether the attempt that is under way is the last one.
func (a Attempts) Last() bool { return a.Made >= MaxAttempts || !a.Repeatable }

// Offers is to how many servers a call without a model was offered.
type Offers struct {
	Made    int
	Refused int
	// Most is how many servers may have run it.
	Most int
}

// More reports whether it may be offered to one more server.
func (o Offers) More() bool { return o.Made-o.Refused < o.Most && o.Refused < MaxRefusals }
