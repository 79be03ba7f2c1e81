package retry

import (
	"maps"
	"slices"
	"time"
)

const (
	// localShare is the fraction of the remaining budget that boxes may take without asking. The
	// allotment of a box is its equal part of that, plus rounding. The rest is the pool, from which
	// one box, the grantor, grants retries to all boxes that ask. Package box calls the grantor the
	// allocator of the pool.
	localShare = 0.25
	// A box grants from the pool only while it is in contact with more than the fraction grantQuorum
	// of all boxes, itself included, so that two sides of a partition never both grant.
	grantQuorum = 0.5
	// The allotment of a box in contact with at most the fraction minorityShare of all boxes, itself
	// included, is its equal part of the whole remaining budget, since it may reach no grantor. The
	// equal parts of such boxes and what the others granted before they detected the partition
	// together stay within the budget.
	minorityShare = 0.4
	// lossShare takes the place of requiredShare after the loss of a grantor. The rest is for what
	// it may have granted before the loss was noticed: all of requiredShare but the localShare of
	// it that is kept free.
	lossShare = 0.45
	// GrantorWarmup is how long a new grantor grants nothing, until it knows what was taken before.
	GrantorWarmup = propagationDelay
)

// TakeLocal takes one retry from the box's allotment, if one is left. boxes is the number of boxes
// that share the budget. If none is left, the caller asks the grantor.
//
// Scenario: a server is lost whose streams all belong to a few of many boxes. The equal part of each
// box is less than one retry, while the parts of the other boxes stay unused.
func (b *Budget) TakeLocal(service string, boxes int, u Urgency, now time.Time) bool {
	return b.takeLocal(service, boxes, now, allotment{urgency: u})
}

// TakeLocalLeaving is like TakeLocal for a required retry that leaves a share of the budget to others.
// If there is none, the caller asks the grantor only if Leaves reports that this leaves the share too.
func (b *Budget) TakeLocalLeaving(service string, boxes int, share float64, now time.Time) bool {
	return b.takeLocal(service, boxes, now, allotment{urgency: Required, reserve: share})
}

func (b *Budget) takeLocal(service string, boxes int, now time.Time, a allotment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.share, a.rounding = b.localShare(boxes, now), b.rounding

	return b.take(service, boxes, now, a)
}

// localShare returns the share of the remaining budget that all boxes together may take without asking.
// The caller holds mu.
func (b *Budget) localShare(boxes int, now time.Time) float64 {
	if b.reachableBoxes(now) <= minorityShare*float64(boxes) {
		return 1
	}

	return localShare
}

// Remaining is what is left of the budget of a service for required retries, as one box sees it.
type Remaining struct {
	// Own is how many retries are left of the box's allotment, and All how many all boxes together may
	// still make.
	Own, All float64
	// GrantorLost is set while the budget is smaller after the loss of a grantor.
	GrantorLost bool
}

// Remaining returns what is left of the budget of the service, which boxes share. It takes nothing.
func (b *Budget) Remaining(service string, boxes int, now time.Time) Remaining {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(b.sent, service, now)
	own, recent, lost := w.sum(b.bounds.Window), w.sum(propagationDelay), b.grantorLost(service, now)
	left := b.leftBefore(recent, b.totalUsage(own, service, boxes, lost, now), Required, lost)
	r := Remaining{All: left - float64(recent.Retries), GrantorLost: lost}
	r.Own = b.localShare(boxes, now)*left/float64(max(1, boxes)) + b.rounding - float64(recent.Retries-recent.FromPool)
	if now.Sub(b.startedAt) < propagationDelay {
		r.Own = min(r.Own, b.leftAtStart(own, Required))
	}

	return r
}

// reachableBoxes returns how many boxes are heard, including this one. The caller holds mu.
func (b *Budget) reachableBoxes(now time.Time) float64 {
	n := 1
	for _, p := range b.peers {
		n += p.reachableBoxes(now)
	}

	return float64(n)
}

// reachableBoxes returns how many boxes of the group are heard.
func (p *peerGroup) reachableBoxes(now time.Time) int {
	if now.Sub(p.lastSeenAt) > peerTimeout {
		return 0
	}

	return p.boxes
}

