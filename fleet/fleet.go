// Package fleet holds the view that one box has of the backend servers: the layers they hold, their
// load, and which of them must not be used. It chooses the servers for each request that package
// forward serves. Requests that package gateway serves use package route instead.
package fleet

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Fleet is the set of known servers. It is safe for concurrent use.
type Fleet struct {
	hall slatebridge.HallID
	// now and random supply the time and random numbers in [0, 1).
	now    func() time.Time
	random func() float64
	// startedAt is the start time of the box.
	startedAt time.Time

	mu sync.Mutex
	// hallPeers is the number of other boxes in the hall, which use the same servers, and allPeers
	// the number of other boxes in all halls.
	hallPeers int
	allPeers  int
	cat       *catalog.Catalog
	members   map[slatebridge.ServerID]*member
	index     index
	// peerLoads is the last reported load of other boxes, by peer group and short server ID; see
	// SetPeerGroupLoads.
	peerLoads map[string]map[uint32]Load
	// links is the recent traffic of this box between halls.
	links   map[hallLink]linkUse
	retired retiredIncarnations
	// losses holds the servers lost in the last moments.
	losses map[slatebridge.ServerID]loss
	// admissions is the admission state that servers announced about themselves.
	admissions admissions
	// limitedCount counts the incarnations that have ever announced a limit. While it is zero,
	// responses skip the limit bookkeeping.
	limitedCount atomic.Int64
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(f *Fleet) { f.random = random }
}

// New returns an empty Fleet for a box in the hall. It reads the time only from now, so simulations
// can use virtual time.
func New(hall slatebridge.HallID, now func() time.Time, opts ...Option) *Fleet {
	f := &Fleet{
		hall:       hall,
		now:        now,
		random:     rand.Float64,
		members:    make(map[slatebridge.ServerID]*member),
		index:      newIndex(),
		peerLoads:  make(map[string]map[uint32]Load),
		links:      make(map[hallLink]linkUse),
		retired:    retiredIncarnations{known: make(map[slatebridge.ServerID]bool)},
		losses:     make(map[slatebridge.ServerID]loss),
		admissions: admissions{known: make(map[slatebridge.ServerID]*admission)},
	}
	for _, o := range opts {
		o(f)
	}
	f.startedAt = f.now()

	return f
}

// SetPeerCounts sets the number of other boxes in this hall, which use the same servers, and in all
// halls, which share the links between them.
func (f *Fleet) SetPeerCounts(inHall, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hallPeers, f.allPeers = inHall, max(inHall, total)
}

// SetCatalog assigns each server the model of its service, also those lost recently.
func (f *Fleet) SetCatalog(c *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cat = c
	for _, m := range f.members {
		f.assignModel(m)
	}
	for _, l := range f.losses {
		f.assignModel(l.member)
	}
}

func (f *Fleet) assignModel(m *member) {
	m.model = nil
	if f.cat == nil {
		return
	}
	s := f.cat.Service(m.Service)
	if s == nil || s.Model == nil {
		return
	}
	m.model = s.Model
	m.accelerator, _ = s.Model.Accelerator(m.Accelerator)
}

// Set adds or updates the entry of a server, unless that incarnation has ended.
func (f *Fleet) Set(s catalog.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired.known[s.ID] {
		return
	}
	m, ok := f.members[s.ID]
	if !ok {
		m = &member{shortID: ShortID(s.ID), admission: f.admissions.known[s.ID]}
		m.peerLoad = f.peerLoadAt(m.shortID)
		f.members[s.ID] = m
	} else if m.Service != s.Service {
		f.index.removeFromService(m)
	}
	if m.Layers != s.Layers {
		m.missingLayersUntil = time.Time{}
	}
	if m.Address != s.Address {
		m.addressConflictUntil, m.addressHolder = time.Time{}, nil
	}
	// The announcement of the server itself is newer than the list, which may be an outdated copy.
	s.Leaving = s.Leaving || m.Leaving || (m.admission != nil && m.admission.leaving)
	if s.Leaving && !m.Leaving {
		m.leavingAt = f.now()
	}
	m.Server = s
	m.removeAt = time.Time{}
	f.index.add(m)
	f.index.leaving.set(m, m.Leaving)
	f.index.expiring.set(m, false)
	f.assignModel(m)
}

// Remove drops a server at the given time, unless its entry reappears before.
func (f *Fleet) Remove(id slatebridge.ServerID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	if at.After(f.now()) {
		m.removeAt = at
		f.index.expiring.set(m, true)

		return
	}
	f.drop(m)
}

// drop removes a member. The caller holds mu.
func (f *Fleet) drop(m *member) {
	delete(f.members, m.ID)
	m.removed = true
	f.index.remove(m)
}

// Expire drops the servers whose removal is due and returns them.
func (f *Fleet) Expire() []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var expired []slatebridge.ServerID
	for m := range f.index.expiring {
		if now.After(m.removeAt) {
			f.drop(m)
			expired = append(expired, m.ID)
		}
	}

	return expired
}

// membersOf returns the members of the service in the order of their IDs, so that choices are
// deterministic. The caller holds mu.
func (f *Fleet) membersOf(service string) []*member { return f.index.byService[service] }

// Servers returns the entries of all servers.
func (f *Fleet) Servers() []catalog.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]catalog.Server, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.Server)
	}

	return out
}

// Server returns the entry of a server.
func (f *Fleet) Server(id slatebridge.ServerID) (catalog.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return catalog.Server{}, false
	}

	return m.Server, true
}

// HasAddress reports whether a server has an entry with the address.
func (f *Fleet) HasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Address == address {
			return true
		}
	}

	return false
}

// OtherAddress returns the address of some server that may receive work, other than the given address;
// empty if there is none.
func (f *Fleet) OtherAddress(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	// The order of a map is random.
	for _, m := range f.members {
		if m.Address != address && m.available(now) {
			return m.Address
		}
	}

	return ""
}

// Hall returns the hall of this box.
func (f *Fleet) Hall() slatebridge.HallID { return f.hall }

// LocalServers returns the servers of the service in the box's own hall.
func (f *Fleet) LocalServers(service string) []catalog.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []catalog.Server
	for _, m := range f.membersOf(service) {
		if m.Hall == f.hall {
			out = append(out, m.Server)
		}
	}

	return out
}

// AvailableLocalServers returns the servers of the service in the hall of this box that may receive
// new work.
func (f *Fleet) AvailableLocalServers(service string) []catalog.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out []catalog.Server
	for _, m := range f.membersOf(service) {
		if m.Hall == f.hall && m.available(now) {
			out = append(out, m.Server)
		}
	}

	return out
}
