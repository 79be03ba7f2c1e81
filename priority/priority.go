// Package priority decides how requests of different service classes share servers that are nearly
// full. Each box decides for its own requests, by what it recently observed of them.
//
// Load pattern: for some seconds, more requests arrive than the servers have memory and slots for.
// First come, first served would then refuse urgent and deferrable requests alike. Instead, each
// class leaves the room free that more urgent requests of all boxes are expected to take before this
// box learns of them. No class, and within a class no account, is starved by that; an account that
// takes much more than the others of its class is limited first.
package priority

import (
	"math"
	"sync"
	"time"
)

const (
	// Classes is the number of classes that are told apart; less urgent ones count as the last.
	Classes = 10
	// maxReserve is the largest share of the capacity that any request leaves free, so that a wrong
	// estimate cannot leave much of the servers idle.
	maxReserve = 0.2
	// minRelativeService is the least rate of admission of a class, as a share of that of all classes
	// together, and of an account, as a share of that of its class.
	minRelativeService = 0.5
	// largeDemand is the factor by which an account must offer more than the mean of the other
	// accounts of its class to be limited before them.
	largeDemand = 2
	// chanceDeviations is the number of standard deviations up to which a number of requests may
	// differ from the expected one by chance.
	chanceDeviations = 2.0
	// contendedShare is the share of the decided tokens of a class below which, if admitted, its accounts
	// compete for room.
	contendedShare = 0.9
	// streamRetryReserve is the share of the retry budget that all new requests leave to streams under
	// way, and urgentRetryReserve the share that they leave in addition if all others are more urgent.
	streamRetryReserve = 0.2
	urgentRetryReserve = 0.3
)

// Request is what decisions need to know of a new request.
type Request struct {
	// Class is the priority class, 0 for the most urgent.
	Class int
	// Account is the client account; empty if it is not known.
	Account string
}

// ClassIndex returns the class bounded to less than Classes.
func ClassIndex(class int) int { return min(max(0, class), Classes-1) }

func (r Request) class() int { return ClassIndex(r.Class) }

// Supply is the capacity that all boxes share.
type Supply struct {
	// Tokens is the memory for requests of the scarcest layer, and Slots the number of slots of all
	// first servers; zero if not known.
	Tokens, Slots float64
	// Boxes is the number of boxes that send requests there.
	Boxes int
	// Staleness is the age of what a box knows of the requests of the others.
	Staleness time.Duration
}

// Reason says what determined a Reserve.
type Reason int

const (
	// Ordinary means that the class of the request determined it.
	Ordinary Reason = iota
	// LargeAccount means that the account has had more than its fair share, so that the request
	// leaves as much as one of the next less urgent class.
	LargeAccount
	// Underserved means that the class or the account was admitted too rarely, so that the request
	// leaves nothing.
	Underserved
)

// Reserve is what a request leaves free for more urgent ones, as shares of the capacity.
type Reserve struct {
	Memory, Slots float64
	Reason        Reason
}

// Tracker records the requests that one box recently received for one service. It is safe for
// concurrent use.
type Tracker struct {
	startedAt time.Time

	mu      sync.Mutex
	classes [Classes]classUsage
	// used is the number of classes up to the least urgent one observed.
	used int
}

// NewTracker returns a Tracker that observes requests from the given time on.
func NewTracker(startedAt time.Time) *Tracker { return &Tracker{startedAt: startedAt} }

// RecordOffered records the arrival of a request and the number of tokens for which it needs memory.
func (t *Tracker) RecordOffered(r Request, tokens float64, now time.Time) {
	t.record(r, counts{offered: 1, offeredTokens: int64(math.Ceil(tokens))}, now)
}

// RecordAdmitted records that a server accepted a request that was offered at the given time.
func (t *Tracker) RecordAdmitted(r Request, tokens float64, offeredAt time.Time) {
	n := int64(math.Ceil(tokens))
	t.record(r, counts{decided: 1, decidedTokens: n, admitted: 1, admittedTokens: n}, offeredAt)
}

