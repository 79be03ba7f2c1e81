package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
)

// Notice is what a server announces about itself in a response.
type Notice struct {
	// Leaving says that the server finishes its work and accepts no new requests.
	Leaving bool
	// Cooldown is how long the server asks the receiving box for no requests; zero if not
	// announced.
	Cooldown time.Duration
	// InvalidCooldown is the announced cooldown if it can't be parsed.
	InvalidCooldown string
	// Limited says that the server accepts at most Limit requests a second from all boxes together.
	Limited bool
	Limit   float64
	// InvalidLimit is the announced limit if it can't be parsed.
	InvalidLimit string
}

// Empty reports whether the notice announces nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// Observation returns the limit that the response to a request contains, with the times at which
// the request was sent and the response read. It returns false if the limit can't be parsed.
func (n Notice) Observation(sent, read time.Time) (allowance.Observation, bool) {
	rate := n.Limit
	if !n.Limited {
		rate = allowance.NoLimit
	}

	return allowance.Observation{Rate: rate, SentAt: sent, ReadAt: read}, n.InvalidLimit == ""
}

// ApplyNotice records the leaving state and the cooldown that a server incarnation announces, and
// returns those that were not in force yet. ObserveLimit records the limit. The announcement takes
// precedence over the server list, which is older. A leaving state lasts until the incarnation
// ends. A later announcement does not shorten a cooldown, since it may belong to a request that was
// in flight when the longer one arrived.
func (f *Fleet) ApplyNotice(id slatebridge.ServerID, n Notice) Notice {
	if !n.Leaving && n.Cooldown <= 0 {
		return Notice{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired.known[id] {
		return Notice{}
	}
	now := f.now()
	a := f.admissionOf(id)
	var added Notice
	if n.Leaving && !a.leaving {
		a.leaving, added.Leaving = true, true
	}
	if n.Cooldown > 0 {
		if !a.coolingDown(now) {
			added.Cooldown = n.Cooldown
		}
		maxJitter := min(maxCooldownJitter, time.Duration(cooldownJitter*float64(n.Cooldown)))
		until := now.Add(n.Cooldown + time.Duration(f.random()*float64(maxJitter)))
		a.cooldownUntil, a.sent, a.accepted = later(a.cooldownUntil, until), 0, 0
	}
	if m := f.members[id]; m != nil {
		f.markLeaving(m, now)
	}

	return added
}

// admissionOf returns the admission state of an incarnation and creates it if needed. The caller
// holds mu.
func (f *Fleet) admissionOf(id slatebridge.ServerID) *admission {
	a, dropped := f.admissions.getOrAdd(id)
	if m := f.members[dropped]; m != nil {
		m.admission = nil
	}
	if m := f.members[id]; m != nil {
		m.admission = a
	}

	return a
}

// markLeaving marks a member as leaving if it announced that. The caller holds mu.
func (f *Fleet) markLeaving(m *member, now time.Time) {
	if m.admission == nil || !m.admission.leaving || m.Leaving {
		return
	}
	m.Leaving, m.leavingAt = true, now
	f.index.leaving.set(m, true)
}

// RecordAcceptance records that the servers accepted a request. After a cooldown this raises the
// number of requests that a server may receive.
func (f *Fleet) RecordAcceptance(ids ...slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.admissions.known) == 0 {
		return
	}
	now := f.now()
	for _, id := range ids {
		a := f.admissions.known[id]
		if a == nil || a.cooldownUntil.IsZero() || a.coolingDown(now) {
			continue
		}
		if a.accepted++; a.accepted < slowStartResponses {
			continue
		}
		a.cooldownUntil = time.Time{}
		if !a.leaving && a.limit == nil {
			f.clearNotices(id)
		}
	}
}

// ClearNotices discards what an incarnation announced, because another one runs under the same ID.
// That happens if the server does not report its incarnation, so that its ID does not include it.
func (f *Fleet) ClearNotices(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clearNotices(id)
}

func (f *Fleet) clearNotices(id slatebridge.ServerID) {
	f.admissions.remove(id)
	if m := f.members[id]; m != nil {
		m.admission, m.Leaving = nil, false
		f.index.leaving.set(m, false)
	}
}

// CoolingDown returns the servers in a cooldown and the time left of it.
func (f *Fleet) CoolingDown() map[slatebridge.ServerID]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	out := make(map[slatebridge.ServerID]time.Duration)
	for id, a := range f.admissions.known {
		if a.coolingDown(now) {
			out[id] = a.cooldownUntil.Sub(now)
		}
	}

	return out
}

// Leaving returns the servers that are leaving, by their own announcement or the server list.
func (f *Fleet) Leaving() []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for m := range f.index.leaving {
		out = append(out, m.ID)
	}

	return out
}
