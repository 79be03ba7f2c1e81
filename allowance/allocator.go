package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// minRate is the lowest rate, in requests a second, at which requests are still granted for a
	// server with a lower limit, since only a response can lift the limit.
	minRate = 0.2
	// retryFactor sets the total rate at which rejected boxes ask again, as a multiple of the
	// server's rate. maxBackoff bounds the resulting pause, so that a box to which all callers
	// have moved obtains a grant soon. The pause is longer if the next slot would otherwise still
	// be more than MaxWait away when the box asks again.
	retryFactor = 16.0
	maxBackoff  = time.Second
	// maxCatchUp is how far in the past an unused slot may lie and still be granted. Callers send
	// at any time and boxes ask again only after a pause, so slots pass unused; without maxCatchUp,
	// that would delay all later grants.
	maxCatchUp = 100 * time.Millisecond
	// demandWindow is the length of the windows in which the boxes that ask for grants are counted.
	demandWindow = time.Second
	// maxServers is the number of servers to track, the server count of the largest fleet. Beyond
	// it, servers without requests for idleTTL are dropped first.
	maxServers = 5700
	idleTTL    = time.Minute
)

// GrantRequest asks for permission to send one request to a server.
type GrantRequest struct {
	Server slatebridge.ServerID
	From   slatebridge.BoxID
	// Observations are the observations of the server's limit that the box has.
	Observations []Observation
	// MaxWait is how long the request may wait for its grant.
	MaxWait time.Duration
}

// Grant is the response to a GrantRequest.
type Grant struct {
	// Granted says that the request may be sent after Delay. Delay is the time until the next free
	// slot, also if the request was not granted.
	Granted bool
	Delay   time.Duration
	// Slot is the time for which the grant was issued, at most maxCatchUp in the past. It
	// identifies the grant for Release.
	Slot time.Time
	// RetryAfter is the time until the box should ask again if the request was not granted.
	RetryAfter time.Duration
}

// Allocator issues grants. It is not safe for concurrent use.
type Allocator struct {
	servers map[slatebridge.ServerID]*serverGrants
}

// NewAllocator returns an Allocator without grants.
func NewAllocator() *Allocator {
	return &Allocator{servers: make(map[slatebridge.ServerID]*serverGrants)}
}

// serverGrants tracks the grants for one server.
type serverGrants struct {
	observations Observations
	// latest is the latest slot granted, and released holds the future slots that were returned.
	// Unused slots older than maxCatchUp are lost.
	latest   time.Time
	released []time.Time
	// requesters are the boxes that asked in the demand window ending at windowEnd, and
	// previousRequesters is their number in the window before.
	requesters         map[slatebridge.BoxID]bool
	windowEnd          time.Time
	previousRequesters int
	lastRequestAt      time.Time
}

// Allocate grants the request if a slot is available within its MaxWait. share is the share of each
// limit that this allocator may grant: 1 while it is in contact with all boxes.
func (a *Allocator) Allocate(req GrantRequest, share float64, now time.Time) Grant {
	s := a.grantsFor(req.Server, now)
	for _, o := range req.Observations {
		s.observations.Add(o)
	}
	rate := s.observations.Rate()
	if rate == NoLimit {
		return Grant{Granted: true, Slot: now}
	}
	rate = max(rate, minRate) * share
	boxes := s.recordRequester(req.From, now)
	if i := slices.IndexFunc(s.released, func(at time.Time) bool { return !at.Before(now) && at.Sub(now) <= req.MaxWait }); i >= 0 {
		at := s.released[i]
		s.released = slices.Delete(s.released, i, i+1)

		return Grant{Granted: true, Delay: at.Sub(now), Slot: at}
	}
	slot := later(now.Add(-maxCatchUp), s.latest.Add(seconds(1/rate)))
	wait := max(0, slot.Sub(now))
	if wait > req.MaxWait {
		backoff := min(maxBackoff, seconds(float64(boxes)/(retryFactor*rate)))

		return Grant{Delay: wait, RetryAfter: max(wait-req.MaxWait, backoff)}
	}
	s.latest = slot

	return Grant{Granted: true, Delay: wait, Slot: slot}
}

// Release gives back an unused grant, so that its slot can be granted again.
func (a *Allocator) Release(server slatebridge.ServerID, slot, now time.Time) {
	s := a.servers[server]
	if s == nil || slot.Before(now) || slot.After(s.latest) || slices.ContainsFunc(s.released, slot.Equal) {
		return
	}
	s.released = slices.DeleteFunc(s.released, now.After)
	s.released = append(s.released, slot)
}

// ServerCount returns the number of tracked servers.
func (a *Allocator) ServerCount() int { return len(a.servers) }

// grantsFor returns the state of a server. A new state starts as if a grant had just been issued,
// since boxes that don't know of the limit yet may be sending.
func (a *Allocator) grantsFor(id slatebridge.ServerID, now time.Time) *serverGrants {
	s := a.servers[id]
	if s == nil {
		a.expire(now)
		s = &serverGrants{latest: now, requesters: make(map[slatebridge.BoxID]bool)}
		a.servers[id] = s
	}
	s.lastRequestAt = now

	return s
}

// expire drops idle servers once there are maxServers, and the least recently used one if none is
// idle.
func (a *Allocator) expire(now time.Time) {
	if len(a.servers) < maxServers {
		return
	}
	var oldest slatebridge.ServerID
	at := now
	for id, s := range a.servers {
		switch {
		case now.Sub(s.lastRequestAt) > idleTTL:
			delete(a.servers, id)
		case s.lastRequestAt.Before(at):
			oldest, at = id, s.lastRequestAt
		}
	}
	if len(a.servers) >= maxServers {
		delete(a.servers, oldest)
	}
}

// recordRequester records that a box asked for a grant, and returns how many boxes asked in the
// current demand window or in the previous one, whichever is more.
func (s *serverGrants) recordRequester(from slatebridge.BoxID, now time.Time) int {
	if now.After(s.windowEnd) {
		s.previousRequesters = len(s.requesters)
		if now.Sub(s.windowEnd) > demandWindow {
			s.previousRequesters = 0
		}
		clear(s.requesters)
		s.windowEnd = now.Add(demandWindow)
	}
	s.requesters[from] = true

	return max(s.previousRequesters, len(s.requesters))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
