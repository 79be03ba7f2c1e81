// Package member combines what is known of boxes and backend servers: the platform's membership
// list, planned stops, the servers' own reports and direct probes.
//
// A server receives no new work as soon as any source says that it is leaving. For liveness, probes
// take precedence over the list: a server that is missing from the list is kept while it responds,
// and one listed as live is excluded while it does not respond.
package member

import "time"

// Thresholds of the health probes.
const (
	// failureThreshold is how many probes in a row must fail before a server that was up is
	// excluded.
	failureThreshold = 2
	// maxRecoveryThreshold limits how many probes in a row must succeed before a flapping server is
	// used again.
	maxRecoveryThreshold = 16
	// flapResetAfter is how long a server must stay up before its recovery threshold is reset.
	flapResetAfter = time.Minute
)

// Health is the state of one server according to direct probes. It is immutable.
type Health struct {
	up        bool
	failures  int
	successes int
	// recoveryThreshold is how many successes in a row bring the server back up.
	recoveryThreshold int
	since             time.Time
}

// Up reports whether the server responds.
func (h Health) Up() bool {
	return h.up
}

// WithSuccess returns the health after a successful probe.
func (h Health) WithSuccess(now time.Time) Health {
	h.failures = 0
	h.successes++
	switch {
	case h.up:
		if now.Sub(h.since) >= flapResetAfter {
			h.recoveryThreshold = 1
		}
	case h.successes >= max(h.recoveryThreshold, 1):
		h.up = true
		h.since = now
	}

	return h
}

// WithFailure returns the health after a failed probe. Each time that the server goes down, the
// number of successes that bring it back doubles, up to a limit.
func (h Health) WithFailure(now time.Time) Health {
	h.successes = 0
	h.failures++
	if h.up && h.failures >= failureThreshold {
		h.up = false
		h.since = now
		h.recoveryThreshold = min(max(h.recoveryThreshold, 1)*2, maxRecoveryThreshold)
	}

	return h
}
