package fleet

import (
	"math"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
)

// member is the state of one backend server as this box knows it.
type member struct {
	catalog.Server
	// shortID identifies the server in messages between boxes.
	shortID uint32
	model   *catalog.Model
	// accelerator is the accelerator type that the entry names.
	accelerator catalog.Accelerator
	// ownLoad is the work that this box has in flight at the server.
	ownLoad Load
	// peerLoad is the work that other boxes last reported there.
	peerLoad Load
	// recentLoad is the work that this box recently sent to the server, decaying since recentAt.
	recentLoad Load
	recentAt   time.Time
	// removeAt is when a lapsed entry is dropped; zero while the entry is listed.
	removeAt time.Time
	// leavingAt is when this box learned that the server is leaving.
	leavingAt time.Time
	// suspectUntil is the end of the suspicion that the server is dead, and ownSuspectUntil the end of
	// what this box itself found.
	suspectUntil    time.Time
	ownSuspectUntil time.Time
	// confirmedUntil is the end of a suspicion that two boxes share.
	confirmedUntil time.Time
	// rejectingUntil is the end of the backoff after a rejected request, and rejectionBackoff the
	// length of the last such backoff.
	rejectingUntil   time.Time
	rejectionBackoff time.Duration
	// full is what the ledger of the hall recently said about missing room.
	full []fullMark
	// progressAt is when a stream through the server last made progress.
	progressAt time.Time
	// connectionFailedUntil is the end of the raised cost after a connection failure.
	connectionFailedUntil time.Time
	// missingLayersUntil is the end of the exclusion because the server lacks the layers in its
	// entry.
	missingLayersUntil time.Time
	// addressConflictUntil is the end of the exclusion because another server answered at its
	// address.
	addressConflictUntil time.Time
	// addressHolder is the listed server that has the same address, and removed is set when this
	// member itself leaves the list.
	addressHolder *member
	removed       bool
	// slowness is the factor by which the server is slower than usual, valid until slowUntil.
	slowness  float64
	slowUntil time.Time
	// admission is the state that the server announced about itself; nil if none applies.
	admission *admission
	// failureRate and latency are moving averages over the requests of this box.
	failureRate float64
	latency     time.Duration
}

func (m *member) load() Load { return m.ownLoad.Add(m.peerLoad) }

// gossipDelay is the time constant with which recentLoad decays. Peers in the hall report their
// load within about this time.
const gossipDelay = 750 * time.Millisecond

// PeerLoadStaleness is an upper estimate of the age of what a box knows of the load of others.
const PeerLoadStaleness = gossipDelay

// decayedRecentLoad returns the work that this box recently sent to the server, decayed to now.
func (m *member) decayedRecentLoad(now time.Time) Load {
	left := math.Exp(-float64(now.Sub(m.recentAt)) / float64(gossipDelay))

	return m.recentLoad.scaled(left)
}

// recordRecentLoad adds to the work that this box recently sent to the server.
func (m *member) recordRecentLoad(l Load, now time.Time) {
	m.recentLoad, m.recentAt = m.decayedRecentLoad(now).Add(l), now
}

// withdrawRecentLoad undoes recordRecentLoad for work recorded at a time.
func (m *member) withdrawRecentLoad(l Load, at, now time.Time) {
	left := m.decayedRecentLoad(now).Sub(l.scaled(math.Exp(-float64(now.Sub(at)) / float64(gossipDelay))))
	m.recentLoad, m.recentAt = Load{Requests: max(0, left.Requests), TokenLayers: max(0, left.TokenLayers), FirstStage: max(0, left.FirstStage)}, now
}

// expectedLoad estimates the current load on the server. It assumes that each of the peers recently
// sent as much as this box, and that none of it has been reported yet.
func (m *member) expectedLoad(others int, now time.Time) Load {
	return m.load().Add(m.decayedRecentLoad(now).scaled(float64(others)))
}

// capacity returns the memory of the server for requests, in tokens times layers.
func (m *member) capacity() float64 {
	if m.model == nil {
		return 0
	}

	return m.model.TokenLayerCapacity(m.accelerator, m.Layers.Len())
}

// hasLayer reports whether the server holds the layer.
func (m *member) hasLayer(layer int) bool {
	return m.Layers.From <= layer && layer < m.Layers.To
}

// available reports whether the server may receive new work.
func (m *member) available(now time.Time) bool { return m.healthy(now) && m.admission.admits(now) }

// availableAsFirst reports whether the server may receive requests directly from this box.
func (m *member) availableAsFirst(now time.Time) bool { return m.unusable(now) == "" }

// healthy is like available, but ignores cooldowns and the slow start after them.
func (m *member) healthy(now time.Time) bool {
	return !m.Leaving && !m.EntryInvalid && now.After(m.suspectUntil) && !m.hasAddressConflict(now)
}

// hasAddressConflict reports whether another server has the address of this one.
func (m *member) hasAddressConflict(now time.Time) bool {
	o := m.addressHolder

	return now.Before(m.addressConflictUntil) || (o != nil && !o.removed && o.Address == m.Address)
}

const (
	// failureWeight is the weight of the newest request in the average failure rate, which thus
	// covers about five requests.
	failureWeight = 0.2
	// latencyWeight is the weight of the newest response in the average latency.
	latencyWeight = 0.2
	// initialLatency is assumed for a server that has not responded yet.
	initialLatency = 50 * time.Millisecond
)

func (m *member) recordResponse(ok bool, took time.Duration) {
	bad := 1.0
	if ok {
		bad = 0
	}
	m.failureRate += failureWeight * (bad - m.failureRate)
	if m.latency == 0 {
		m.latency = initialLatency
	}
	m.latency += time.Duration(latencyWeight * float64(took-m.latency))
}
