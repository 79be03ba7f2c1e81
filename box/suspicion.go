package box

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// progressWindow is how recently a stream must have made progress through a server for this box
	// to ignore another box's suspicion that the server is dead. Without this rule, overloaded
	// boxes convince each other that healthy servers are dead, and their streams are moved. The
	// window is well below the 80 ms that a box needs at least to detect a dead server.
	progressWindow = 40 * time.Millisecond
	// suspicionTTL is how long another box's report of a dead server remains valid.
	suspicionTTL = 700 * time.Millisecond
	// forwardTTL is how long a relay forwards a suspicion. The reporter repeats it in each round
	// while it holds.
	forwardTTL = 2 * tickInterval
)

// suspicion is what other boxes reported of a server.
type suspicion struct {
	// reporter is the box that first reported the server dead; confirmed is set once a second box
	// has.
	reporter  slatebridge.BoxID
	confirmed bool
	slowness  float64
	expiresAt time.Time
}

// renewed returns the suspicion with its validity extended from at. An expired suspicion is
// discarded first.
func (s suspicion) renewed(at time.Time) suspicion {
	if at.After(s.expiresAt) {
		s = suspicion{}
	}
	s.expiresAt = at.Add(forwardTTL)

	return s
}

// onSuspicion applies what another box has just detected. A relay forwards it to the boxes that
// report to it, and tells the other halls which servers of its own hall two boxes found dead.
//
// Scenario: servers of one hall crash while streams of other halls pass through them. A
// suspicion that waits for the next gossip round arrives up to half a second late, while a stream
// may pause for 200 to 300 ms. A suspicion of a single box stays within its hall: an overloaded box
// may take several healthy servers for dead at once, for half a second.
func (c *control) onSuspicion(msg mesh.Message, at time.Time) {
	c.applyRestarts(msg, at)
	c.applyLeavingServers(msg, at)
	c.applyLimits(msg, at)
	o, ok := c.peers[msg.Box]
	forward := ok && ((msg.Kind == mesh.Suspicion && o.isReporting(at)) || !o.inHall(c.settings.Hall))
	if changed := c.applySuspicions(msg, at, forward); changed && forward {
		c.scheduleServerReportPush(at)
	}
}

// scheduleServerReportPush calls pushServerReports now or later, rate-limited because a partitioned
// hall makes many servers unreachable at once. Confirmed suspicions are sent sooner, since boxes
// act on them without waiting for failures of their own streams.
func (c *control) scheduleServerReportPush(now time.Time) {
	interval := pushInterval
	if c.hasUnsentConfirmation(now) {
		interval = confirmedPushInterval
	}
	if wait := interval - now.Sub(c.serverReportsPushedAt); wait > 0 {
		if !c.serverReportPushScheduled || interval == confirmedPushInterval {
			c.serverReportPushScheduled = true
			time.AfterFunc(wait, func() { c.box.post(&serverReportPushDue{}) })
		}

		return
	}
	c.pushServerReports(now)
}

// applySuspicions applies the dead and slow servers of another box's message, and records them for
// forwarding if forward is set. It reports whether there is anything new to forward.
func (c *control) applySuspicions(msg mesh.Message, at time.Time, forward bool) bool {
	changed := false
	for _, id := range msg.SuspectedServers {
		// This box's own observation takes precedence: the other box may only have lost a response.
		// It repeats the suspicion if the server is really dead.
		if !c.trustsReport(msg, id) || c.box.fleet.ProgressedSince(id, at.Add(-progressWindow)) {
			continue
		}
		changed = (forward && c.recordDead(id, msg.Box, at)) || changed
		if c.appliesReport(msg, id) {
			c.box.fleet.SuspectReported(id, at.Add(suspicionTTL))
		}
	}
	c.applyConfirmedDead(msg, at, forward)
	for id, slowness := range msg.SlowServers {
		c.box.fleet.RecordSlowness(id, slowness)
		changed = (forward && c.recordSlow(id, slowness, at)) || changed
	}
	if changed {
		for _, id := range c.confirmedDead(at) {
			c.box.fleet.ConfirmSuspicion(id, at.Add(suspicionTTL))
		}
	}

	return changed
}

