package forward

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
)

// roomLimits returns how far the request may fill the servers of its path. running says that a
// server may have run the request already.
func (h *Handler) roomLimits(c *inboundRequest, running bool) fleet.Limits {
	if running {
		return h.runningLimits(c.route)
	}

	return fleet.Limits{KeepForRepairs: repairedInOrder(c.route)}
}

// runningMemoryShare is the share of a server's memory that streams under way may fill after servers
// were lost. The rest covers what boxes do not know of each other: a server that has no room rejects
// the stream.
const runningMemoryShare = 0.97

// runningLimits returns how far a stream under way may fill the servers of another path, after
// servers were lost. New requests leave it the rest.
func (h *Handler) runningLimits(r *catalog.Route) fleet.Limits {
	if !repairedInOrder(r) || len(h.fleet.RecentLosses()) == 0 {
		return fleet.Limits{}
	}

	return fleet.Limits{Memory: runningMemoryShare}
}

// repairQuery returns the query for another path of a stream under way.
func (h *Handler) repairQuery(a *streamAttempt, exclude []slatebridge.ServerID) fleet.Query {
	return fleet.Query{Service: a.service, Tokens: a.kvTokens, Exclude: exclude, Limits: h.runningLimits(a.request.route)}
}
