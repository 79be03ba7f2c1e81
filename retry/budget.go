// Package retry bounds the retries that all boxes together send to backend servers. Boxes exchange
// their usage, so that a box affected by a failure can use what the others leave.
//
// Without asking, a box may take its allotment: a fraction (usually localShare) of the remaining
// budget, divided by the number of boxes, plus a random number from 0 to 1 (see WithRounding). The
// rest of the remaining budget is the pool, from which one box, the grantor, grants retries to all
// that ask.
package retry

import (
	"maps"
	"sync"
	"time"
)

const (
	// requiredShare is the share of the budget up to which required retries are made. Retries of
	// both urgencies count toward it. The rest is for boxes that have restarted and lost their
	// record of what they sent.
	requiredShare = 0.7
	// optionalShare is the share of the budget up to which optional retries are made. Retries of
	// both urgencies count toward it. Without this lower share, optional retries could use up the
	// budget, and requests would fail because no required retry is left.
	optionalShare = 0.4
	// propagationDelay is the maximum age of the usage reported by other boxes. Messages arrive
	// within a second, and by way of a third box within two.
	propagationDelay = 2 * time.Second
	// peerTimeout is the silence after which the usage of other boxes counts as unknown. With twice
	// propagationDelay, two partitioned boxes could exceed the budget.
	peerTimeout = propagationDelay + 500*time.Millisecond
)

// Urgency is how much a request depends on a retry.
type Urgency int

const (
	// Required is for a retry without which the request fails.
	Required Urgency = iota
	// Optional is for a retry without which the request only completes later. Optional retries
	// leave a part of the budget to required ones.
	Optional
)

// maxShare returns the share of the budget up to which retries of this urgency are made, normally or
// after the loss of a grantor.
func (u Urgency) maxShare(grantorLost bool) float64 {
	share := requiredShare
	if u == Optional {
		share = optionalShare
	}
	if grantorLost {
		share *= lossShare / requiredShare
	}

	return share
}

// Bounds limits what all boxes together retry for one service within any Window: Ratio retries per
// request plus the fixed number Extra.
type Bounds struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Usage is what was sent to one service within a window.
type Usage struct {
	// Requests counts requests, and Retries the retries of them.
	Requests int `cbor:"1,keyasint"`
	Retries  int `cbor:"2,keyasint,omitempty"`
	// FromPool counts the retries that came from the pool.
	FromPool int `cbor:"3,keyasint,omitempty"`
}

func (u Usage) plus(o Usage) Usage {
	return Usage{Requests: u.Requests + o.Requests, Retries: u.Retries + o.Retries, FromPool: u.FromPool + o.FromPool}
}

// Budget is the retry budget as one box sees it. It is safe for concurrent use.
type Budget struct {
	// startedAt is when the box started.
	startedAt time.Time
	// rounding, a random number from 0 to 1, is added to the box's allotment before it is cut to
	// whole retries. Where an allotment is less than one retry, it gives some boxes one retry and
	// the others none.
	rounding float64

	mu     sync.Mutex
	bounds Bounds
	sent   map[string]*window
	// poolGrants counts, as FromPool, the retries that this box as the grantor granted to any box
	// from the pool, and earlierGrants those that other boxes granted as the grantor before it.
	poolGrants    map[string]*window
	earlierGrants map[string]grantCount
	// handedOver holds, by service and process, the grants of earlier grantors that were handed over
	// to this box, and takenOverAt when that last happened.
	handedOver  map[string]map[string]*window
	takenOverAt map[string]time.Time
	peers       map[string]*peerGroup
	// joinedAt is when the box joined boxes that were running before it, and grantorLostAt when the
	// grantor of a service was lost.
	joinedAt      time.Time
	grantorLostAt map[string]time.Time
}

// peerGroup is the other boxes of a hall.
type peerGroup struct {
	boxes int
	// grownAt is when more boxes were heard than before, and boxesBefore how many were heard before.
	grownAt     time.Time
	boxesBefore int
	// lastSeenAt is the time as of which the group was last reported, and usageAt the time as of
	// which its usage was last accepted.
	lastSeenAt time.Time
	usageAt    time.Time
	usage      map[string]Usage
}

// Option configures a Budget.
type Option func(*Budget)

// WithStartTime sets when the box started. For propagationDelay after that, the box does not know
// how many boxes there are, and retries only the ratio of its own requests, which is safe for any
// number of boxes. Otherwise boxes that start together would each take the whole budget.
func WithStartTime(t time.Time) Option {
	return func(b *Budget) { b.startedAt = t }
}

