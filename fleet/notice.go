package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// Notice is what an answer says of the server that sent it, beside what it answers.
type Notice struct {
	// Leaving says that the server finishes its work and takes no more.
	Leaving bool
	// Rest is for how long the server wants nothing from the box that it answered; zero if
	// it does not say.
	Rest time.Duration
	// Unreadable is what it said of a rest if that cannot be read.
	Unreadable string
}

// Empty reports whether the answer says nothing.
func (n Notice) Empty() bool { return n == Notice{} }

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

const (
	// mostNoticed is how many starts of servers are remembered that have said something of
	// themselves: as many as the largest fleet has servers. The oldest are dropped first;
	// they have most likely ended.
	mostNoticed = 5700
	// restSpread is by which part of its length a rest is taken to be longer at most, and
	// mostSpread by how much, so that the boxes that were asked in one moment do not come back
	// in one. Measured with five servers that all rest for 30 s, and no bound: 329 of 1,232
	// calls in the 4 s after were refused, and 32 with it; see TestServersAtRest.
	restSpread = 0.2
	mostSpread = 500 * time.Millisecond
	// awakeAfter is how many answers after a rest show that the server takes work as before.
	// Until then each answer allows two requests more.
	awakeAfter = 16
	// triedAgain is after which time without an answer one more may be sent all the same: the
	// answer may have been lost.
	triedAgain = 500 * time.Millisecond
)

// standing is what one start of a server has said of itself.
type standing struct {
	// leaving says that it is leaving. Nothing takes that back.
	leaving bool
	// restUntil is until when it wants nothing from this box; zero if it has not said so, or
	// has taken work again since.
	restUntil time.Time
	// begun and answered count the requests since the end of the rest, and begunAt is when
	// the last one was begun.
	begun    int
	answered int
	begunAt  time.Time
}

// rests reports whether the server wants nothing from this box now.
func (s *standing) rests(now time.Time) bool { return s != nil && now.Before(s.restUntil) }

// admits reports whether one more request may be sent to the server.
//
// Load pattern: a server turns all away for a second, and hundreds of requests that other
// servers took meanwhile are free to go to it in the moment in which its rest ends. It gets
// one first, and with each answer two more.
func (s *standing) admits(now time.Time) bool {
	switch {
	case s == nil || s.restUntil.IsZero():
		return true
	case now.Before(s.restUntil):
		return false
	default:
		return s.begun <= 2*s.answered || now.Sub(s.begunAt) >= triedAgain
	}
}

// noteBegun notes that a request is sent to the server.
func (s *standing) noteBegun(now time.Time) {
	if s != nil && !s.restUntil.IsZero() {
		s.begun++
		s.begunAt = now
	}
}

// noticed are the starts of servers that have said something of themselves.
type noticed struct {
	known map[slatebridge.ServerID]*standing
	// order has them as they were learned.
	order []slatebridge.ServerID
}

// of returns the standing of a start, which is remembered from now on, and the start that
// is forgotten for it.
func (n *noticed) of(id slatebridge.ServerID) (s *standing, dropped slatebridge.ServerID) {
	if s = n.known[id]; s != nil {
		return s, ""
	}
	if len(n.order) >= mostNoticed {
		dropped = n.order[0]
		n.drop(dropped)
	}
	s = &standing{}
	n.known[id] = s
	n.order = append(n.order, id)

	return s, dropped
}

// drop forgets a start.
func (n *noticed) drop(id slatebridge.ServerID) {
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

// Hear takes up what a start of a server says of itself, and returns the part that is news.
// It holds whatever the list of servers says: that is older. Only the end of the start lifts
// it. A rest is not cut short by a later, shorter one: that may be the answer to what was
// under way when the longer one came.
func (f *Fleet) Hear(id slatebridge.ServerID, n Notice) Notice {
	if !n.Leaving && n.Rest <= 0 {
		return Notice{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended.known[id] {
		return Notice{}
	}
	now := f.now()
	s, dropped := f.noticed.of(id)
	if m := f.members[dropped]; m != nil {
		m.standing = nil
	}
	var news Notice
	if n.Leaving && !s.leaving {
		s.leaving, news.Leaving = true, true
	}
	if n.Rest > 0 {
		if !s.rests(now) {
			news.Rest = n.Rest
		}
		spread := min(mostSpread, time.Duration(restSpread*float64(n.Rest)))
		until := now.Add(n.Rest + time.Duration(f.random()*float64(spread)))
		s.restUntil, s.begun, s.answered = later(s.restUntil, until), 0, 0
	}
	if m := f.members[id]; m != nil {
		m.standing = s
		f.markLeaving(m, now)
	}

	return news
}

// markLeaving has a member leave that has said so itself. The caller holds mu.
func (f *Fleet) markLeaving(m *member, now time.Time) {
	if m.standing == nil || !m.standing.leaving || m.Leaving {
		return
	}
	m.Leaving, m.leavingAt = true, now
}

// NoteTaken notes that servers have taken a request. One that rested before gets more.
func (f *Fleet) NoteTaken(ids ...slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.noticed.known) == 0 {
		return
	}
	now := f.now()
	for _, id := range ids {
		s := f.noticed.known[id]
		if s == nil || s.restUntil.IsZero() || s.rests(now) {
			continue
		}
		if s.answered++; s.answered < awakeAfter {
			continue
		}
		s.restUntil = time.Time{}
		if !s.leaving {
			f.forget(id)
		}
	}
}

// Forget forgets what a start of a server has said of itself: another one is there under the
// same ID.
func (f *Fleet) Forget(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(id)
}

func (f *Fleet) forget(id slatebridge.ServerID) {
	f.noticed.drop(id)
	if m := f.members[id]; m != nil {
		m.standing, m.Leaving = nil, false
	}
}

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

// Resting returns the servers that want nothing from this box now, with for how long.
func (f *Fleet) Resting() map[slatebridge.ServerID]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	out := make(map[slatebridge.ServerID]time.Duration)
	for id, s := range f.noticed.known {
		if s.rests(now) {
			out[id] = s.restUntil.Sub(now)
		}
	}

	return out
}

// Leaving returns the servers that are leaving, by their own word or the list.
func (f *Fleet) Leaving() []slatebridge.ServerID {
	return f.those(func(m *member, _ time.Time) bool { return m.Leaving })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
