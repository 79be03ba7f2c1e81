// Package member puts together what is known of boxes and backend servers:
// the platform's list, the announced stops, the servers' own word, and direct
// contact.
//
// The order of trust for "takes no new work" is: any source that says so is
// believed at once. For "is alive", direct contact counts more than the list:
// a server that has dropped off the list is kept while it answers, and one
// that the list shows as live is left out while it does not answer.
package member

import "time"

// Thresholds of direct contact.
const (
	// downAfter is how many polls in a row must fail before a server that was
	// up is left out.
	downAfter = 2
	// maxUpAfter bounds how many polls in a row must succeed before a server
	// that flaps is taken again.
	maxUpAfter = 16
	// calmTime is how long a server must stay up before its flaps are
	// forgotten.
	calmTime = time.Minute
)

// Health is what direct contact says of one server. It is immutable.
type Health struct {
	up        bool
	failures  int
	successes int
	// upAfter is how many successes in a row bring the server back.
	upAfter int
	since   time.Time
}

// Up reports whether the server answers.
func (h Health) Up() bool {
	return h.up
}

// WithSuccess returns the health after a poll that was answered.
func (h Health) WithSuccess(now time.Time) Health {
	h.failures = 0
	h.successes++
	switch {
	case h.up:
		if now.Sub(h.since) >= calmTime {
			h.upAfter = 1
		}
	case h.successes >= max(h.upAfter, 1):
		h.up = true
		h.since = now
	}

	return h
}

// WithFailure returns the health after a poll that was not answered. A server
// that goes down soon after it came up must answer twice as often in a row
// before it is taken again.
func (h Health) WithFailure(now time.Time) Health {
	h.successes = 0
	h.failures++
	if h.up && h.failures >= downAfter {
		h.up = false
		h.since = now
		h.upAfter = min(max(h.upAfter, 1)*2, maxUpAfter)
	}

	return h
}
