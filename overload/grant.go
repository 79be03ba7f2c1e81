package overload

import "time"

const (
	// grantTimeoutShare is the share of its latency objective that a request waits for a grant for
	// a rate-limited server while other servers can be tried. A grant permits one request to a
	// rate-limited server (see package allowance).
	grantTimeoutShare = 0.1
	// queueTimeoutShare is the largest share of its latency objective that a request waits for a
	// grant if the usual response time is unknown or not below the objective.
	queueTimeoutShare = 0.5
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = 500 * time.Millisecond
)

// GrantTimeout returns how long a request waits for a grant for a rate-limited server while other
// servers can be tried.
func GrantTimeout(objective time.Duration) time.Duration {
	return time.Duration(grantTimeoutShare * float64(orDefault(objective)))
}

// QueueTimeout returns how long a request waits for a grant if all servers that could run it are
// rate-limited. usual is the usual response time; zero if it is not known.
//
// Load pattern: for minutes callers send more than all servers together accept. A request that
// waits longer than its objective allows delays all requests behind it as well. With an unbounded
// queue every response would be late; with this bound the requests that are served are in time.
func QueueTimeout(objective, usual time.Duration) time.Duration {
	objective = orDefault(objective)
	if usual <= 0 || usual >= objective {
		return time.Duration(queueTimeoutShare * float64(objective))
	}

	return objective - usual
}

// GrantRetryAfter returns when a caller should retry if all servers are rate-limited and the first
// of them accepts a request after delay. random is a number from 0 to 1.
func GrantRetryAfter(delay time.Duration, random float64) time.Duration {
	return max(MinRetryAfter, delay) + time.Duration(random*float64(MinRetryAfter))
}

func orDefault(objective time.Duration) time.Duration {
	if objective <= 0 {
		return defaultObjective
	}

	return objective
}