// WithRounding sets the number from 0 to 1 that is added to the box's allotment before it is cut to
// whole retries. Each box draws it at random.
func WithRounding(x float64) Option {
	return func(b *Budget) { b.rounding = x }
}

// New returns an unused Budget.
func New(bounds Bounds, opts ...Option) *Budget {
	b := &Budget{bounds: bounds, sent: make(map[string]*window), poolGrants: make(map[string]*window), earlierGrants: make(map[string]grantCount), peers: make(map[string]*peerGroup), grantorLostAt: make(map[string]time.Time), handedOver: make(map[string]map[string]*window), takenOverAt: make(map[string]time.Time)}
	for _, o := range opts {
		o(b)
	}

	return b
}

// SetBounds replaces the bounds.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.Window != b.bounds.Window {
		// The slots of the windows have another length now.
		clear(b.sent)
		clear(b.poolGrants)
		clear(b.earlierGrants)
		clear(b.handedOver)
	}
	b.bounds = bounds
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentWindow(b.sent, service, now).current().Requests++
}

// Take takes one retry from a budget that the box shares with no other, if one is left.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.take(service, 1, now, allotment{urgency: Required, share: 1})
}

// allotment is what a box may take without asking.
type allotment struct {
	urgency Urgency
	// share is the fraction of the remaining budget that all boxes together may take this way. The
	// allotment of one box is its equal part of that, plus rounding.
	share, rounding float64
	// reserve is the share of the budget that is left to other retries.
	reserve float64
}

// take takes one retry from the box's allotment, if one is left. The caller holds mu.
//
// All boxes may take what is left at the same time before they learn of each other's retries, so
// each box takes at most its allotment within propagationDelay.
func (b *Budget) take(service string, boxes int, now time.Time, a allotment) bool {
	w := b.currentWindow(b.sent, service, now)
	own := w.sum(b.bounds.Window)
	if now.Sub(b.startedAt) < propagationDelay && b.leftAtStart(own, a.urgency) < 1 {
		return false
	}
	recent := w.sum(propagationDelay)
	lost := b.grantorLost(service, now)
	used := b.totalUsage(own, service, boxes, lost, now)
	left := b.leftBefore(recent, used, a.urgency, lost)
	if a.reserve > 0 {
		left -= a.reserve * b.knownLimit(used, service, boxes, lost, now)
		if float64(recent.Retries+1) > left {
			return false
		}
	}
	if float64(recent.Retries-recent.FromPool+1) > a.share*left/float64(max(1, boxes))+a.rounding {
		return false
	}
	w.current().Retries++

	return true
}

// leftAtStart returns how many retries the box may make while it does not know how many boxes there are.
func (b *Budget) leftAtStart(own Usage, u Urgency) float64 {
	return u.maxShare(false)*b.bounds.Ratio*float64(own.Requests) - float64(own.Retries)
}

// leftBefore returns how many retries of the urgency all boxes may make besides those of others in used,
// and besides those of this box before the recent ones.
func (b *Budget) leftBefore(recent, used Usage, u Urgency, grantorLost bool) float64 {
	return u.maxShare(grantorLost)*b.full(used) - float64(used.Retries-recent.Retries)
}

// Leaves reports whether one more retry would leave the given share of what required retries of the
// boxes that are heard may use. A caller that takes a retry only then leaves that share to others.
func (b *Budget) Leaves(service string, boxes int, share float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := b.grantorLost(service, now)
	used := b.totalUsage(b.currentWindow(b.sent, service, now).sum(b.bounds.Window), service, boxes, lost, now)
	limit := Required.maxShare(lost) * b.full(used)

	return limit-float64(used.Retries+1) >= share*b.knownLimit(used, service, boxes, lost, now)
}

// knownLimit returns how many required retries are left for the boxes that are heard, if the others
// use their equal parts. The caller holds mu.
func (b *Budget) knownLimit(used Usage, service string, boxes int, grantorLost bool, now time.Time) float64 {
	share := Required.maxShare(grantorLost)
	assumed, unknown := 0, boxes-1
	for _, p := range b.peers {
		if unknown -= p.boxes; now.Sub(p.lastSeenAt) > peerTimeout {
			assumed += b.silentRetries(p, service, boxes, share)
		}
	}
	assumed += int(share * b.equalPart(Usage{}, max(0, unknown), boxes))

	return max(0, share*b.full(used)-float64(assumed))
}

