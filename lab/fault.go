package lab

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
)

// scheduleFault schedules the start and end of a fault.
func (sim *simulation) scheduleFault(fault *Fault) {
	start, stop := time.Duration(fault.Start), time.Duration(fault.Start+fault.Duration)
	switch fault.Type {
	case FaultServerLoss, FaultServerDrain:
		sim.schedule(start, func() { sim.removeServers(fault, sim.selectServers(fault)) })
	case FaultSlowServers:
		sim.schedule(start, func() { sim.slowServers(fault, sim.selectServers(fault)) })
	case FaultSlowLinks:
		sim.schedule(start, func() { sim.cluster.linkSlowdown = fault.Magnitude })
		sim.schedule(stop, func() { sim.cluster.linkSlowdown = 1 })
	case FaultMemoryPressure:
		sim.schedule(start, func() { sim.cluster.memoryPressure = fault.Fraction })
		sim.schedule(stop, func() { sim.cluster.memoryPressure = 0 })
	case FaultHallPartition:
		sim.schedule(start, func() { sim.partitionHall(slatebridge.HallID(fault.Hall)) })
		sim.schedule(stop, func() {
			sim.cluster.partitionedHall = ""
			sim.forEachBox(func(b *box) { sim.cluster.forEachServer(func(s *server) { b.fleet.Trust(s.ID) }) })
		})
	case FaultServerCooldown:
		list := sim.selectServers(fault)
		sim.schedule(start, func() { setCooldown(list, time.Duration(fault.Magnitude*float64(time.Second))) })
		sim.schedule(stop, func() { setCooldown(list, 0) })
	case FaultServerRateLimit:
		sim.schedule(start, func() { sim.setRateLimits(fault, fault.Magnitude) })
		sim.schedule(stop, func() { sim.cluster.forEachServer(func(s *server) { s.rateLimit = rateLimit{} }) })
	case FaultPoisonRequests:
		sim.schedulePoisonRequests(fault)
	case FaultBoxSuspension:
		sim.schedule(start, func() { sim.suspendBoxes(fault) })
	case FaultBoxRestart:
		sim.schedule(start, sim.stopBoxes)
		sim.schedule(stop, func() {
			for _, b := range sim.boxes {
				b.reset(sim.catalog, sim.cluster, sim.retryBounds(), sim.clock, sim.rand)
				for key, value := range sim.sharedChanges {
					sim.applyChange(b, quarantine.Change{Key: key, Value: value})
				}
			}
		})
	}
}

// selectServers draws the servers that the fault affects, at random in its hall or in all halls.
// Each call draws anew.
func (sim *simulation) selectServers(fault *Fault) []*server {
	var list []*server
	sim.cluster.forEachServer(func(s *server) {
		if fault.Hall == "" || fault.Hall == string(s.Hall) {
			list = append(list, s)
		}
	})
	sim.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:int(fault.Fraction*float64(len(list))+0.5)]
}

// removeServers removes servers, with a drain notice if the fault has one, and lets them return
// without layers fault.Duration after their removal.
func (sim *simulation) removeServers(fault *Fault, list []*server) {
	notice := time.Duration(0)
	if fault.Type == FaultServerDrain {
		notice = drainNotice
		for _, s := range list {
			s.Leaving = true
			// The server list shows the leaving state only after this delay.
			sim.schedule(time.Duration(fault.Magnitude*float64(time.Second)), func() {
				if !s.lost {
					sim.forEachBox(func(b *box) { b.fleet.Set(s.Server) })
				}
			})
		}
	}
	sim.schedule(notice, func() {
		for _, s := range list {
			s.lost, s.Layers = true, slatebridge.LayerRange{}
		}
		sim.schedule(failureDetectionTime, func() {
			ids := make([]slatebridge.ServerID, 0, len(list))
			for _, s := range list {
				ids = append(ids, s.ID)
				sim.forEachBox(func(b *box) { b.fleet.Remove(s.ID, sim.clock()) })
			}
			sim.rerouteRequests(func(q *request) bool { return q.runsOnAny(ids) })
		})
	})
	sim.schedule(notice+time.Duration(fault.Duration), func() {
		for _, s := range list {
			s.lost, s.Leaving, s.usedTokenLayers, s.usedSlots, s.notices = false, false, 0, 0, nil
			sim.forEachBox(func(b *box) {
				b.fleet.ClearNotices(s.ID)
				b.fleet.Set(s.Server)
			})
		}
	})
}

