package forward

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
)

// roomLimits returns how far the request may fill the servers of its path. running says that a
// server may have run the request already.
func (h *Handler) roomLimits(_ *inboundRequest, _ bool) fleet.Limits { return fleet.Limits{} }

// repairQuery returns the query for another path of a stream under way.
func (h *Handler) repairQuery(a *streamAttempt, exclude []slatebridge.ServerID) fleet.Query {
	return fleet.Query{Service: a.service, Tokens: a.kvTokens, Exclude: exclude, Limits: h.roomLimits(a.request, true)}
}
