package retry

import (
	"maps"
	"time"
)

const (
	// maxHandoverAge is how long after it ceased to be the grantor a box still hands its pool over,
	// and how long it repeats its answer. Later, another box may have waited out its warm-up.
	maxHandoverAge = GrantorWarmup / 2
	// maxAnswerAge is how old a request for a pool may be when its answer is used. The answer says
	// nothing of what happened after it, for example while this box was suspended.
	maxAnswerAge = 250 * time.Millisecond
	// askBackDelay is how long a box that yielded its pool, although it is the grantor as far as it
	// knows, waits before it asks for the pool. By then, both have usually heard of the same boxes.
	askBackDelay = 500 * time.Millisecond
	// reopenDelay is how long a box that yielded its pool, although it was the grantor as far as it
	// knew, waits until it grants again without having got the pool back. The other one may have lost
	// contact right after, and grants until it notices that; what it granted is then known.
	reopenDelay = peerTimeout + GrantorWarmup
	// maxRecordGrantors limits the grantors in one record.
	maxRecordGrantors = 64
)

// Tenure is the right of one box to grant from the pool of one service. A box that becomes the
// grantor asks its predecessor to hand the pool over, and grants once it has the predecessor's
// record, or else after GrantorWarmup. Processes are named by strings that no two of them share.
type Tenure struct {
	// since is when the box became the grantor, or yielded the pool while it was; zero if it is not.
	// open is set once the predecessor has handed the pool over.
	since time.Time
	open  bool
	// from is the predecessor; empty if there is none to ask.
	from string
	// reopens is set if the box yielded the pool while it was the grantor. It then grants again only
	// after TakeOver or Reopen.
	reopens bool
	// endedAt is when the box ceased to be the grantor while it could grant; zero if it could not.
	endedAt time.Time
	// yieldedTo is the process that the pool was handed over to last, at yieldedAt.
	yieldedTo string
	yieldedAt time.Time
}

// Held reports whether the box is the grantor, whether or not it may grant yet.
func (t *Tenure) Held() bool { return !t.since.IsZero() }

// Begin records that the box became the grantor at a time, after another process.
func (t *Tenure) Begin(from string, at time.Time) { *t = Tenure{since: at, from: from} }

// End records that the box is no longer the grantor.
func (t *Tenure) End(now time.Time) {
	if t.MayGrant(now) {
		*t = Tenure{endedAt: now}
	} else {
		*t = Tenure{yieldedTo: t.yieldedTo, yieldedAt: t.yieldedAt}
	}
}

// MayGrant reports whether the box may grant.
func (t *Tenure) MayGrant(now time.Time) bool {
	return t.Held() && (t.open || (!t.reopens && now.Sub(t.since) >= GrantorWarmup))
}

// Reopen reports whether the box may grant again from now on although the process to which it yielded the
// pool has not handed it back. Its grants are lost, see Budget.NoteGrantorLost.
func (t *Tenure) Reopen(now time.Time) bool {
	if !t.Held() || !t.reopens || t.open || now.Sub(t.since) < reopenDelay {
		return false
	}
	t.open, t.reopens = true, false

	return true
}

// Asks returns the process to ask for the pool now; empty if none is to be asked.
func (t *Tenure) Asks(now time.Time) string {
	if !t.Held() || t.MayGrant(now) || (t.from == t.yieldedTo && now.Sub(t.yieldedAt) < askBackDelay) {
		return ""
	}

	return t.from
}

// Closed returns for how long the box has been the grantor.
func (t *Tenure) Closed(now time.Time) time.Duration { return now.Sub(t.since) }

// TakeOver records that the predecessor has handed the pool over in answer to a request made at
// askedAt. It reports false if the answer comes too late to be used.
func (t *Tenure) TakeOver(from string, askedAt, now time.Time) bool {
	if t.Asks(now) != from || from == "" || askedAt.Before(t.since) || now.Sub(askedAt) > maxAnswerAge {
		return false
	}
	t.open, t.reopens = true, false

	return true
}

// CanYield reports whether the box may hand the pool over to another process: it grants, or has
// ceased to only a moment ago, and has handed the pool to no other process since.
func (t *Tenure) CanYield(to string, now time.Time) bool {
	switch {
	case t.MayGrant(now):
		return true
	case t.yieldedTo != "":
		return t.yieldedTo == to && now.Sub(t.yieldedAt) <= maxHandoverAge
	default:
		return !t.endedAt.IsZero() && now.Sub(t.endedAt) <= maxHandoverAge
	}
}

// Yield records that the pool was handed over, which CanYield allows. The box grants nothing until it
// gets the pool back from that process, or Reopen says so.
func (t *Tenure) Yield(to string, now time.Time) {
	switch {
	case t.MayGrant(now):
		*t = Tenure{since: now, from: to, reopens: true, yieldedTo: to, yieldedAt: now}
	case t.yieldedTo == "":
		t.yieldedTo, t.yieldedAt = to, now
	}
}