// hasQuorum reports whether the box has heard more than grantQuorum of all boxes for GrantorWarmup.
// The caller holds mu.
//
// Scenario: the grantor is cut off from the others, which get another one, and returns. It does not
// know yet what the other one granted.
//
// A box that took the pool over knows what was granted before, and need not have heard the others for
// as long.
func (b *Budget) hasQuorum(service string, boxes int, now time.Time) bool {
	n := 1
	for _, p := range b.peers {
		heard := p.reachableBoxes(now)
		if now.Sub(p.grownAt) < GrantorWarmup && p.grownAt.After(b.takenOverAt[service]) {
			heard = min(heard, p.boxesBefore)
		}
		n += heard
	}

	return float64(n) > grantQuorum*float64(boxes)
}

// GrantFromPool takes one retry from the pool for any box, if one is left, and reports whether it
// did. Only one box at a time may grant for a service.
//
// Boxes may have taken their allotments without having reported it yet, so localShare of the
// remaining budget is kept free. For this share, the grants of the last peerTimeout count as not
// yet made, since the other boxes may not know of them, and this box may not know yet that it is cut
// off from them.
func (b *Budget) GrantFromPool(service string, boxes int, u Urgency, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.startedAt) < propagationDelay || !b.hasQuorum(service, boxes, now) {
		return false
	}
	own := b.currentWindow(b.sent, service, now).sum(b.bounds.Window)
	lost := b.grantorLost(service, now)
	used := b.totalUsage(own, service, boxes, lost, now)
	w := b.currentWindow(b.poolGrants, service, now)
	recent := b.granted(service, peerTimeout, now)
	left := u.maxShare(lost)*b.full(used) - float64(used.Retries-used.FromPool+b.totalGranted(service, used, now))
	if left-localShare*(left+float64(recent)) < 1 {
		return false
	}
	w.current().FromPool++

	return true
}

// NoteGrantorLost records that the grantor of a service is no longer heard, has started again or is
// leaving. Retries that it granted lately may be unknown to all others, so that for a window they
// use only lossShare of the budget.
//
// Scenarios: the grantor is cut off together with the boxes that need most retries; it takes most
// retries itself and crashes.
func (b *Budget) NoteGrantorLost(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantorLostAt[service] = now
}

// NoteJoined records that the box has started while others were running. It may have been the
// grantor before, and has lost its record.
func (b *Budget) NoteJoined(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.joinedAt = now
}

// grantorLost reports whether retries may have been granted in the current window by a grantor that
// was lost since. The caller holds mu.
func (b *Budget) grantorLost(service string, now time.Time) bool {
	return now.Sub(b.lostAt(service)) < b.bounds.Window+propagationDelay
}

// lostAt returns when a grantor of the service or the record of this box was last lost. The caller
// holds mu.
func (b *Budget) lostAt(service string) time.Time {
	at := b.joinedAt
	if lostAt := b.grantorLostAt[service]; lostAt.After(at) {
		at = lostAt
	}

	return at
}

// Services returns the services for which any box is known to have sent requests.
func (b *Budget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[string]bool, len(b.sent))
	for service := range b.sent {
		known[service] = true
	}
	for _, p := range b.peers {
		for service := range p.usage {
			known[service] = true
		}
	}

	return slices.Sorted(maps.Keys(known))
}

// grantCount is the number of retries that other boxes had granted from the pool up to the time at.
type grantCount struct {
	count int
	at    time.Time
}

// totalGranted returns how many retries were granted from the pool in the last window: the number
// reported by boxes, or what this box and those that handed the pool over granted plus what others
// granted before, whichever is higher. The caller holds mu.
//
// Once this box has granted nothing for propagationDelay, all its grants have been reported, and
// the rest of the reported ones were granted by others.
func (b *Budget) totalGranted(service string, used Usage, now time.Time) int {
	own := b.granted(service, b.bounds.Window, now)
	if b.granted(service, propagationDelay, now) == 0 {
		b.earlierGrants[service] = grantCount{count: max(0, used.FromPool-own), at: now}
	}
	others := b.earlierGrants[service]
	if now.Sub(others.at) > b.bounds.Window {
		others.count = 0
	}

	return max(used.FromPool, own+others.count)
}

// RecordGrant counts a retry that this box was granted from the pool.
func (b *Budget) RecordGrant(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.currentWindow(b.sent, service, now).current()
	s.Retries++
	s.FromPool++
}
