package forward

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
)

// streamAttempt is an attempt of a stream in flight.
type streamAttempt struct {
	requestID string
	service   string
	kvTokens  float64
	cancel    context.CancelCauseFunc
	// ranOn lists the first servers of the earlier attempts that may have run, and of this one.
	// maxRuns is the number of servers that the stream may run on.
	ranOn   []slatebridge.ServerID
	maxRuns int
	limits  silenceLimits
	// eventsBefore is the number of events that the caller had received before this attempt.
	eventsBefore int
	// mustNotReplace is set if the attempt must not be ended in favor of another one.
	mustNotReplace bool
	request        *inboundRequest
	// retriedAt is when the watcher, which alone uses it, last retried the repair.
	retriedAt time.Time

	mu   sync.Mutex
	path fleet.Path
	// ledgerAttempt identifies the attempt on its current path in the quarantine ledger.
	ledgerAttempt quarantine.Attempt
	reservation   *fleet.Reservation
	lastEventAt   time.Time
	// pauseFrom is when the caller received the last event, of this attempt or an earlier one; zero
	// if there is none. Unlike lastEventAt, no move or suspension changes it.
	pauseFrom time.Time
	// events is the number of events of this attempt.
	events int
	// started is set at the first event of this attempt.
	started bool
	// pathEvents is the number of events on the current path, the first of which came at
	// firstOnPathAt. progressed is set once they show that the prompt crashes no servers.
	pathEvents    int
	firstOnPathAt time.Time
	progressed    bool
	// meanGap is a moving average of the time between two events, and gapFactor how many times as
	// long the stream may be silent.
	meanGap   time.Duration
	gapFactor float64
	// jitter is added to the silence after which servers are queried.
	jitter time.Duration
	// nextPath is the path of the next attempt, if it has been chosen.
	nextPath        fleet.Path
	nextReservation *fleet.Reservation
	// unansweredPath is the path of a move to which the response was lost, if any, and
	// unansweredReservation its reservation.
	unansweredPath        fleet.Path
	unansweredReservation *fleet.Reservation
	ended                 bool
	// checkedAt is the time of the last check, nextCheckAt the earliest time of the next one, and
	// checkBackoff the pause after that.
	checkedAt    time.Time
	nextCheckAt  time.Time
	checkBackoff time.Duration
	// nextMoveAt is the earliest time of the next attempt to move the stream off a server.
	nextMoveAt time.Time
	// waitsForRepair is set while the stream stays on its path although servers of it have failed.
	waitsForRepair bool
	// stallLog and waitLog bound how often the stream is logged as stalled and as waiting.
	stallLog, waitLog findingLimiter
}

const (
	// gapWeight is the weight of the latest gap in the moving average.
	gapWeight = 0.2
	// maxGapFactor and minGapFactor bound how many mean gaps a slow stream may be silent. Between
	// the bounds, the factor follows the spread of recent gaps of other streams.
	maxGapFactor = 2.5
	minGapFactor = 1.6
	// suspectGapFactor is the factor for a stream with a suspect on its path.
	suspectGapFactor = 1.6
)

// recordEvent records an event. It returns the path that the event arrived on, and whether the stream
// has progressed on that path with this event.
func (a *streamAttempt) recordEvent() (path fleet.Path, progressed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	if a.started {
		a.meanGap += time.Duration(gapWeight * float64(now.Sub(a.lastEventAt)-a.meanGap))
	}
	a.lastEventAt, a.started, a.checkBackoff = now, true, initialCheckBackoff
	a.pauseFrom, a.waitsForRepair = now, false
	a.events++
	if a.pathEvents++; a.pathEvents == 1 {
		a.firstOnPathAt = now
	}
	if !a.progressed && quarantine.HasProgressed(a.pathEvents, now.Sub(a.firstOnPathAt)) {
		a.progressed, progressed = true, true
	}

	return a.path, progressed
}

// suspicions lists the suspects, and those of them that two boxes have confirmed.
type suspicions struct {
	suspects, confirmed []slatebridge.ServerID
}

