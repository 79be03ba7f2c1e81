package fleet

import "time"

// Unusable says why a server takes no request from this box.
type Unusable string

// The reasons, as logged. A server that this box itself holds for dead is a suspect, one of which only
// other boxes say so is reported dead. A server in the slow start after a cooldown counts as resting, and a
// rate-limited one without a grant as limited.
const (
	UnusableLeaving      Unusable = "leaving"
	UnusableInvalidEntry Unusable = "invalid entry"
	UnusableSuspect      Unusable = "suspect"
	UnusableReported     Unusable = "reported dead"
	UnusableAddressTaken Unusable = "address taken"
	UnusableCoolingDown  Unusable = "resting"
	UnusableNoGrant      Unusable = "limited"
)

// UnusableServers counts the servers of a service that take no request from this box now, by reason.
func (f *Fleet) UnusableServers(service string) map[Unusable]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	out := make(map[Unusable]int)
	for _, m := range f.membersOf(service) {
		if r := m.unusable(now); r != "" {
			out[r]++
		}
	}

	return out
}

// unusable returns why the server takes no request; empty if it takes one.
func (m *member) unusable(now time.Time) Unusable {
	switch {
	case m.Leaving:
		return UnusableLeaving
	case m.EntryInvalid:
		return UnusableInvalidEntry
	case m.hasAddressConflict(now):
		return UnusableAddressTaken
	case !m.admission.admits(now):
		return UnusableCoolingDown
	case m.admission.lacksGrant(now):
		return UnusableNoGrant
	case !now.After(m.ownSuspectUntil):
		return UnusableSuspect
	case !now.After(m.suspectUntil):
		return UnusableReported
	default:
		return ""
	}
}

// suspectedByOthersOnly reports whether the server would take requests, if other boxes did not report
// it dead.
func (m *member) suspectedByOthersOnly(now time.Time) bool {
	return m.unusable(now) == UnusableReported
}
