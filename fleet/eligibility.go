package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// Eligibility says whether new requests may be sent to a server, and if not, why.
type Eligibility int

const (
	// Eligible servers may receive requests.
	Eligible Eligibility = iota
	// IneligibleLeaving servers are shutting down and accept no new requests.
	IneligibleLeaving
	// IneligibleCoolingDown servers asked this box to send nothing for a while.
	IneligibleCoolingDown
	// IneligibleUnlisted servers are no longer in the server list.
	IneligibleUnlisted
)

// String returns the reason as logged: "resting" for a cooldown and "gone" for an unlisted server.
func (e Eligibility) String() string { return [...]string{"none", "leaving", "resting", "gone"}[e] }

// Eligibility returns whether a request may be sent to the server now. It is checked again right
// before sending, since a request may have waited after its server was chosen.
func (f *Fleet) Eligibility(id slatebridge.ServerID) Eligibility {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.eligibility(id, f.now())
}

func (f *Fleet) eligibility(id slatebridge.ServerID, now time.Time) Eligibility {
	a, m := f.admissions.known[id], f.members[id]
	switch {
	case a.coolingDown(now):
		return IneligibleCoolingDown
	case m != nil && m.Leaving, a != nil && a.leaving:
		return IneligibleLeaving
	case m == nil:
		return IneligibleUnlisted
	default:
		return Eligible
	}
}

// IneligibleInPath returns the first server of the path that may not receive requests, and why. The
// stages after it are not checked.
func (f *Fleet) IneligibleInPath(p Path) (slatebridge.ServerID, Eligibility) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range p {
		if e := f.eligibility(s.Server.ID, now); e != Eligible {
			return s.Server.ID, e
		}
	}

	return "", Eligible
}