// checkDue reports whether the stream has been silent for so long that its servers should be
// queried, or that it should leave a suspect, and if so records the check.
//
// Scenario: nine servers crash at once, and hundreds of streams of many boxes stall. Each stream
// would detect that by its own silence. Once two boxes have, the others need not wait, which leaves
// more of the pause that the route allows to the servers that take over.
func (a *streamAttempt) checkDue(now time.Time, s suspicions) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limits.first
	if a.started {
		limit = max(a.limits.running, min(time.Duration(cmp.Or(a.gapFactor, maxGapFactor)*float64(a.meanGap)), maxSilence))
	}
	limit += a.jitter
	switch {
	case slices.ContainsFunc(s.confirmed, a.path.Contains):
		limit = suspectSilence
	case slices.ContainsFunc(s.suspects, a.path.Contains):
		limit = min(max(suspectSilence, time.Duration(suspectGapFactor*float64(a.meanGap))), limit)
	}
	if now.Sub(a.lastEventAt) < limit || (now.Before(a.nextCheckAt) && !a.abandonDue(now)) {
		return false
	}
	a.checkedAt, a.nextCheckAt = now, now.Add(a.checkBackoff)
	a.checkBackoff = min(2*a.checkBackoff, maxCheckBackoff)

	return true
}

// abandonDue reports whether the silence has reached abandonSilence and the last check was before
// that. The pauses between checks double, so that the next one may come after the caller has left.
//
// Scenario: connections go silent for good while new ones work. All servers of a stream respond,
// and only its silence shows that it is lost. Callers leave after 2 s.
func (a *streamAttempt) abandonDue(now time.Time) bool {
	at := a.lastEventAt.Add(abandonSilence)

	return !now.Before(at) && a.checkedAt.Before(at)
}

// resetSilence restarts the measurement of silence at the given time.
func (a *streamAttempt) resetSilence(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastEventAt, a.nextCheckAt, a.checkBackoff = now, time.Time{}, initialCheckBackoff
}

// startMove reports whether the stream may be moved now, and if so records the attempt to move it.
func (a *streamAttempt) startMove(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextMoveAt) {
		return false
	}
	a.nextMoveAt = now.Add(moveBackoff)

	return true
}

// current returns the path of the attempt and its identity in the quarantine ledger.
func (a *streamAttempt) current() (fleet.Path, quarantine.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()

	ledgerAttempt := a.ledgerAttempt
	ledgerAttempt.Progressed = a.progressed

	return a.path, ledgerAttempt
}

func (a *streamAttempt) state() (path fleet.Path, started bool, silent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.path, a.started, clock.Since(a.lastEventAt)
}

// overdueSince returns when the stream had been silent for longer than the usual time between two
// events.
func (a *streamAttempt) overdueSince() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.lastEventAt.Add(minSilence)
}

// replaceable reports whether the attempt may be ended in favor of another one.
func (a *streamAttempt) replaceable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return !a.mustNotReplace && !a.ended && a.nextPath == nil
}

// setNextPath sets the path of the next attempt. It returns false if the attempt has ended or a
// next path is already set.
func (a *streamAttempt) setNextPath(p fleet.Path, reservation *fleet.Reservation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.nextPath != nil {
		return false
	}
	a.nextPath, a.nextReservation = p, reservation

	return true
}

// switchPath records that the attempt continues on another path, and its identity in the quarantine
// ledger there. If the attempt has ended, it returns false and only releases the reservation.
func (a *streamAttempt) switchPath(p fleet.Path, ledgerAttempt quarantine.Attempt, reservation *fleet.Reservation) bool {
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		reservation.Release()

		return false
	}
	previous, unanswered := a.reservation, a.unansweredReservation
	a.unansweredPath, a.unansweredReservation = nil, nil
	a.path, a.ledgerAttempt, a.reservation, a.lastEventAt, a.waitsForRepair = p, ledgerAttempt, reservation, clock.Now(), false
	a.pathEvents, a.progressed = 0, false
	a.mu.Unlock()
	previous.Release()
	unanswered.Release()

	return true
}

// keepUnanswered keeps the path of a move to which the response was lost, and its reservation, until
// the next confirmed move or the end of the attempt.
func (a *streamAttempt) keepUnanswered(p fleet.Path, reservation *fleet.Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		reservation.Release()

		return
	}
	a.unansweredReservation.Release()
	a.unansweredPath, a.unansweredReservation = p, reservation
}

