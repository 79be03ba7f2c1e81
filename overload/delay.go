package overload

import "time"

const (
	// MinRetryAfter is the shortest delay after which a caller refused for lack of capacity or of a
	// grant should retry, and the delay if nothing is known about how fast capacity becomes free. A
	// box learns what other boxes know within about this time. After a cooldown, it is the time
	// over which the retries are spread.
	MinRetryAfter = 500 * time.Millisecond
	// A caller leaves a stream that is silent for the longest of minCallerPatience, patienceObjectives
	// latency objectives and patiencePauses longest acceptable pauses of its route.
	minCallerPatience  = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// returnTime is how long before its caller leaves a request that has brought nothing is given up,
	// so that the caller can still retry.
	returnTime = 400 * time.Millisecond
	// pollInterval is the pause between two searches of a stream that waits for a path or a retry, and
	// patientPollInterval that of one whose caller has stayed longer than callers are expected to.
	pollInterval        = 100 * time.Millisecond
	patientPollInterval = 400 * time.Millisecond
)

// CallerPatience returns how long callers wait for the next event of a stream, or for the first one,
// whose route has the given latency objective and longest acceptable pause.
func CallerPatience(objective, pause time.Duration) time.Duration {
	return max(minCallerPatience, patienceObjectives*objective, patiencePauses*pause)
}

// CapacityRetryAfter returns when a caller should retry if all memory is in use. usual is the usual
// time of a stream, within which about half of the memory in use is freed, as streams end. random
// is a number from 0 to 1.
//
// Load pattern: memory is full for seconds. The delays are spread around the usual time, so that
// callers refused at the same time do not retry at the same time.
func CapacityRetryAfter(usual time.Duration, random float64) time.Duration {
	return max(MinRetryAfter, time.Duration((0.5+random)*float64(usual)))
}

// CooldownRetryAfter returns when a caller should retry if all servers are cooling down and the
// first cooldown ends after delay. random is a number from 0 to 1.
//
// Load pattern: all servers of a service reject requests. Hundreds of callers are refused until the
// first cooldown ends, and retry spread over half a second after it.
func CooldownRetryAfter(delay time.Duration, random float64) time.Duration {
	return delay + time.Duration(random*float64(MinRetryAfter))
}

// PathWait describes a stream that has no path for its next attempt, or gets no retry from the
// budget for it.
type PathWait struct {
	// Started is set if the caller has received part of the response.
	Started bool
	// AwaitsRetry is set if the stream has no retry and a server may have run it.
	AwaitsRetry bool
	// Silence is the time since the last part of the response, or since the request if there is none.
	Silence time.Duration
	// Patience is how long the caller waits, see CallerPatience.
	Patience time.Duration
	// HasExcluded is set if servers that failed the request before were excluded from the search.
	HasExcluded bool
}

// MayWait reports whether the stream may wait for a path or a retry.
//
// Scenario: servers fail, and for a moment no path is left, or no retry. A started stream waits until
// its deadline or until the caller leaves, since the caller cannot use a truncated response. A new
// request is refused at once, and its caller may retry. If servers were excluded, it waits instead,
// and the search is repeated with the excluded servers allowed, as one of those is better than none.
func (w PathWait) MayWait() bool {
	switch {
	case w.Started:
		return true
	case w.AwaitsRetry:
		return w.Silence < w.Patience-returnTime
	default:
		return w.HasExcluded
	}
}

// PollInterval returns the pause until the next search.
func (w PathWait) PollInterval() time.Duration {
	if w.Started && w.Silence >= w.Patience {
		return patientPollInterval
	}

	return pollInterval
}

// HedgeDelay returns when a second server is tried if the first has not responded: after
// highQuantile, the time within which nearly all responses arrive, or earlier, so that a second
// response within the usual time can still meet the objective. An objective of at most twice the
// usual time is ignored.
//
// Scenario: some servers are several times slower than others, or lose responses. The retry
// budget allows for hedging one request in twenty.
func HedgeDelay(highQuantile, usual, objective time.Duration) time.Duration {
	if latest := objective - usual; latest > usual {
		return min(highQuantile, latest)
	}

	return highQuantile
}