// applyConfirmedDead applies the servers that two boxes found dead.
func (c *control) applyConfirmedDead(msg mesh.Message, at time.Time, forward bool) {
	for _, id := range msg.ConfirmedDead {
		if !c.trustsReport(msg, id) {
			continue
		}
		c.box.fleet.ConfirmSuspicion(id, at.Add(suspicionTTL))
		if s, ok := c.suspicions[id]; ok && forward {
			s.confirmed = true
			c.suspicions[id] = s
		}
	}
}

// trustsReport reports whether the sender's reports on the server are trusted. A box of another
// hall is trusted only on servers of its own hall, since otherwise the link between the halls may
// be at fault.
func (c *control) trustsReport(msg mesh.Message, id slatebridge.ServerID) bool {
	s, ok := c.box.fleet.Server(id)

	return ok && (msg.Hall == c.settings.Hall || msg.Hall == s.Hall)
}

// appliesReport reports whether a trusted report that a server is dead keeps this box from using it. Of
// a server of another hall than the sender's, two boxes have to find it dead: a single one may have lost
// its own links to that hall.
func (c *control) appliesReport(msg mesh.Message, id slatebridge.ServerID) bool {
	s, ok := c.box.fleet.Server(id)

	return ok && (s.Hall == msg.Hall || c.suspicions[id].confirmed || slices.Contains(msg.ConfirmedDead, id))
}

// recordDead records that a box found a server dead, and reports whether it is the first or the
// second one to do so.
func (c *control) recordDead(id slatebridge.ServerID, box slatebridge.BoxID, at time.Time) bool {
	s := c.suspicions[id].renewed(at)
	changed := false
	switch {
	case s.reporter == "":
		s.reporter, changed = box, true
	case s.reporter != box && !s.confirmed:
		s.confirmed, changed = true, true
	}
	c.suspicions[id] = s

	return changed
}

// recordSlow records that a box found a server slow, and reports whether this is new.
func (c *control) recordSlow(id slatebridge.ServerID, slowness float64, at time.Time) bool {
	s := c.suspicions[id].renewed(at)
	changed := s.slowness == 0
	s.slowness = slowness
	c.suspicions[id] = s

	return changed
}

// knownSuspicions returns the dead and slow servers that this box has detected or that other boxes
// have reported for forwarding. It drops expired suspicions.
func (c *control) knownSuspicions(now time.Time) ([]slatebridge.ServerID, map[slatebridge.ServerID]float64) {
	dead, slow := c.box.handler.LocalSuspects(), c.box.handler.LocalSlowServers()
	own := make(map[slatebridge.ServerID]bool, len(dead))
	for _, id := range dead {
		own[id] = true
	}
	for id, s := range c.suspicions {
		if now.After(s.expiresAt) {
			delete(c.suspicions, id)

			continue
		}
		if s.reporter != "" && !own[id] {
			dead = append(dead, id)
		}
		if s.slowness > 0 {
			slow[id] = max(slow[id], s.slowness)
		}
	}

	return dead, slow
}

// confirmedDead returns the servers that two boxes found dead.
func (c *control) confirmedDead(now time.Time) []slatebridge.ServerID {
	own := c.box.handler.LocalSuspects()
	var out []slatebridge.ServerID
	for id, s := range c.suspicions {
		if !now.After(s.expiresAt) && s.reporter != "" && (s.confirmed || slices.Contains(own, id)) {
			out = append(out, id)
		}
	}

	return out
}

// hasUnsentConfirmation reports whether the hall has not been told within forwardTTL of some server
// that is confirmed dead.
func (c *control) hasUnsentConfirmation(now time.Time) bool {
	return slices.ContainsFunc(c.confirmedDead(now), func(id slatebridge.ServerID) bool {
		return now.Sub(c.confirmedDeadSentAt[id]) > forwardTTL
	})
}

// inOwnHall returns the servers of the list that are in this hall.
func (c *control) inOwnHall(list []slatebridge.ServerID) []slatebridge.ServerID {
	return slices.DeleteFunc(slices.Clone(list), func(id slatebridge.ServerID) bool {
		s, ok := c.box.fleet.Server(id)

		return !ok || s.Hall != c.settings.Hall
	})
}
