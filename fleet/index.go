package fleet

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
)

// memberSet holds the members in a state that few share at a time, so that queries avoid a scan of
// all members.
type memberSet map[*member]struct{}

// set adds or removes the member.
func (s memberSet) set(m *member, in bool) {
	if in {
		s[m] = struct{}{}
	} else {
		delete(s, m)
	}
}

// index finds members without a scan of all of them.
type index struct {
	// byService lists the members of each service in the order of their IDs.
	byService map[string][]*member
	// byShortID lists the members that share a short ID.
	byShortID map[uint32][]*member
	// busy holds the members with work of this box in flight.
	busy memberSet
	// suspects may be dead, leaving are shutting down, and expiring are waiting for removal after
	// their entry lapsed.
	suspects, leaving, expiring memberSet
}

func newIndex() index {
	return index{
		byService: make(map[string][]*member), byShortID: make(map[uint32][]*member),
		busy: make(memberSet), suspects: make(memberSet), leaving: make(memberSet), expiring: make(memberSet),
	}
}

// add adds a member that is new or has changed its service.
func (x *index) add(m *member) {
	list := x.byService[m.Service]
	at, found := slices.BinarySearchFunc(list, m.ID, compareID)
	if !found {
		x.byService[m.Service] = slices.Insert(list, at, m)
	}
	if !slices.Contains(x.byShortID[m.shortID], m) {
		x.byShortID[m.shortID] = append(x.byShortID[m.shortID], m)
	}
}

// removeFromService removes a member from the list of its service.
func (x *index) removeFromService(m *member) {
	list := x.byService[m.Service]
	if at, found := slices.BinarySearchFunc(list, m.ID, compareID); found {
		x.byService[m.Service] = slices.Delete(list, at, at+1)
	}
}

// remove removes a member from all indexes.
func (x *index) remove(m *member) {
	x.removeFromService(m)
	others := slices.DeleteFunc(x.byShortID[m.shortID], func(o *member) bool { return o == m })
	if len(others) == 0 {
		delete(x.byShortID, m.shortID)
	} else {
		x.byShortID[m.shortID] = others
	}
	for _, s := range []memberSet{x.busy, x.suspects, x.leaving, x.expiring} {
		delete(s, m)
	}
}

func compareID(m *member, id slatebridge.ServerID) int { return cmp.Compare(m.ID, id) }