// takeUnanswered returns the path of a move to which the response was lost, and its reservation,
// which the caller has to release or keep again.
func (a *streamAttempt) takeUnanswered() (fleet.Path, *fleet.Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, reservation := a.unansweredPath, a.unansweredReservation
	a.unansweredPath, a.unansweredReservation = nil, nil

	return p, reservation
}

// mayHaveMoved reports whether the response to the last move was lost.
func (a *streamAttempt) mayHaveMoved() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.unansweredPath != nil
}

// monitor holds the stream attempts in flight at this box, and what the box itself has found out
// about servers while watching them.
type monitor struct {
	mu       sync.Mutex
	attempts map[*streamAttempt]bool
	// suspects are the servers that this box suspects.
	suspects map[slatebridge.ServerID]localSuspect
	// refusing is the set of servers that refuse connections.
	refusing map[slatebridge.ServerID]bool
	// slow maps the servers that this box has found slow to their slowness, as in Report.
	slow map[slatebridge.ServerID]float64
	// queries holds the latest report query of each server.
	queries map[slatebridge.ServerID]*reportQuery
}

// localSuspect is a server that this box itself suspects.
type localSuspect struct {
	// count is one for the suspicion, for whatever reason, and one for each later query without a
	// response.
	count int
	// since is when the suspicion began.
	since time.Time
}

func newMonitor() *monitor {
	return &monitor{
		attempts: make(map[*streamAttempt]bool), suspects: make(map[slatebridge.ServerID]localSuspect), refusing: make(map[slatebridge.ServerID]bool),
		slow: make(map[slatebridge.ServerID]float64), queries: make(map[slatebridge.ServerID]*reportQuery),
	}
}

// countSuspicion adds one to the count of a server in suspects, and reports whether this box did
// not suspect the server before.
func (m *monitor) countSuspicion(id slatebridge.ServerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.suspects[id]
	if s.count++; s.count == 1 {
		s.since = clock.Now()
	}
	m.suspects[id] = s

	return s.count == 1
}

// isSuspect reports whether this box suspects the server.
func (m *monitor) isSuspect(id slatebridge.ServerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.suspects[id].count > 0
}

// clearSuspect clears the suspicion of a server and any record that it refuses connections.
func (m *monitor) clearSuspect(id slatebridge.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.suspects, id)
	delete(m.refusing, id)
}

// recordSlow records the slowness of a server, and reports whether the server was already known to
// be slow.
func (m *monitor) recordSlow(id slatebridge.ServerID, slowness float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.slow[id]
	m.slow[id] = slowness

	return known
}

// clearSlow removes a server from the slow ones.
func (m *monitor) clearSlow(id slatebridge.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.slow, id)
}

// setRefusing records whether a server refuses connections. It returns true if the server does and
// did not before.
func (m *monitor) setRefusing(id slatebridge.ServerID, refusing bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.refusing[id]
	if refusing {
		m.refusing[id] = true
	} else {
		delete(m.refusing, id)
	}

	return refusing && !known
}

// minSilentCount is the count in suspects from which a server counts as silent. Queries are half a
// second apart.
const minSilentCount = 3

// failureState reports whether a server refuses connections, and whether it is silent.
func (m *monitor) failureState(id slatebridge.ServerID) (refusing, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.refusing[id], m.suspects[id].count >= minSilentCount
}

func (m *monitor) add(a *streamAttempt) *streamAttempt {
	a.lastEventAt, a.checkBackoff = clock.Now(), initialCheckBackoff
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[a] = true

	return a
}

// remove ends an attempt, and returns the path of the next one if it has been chosen.
func (m *monitor) remove(a *streamAttempt) (fleet.Path, *fleet.Reservation) {
	m.mu.Lock()
	delete(m.attempts, a)
	m.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reservation.Release()
	a.unansweredReservation.Release()
	a.ended = true

	return a.nextPath, a.nextReservation
}

// countStreams returns the number of stream attempts in flight whose path contains the server, and how
// many of them have had no event.
func (m *monitor) countStreams(id slatebridge.ServerID) (streams, unstarted int) {
	for _, a := range m.all() {
		path, started, _ := a.state()
		if !path.Contains(id) {
			continue
		}
		if streams++; !started {
			unstarted++
		}
	}

	return streams, unstarted
}

func (m *monitor) all() []*streamAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.Collect(maps.Keys(m.attempts))
}
