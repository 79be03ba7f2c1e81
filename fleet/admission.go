package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
)

const (
	// maxAdmissions is the number of incarnations whose announcements are remembered, the server
	// count of the largest fleet. The oldest are dropped first, since they have most likely ended.
	maxAdmissions = 5700
	// cooldownJitter is the maximum random extension of a cooldown as a share of its length, and
	// maxCooldownJitter its absolute maximum. The jitter keeps boxes that got the announcement at
	// the same moment from returning together, without a long wait after the cooldown.
	cooldownJitter    = 0.2
	maxCooldownJitter = 500 * time.Millisecond
	// slowStartResponses is the number of accepted requests after which the slow start that follows
	// a cooldown ends. Until then each accepted request permits two more.
	slowStartResponses = 16
	// probeInterval is how long after an unanswered request of the slow start another may be sent,
	// since the response may have been lost.
	probeInterval = 500 * time.Millisecond
)

// admission is what one server incarnation announced about the requests that it accepts.
type admission struct {
	// leaving is set once the server announced that it is leaving. It is never reset.
	leaving bool
	// cooldownUntil is the end of the cooldown; zero if none was announced or the slow start after
	// it is over.
	cooldownUntil time.Time
	// sent counts the requests sent since the cooldown was last announced. Some are sent during the
	// cooldown, since a repaired path may keep the server. accepted counts those accepted since the
	// end of the cooldown, and sentAt is the time of the last one sent.
	sent     int
	accepted int
	sentAt   time.Time
	// limit holds the observations of the server's rate limit; nil if none was announced.
	limit *allowance.Observations
	// grantAvailableAt is when the next grant is available; see RecordGrantDelay. A grant permits
	// one request to a rate-limited server (see package allowance).
	grantAvailableAt time.Time
}

// coolingDown reports whether the server is in its cooldown.
func (a *admission) coolingDown(now time.Time) bool { return a != nil && now.Before(a.cooldownUntil) }

// admits reports whether one more request may be sent to the server.
//
// Load pattern: a server rejects everything for a second, while other servers handle hundreds of
// requests that could all go to it the moment its cooldown ends. It receives one request first, and
// two more with each that it accepts.
func (a *admission) admits(now time.Time) bool {
	switch {
	case a == nil || a.cooldownUntil.IsZero():
		return true
	case now.Before(a.cooldownUntil):
		return false
	default:
		return a.sent <= 2*a.accepted || now.Sub(a.sentAt) >= probeInterval
	}
}

// lacksGrant reports whether the server is rate-limited and has no grant available now.
func (a *admission) lacksGrant(now time.Time) bool {
	return a != nil && now.Before(a.grantAvailableAt) && a.limit.Limited()
}

// recordSend records that a request is sent to the server.
func (a *admission) recordSend(now time.Time) {
	if a.countsSends() {
		a.sent++
		a.sentAt = now
	}
}

// countsSends reports whether the requests sent to the server are counted.
func (a *admission) countsSends() bool { return a != nil && !a.cooldownUntil.IsZero() }

// withdrawSend undoes recordSend for a request that was not sent, unless the cooldown was announced
// again since. before is sentAt before it was recorded at the given time.
func (a *admission) withdrawSend(at, before time.Time) {
	if !a.countsSends() || a.sent == 0 {
		return
	}
	a.sent--
	if a.sentAt.Equal(at) {
		a.sentAt = before
	}
}

// lastSentAt returns sentAt, or zero without a state.
func (a *admission) lastSentAt() time.Time {
	if a == nil {
		return time.Time{}
	}

	return a.sentAt
}

// admissions holds the admission states of a bounded number of incarnations.
type admissions struct {
	known map[slatebridge.ServerID]*admission
	// order lists them from oldest to newest.
	order []slatebridge.ServerID
}

// getOrAdd returns the admission state of an incarnation, creating it if needed, and the
// incarnation that was dropped for it.
func (n *admissions) getOrAdd(id slatebridge.ServerID) (a *admission, dropped slatebridge.ServerID) {
	if a = n.known[id]; a != nil {
		return a, ""
	}
	if len(n.order) >= maxAdmissions {
		dropped = n.order[0]
		n.remove(dropped)
	}
	a = &admission{}
	n.known[id] = a
	n.order = append(n.order, id)

	return a, dropped
}

// remove drops an incarnation.
func (n *admissions) remove(id slatebridge.ServerID) {
	if n.known[id] == nil {
		return
	}
	delete(n.known, id)
	for i, v := range n.order {
		if v == id {
			n.order = append(n.order[:i], n.order[i+1:]...)

			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
