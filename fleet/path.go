package fleet

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Stage is one server of a path and the layers that it runs.
type Stage struct {
	Server catalog.Server
	Layers slatebridge.LayerRange
}

// Path lists the servers that run all layers for one request, in order.
type Path []Stage

// Contains reports whether the server is on the path.
func (p Path) Contains(id slatebridge.ServerID) bool {
	return slices.ContainsFunc(p, func(s Stage) bool { return s.Server.ID == id })
}

// String returns the path in the form "a[0,4)>b[4,8)".
func (p Path) String() string {
	stages := make(slatebridge.Pipeline, 0, len(p))
	for _, s := range p {
		stages = append(stages, slatebridge.Stage{Server: s.Server.ID, Layers: s.Layers})
	}

	return stages.String()
}

// Shortage says why no path was found.
type Shortage int

const (
	// NoShortage means that a path was found.
	NoShortage Shortage = iota
	// NoLayers means that the available servers form no path through all layers, for example
	// because some layer is held by none of them.
	NoLayers
	// NoCapacity means that a path exists only through servers without enough free memory or in the
	// backoff after a rejection, or over links between halls that are in full use.
	NoCapacity
	// NoSlots is like NoCapacity, where slots are bounded and some first server has memory, but no
	// free slot.
	NoSlots
	// RoomKept means that only the reserve in the limits of the request refused it.
	RoomKept
)

// String returns the reason as logged.
func (s Shortage) String() string {
	return [...]string{"none", "no path through available servers", "no capacity left on servers or links", "no slots or capacity left", "the room left is kept"}[s]
}

// Query describes the request that needs a path.
type Query struct {
	Service string
	// Tokens is the number of tokens, of prompt and response together, for which the request
	// reserves memory.
	Tokens float64
	// Exclude lists servers that the path must not use.
	Exclude []slatebridge.ServerID
	// FirstServer, if set, must be the first server of the path.
	FirstServer slatebridge.ServerID
	// Isolated asks for a first server with as few other requests as possible.
	Isolated bool
	// Limits bounds how far the request may fill the servers of the path.
	Limits Limits
	// AvoidFull says that servers which the ledger of their hall found full for such a request are
	// passed over; see RecordFull.
	AvoidFull bool
	// WaitForGrant says that the request may wait for a grant if its first server is rate-limited.
	WaitForGrant bool
	// ignoreAdmission makes servers in a cooldown, in the slow start after one, or without a grant
	// available now, count as available.
	ignoreAdmission bool
	// delay is the time from now at which the path is needed.
	delay time.Duration
	// repairRoom is the memory that the request leaves to streams of lost servers.
	repairRoom repairRoom
	// costNoise is the relative amplitude of the random noise on costs; zero means defaultNoise.
	costNoise float64
}

const (
	// maxPlannedFill is the share of a server's memory for requests that may be reserved. The rest
	// covers responses that grow longer than expected and work of other boxes that is not yet
	// known.
	maxPlannedFill = 0.92
	// fillCost raises the cost of servers with memory in use, so that servers with the same layers
	// share the work. A full server costs seven times as much as an empty one.
	fillCost = 6.0
	// slotCost is the cost of entering at a server with all slots taken. Beyond that point requests
	// queue there for longer than a whole path takes.
	slotCost = 4.0
	// maxCostFill bounds the utilization that enters the cost.
	maxCostFill = 2.0
	// remoteEntryCost is the cost of a first stage in another hall. Only text crosses between the
	// halls, but the load of other halls is known late. With a low cost, all halls would choose the
	// same servers of one hall after a start.
	remoteEntryCost = 0.6
	// stepTimeCost is the weight of an accelerator's StepTimeFactor. Streams on fast accelerators
	// end sooner, so that failures hit fewer of them.
	stepTimeCost = 0.08
	// connectionFailureFactor raises the cost of a server after a connection to it failed, so that
	// most other servers with its layers are preferred.
	connectionFailureFactor = 4.0
	// stageCost is the cost of each stage. A path with fewer servers is hit by fewer failures, and
	// each token makes fewer hops. Paths typically have 10 to 20 stages, and the layers of a path
	// of idle servers cost about one.
	stageCost = 0.04
	// defaultNoise is the relative amplitude of the random noise on costs. It keeps boxes with the
	// same information from choosing the same path.
	defaultNoise = 0.15
	// maxStages is the maximum number of stages of a path.
	maxStages = 32
)

// FindPath finds the cheapest path through all layers and reserves the memory that the request
// needs.
func (f *Fleet) FindPath(q Query) (Path, *Reservation, Shortage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Limits.KeepForRepairs {
		q.repairRoom = f.neededRepairRoom(q.Service)
	}
	path := f.search(q, true)
	if path == nil && q.repairRoom != nil {
		q.repairRoom = nil
		path = f.search(q, true)
	}
	if path == nil {
		return nil, nil, f.shortage(q)
	}

	return path, f.reserve(path, q), NoShortage
}

// shortage returns why there is no path with room for the request. The caller holds mu.
func (f *Fleet) shortage(q Query) Shortage {
	if q.Limits.HasReserve() {
		if q.Limits = q.Limits.withoutReserve(); f.search(q, true) != nil {
			return RoomKept
		}
	}
	if f.search(q, false) == nil {
		return NoLayers
	}
	if f.lacksSlots(q) {
		return NoSlots
	}

	return NoCapacity
}

// FindPathFrom is like FindPath, but tries the given first servers in order; an empty list allows
// any.
func (f *Fleet) FindPathFrom(q Query, firsts []slatebridge.ServerID) (Path, *Reservation, Shortage) {
	if len(firsts) == 0 {
		return f.FindPath(q)
	}
	short := NoLayers
	for _, q.FirstServer = range firsts {
		path, reservation, s := f.FindPath(q)
		if path != nil {
			return path, reservation, NoShortage
		}
		short = max(short, s)
	}

	return nil, nil, short
}
