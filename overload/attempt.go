package overload

import "time"

const (
	// MaxStreamAttempts bounds how often a stream is sent of which the caller has received nothing yet.
	//
	// Scenario: servers on its path fail one after the other. Most streams are resumed once or
	// twice. Callers leave before the sixth attempt, the last one allowed, starts: the limit only
	// stops streams that fail without end.
	MaxStreamAttempts = 6
	// MaxRejections bounds those attempts of one request that no server ran, because the server
	// rejected them or they did not reach it. A request sent to single servers is not retried after
	// MaxRejections such attempts, and a stream not after MaxRejections+1, unless its caller has
	// received a part of the response.
	//
	// Load pattern: all servers are full. Each retry is taken from the budget that all boxes share,
	// and a request that three servers rejected is usually not accepted by the fourth either.
	MaxRejections = 3
	// immediateRetries is how many retries of a stream follow one another at once while none makes
	// progress. The pause before each further one begins at minRetryPause and doubles up to
	// maxRetryPause.
	immediateRetries = 2
	minRetryPause    = 50 * time.Millisecond
	maxRetryPause    = time.Second
	// bookedRetryTime is how long a retry that was taken from the budget stands for an attempt that is
	// not sent yet. The budget counts it for the time in which it was taken.
	bookedRetryTime = 1500 * time.Millisecond
)

// StreamAttempts describes the attempts of a stream so far.
type StreamAttempts struct {
	// Total counts the attempts that this box tried to send, and NotRun those of them that no
	// server ran, because it rejected them or could not be reached. InVain counts those since the last
	// one that made progress.
	Total  int
	NotRun int
	InVain int
	// MayHaveRun is set if a server may have run the stream.
	MayHaveRun bool
	// Started is set if the caller has received part of the response.
	Started bool
	// Idempotent is set if the stream may run more than once.
	Idempotent bool
	// Expired is set once the request's deadline has passed.
	Expired bool
}

// Decision is how a request continues after a failed attempt.
type Decision int

// The decisions after a failed attempt.
const (
	// Retry makes another attempt if the retry budget allows it.
	Retry Decision = iota
	// ExpiredBeforeRun fails the request: its deadline passed before any server accepted it.
	ExpiredBeforeRun
	// ExpiredAfterRun fails the request: its deadline passed when a server may have run it.
	ExpiredAfterRun
	// NotRetryable fails the request: a server may have run it, and it may not run twice.
	NotRetryable
	// Rejected fails the request: more than MaxRejections attempts were rejected or did not reach a
	// server, and no server may have run it.
	Rejected
	// Exhausted fails the request: it has used up its attempts, and may have run.
	Exhausted
)

// Decide returns how the request continues after an attempt without a complete response. A started stream
// is retried until its deadline, as its caller cannot use a part of the response.
func (a StreamAttempts) Decide() Decision {
	switch {
	case a.Expired && !a.MayHaveRun:
		return ExpiredBeforeRun
	case a.Expired:
		return ExpiredAfterRun
	case a.MayHaveRun && !a.Idempotent:
		return NotRetryable
	case a.NotRun > MaxRejections && !a.MayHaveRun:
		return Rejected
	case !a.mayGoOn():
		return Exhausted
	default:
		return Retry
	}
}

// mayGoOn reports whether the number of attempts allows another one.
func (a StreamAttempts) mayGoOn() bool {
	return a.Started || (a.Total < MaxStreamAttempts && a.NotRun <= MaxRejections)
}

// MustNotReplace reports whether the current attempt must not be ended in favor of another one.
// That one would exceed the limit, or run a stream again that may run only once.
func (a StreamAttempts) MustNotReplace() bool {
	return !a.Idempotent || (!a.Started && a.Total >= MaxStreamAttempts)
}

// RetryPause returns how long a started stream waits before its next attempt. random is a number from 0
// to 1, which spreads the attempts of streams that lost their servers together.
//
// Scenario: most servers of a hall end within a tenth of a second. Until others have found them dead,
// each attempt is as likely to meet a dead one as the last. Another: each attempt brings one event and
// ends, and one stream takes the retries of all.
func (a StreamAttempts) RetryPause(random float64) time.Duration {
	n := a.InVain - immediateRetries
	if n <= 0 || !a.Started {
		return 0
	}
	pause := minRetryPause
	for range n - 1 {
		pause = min(2*pause, maxRetryPause)
	}

	return time.Duration((0.5 + random/2) * float64(pause))
}

// RetryLapsed reports whether a retry that was taken from the budget has to be taken again before the
// attempt is sent.
func RetryLapsed(sinceTaken time.Duration) bool { return sinceTaken > bookedRetryTime }

// PlainAttempts describes the attempts of a request that is sent to single servers instead of over
// a path. Total counts the attempts, and NotRun those that no server ran, because the server
// rejected them or they were not sent.
type PlainAttempts struct {
	Total  int
	NotRun int
	// MaxRuns is the maximum number of servers that the request may run on.
	MaxRuns int
}

// MayRetry reports whether one more attempt may be made.
func (a PlainAttempts) MayRetry() bool {
	return a.Total-a.NotRun < a.MaxRuns && a.NotRun < MaxRejections
}
