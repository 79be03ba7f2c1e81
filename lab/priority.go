package lab

import (
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/priority"
	"github.com/slatebridge/slatebridge/result"
)

// accountCount is the number of client accounts, which all send as much.
const accountCount = 24

// hasClass reports whether the class of the request counts: in a scenario with classes, until a server
// has executed the request.
func (q *request) hasClass() bool {
	return q.sim.catalog.HasClasses(service) && len(q.executedBy) == 0
}

func (q *request) priorityRequest() priority.Request {
	return priority.Request{Class: q.class.PriorityRank, Account: q.account}
}

// recordOffered records the arrival of the try at its box.
func (q *request) recordOffered() {
	if q.hasClass() {
		q.box.priorities.RecordOffered(q.priorityRequest(), q.pathQuery().Tokens, q.sim.clock())
	}
}

// recordAdmitted records that the first server of the try has accepted it.
func (q *request) recordAdmitted() {
	if q.hasClass() {
		q.box.priorities.RecordAdmitted(q.priorityRequest(), q.pathQuery().Tokens, q.sim.timeAt(q.tryStartedAt))
	}
}

// recordRefused records that the try ends with the code, if that is for lack of room.
func (q *request) recordRefused(code result.Code) {
	if q.hasClass() && code == result.Overloaded {
		q.box.priorities.RecordRefused(q.priorityRequest(), q.pathQuery().Tokens, q.sim.timeAt(q.tryStartedAt))
	}
}

// roomLimits returns how far the request may fill the servers of its path.
func (q *request) roomLimits() fleet.Limits {
	if !q.hasClass() {
		return fleet.Limits{}
	}
	supply := priority.Supply{Boxes: len(q.sim.boxes), Staleness: fleet.PeerLoadStaleness}
	supply.Tokens, supply.Slots = q.box.fleet.RequestCapacity(service)
	r := q.box.priorities.Reserve(q.priorityRequest(), supply, q.sim.clock())

	return fleet.LimitsWithReserve(r.Memory, r.Slots)
}

// retryReserve returns the share of the retry budget that the request leaves to others.
func (q *request) retryReserve() float64 {
	if !q.hasClass() {
		return 0
	}

	return q.box.priorities.RetryReserve(q.priorityRequest(), q.sim.clock())
}