// RecordRefused records that there was no room for a request that was offered at the given time.
// Requests that end for another reason are not recorded.
func (t *Tracker) RecordRefused(r Request, tokens float64, offeredAt time.Time) {
	t.record(r, counts{decided: 1, decidedTokens: int64(math.Ceil(tokens))}, offeredAt)
}

func (t *Tracker) record(r Request, n counts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used = max(t.used, r.class()+1)
	t.classes[r.class()].add(r.Account, n, t.slotAt(now))
}

// Reserve returns what a new request, already recorded as offered, leaves free.
func (t *Tracker) Reserve(r Request, s Supply, now time.Time) Reserve {
	t.mu.Lock()
	defer t.mu.Unlock()
	class, slot := r.class(), t.slotAt(now)
	total := t.total(slot)
	usage := &t.classes[class]
	contended := usage.contended()
	switch {
	case contended && usage.exceedsFairShare(r.Account, slot):
		// Checked first: otherwise a large account could get its own class treated as underserved.
		out := t.expected(class+1, s, now)
		out.Reason = LargeAccount

		return out
	case underserved(usage.window.sum, total), contended && underserved(usage.account(r.Account, slot), usage.window.sum):
		return Reserve{Reason: Underserved}
	default:
		return t.expected(class, s, now)
	}
}

// OrdinaryReserve returns what the class of a new request leaves free, whatever was admitted.
func (t *Tracker) OrdinaryReserve(r Request, s Supply, now time.Time) Reserve {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.expected(r.class(), s, now)
}

// RetryReserve returns the share of the retry budget that a new request leaves to streams under way
// and to more urgent requests. The latter part grows with their share of recent requests.
func (t *Tracker) RetryReserve(r Request, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.total(t.slotAt(now))
	class := r.class()
	if underserved(t.classes[class].window.sum, total) {
		class = 0
	}
	var urgent int64
	for i := range class {
		urgent += t.classes[i].window.sum.offered
	}

	return streamRetryReserve + urgentRetryReserve*float64(urgent)/float64(max(1, total.offered))
}

// slotAt returns the number of the slot since the tracker began.
func (t *Tracker) slotAt(now time.Time) int64 {
	return int64(max(0, now.Sub(t.startedAt)) / slotLength)
}

// total returns the counts of all classes together. The caller holds mu.
func (t *Tracker) total(slot int64) counts {
	var sum counts
	for i := range t.used {
		t.classes[i].window.advance(slot)
		sum.add(t.classes[i].window.sum)
	}

	return sum
}

// expected returns the shares of the capacity that requests more urgent than the class are expected
// to take within s.Staleness. If all classes together are expected to take more than maxReserve, the
// shares of all are reduced alike, which keeps their order. The caller holds mu.
func (t *Tracker) expected(class int, s Supply, now time.Time) Reserve {
	var ahead, all counts
	slot := t.slotAt(now)
	for i := range t.used {
		recent := t.classes[i].window.recent(slot)
		all.add(recent)
		if i < class {
			ahead.add(recent)
		}
	}
	scale := float64(s.Boxes) * float64(s.Staleness) / float64(recentDuration(now.Sub(t.startedAt)))

	return Reserve{
		Memory: bounded(float64(ahead.offeredTokens), float64(all.offeredTokens), scale, s.Tokens),
		Slots:  bounded(float64(ahead.offered), float64(all.offered), scale, s.Slots),
	}
}

// bounded returns the share of the capacity that scale times the demand ahead takes, reduced so that
// all of the demand would take at most maxReserve.
func bounded(ahead, all, scale, capacity float64) float64 {
	if capacity <= 0 || all <= 0 {
		return 0
	}

	return ahead / all * min(maxReserve, all*scale/capacity)
}

// underserved reports whether a part of the requests was admitted less than minRelativeService times
// as often as all of them, beyond chance.
func underserved(part, all counts) bool {
	expected := float64(all.admitted) * float64(part.decided) / float64(max(1, all.decided))
	admitted := float64(part.admitted)

	return admitted < minRelativeService*expected && expected-admitted > chanceDeviations*math.Sqrt(expected)
}