// YieldedTo returns the process that the pool was handed over to last, unless the box got it back.
func (t *Tenure) YieldedTo(now time.Time) string {
	if t.MayGrant(now) || (!t.Held() && now.Sub(t.yieldedAt) > maxHandoverAge) {
		return ""
	}

	return t.yieldedTo
}

// PoolRecord is what was granted from the pool of a service in the last window, as its grantor knows
// it.
type PoolRecord struct {
	// SlotLength is the length of a slot in microseconds.
	SlotLength int64 `cbor:"1,keyasint"`
	// Grants counts, by the process that granted, the grants of each slot, the newest slot first.
	Grants map[string][]int `cbor:"2,keyasint,omitempty"`
	// Earlier is how many more retries were granted by others, as their reports show.
	Earlier int `cbor:"3,keyasint,omitempty"`
	// LostAge is how long ago, in microseconds, a record of grants was lost; -1 if it was not.
	LostAge int64 `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether a box can have made the record.
func (r *PoolRecord) Valid() bool {
	if r.SlotLength <= 0 || r.Earlier < 0 || r.LostAge < -1 || len(r.Grants) > maxRecordGrantors {
		return false
	}
	for _, slots := range r.Grants {
		if len(slots) > storedSlots {
			return false
		}
		for _, n := range slots {
			if n < 0 {
				return false
			}
		}
	}

	return true
}

// Count returns the number of recorded grants.
func (r *PoolRecord) Count() int {
	n := r.Earlier
	for _, slots := range r.Grants {
		for _, v := range slots {
			n += v
		}
	}

	return n
}

// HandOver returns the record of the pool of a service for another box, which boxes share. It reports
// false if this box could not grant itself, since its record may then be incomplete.
func (b *Budget) HandOver(service, self string, boxes int, now time.Time) (PoolRecord, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.startedAt) < propagationDelay || !b.hasQuorum(service, boxes, now) {
		return PoolRecord{}, false
	}
	lost := b.grantorLost(service, now)
	used := b.totalUsage(b.currentWindow(b.sent, service, now).sum(b.bounds.Window), service, boxes, lost, now)
	total := b.totalGranted(service, used, now)
	own := b.currentWindow(b.poolGrants, service, now)
	r := PoolRecord{SlotLength: own.slotLength.Microseconds(), Grants: make(map[string][]int), LostAge: -1}
	if lost {
		r.LostAge = now.Sub(b.lostAt(service)).Microseconds()
	}
	r.Earlier = max(0, total-b.granted(service, b.bounds.Window, now))
	for id, w := range b.handedOver[service] {
		w.advance(own.newest)
		r.add(id, w)
	}
	r.add(self, own)

	return r, true
}

func (r *PoolRecord) add(id string, w *window) {
	slots := w.counts()
	for len(slots) > 0 && slots[len(slots)-1] == 0 {
		slots = slots[:len(slots)-1]
	}
	if len(slots) > 0 {
		r.Grants[id] = slots
	}
}

// TakeOver counts the grants of a record that another box has handed over. It reports false if the
// record does not fit the bounds of this box.
//
// All counts are kept as younger than they are by up to a slot, so that none leaves the window early.
func (b *Budget) TakeOver(service, self string, r PoolRecord, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.currentWindow(b.poolGrants, service, now)
	if r.SlotLength != own.slotLength.Microseconds() {
		return false
	}
	known := b.handedOver[service]
	if known == nil {
		known = make(map[string]*window)
		b.handedOver[service] = known
	}
	maps.DeleteFunc(known, func(_ string, w *window) bool {
		w.advance(own.newest)

		return w.sum(b.bounds.Window).FromPool == 0
	})
	for id, slots := range r.Grants {
		if id == self {
			continue
		}
		w := newGrantWindow(slots, own)
		if before := known[id]; before == nil || before.sum(b.bounds.Window).FromPool < w.sum(b.bounds.Window).FromPool {
			known[id] = w
		}
	}
	b.earlierGrants[service] = grantCount{count: r.Earlier, at: now}
	b.grantorLostAt[service] = time.Time{}
	if r.LostAge >= 0 {
		b.grantorLostAt[service] = now.Add(-time.Duration(r.LostAge) * time.Microsecond)
	}
	b.takenOverAt[service] = now

	return true
}

// granted returns how many retries this box, and those that handed the pool over, granted. The caller
// holds mu.
func (b *Budget) granted(service string, last time.Duration, now time.Time) int {
	own := b.currentWindow(b.poolGrants, service, now)
	n := own.sum(last).FromPool
	for _, w := range b.handedOver[service] {
		w.advance(own.newest)
		n += w.sum(last).FromPool
	}

	return n
}
