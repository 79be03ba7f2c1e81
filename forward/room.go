package forward

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
)

// roomLimits returns how far the request may fill the servers of its path. running says that a
// server may have run the request already.
func (h *Handler) roomLimits(c *inboundRequest, _ bool) fleet.Limits {
	return h.withSharedSlots(c.service, fleet.Limits{})
}

// withSharedSlots bounds the slots of the first server by its capacity, unless the limits bound them
// already, if the boxes share the room of the service by a ledger.
func (h *Handler) withSharedSlots(service string, l fleet.Limits) fleet.Limits {
	if l.Slots == 0 && h.requestRoom != nil && h.fleet.SharesRoom(service) {
		l.Slots = 1
	}

	return l
}

// repairQuery returns the query for another path of a stream under way.
func (h *Handler) repairQuery(a *streamAttempt, exclude []slatebridge.ServerID) fleet.Query {
	return fleet.Query{Service: a.service, Tokens: a.kvTokens, Exclude: exclude, Limits: h.roomLimits(a.request, true)}
}
