package fleet

import (
	"github.com/slatebridge/slatebridge"
)

// maxRetired is the number of retired incarnations to remember, the server count of the largest
// fleet. Outdated messages about an incarnation arrive within seconds of its end.
const maxRetired = 5700

// retiredIncarnations is a bounded set of server incarnations that are known to have ended. A
// server ID identifies one incarnation: a restarted server that reports its incarnation gets a new
// ID (see catalog.ServerID).
type retiredIncarnations struct {
	// known is the set, and order its members from oldest to newest.
	known map[slatebridge.ServerID]bool
	order []slatebridge.ServerID
	// count is the total number ever added.
	count int64
}

// add adds an incarnation and reports whether it is new.
func (e *retiredIncarnations) add(id slatebridge.ServerID) bool {
	if e.known[id] {
		return false
	}
	if len(e.order) == maxRetired {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
	e.known[id] = true
	e.order = append(e.order, id)
	e.count++

	return true
}

// RetireIncarnation permanently removes an incarnation of a server that is known to have ended
// because the server restarted.
func (f *Fleet) RetireIncarnation(id slatebridge.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.retired.add(id) {
		return
	}
	f.admissions.remove(id)
	if m, ok := f.members[id]; ok {
		f.recordLoss(m)
		f.drop(m)
	}
}

// IsRetired reports whether the incarnation of a server is known to have ended.
func (f *Fleet) IsRetired(id slatebridge.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.retired.known[id]
}

// RetiredCount returns the total number of incarnations that are known to have ended.
func (f *Fleet) RetiredCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.retired.count
}

// EndedInPath returns the servers of the path whose incarnation is known to have ended.
func (f *Fleet) EndedInPath(p Path) []slatebridge.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []slatebridge.ServerID
	for _, s := range p {
		if f.retired.known[s.Server.ID] {
			out = append(out, s.Server.ID)
		}
	}

	return out
}
