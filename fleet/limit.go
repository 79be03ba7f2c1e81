package fleet

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
)

// grantWaitCost is the cost of one second of waiting for a grant at the first server. It equals the
// cost of a server with all slots taken.
const grantWaitCost = slotCost

// LimitChange says how an observation changed the known rate limit of a server.
type LimitChange int

const (
	// LimitUnchanged means that the rate is the same as before.
	LimitUnchanged LimitChange = iota
	// LimitAdded means that the server had no limit before.
	LimitAdded
	// LimitChanged means that the rate differs from the previous one.
	LimitChanged
	// LimitRemoved means that the server has no limit any more.
	LimitRemoved
)

// ObserveLimit records an observation of the rate that a server incarnation accepts from all boxes
// together. The limit lasts until the server lifts it or the incarnation ends.
func (f *Fleet) ObserveLimit(id slatebridge.ServerID, o allowance.Observation) LimitChange {
	if o.Rate == allowance.NoLimit && f.limitedCount.Load() == 0 {
		return LimitUnchanged
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.admissions.known[id]
	if f.retired.known[id] || (o.Rate == allowance.NoLimit && (a == nil || a.limit == nil)) {
		return LimitUnchanged
	}
	if a == nil {
		a = f.admissionOf(id)
	}
	if a.limit == nil {
		a.limit = &allowance.Observations{}
		f.limitedCount.Add(1)
	}
	before := a.limit.Rate()
	a.limit.Add(o)

	return limitChange(before, a.limit.Rate())
}

func limitChange(before, after float64) LimitChange {
	switch {
	case before == after:
		return LimitUnchanged
	case before == allowance.NoLimit:
		return LimitAdded
	case after == allowance.NoLimit:
		return LimitRemoved
	default:
		return LimitChanged
	}
}

// RateLimits returns the rate limits in force, by server.
func (f *Fleet) RateLimits() map[slatebridge.ServerID]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[slatebridge.ServerID]float64)
	for id, a := range f.admissions.known {
		if a.limit.Limited() {
			out[id] = a.limit.Rate()
		}
	}

	return out
}

// LimitObservations returns the observations of a server's limit. The result is empty if the server
// has no limit; requests to it then need no grant.
func (f *Fleet) LimitObservations(id slatebridge.ServerID) []allowance.Observation {
	if f.limitedCount.Load() == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.admissions.known[id]
	if a == nil || !a.limit.Limited() {
		return nil
	}

	return a.limit.All()
}

// RecordGrantDelay records that a limited server has no grant available for the given time.
// Requests start elsewhere if they can.
func (f *Fleet) RecordGrantDelay(id slatebridge.ServerID, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.admissions.known[id]; a != nil {
		a.grantAvailableAt = f.now().Add(remaining)
	}
}

// PickRateLimited is like Pick, but chooses among the rate-limited servers without a grant
// available now, preferring the one that has its next grant first. The request has to wait for the
// grant.
func (f *Fleet) PickRateLimited(service string, exclude []slatebridge.ServerID) (catalog.Server, *Reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *member
	now := f.now()
	for _, m := range f.membersOf(service) {
		if !m.healthy(now) || !m.admission.admits(now) || !m.admission.lacksGrant(now) || slices.Contains(exclude, m.ID) {
			continue
		}
		if best == nil || m.admission.grantAvailableAt.Before(best.admission.grantAvailableAt) {
			best = m
		}
	}
	if best == nil {
		return catalog.Server{}, nil, false
	}

	return best.Server, f.reserveLoads(map[slatebridge.ServerID]Load{best.ID: {Requests: 1}}), true
}

// GrantDelay returns the time until the first grant is available at any limited server of the
// service that could accept requests. It returns false if no server lacks a grant.
func (f *Fleet) GrantDelay(service string) (time.Duration, bool) {
	if f.limitedCount.Load() == 0 {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	remaining, found := time.Duration(0), false
	for _, m := range f.membersOf(service) {
		if !m.healthy(now) || !m.admission.admits(now) || !m.admission.lacksGrant(now) {
			continue
		}
		if d := m.admission.grantAvailableAt.Sub(now); !found || d < remaining {
			remaining, found = d, true
		}
	}

	return remaining, found
}
