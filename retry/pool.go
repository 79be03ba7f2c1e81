package retry

import "time"

const (
	// localShare is the fraction of the remaining budget that boxes may take without asking. The
	// allotment of a box is its equal part of that, plus rounding. The rest is the pool, from which
	// one box, the grantor, grants retries to all boxes that ask. Package box calls the grantor the
	// allocator of the pool.
	localShare = 0.25
	// A box grants from the pool only while it hears more than the fraction grantQuorum of all
	// boxes, itself included, so that two sides of a partition never both grant.
	grantQuorum = 0.5
	// The allotment of a box that hears at most the fraction minorityShare of all boxes, itself
	// included, is its equal part of the whole remaining budget, since it may reach no grantor. The
	// equal parts of such boxes and what the others granted before they detected the partition
	// together stay within the budget.
	minorityShare = 0.4
	// GrantorWarmup is how long a new grantor grants nothing, until it knows what was taken before.
	GrantorWarmup = propagationDelay
)

// TakeLocal takes one retry from the box's allotment, if one is left. boxes is the number of boxes
// that share the budget. If none is left, the caller asks the grantor.
//
// Scenario: a server dies, and all streams that break run at a few of a thousand boxes. The
// equal part of each box is less than one retry, while the parts of the other boxes stay unused.
func (b *Budget) TakeLocal(service string, boxes int, u Urgency, now time.Time) bool {
	return b.takeLocal(service, boxes, now, allotment{urgency: u})
}

// TakeLocalLeaving is like TakeLocal for a required retry that leaves a share of the budget to others.
// If there is none, the caller asks the grantor only if Leaves reports that this leaves the share too.
func (b *Budget) TakeLocalLeaving(service string, boxes int, share float64, now time.Time) bool {
	return b.takeLocal(service, boxes, now, allotment{urgency: Required, reserve: share})
}

func (b *Budget) takeLocal(service string, boxes int, now time.Time, a allotment) bool {
	a.share, a.rounding = localShare, b.rounding
	if b.reachableBoxes(now) <= minorityShare*float64(boxes) {
		a.share = 1
	}

	return b.take(service, boxes, now, a)
}

// reachableBoxes returns how many boxes are heard, including this one.
func (b *Budget) reachableBoxes(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 1
	for _, p := range b.peers {
		if now.Sub(p.lastSeenAt) <= peerTimeout {
			n += p.boxes
		}
	}

	return float64(n)
}

// GrantFromPool takes one retry from the pool for any box, if one is left, and reports whether it
// did. Only one box at a time may grant for a service.
//
// Boxes may have taken their allotments without having reported it yet, so localShare of the
// remaining budget is kept free. For this share, the grants of the last propagationDelay count as
// not yet made, since the other boxes may not know of them.
func (b *Budget) GrantFromPool(service string, boxes int, u Urgency, now time.Time) bool {
	reachable := b.reachableBoxes(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.startedAt) < propagationDelay || reachable <= grantQuorum*float64(boxes) {
		return false
	}
	own := b.currentWindow(b.sent, service, now).sum(b.bounds.Window)
	used := b.totalUsage(own, service, boxes, now)
	w := b.currentWindow(b.poolGrants, service, now)
	recent := w.sum(propagationDelay).FromPool
	left := b.limit(used, u) - float64(used.Retries-used.FromPool+b.totalGranted(service, used, now))
	if left-localShare*(left+float64(recent)) < 1 {
		return false
	}
	w.current().FromPool++

	return true
}

// grantCount is the number of retries that other boxes had granted from the pool up to the time at.
type grantCount struct {
	count int
	at    time.Time
}

// totalGranted returns how many retries were granted from the pool in the last window: the number
// reported by boxes, or what this box granted plus what others granted before it, whichever is
// higher. The caller holds mu.
//
// Once this box has granted nothing for propagationDelay, all its grants have been reported, and
// the rest of the reported ones were granted by others.
func (b *Budget) totalGranted(service string, used Usage, now time.Time) int {
	w := b.currentWindow(b.poolGrants, service, now)
	own := w.sum(b.bounds.Window).FromPool
	if w.sum(propagationDelay).FromPool == 0 {
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
