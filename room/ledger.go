package room

import (
	"math"
	"slices"
	"time"
)

const (
	// ClaimTTL is how long a granted claim counts if no report contains it: its box has stopped, or
	// its reports are not heard. It exceeds the silence after which a box counts as lost.
	ClaimTTL = 2 * time.Second
	// MaxClaims is the number of claims that a ledger counts at the same time. It bounds the memory
	// of the ledger.
	MaxClaims = 8192
	// GroupMargin is how much later than a claim the reported work of a group has to be valid to
	// contain it. It covers one lost report and the transit of the claim.
	GroupMargin = 500 * time.Millisecond
)

// Use is an amount of the capacity of a server.
type Use struct {
	// Memory is in tokens times layers.
	Memory float64
	// Slots is the number of requests for which the server is the first of their path.
	Slots float64
}

// Add returns the sum.
func (u Use) Add(o Use) Use { return Use{Memory: u.Memory + o.Memory, Slots: u.Slots + o.Slots} }

// Sub returns the difference.
func (u Use) Sub(o Use) Use { return Use{Memory: u.Memory - o.Memory, Slots: u.Slots - o.Slots} }

// Server is what is known of a server without the ledger.
type Server struct {
	// Capacity is the whole capacity; its Slots are zero if they are not limited.
	Capacity Use
	// InFlight is the work that boxes have reported.
	InFlight Use
}

// Limits are the shares of the capacity that may be in use with the request.
type Limits struct {
	Memory float64
	// MemoryBefore is the share of the memory that may be in use without the request.
	MemoryBefore float64
	// Slots is zero if slots are not limited.
	Slots float64
}

func (l Limits) withoutSlots() Limits {
	l.Slots = 0

	return l
}

// Stage is what a request needs at one server.
type Stage struct {
	// ShortID is the hash that identifies the server in messages.
	ShortID uint32
	Need    Use
}

// Claim asks for room for one request at all servers of its path.
type Claim struct {
	// Process identifies the process that sends the request, and ID the claim among its claims.
	Process string
	ID      uint64
	// SentAt is when the claim was made, in microseconds on the clock of the process. The process
	// reports the work of the request from then on.
	SentAt int64
	// Group names the processes whose work is known only as a sum; empty if the work of the process
	// is known. See SetGroupsReported.
	Group  string
	Stages []Stage
	Limits Limits
	// Reported says that the reported work contains the request already.
	Reported bool
}

// Decision is the answer to a claim.
type Decision struct {
	Granted bool
	// Full lists the servers without enough room. It is empty, and the claim not granted, if the
	// ledger cannot tell.
	Full []uint32
	// OnlySlots says that the servers in Full have enough memory, but no slot.
	OnlySlots bool
}

// View is what a decision is based on besides the ledger.
type View struct {
	// Server returns what is known of a server, or false if it is unknown. The ledger does not
	// limit unknown servers.
	Server func(shortID uint32) (Server, bool)
	// LiveShare is the part of the boxes sharing the servers whose reports are known. Boxes that do
	// not hear each other may have a ledger each, so that only this part of the capacity is given.
	LiveShare float64
}

type claimKey struct {
	process string
	id      uint64
}

// grantedClaim is a claim whose use is not contained in reports yet.
type grantedClaim struct {
	sentAt    int64
	group     string
	grantedAt time.Time
	stages    []Stage
}

// pendingUse is the use of the claims at one server, and their number.
type pendingUse struct {
	Use
	claims int
}

// Ledger is the room granted since the last reports. The zero value is not usable; see NewLedger.
// It is not safe for concurrent use.
type Ledger struct {
	claims map[claimKey]grantedClaim
	// oldest is a time before which no claim was granted.
	oldest time.Time
	// pending is the sum of the claims by server.
	pending map[uint32]pendingUse
	// reportedAt is, by process, the time before which its claims are contained in reports; see SetReported.
	reportedAt map[string]int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{claims: make(map[claimKey]grantedClaim), pending: make(map[uint32]pendingUse)}
}

