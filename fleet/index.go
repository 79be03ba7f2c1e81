package fleet

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
)

// memberSet has the members of which something holds that holds for few at a time. A look at
// these does not pass all the others.
type memberSet map[*member]struct{}

// set adds the member or takes it out.
func (s memberSet) set(m *member, in bool) {
	if in {
		s[m] = struct{}{}
	} else {
		delete(s, m)
	}
}

// index finds members without a look at all of them.
type index struct {
	// service has the members by service, in the order of their IDs.
	service map[string][]*member
	// number has them by their numbers in messages.
	number map[uint32][]*member
	// busy have work of this box in flight.
	busy memberSet
	// doubted may be taken as dead, leaving are leaving, and lapsing have lost their entry.
	doubted, leaving, lapsing memberSet
}

func newIndex() index {
	return index{
		service: make(map[string][]*member), number: make(map[uint32][]*member),
		busy: make(memberSet), doubted: make(memberSet), leaving: make(memberSet), lapsing: make(memberSet),
	}
}

// add takes up a member that was not known, or has another service than before.
func (x *index) add(m *member) {
	list := x.service[m.Service]
	at, found := slices.BinarySearchFunc(list, m.ID, compareID)
	if !found {
		x.service[m.Service] = slices.Insert(list, at, m)
	}
	if !slices.Contains(x.number[m.number], m) {
		x.number[m.number] = append(x.number[m.number], m)
	}
}

// removeFromService takes a member out of the list of its service.
func (x *index) removeFromService(m *member) {
	list := x.service[m.Service]
	if at, found := slices.BinarySearchFunc(list, m.ID, compareID); found {
		x.service[m.Service] = slices.Delete(list, at, at+1)
	}
}

// remove takes a member out.
func (x *index) remove(m *member) {
	x.removeFromService(m)
	others := slices.DeleteFunc(x.number[m.number], func(o *member) bool { return o == m })
	if len(others) == 0 {
		delete(x.number, m.number)
	} else {
		x.number[m.number] = others
	}
	for _, s := range []memberSet{x.busy, x.doubted, x.leaving, x.lapsing} {
		delete(s, m)
	}
}

func compareID(m *member, id slatebridge.ServerID) int { return cmp.Compare(m.ID, id) }
