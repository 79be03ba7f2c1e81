package fleet

import (
	"slices"
	"sort"
	"time"
)

// CooldownRemaining returns the shortest remaining cooldown among the servers of a service without
// a model. Servers that are leaving or have an invalid entry do not count. It returns false if no
// such server is in a cooldown, or any server is available.
func (f *Fleet) CooldownRemaining(service string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	remaining, found := time.Duration(0), false
	for _, m := range f.membersOf(service) {
		if m.availableAsFirst(now) {
			return 0, false
		}
		if !m.admission.coolingDown(now) || m.Leaving || m.EntryInvalid {
			continue
		}
		if d := m.admission.cooldownUntil.Sub(now); !found || d < remaining {
			remaining, found = d, true
		}
	}

	return remaining, found
}

// PathCooldownRemaining returns the time until enough cooldowns have ended for a path through all
// layers to exist. It returns false if cooldowns are not the reason that no path exists.
func (f *Fleet) PathCooldownRemaining(service string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var ends []time.Duration
	for _, m := range f.membersOf(service) {
		if m.admission.coolingDown(now) {
			ends = append(ends, m.admission.cooldownUntil.Sub(now))
		}
	}
	if len(ends) == 0 {
		return 0, false
	}
	slices.Sort(ends)
	i := sort.Search(len(ends), func(i int) bool {
		return f.search(Query{Service: service, delay: ends[i]}, false) != nil
	})
	if i == len(ends) {
		return 0, false
	}

	return ends[i], true
}