// Decide grants the claim if each of its servers has room, and counts it until reports contain it.
// A claim that arrives again gets the same grant.
//
// Load pattern: 20 to 100 boxes choose among the same servers, which are nearly full, a few hundred
// times in the time that a report takes.
func (l *Ledger) Decide(c Claim, v View, now time.Time) Decision {
	key := claimKey{c.Process, c.ID}
	if _, known := l.claims[key]; known {
		return Decision{Granted: true}
	}
	l.expire(now)
	reported := c.Reported || l.reported(c.Process, c.SentAt)
	full, onlySlots := l.full(c.Stages, reported, c.Limits.withoutSlots(), v), false
	if len(full) == 0 {
		full, onlySlots = l.full(c.Stages, reported, c.Limits, v), true
	}
	switch {
	case len(full) > 0:
		return Decision{Full: full, OnlySlots: onlySlots}
	case reported:
		return Decision{Granted: true}
	case len(l.claims) >= MaxClaims:
		return Decision{}
	}
	if len(l.claims) == 0 {
		l.oldest = now
	}
	l.claims[key] = grantedClaim{sentAt: c.SentAt, group: c.Group, grantedAt: now, stages: slices.Clone(c.Stages)}
	for _, s := range c.Stages {
		p := l.pending[s.ShortID]
		l.pending[s.ShortID] = pendingUse{p.Add(s.Need), p.claims + 1}
	}

	return Decision{Granted: true}
}

// Full returns the servers without room for the stages, either those without memory or those
// without a slot.
func (l *Ledger) Full(stages []Stage, limits Limits, onlySlots bool, v View) []uint32 {
	if onlySlots {
		limits.Memory, limits.MemoryBefore = math.Inf(1), math.Inf(1)
	} else {
		limits = limits.withoutSlots()
	}

	return l.full(stages, false, limits, v)
}

func (l *Ledger) full(stages []Stage, reported bool, limits Limits, v View) []uint32 {
	var full []uint32
	for _, s := range stages {
		if !l.hasRoom(s, reported, limits, v) {
			full = append(full, s.ShortID)
		}
	}

	return full
}

// hasRoom reports whether the server of the stage has room for it.
func (l *Ledger) hasRoom(s Stage, reported bool, limits Limits, v View) bool {
	server, ok := v.Server(s.ShortID)
	if !ok {
		return true
	}
	used := server.InFlight.Add(l.pending[s.ShortID].Use)
	if !reported {
		used = used.Add(s.Need)
	}
	capacity := v.LiveShare * server.Capacity.Memory
	if used.Memory > limits.Memory*capacity || used.Memory-s.Need.Memory > limits.MemoryBefore*capacity {
		return false
	}

	return s.Need.Slots <= 0 || limits.Slots <= 0 || server.Capacity.Slots <= 0 || used.Slots <= v.LiveShare*limits.Slots*server.Capacity.Slots
}

// Release ends a claim whose request was not sent.
func (l *Ledger) Release(process string, id uint64) { l.remove(claimKey{process, id}) }

// SetReported sets, by process, the time on the clock of the process before which its claims are
// contained in the reported work, and removes these claims.
func (l *Ledger) SetReported(reportedAt map[string]int64, now time.Time) {
	l.reportedAt = reportedAt
	for key, c := range l.claims {
		if l.reported(key.process, c.sentAt) {
			l.remove(key)
		}
	}
	l.expire(now)
}

// SetGroupsReported removes the claims that are contained in the work of groups, which is valid at
// the given times.
func (l *Ledger) SetGroupsReported(validAt map[string]time.Time) {
	for key, c := range l.claims {
		if at, ok := validAt[c.group]; ok && c.group != "" && at.Sub(c.grantedAt) >= GroupMargin {
			l.remove(key)
		}
	}
}

func (l *Ledger) reported(process string, sentAt int64) bool {
	at, ok := l.reportedAt[process]

	return ok && sentAt < at
}

// expire removes the claims older than ClaimTTL.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.oldest) < ClaimTTL {
		return
	}
	l.oldest = now
	for key, c := range l.claims {
		if now.Sub(c.grantedAt) >= ClaimTTL {
			l.remove(key)
		} else if c.grantedAt.Before(l.oldest) {
			l.oldest = c.grantedAt
		}
	}
}

func (l *Ledger) remove(key claimKey) {
	for _, s := range l.claims[key].stages {
		p := l.pending[s.ShortID]
		if p.claims <= 1 {
			delete(l.pending, s.ShortID)

			continue
		}
		l.pending[s.ShortID] = pendingUse{p.Sub(s.Need), p.claims - 1}
	}
	delete(l.claims, key)
}

// Len returns the number of claims that count.
func (l *Ledger) Len() int { return len(l.claims) }
