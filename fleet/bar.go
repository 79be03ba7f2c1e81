package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// Bar is why nothing may be sent to a server now.
type Bar int

// The reasons.
const (
	// NotBarred is for servers to which requests may be sent.
	NotBarred Bar = iota
	// BarLeaving is for those that are leaving: they get no new requests.
	BarLeaving
	// BarResting is for those that want nothing from this box for now.
	BarResting
	// BarGone is for those that are not listed any more: they get no new requests either.
	BarGone
)

// String returns the reason as logs show it.
func (b Bar) String() string { return [...]string{"none", "leaving", "resting", "gone"}[b] }

// Barred returns why no request may be sent to the server now. It is asked again when a
// request is really sent: what was chosen before may have waited.
func (f *Fleet) Barred(id slatebridge.ServerID) Bar {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.barred(id, f.now())
}

func (f *Fleet) barred(id slatebridge.ServerID, now time.Time) Bar {
	s, m := f.noticed.known[id], f.members[id]
	switch {
	case s.rests(now):
		return BarResting
	case m != nil && m.Leaving, s != nil && s.leaving:
		return BarLeaving
	case m == nil:
		return BarGone
	default:
		return NotBarred
	}
}

// BarredOn returns the first server of the path to which no request may be sent now, and
// why: a path with a leaving server further down leaves as well.
func (f *Fleet) BarredOn(p Path) (slatebridge.ServerID, Bar) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range p {
		if b := f.barred(s.Server.ID, now); b != NotBarred {
			return s.Server.ID, b
		}
	}

	return "", NotBarred
}
