package fleet

import (
	"time"

	"github.com/slatebridge/slatebridge"
)

// RecordProgress records that a stream on the path made progress, which shows that all its servers
// are alive.
func (f *Fleet) RecordProgress(p Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range p {
		if m, ok := f.members[s.Server.ID]; ok {
			m.progressAt = now
		}
	}
}

// ProgressedSince reports whether any stream through the server made progress after the given time.
func (f *Fleet) ProgressedSince(id slatebridge.ServerID, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]

	return ok && m.progressAt.After(at)
}

// HallProgressedSince reports whether any stream through a server of the hall made progress after the
// given time.
func (f *Fleet) HallProgressedSince(hall slatebridge.HallID, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Hall == hall && m.progressAt.After(at) {
			return true
		}
	}

	return false
}

// LeavingBefore returns the servers that this box has known to be leaving since before the given
// time.
func (f *Fleet) LeavingBefore(at time.Time) []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for m := range f.index.leaving {
		if m.leavingAt.Before(at) {
			out = append(out, m.ID)
		}
	}

	return out
}

// StaleInPath returns the servers of the path whose entry no longer lists all layers of their
// stage, or that are no longer listed. They still run their current streams, and load other layers
// or exit only after those end.
func (f *Fleet) StaleInPath(p Path) []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for _, s := range p {
		m, ok := f.members[s.Server.ID]
		if !ok || m.Layers.From > s.Layers.From || m.Layers.To < s.Layers.To {
			out = append(out, s.Server.ID)
		}
	}

	return out
}

// Suspect marks a server as suspected dead by this box until the given time.
func (f *Fleet) Suspect(id slatebridge.ServerID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.ownSuspectUntil = later(m.ownSuspectUntil, until)
		f.suspect(m, until)
	}
}

// SuspectReported marks a server as suspected dead until the given time, as another box reports it.
func (f *Fleet) SuspectReported(id slatebridge.ServerID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		f.suspect(m, until)
	}
}

// suspect marks a server as suspected dead until the given time. The caller holds mu.
func (f *Fleet) suspect(m *member, until time.Time) {
	if f.now().After(m.suspectUntil) {
		f.recordLoss(m)
	}
	if until.After(m.suspectUntil) {
		m.suspectUntil = until
		f.index.suspects.set(m, true)
	}
}

// ConfirmSuspicion marks the suspicion of a server as confirmed until the given time, after two
// boxes suspected it independently. Trust clears it like any other.
func (f *Fleet) ConfirmSuspicion(id slatebridge.ServerID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok && until.After(m.confirmedUntil) {
		m.confirmedUntil = until
		f.index.suspects.set(m, true)
	}
}

// ConfirmedSuspects returns the servers that two boxes suspect.
func (f *Fleet) ConfirmedSuspects() []slatebridge.ServerID {
	return f.suspectsWhere(func(m *member, now time.Time) bool { return now.Before(m.confirmedUntil) && now.Before(m.suspectUntil) })
}

// Trust clears a suspicion.
func (f *Fleet) Trust(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.suspectUntil, m.ownSuspectUntil, m.confirmedUntil = time.Time{}, time.Time{}, time.Time{}
		delete(f.losses, id)
		f.index.suspects.set(m, false)
	}
}

// Suspects returns the servers that are suspected dead.
func (f *Fleet) Suspects() []slatebridge.ServerID {
	return f.suspectsWhere(func(m *member, now time.Time) bool { return now.Before(m.suspectUntil) })
}

// suspectsWhere returns the suspects that satisfy the predicate and removes expired suspicions.
//
// Load pattern: a box with streams in flight checks them up to 50 times a second and calls this
// each time, and of thousands of servers usually none is suspected.
func (f *Fleet) suspectsWhere(holds func(m *member, now time.Time) bool) []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.index.suspects) == 0 {
		return nil
	}
	now := f.now()
	var out []slatebridge.ServerID
	for m := range f.index.suspects {
		switch {
		case holds(m, now):
			out = append(out, m.ID)
		case now.After(m.suspectUntil) && now.After(m.confirmedUntil):
			f.index.suspects.set(m, false)
		}
	}

	return out
}

