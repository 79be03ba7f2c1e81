package lease

import (
	"strconv"
	"time"

	"github.com/slatebridge/slatebridge/logstore"
)

// Lease timing.
const (
	// TTL is how long a claim or renewal is valid, counted from when NextRecord returned it, before
	// it was sent.
	TTL = 6 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
	// TakeoverMargin is how long a challenger waits in addition to the TTL.
	TakeoverMargin = time.Second
	// retryInterval is the time between two claims of a challenger.
	retryInterval = time.Second
)

// Manager acquires and renews the lease of one hall for one box. It performs no I/O: its user
// passes in what was read and appends the records that it returns. It is not safe for concurrent
// use.
type Manager struct {
	// self identifies this box, whether or not it holds the lease.
	self Holder
	// claimDelay is added to a challenger's wait, so that boxes do not all claim at once.
	claimDelay time.Duration

	state State
	// unchangedSince is the time since which the stream has been read without errors and no record
	// has been added.
	unchangedSince time.Time
	readable       bool

	sequence   int
	sentAt     map[string]time.Time
	lastSentAt time.Time
	// expiresAt is when this box's lease expires. It is zero once another box has claimed the
	// lease.
	expiresAt time.Time
	// acquiredAt is when this box last acquired the lease; renewals do not change it.
	acquiredAt time.Time
}

// NewManager returns a Manager for the box self. claimDelay is added to its wait as a challenger.
func NewManager(self Holder, claimDelay time.Duration) *Manager {
	return &Manager{self: self, claimDelay: claimDelay, sentAt: make(map[string]time.Time)}
}

// Lease is a lease that is held.
type Lease struct {
	// FencingToken is the offset of the lease record. It increases with every claim and renewal.
	FencingToken int64
	// ExpiresAt is when the lease expires unless it is renewed.
	ExpiresAt time.Time
	// AcquiredAt is when this box acquired the lease.
	AcquiredAt time.Time
}

// CurrentLease returns this box's lease, and whether it holds one at the given time.
func (m *Manager) CurrentLease(now time.Time) (Lease, bool) {
	if !now.Before(m.expiresAt) {
		return Lease{}, false
	}
	_, token, _ := m.state.Current()

	return Lease{FencingToken: token, ExpiresAt: m.expiresAt, AcquiredAt: m.acquiredAt}, true
}

// LoggedHolder returns the holder according to the log, whether or not its TTL has passed.
func (m *Manager) LoggedHolder() Holder {
	rec, _, _ := m.state.Current()

	return rec.Holder
}

// NextOffset returns the offset of the next record to read.
func (m *Manager) NextOffset() int64 {
	return m.state.NextOffset()
}

// OnBatch applies one read of the stream.
func (m *Manager) OnBatch(b logstore.Batch, now time.Time) {
	if !m.readable {
		m.readable = true
		m.unchangedSince = now
	}
	_, before, _ := m.state.Current()
	m.state = m.state.Apply(b)
	rec, after, known := m.state.Current()
	if len(b.Records) > 0 {
		m.unchangedSince = now
	}
	if known && after != before {
		m.applyCurrent(rec, now)
	}
}

func (m *Manager) applyCurrent(rec Record, now time.Time) {
	if rec.Holder != m.self {
		m.expiresAt = time.Time{}

		return
	}
	sentAt, ok := m.sentAt[rec.ID]
	if !ok {
		return
	}
	delete(m.sentAt, rec.ID)
	if !now.Before(m.expiresAt) {
		m.acquiredAt = now
	}
	m.expiresAt = sentAt.Add(TTL)
}

// OnReadError records that the stream could not be read, so that renewals may have been missed.
func (m *Manager) OnReadError() {
	m.readable = false
}

// NextRecord returns the claim or renewal to append now, if one is due.
func (m *Manager) NextRecord(now time.Time) (Record, bool) {
	if !m.readable || !m.recordDue(now) {
		return Record{}, false
	}
	m.sequence++
	rec := Record{
		ID:       string(m.self.Box) + "/" + m.self.Boot + "/" + strconv.Itoa(m.sequence),
		Holder:   m.self,
		Replaces: m.state.offsetToReplace(),
	}
	m.lastSentAt = now
	m.sentAt[rec.ID] = now
	m.forgetExpired(now)

	return rec, true
}

func (m *Manager) recordDue(now time.Time) bool {
	if _, held := m.CurrentLease(now); held {
		return now.Sub(m.lastSentAt) >= renewInterval
	}
	if now.Sub(m.lastSentAt) < retryInterval {
		return false
	}
	_, current, known := m.state.Current()
	if known && current == noRecord {
		return now.Sub(m.unchangedSince) >= m.claimDelay
	}

	return now.Sub(m.unchangedSince) >= TTL+TakeoverMargin+m.claimDelay
}

// forgetExpired removes sent records whose TTL passed before they were read back.
func (m *Manager) forgetExpired(now time.Time) {
	for id, at := range m.sentAt {
		if now.Sub(at) > TTL {
			delete(m.sentAt, id)
		}
	}
}