// runsOnAny reports whether the path of the request contains one of the servers.
func (q *request) runsOnAny(ids []slatebridge.ServerID) bool {
	return slices.ContainsFunc(ids, q.path.Contains)
}

// rerouteRequests interrupts the running requests that match and makes another attempt for each.
func (sim *simulation) rerouteRequests(match func(q *request) bool) {
	for _, q := range sim.activeRequests() {
		if q.path != nil && match(q) {
			q.interrupt()
			q.retryAttempt()
		}
	}
}

// activeRequests returns the requests at boxes, ordered by start time.
func (sim *simulation) activeRequests() []*request {
	var list []*request
	for _, b := range sim.boxes {
		for q := range b.activeRequests {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		switch {
		case a.startedAt < b.startedAt:
			return -1
		case a.startedAt > b.startedAt:
			return 1
		default:
			return 0
		}
	})

	return list
}

// slowServers slows servers down. Boxes detect it later.
func (sim *simulation) slowServers(fault *Fault, list []*server) {
	sim.setSlowdown(list, fault.Magnitude)
	sim.schedule(slownessDetectionTime, func() {
		sim.forEachBox(func(b *box) {
			for _, s := range list {
				b.fleet.RecordSlowness(s.ID, fault.Magnitude)
			}
		})
	})
	// Recorded slowness expires, so boxes record it again every placementInterval until the fault
	// ends. The first of these records repeats the one above.
	for at := slownessDetectionTime; at < time.Duration(fault.Duration); at += placementInterval {
		sim.schedule(at, func() {
			sim.forEachBox(func(b *box) {
				for _, s := range list {
					b.fleet.RecordSlowness(s.ID, fault.Magnitude)
				}
			})
		})
	}
	sim.schedule(time.Duration(fault.Duration), func() { sim.setSlowdown(list, 1) })
}

// setSlowdown sets the slowdown factor of servers and adapts the streams on them.
func (sim *simulation) setSlowdown(list []*server, factor float64) {
	for _, s := range list {
		s.slowdown = factor
	}
	for _, q := range sim.activeRequests() {
		q.updateStepTime()
	}
}

// partitionHall cuts a hall off from the others. Its boxes reach only the hall's own servers, and
// boxes of other halls reach all servers but these.
func (sim *simulation) partitionHall(hall slatebridge.HallID) {
	sim.cluster.partitionedHall = hall
	until := sim.clock().Add(sim.endTime())
	sim.schedule(failureDetectionTime, func() {
		sim.forEachBox(func(b *box) {
			sim.cluster.forEachServer(func(s *server) {
				if (s.Hall == hall) != (b.hall == hall) {
					b.fleet.Suspect(s.ID, until)
				}
			})
		})
		sim.rerouteRequests(func(q *request) bool {
			return slices.ContainsFunc(q.path[1:], func(s fleet.Stage) bool { return (s.Server.Hall == hall) != (q.path[0].Server.Hall == hall) }) ||
				(q.path[0].Server.Hall == hall) != (q.box.hall == hall)
		})
	})
}

// stopBoxes stops all boxes. Callers with retries left try again.
func (sim *simulation) stopBoxes() {
	for _, q := range sim.activeRequests() {
		q.interrupt()
		delete(q.box.activeRequests, q)
		if q.callerRetriesLeft == 0 && len(q.executedBy) > 0 {
			q.finish(failedIncomplete)
		} else {
			q.scheduleCallerRetry(0)
		}
	}
	for _, b := range sim.boxes {
		b.down = true
	}
}

// suspendBoxes suspends some boxes. A try that reaches one of them waits until the end of the
// suspension and is then sent to a box anew. The scheduled steps of running streams still take
// place. Streams still running at the end count the suspension as a token gap, or fail if it
// exceeds callerTokenTimeout or their deadline has passed.
func (sim *simulation) suspendBoxes(fault *Fault) {
	list := slices.Clone(sim.boxes)
	sim.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, b := range list[:int(fault.Fraction*float64(len(list))+0.5)] {
		b.suspendedUntil = sim.now + time.Duration(fault.Duration)
		sim.schedule(time.Duration(fault.Duration), func() {
			for _, q := range sim.activeRequests() {
				switch {
				case q.box != b || q.path == nil || q.tryStartedAt >= b.suspendedUntil:
				case time.Duration(fault.Duration) > callerTokenTimeout || sim.now >= q.deadline():
					q.fail()
				default:
					q.maxTokenGap = max(q.maxTokenGap, time.Duration(fault.Duration))
				}
			}
		})
	}
}