// Backoff for a server that rejected a request. A full server completes a few requests within the
// minimum. The backoff doubles with each consecutive rejection up to the maximum, which is short
// because streams end within seconds.
const (
	minRejectionBackoff = 150 * time.Millisecond
	maxRejectionBackoff = time.Second
)

const (
	// spareFill is the maximum utilization at which a rejection can't be explained by lack of
	// capacity.
	spareFill = 0.5
	// Bounds of the backoff for a rejection despite spare capacity. A leaving server rejects
	// everything for a second or more before its entry says that it is leaving.
	//
	// Load pattern: servers are removed while hundreds of boxes each send one request a second.
	// With a backoff of 150 ms, every box would retry a leaving server with its next request,
	// which would exhaust the retry budget.
	minSpareCapacityBackoff = time.Second
	maxSpareCapacityBackoff = 4 * time.Second
)

// RecordRejection records that the server rejected a request.
func (f *Fleet) RecordRejection(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	now := f.now()
	minBackoff, maxBackoff := minRejectionBackoff, maxRejectionBackoff
	if m.hasSpareCapacity() {
		minBackoff, maxBackoff = minSpareCapacityBackoff, maxSpareCapacityBackoff
	}
	switch {
	case now.Before(m.rejectingUntil):
		// Rejections of requests sent before the backoff add no information.
		return
	case now.Sub(m.rejectingUntil) < m.rejectionBackoff:
		m.rejectionBackoff = min(2*m.rejectionBackoff, maxBackoff)
	default:
		m.rejectionBackoff = minBackoff
	}
	m.rejectingUntil = now.Add(m.rejectionBackoff)
}

// hasSpareCapacity reports whether the known load on the server is below spareFill.
func (m *member) hasSpareCapacity() bool {
	l := m.load()

	return l.TokenLayers < spareFill*m.capacity() && (m.Slots <= 0 || l.FirstStage < spareFill*float64(m.Slots))
}

// connectionFailureTTL is how long the cost of a server stays raised after a connection to it
// failed.
const connectionFailureTTL = 500 * time.Millisecond

// RecordConnectionFailure records that a connection to the server failed before any response. The
// server may be dead, or only a response was lost, so its cost is raised for a while and running
// streams stay on it.
func (f *Fleet) RecordConnectionFailure(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.connectionFailedUntil = f.now().Add(connectionFailureTTL)
	}
}

// slownessTTL is how long a reported slowness remains valid.
const slownessTTL = 2 * time.Second

// RecordSlowness records the factor by which the server is slower than usual, and reports whether
// it was already marked as slow.
func (f *Fleet) RecordSlowness(id slatebridge.ServerID, slowness float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return false
	}
	wasSlow := f.now().Before(m.slowUntil)
	m.slowness, m.slowUntil = slowness, f.now().Add(slownessTTL)

	return wasSlow
}

// SlowInPath returns the servers of the path that are marked as slow.
func (f *Fleet) SlowInPath(p Path) []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out []slatebridge.ServerID
	for _, s := range p {
		if m, ok := f.members[s.Server.ID]; ok && now.Before(m.slowUntil) {
			out = append(out, m.ID)
		}
	}

	return out
}

// missingLayersTTL is how long a server is excluded after it turned out not to hold the layers in
// its entry. Entries lag by about a second.
const missingLayersTTL = time.Second

// RecordMissingLayers records that the server does not hold the layers in its entry.
func (f *Fleet) RecordMissingLayers(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.missingLayersUntil = f.now().Add(missingLayersTTL)
	}
}

// addressConflictTTL is how long a server is excluded at least after another server answered at its
// address.
const addressConflictTTL = 10 * time.Second

// RecordAddressConflict records that another server answered at the server's address.
//
// If that other server is listed as well, one entry is stale: it is about to expire, or the store
// was restored from an older copy. Requests meant for this server would reach the other one, even
// while the other one is in a cooldown. This server therefore stays excluded for as long as the
// other one is listed at the same address.
func (f *Fleet) RecordAddressConflict(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	m.addressConflictUntil = f.now().Add(addressConflictTTL)
	for _, o := range f.members {
		if o != m && o.Address == m.Address {
			m.addressHolder = o
		}
	}
}

// RecordResponse records the outcome and latency of one request.
func (f *Fleet) RecordResponse(id slatebridge.ServerID, ok bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, found := f.members[id]; found {
		m.recordResponse(ok, took)
	}
}