// silentRetries returns how many retries a group of peers that is not heard may have made: what it
// reported last, or its equal part of the given share of the budget.
func (b *Budget) silentRetries(p *peerGroup, service string, boxes int, share float64) int {
	u := p.usage[service]

	return max(u.Retries, int(share*b.equalPart(u, p.boxes, boxes)))
}

// totalUsage returns what all boxes have used. A box whose usage is unknown counts as having used
// its equal part. The caller holds mu.
func (b *Budget) totalUsage(own Usage, service string, boxes int, grantorLost bool, now time.Time) Usage {
	share := Required.maxShare(grantorLost)
	all, unknown := own, boxes-1
	for _, p := range b.peers {
		u := p.usage[service]
		if now.Sub(p.lastSeenAt) > peerTimeout {
			u.Retries = b.silentRetries(p, service, boxes, share)
		}
		all = all.plus(u)
		unknown -= p.boxes
	}
	all.Retries += int(share * b.equalPart(Usage{}, max(0, unknown), boxes))

	return all
}

// full returns how many retries the bounds allow all boxes for the requests in used.
func (b *Budget) full(used Usage) float64 { return b.equalPart(used, 1, 1) }

// equalPart returns how many retries the bounds allow a group of n boxes for the requests in u.
func (b *Budget) equalPart(u Usage, n, boxes int) float64 {
	return b.bounds.Ratio*float64(u.Requests) + b.bounds.Extra*float64(n)/float64(max(1, boxes))
}

// Usage returns what this box has sent in the last window, by service.
func (b *Budget) Usage(now time.Time) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Usage, len(b.sent))
	for service := range b.sent {
		out[service] = b.currentWindow(b.sent, service, now).sum(b.bounds.Window)
	}

	return out
}

// Sum returns the total usage by service.
func Sum(a, b map[string]Usage) map[string]Usage {
	out := make(map[string]Usage, len(a)+len(b))
	maps.Copy(out, a)
	for service, u := range b {
		out[service] = out[service].plus(u)
	}

	return out
}

// Subtract returns sum without part, by service. No count goes below zero.
func Subtract(sum, part map[string]Usage) map[string]Usage {
	out := make(map[string]Usage, len(sum))
	for service, u := range sum {
		p := part[service]
		out[service] = Usage{Requests: max(0, u.Requests-p.Requests), Retries: max(0, u.Retries-p.Retries), FromPool: max(0, u.FromPool-p.FromPool)}
	}

	return out
}

// SetPeerGroup sets the usage of the other boxes of a hall and their number, both valid as of the
// given time. For propagationDelay after a usage was accepted, one with fewer retries is ignored,
// since it may come from a box that has just started and knows little of its hall's usage.
func (b *Budget) SetPeerGroup(name string, boxes int, usage map[string]Usage, asOf time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[name]
	if !ok {
		p = &peerGroup{boxes: boxes, lastSeenAt: asOf}
		b.peers[name] = p
	}
	p.setBoxes(boxes, asOf)
	if asOf.Sub(p.usageAt) < propagationDelay && total(usage).Retries < total(p.usage).Retries {
		return
	}
	p.usage, p.usageAt = usage, asOf
}

// setBoxes sets how many boxes are heard.
func (p *peerGroup) setBoxes(boxes int, asOf time.Time) {
	before := p.reachableBoxes(asOf)
	if boxes > before && asOf.Sub(p.grownAt) < GrantorWarmup {
		before = min(before, p.boxesBefore)
	}
	if boxes > before {
		p.grownAt, p.boxesBefore = asOf, before
	}
	p.boxes, p.lastSeenAt = boxes, asOf
}

// RemovePeerGroup drops a group of peers that is gone.
func (b *Budget) RemovePeerGroup(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, name)
}

func total(usage map[string]Usage) Usage {
	var sum Usage
	for _, u := range usage {
		sum = sum.plus(u)
	}

	return sum
}

// currentWindow returns the service's window in the map, advanced to now. The caller holds mu.
func (b *Budget) currentWindow(windows map[string]*window, service string, now time.Time) *window {
	w, ok := windows[service]
	if !ok {
		w = &window{}
		windows[service] = w
	}
	w.slotLength = max(1, b.bounds.Window/slotCount)
	w.advance(now.UnixNano() / int64(w.slotLength))

	return w
}
