package controller

import (
	"cmp"
	"reflect"
	"slices"
	"sync"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/config"
)

// Status is the status of a controller as served to operators.
type Status struct {
	Box  slatebridge.BoxID  `json:"box"`
	Hall slatebridge.HallID `json:"hall"`
	// ConfigCaughtUp becomes true once this controller has applied every record in the log or, if
	// the log is unreachable or has a gap, every record applied by those peers of its hall that
	// respond and have caught up themselves. There must be at least one such peer. It never becomes
	// false again.
	ConfigCaughtUp bool `json:"current"`
	// AppliedOffset is the offset up to which, exclusively, the configuration records are applied.
	AppliedOffset int64 `json:"applied"`
	// LogGap reports whether the log has dropped records that this box needs.
	LogGap         bool `json:"gap"`
	LogUnreachable bool `json:"log_down"`
	// HoldsLease reports whether the box holds its hall's lease.
	HoldsLease bool `json:"leading"`
	// LeaseHolder is the holder according to the log; its lease may have expired.
	LeaseHolder  slatebridge.BoxID           `json:"holder"`
	Boxes        []slatebridge.Box           `json:"boxes"`
	Servers      []slatebridge.BackendServer `json:"servers"`
	LoadedRanges []slatebridge.LoadedRange   `json:"loaded"`
	// Objects are the configuration objects in force. publisher.status fills them in on each call,
	// because statuses are published far more often than they are read.
	Objects []config.Object `json:"objects"`

	config config.State
}

// publish publishes the current state to all its readers.
func (s *state) publish() {
	// Readers get a copy, because the actor goes on changing its own.
	applied := s.config
	s.c.appliedConfig.Store(&applied)
	boxes := s.view.Boxes()
	s.c.boxes.Store(&boxes)
	s.c.probeTargets.Store(s.probeTargets())
	snap := s.snapshot()
	s.servers, s.loadedRanges = snap.Servers, snap.LoadedRanges
	s.publishStatus()
	if !s.configCaughtUp || sameContent(snap, s.published) {
		return
	}
	s.sequence++
	s.published = snap.WithRevision(slatebridge.Revision{
		AppliedOffset: s.config.AppliedOffset(),
		ControllerID:  s.c.identity(),
		Sequence:      s.sequence,
	})
	s.c.publisher.publishSnapshot(s.published)
}

// publishStatus publishes the status to operators without a new routing snapshot.
func (s *state) publishStatus() {
	s.c.publisher.setStatus(s.status())
}

// sameContent reports whether two routing snapshots are equal except for the controller and
// sequence of their revisions.
func sameContent(a, b slatebridge.Snapshot) bool {
	if a.Revision.AppliedOffset != b.Revision.AppliedOffset {
		return false
	}

	return reflect.DeepEqual(a.WithRevision(b.Revision), b)
}

// snapshot returns a routing snapshot of the control state.
func (s *state) snapshot() slatebridge.Snapshot {
	snap := slatebridge.Snapshot{
		Revision: slatebridge.Revision{AppliedOffset: s.config.AppliedOffset()},
		Services: s.configView.Services,
		Accounts: s.configView.Accounts,
		Boxes:    s.view.Boxes(),
	}
	for _, server := range s.view.Servers() {
		if server.Hall == s.c.hall {
			snap.Servers = append(snap.Servers, server)
		}
	}
	snap.LoadedRanges = s.view.LoadedRanges()
	for _, h := range s.halls {
		snap.Servers = append(snap.Servers, h.servers...)
		snap.LoadedRanges = append(snap.LoadedRanges, h.loadedRanges...)
	}
	slices.SortFunc(snap.Servers, func(a, b slatebridge.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(snap.LoadedRanges, func(a, b slatebridge.LoadedRange) int { return cmp.Compare(a.Server, b.Server) })

	return snap
}

func (s *state) status() Status {
	return Status{
		Box:            s.c.box,
		Hall:           s.c.hall,
		ConfigCaughtUp: s.configCaughtUp,
		AppliedOffset:  s.config.AppliedOffset(),
		LogGap:         s.logGap,
		LogUnreachable: s.logUnreachable,
		HoldsLease:     s.holdsLease,
		LeaseHolder:    s.leaseManager.LoggedHolder().Box,
		Boxes:          s.view.Boxes(),
		Servers:        s.servers,
		LoadedRanges:   s.loadedRanges,
		config:         s.config,
	}
}

// publisher holds the newest routing snapshot and status for concurrent readers.
type publisher struct {
	mu            sync.Mutex
	snapshot      slatebridge.Snapshot
	hasSnapshot   bool
	currentStatus Status
	// changed is closed and replaced when a routing snapshot is published.
	changed chan struct{}
}

func newPublisher() *publisher {
	return &publisher{changed: make(chan struct{})}
}

func (p *publisher) setStatus(st Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentStatus = st
}

func (p *publisher) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()

	st := p.currentStatus
	st.Objects = st.config.Objects()

	return st
}

func (p *publisher) publishSnapshot(s slatebridge.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
	p.hasSnapshot = true
	close(p.changed)
	p.changed = make(chan struct{})
}

// latestSnapshot returns the newest routing snapshot, whether there is one, and a channel that is
// closed when the next one is published.
func (p *publisher) latestSnapshot() (slatebridge.Snapshot, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.snapshot, p.hasSnapshot, p.changed
}
