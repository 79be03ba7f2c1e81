package box

import (
	"cmp"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
)

const (
	// remoteHallRounds is the number of rounds over which a relay spreads its digests to the other
	// halls. The state of other halls affects few paths, and traffic between halls is billed.
	remoteHallRounds = 2
	// seedRounds and relaySeedRounds are the numbers of rounds between two reports to seeds that
	// have not been heard from. seedRounds applies to a box without a relay in its hall.
	// relaySeedRounds applies to relays, so that they rediscover halls that were partitioned for
	// longer than peers are remembered.
	seedRounds      = 2
	relaySeedRounds = 16
	// gossipLinkShare is the share of the link that a box uses for digests to the boxes that report
	// to it. The rest is left to requests.
	gossipLinkShare = 0.1
	// defaultLinkRate is the link rate in bytes per second if the settings give none.
	defaultLinkRate = 2.5e6
	// sendBudgetWindow is the time over which unused send budget accumulates.
	sendBudgetWindow = time.Second
	// maxChangesPerMessage limits the server changes in one message. An entry takes about 300 bytes
	// and a datagram holds 64 KB. While a large fleet loads its layers, hundreds of servers change
	// within two seconds, too many for one message.
	maxChangesPerMessage = 60
	// maxChangeBytes limits their size; the rest of a datagram is for all else.
	maxChangeBytes = 40 << 10
	// remoteChangeDelay is the time after the latest change of a server entry before relays of
	// other halls are sent the changes that they lack. Each hall reads the store itself as long as
	// it can.
	remoteChangeDelay = 600 * time.Millisecond
)

// gossip runs one round: it sends a report to the relays of the hall, and digests to the boxes that
// use this one as a relay.
func (c *control) gossip(now time.Time) {
	c.gossipRound++
	own := c.ownWork(now)
	c.sendReport(own, now)
	c.updateHallWork(own, now)
	c.replenishSendBudget(now)
	c.sendDigest(c.reportingPeers(now), now)
	c.sendRemoteDigests(now)
}

// sendReport sends this box's load and suspicions to the relays of the hall.
func (c *control) sendReport(own work, now time.Time) {
	to := c.relays(now)
	targets := make([]mesh.Target, 0, len(to))
	for _, o := range to {
		targets = append(targets, o.target())
		if o.unansweredSince.IsZero() {
			o.unansweredSince = now
		}
	}
	targets = append(targets, c.unseenSeeds(len(to) == 0)...)
	if len(targets) == 0 {
		return
	}
	m := c.message(mesh.Report, now)
	m.Work = own.message(c.settings.Hall, c.gossipRound, now)
	m.SuspectedServers, m.SlowServers = c.box.handler.LocalSuspects(), c.box.handler.LocalSlowServers()
	for _, o := range to {
		m.RecentChanges = longerList(m.RecentChanges, c.changesFor(o, now))
	}
	c.rememberReport(m.SentAt, own)
	c.send(m, targets)
}

// unseenSeeds returns the seeds that are due for a report and have not been heard from. A box that
// knows no relay of its hall (alone) contacts them more often.
func (c *control) unseenSeeds(alone bool) []mesh.Target {
	interval := relaySeedRounds
	if alone {
		interval = seedRounds
	}
	if c.gossipRound%interval != 0 || (!alone && !c.isRelay(clock.Now())) {
		return nil
	}
	known := make(map[string]bool)
	for _, o := range c.peers {
		known[o.address] = o.live()
	}
	var to []mesh.Target
	for _, a := range c.settings.Seeds {
		if !known[a] && a != c.settings.Listen.Mesh {
			to = append(to, mesh.Target{Address: a})
		}
	}

	return to
}

// replenishSendBudget adds the bytes that became available since the last call.
func (c *control) replenishSendBudget(now time.Time) {
	rate := gossipLinkShare * cmp.Or(c.settings.LinkRate, defaultLinkRate)
	c.sendBudget = min(c.sendBudget+rate*now.Sub(c.sendBudgetAt).Seconds(), rate*sendBudgetWindow.Seconds())
	c.sendBudgetAt = now
}

// reportingPeers returns the boxes that report to this one, the one that was sent a digest least
// recently first.
func (c *control) reportingPeers(now time.Time) []*peerBox {
	var out []*peerBox
	for _, o := range c.peers {
		if o.isReporting(now) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *peerBox) int {
		return cmp.Or(a.digestSentAt.Compare(b.digestSentAt), cmp.Compare(a.id, b.id))
	})

	return out
}

// sendDigest sends the digest to as many of the boxes as the send budget allows, and to at least
// one while any budget is left.
func (c *control) sendDigest(boxes []*peerBox, now time.Time) {
	if len(boxes) == 0 || c.sendBudget <= 0 {
		return
	}
	m := c.digestMessage(now)
	if remote := c.remoteHalls(); len(remote) > 0 {
		hall := remote[c.gossipRound%len(remote)]
		if w := c.remoteWork[hall]; w != nil {
			m.RemoteWork = append(m.RemoteWork, w.message(hall, c.gossipRound/len(remote), now))
		}
		m.RelayCandidates[hall] = c.candidates(hall, relay.PerHall, now)
	}
	for _, o := range boxes {
		m.RecentChanges = longerList(m.RecentChanges, c.changesFor(o, now))
		if !o.inHall(c.settings.Hall) && m.RelayCandidates[o.hall] == nil {
			m.RelayCandidates[o.hall] = c.candidates(o.hall, relay.PerHall, now)
		}
	}
	d, err := m.Encode()
	if err != nil {
		c.box.metrics.meshError(err)

		return
	}
	n := min(len(boxes), 1+int(c.sendBudget)/len(d))
	var targets []mesh.Target
	for _, o := range boxes[:n] {
		o.digestSentAt = now
		targets = append(targets, o.reportTarget())
	}
	c.sendBudget -= float64(n * len(d))
	c.sendDatagram(d, targets)
}

// sendRemoteDigests sends the digest of this hall to relays of other halls if this box is a relay.
func (c *control) sendRemoteDigests(now time.Time) {
	if !c.isRelay(now) {
		return
	}
	var to []*peerBox
	for i, hall := range c.remoteHalls() {
		if (i+c.gossipRound)%remoteHallRounds == 0 {
			to = append(to, c.remoteRelays(hall, now)...)
		}
	}
	c.sendRemoteDigest(to, now)
}

// sendRemoteDigest sends the digest of this hall to boxes of other halls.
func (c *control) sendRemoteDigest(to []*peerBox, now time.Time) {
	if len(to) == 0 {
		return
	}
	m := c.digestMessage(now)
	targets := make([]mesh.Target, 0, len(to))
	for _, o := range to {
		targets = append(targets, o.target())
		m.RecentChanges = longerList(m.RecentChanges, c.changesFor(o, now))
	}
	c.send(m, targets)
}

// digestMessage returns a digest of this hall: its aggregated work, suspicions, relay candidates
// and store reader.
func (c *control) digestMessage(now time.Time) mesh.Message {
	m := c.message(mesh.RelayDigest, now)
	m.Work = c.aggregatedWork.message(c.settings.Hall, c.gossipRound, now)
	m.SuspectedServers, m.SlowServers = c.knownSuspicions(now)
	m.ConfirmedDead = c.confirmedDead(now)
	m.StoreReader = c.selectStoreReader(now)
	m.RelayCandidates = map[slatebridge.HallID][]relay.Candidate{
		c.settings.Hall: c.candidates(c.settings.Hall, relay.PerHall+1, now),
	}

	return m
}

// pushConfig immediately announces a new configuration version to the boxes that report to this
// one. The announcement is short and not subject to the send budget, which delays digests while
// they are large.
//
// Scenario: the configuration changes while thousands of servers load their layers, and each
// digest to a hundred boxes carries the last sixty server changes.
func (c *control) pushConfig(now time.Time) {
	to := c.reportingPeers(now)
	targets := make([]mesh.Target, 0, len(to))
	for _, o := range to {
		targets = append(targets, o.reportTarget())
	}
	c.send(mesh.Message{Kind: mesh.Update, Box: c.settings.Box, Hall: c.settings.Hall, ConfigVersion: c.catalog.Version}, targets)
}

// pushServerChanges immediately sends a digest with the latest server changes to the boxes that
// report to this one.
func (c *control) pushServerChanges() {
	now := clock.Now()
	c.replenishSendBudget(now)
	c.sendDigest(c.reportingPeers(now), now)
}

// pushServerReports immediately sends reports about servers: which are suspected dead or slow, have
// restarted, are leaving, or began or ceased to announce a rate limit. The relays are sent the
// suspicions that this box has detected itself. The boxes of the hall that report to this one are
// sent everything it knows. A relay also sends the reports to the other halls. Of the suspicions it
// sends them only the confirmed dead servers of its own hall.
func (c *control) pushServerReports(now time.Time) {
	c.serverReportsPushedAt, c.serverReportPushScheduled = now, false
	m := mesh.Message{Kind: mesh.Suspicion, Box: c.settings.Box, Hall: c.settings.Hall, Restarts: c.recentRestarts(now), LeavingServers: c.recentLeavingServers(now), Limits: c.recentLimits(now)}
	m.SuspectedServers, m.SlowServers = c.box.handler.LocalSuspects(), c.box.handler.LocalSlowServers()
	c.sendServerReport(m, c.relays(now))
	m.Kind = mesh.ForwardedSuspicion
	m.SuspectedServers, m.SlowServers = c.knownSuspicions(now)
	m.ConfirmedDead = c.confirmedDead(now)
	for _, id := range m.ConfirmedDead {
		c.confirmedDeadSentAt[id] = now
	}
	inHall := slices.DeleteFunc(c.reportingPeers(now), func(o *peerBox) bool { return !o.inHall(c.settings.Hall) })
	c.sendServerReport(m, inHall)
	if !c.isRelay(now) {
		return
	}
	m.ConfirmedDead = c.inOwnHall(m.ConfirmedDead)
	m.SuspectedServers, m.SlowServers = m.ConfirmedDead, nil
	for _, hall := range c.remoteHalls() {
		c.sendServerReport(m, c.remoteRelays(hall, now))
	}
}

// sendServerReport sends a message with reports about servers to the boxes unless it carries none.
func (c *control) sendServerReport(m mesh.Message, boxes []*peerBox) {
	if len(m.SuspectedServers) == 0 && len(m.SlowServers) == 0 && len(m.Restarts) == 0 && len(m.LeavingServers) == 0 && len(m.Limits) == 0 {
		return
	}
	targets := make([]mesh.Target, 0, len(boxes))
	for _, o := range boxes {
		targets = append(targets, o.target())
	}
	c.send(m, targets)
}

func (c *control) send(m mesh.Message, to []mesh.Target) {
	if len(to) == 0 {
		return
	}
	d, err := m.Encode()
	if err != nil {
		c.box.metrics.meshError(err)

		return
	}
	c.sendDatagram(d, to)
}

func (c *control) sendDatagram(d mesh.Datagram, to []mesh.Target) {
	if err := c.box.socket.Send(d, to); err != nil {
		c.box.metrics.meshError(err)
	}
	c.box.metrics.meshSent(len(to), len(d))
}

// changesFor returns the server changes that a box lacks, at most maxChangesPerMessage. A box of
// another hall gets them only once it has had time to read them from the store.
func (c *control) changesFor(o *peerBox, now time.Time) []mesh.ServerChange {
	missing, ok := c.box.entries.changesSince(o.lastMessage.ServersPosition)
	if !ok {
		// The box lacks none, or more than are retained and fetches the full list.
		return nil
	}
	if !o.inHall(c.settings.Hall) && now.Sub(c.entriesChangedAt) < remoteChangeDelay {
		return nil
	}

	return fittingChanges(missing)
}

// fittingChanges returns the first of the changes, as many as fit into a message.
func fittingChanges(list []mesh.ServerChange) []mesh.ServerChange {
	size := 0
	for i, v := range list {
		if size += len(v.Key) + len(v.Value); i == maxChangesPerMessage || (i > 0 && size > maxChangeBytes) {
			return list[:i]
		}
	}

	return list
}

func longerList(a, b []mesh.ServerChange) []mesh.ServerChange {
	if len(b) > len(a) {
		return b
	}

	return a
}

// message returns a message of the given kind with this box's store and election state.
func (c *control) message(kind mesh.Kind, now time.Time) mesh.Message {
	m := mesh.Message{
		Kind: kind, Box: c.settings.Box, Hall: c.settings.Hall, Boot: c.box.bootID, Address: c.settings.Listen.Mesh,
		LinkRate: c.settings.LinkRate, SentAt: c.nextTimestamp(now),
		ConfigAge: ageMicros(now, c.configConfirmedAt), ServersPosition: c.serversPosition, ServersAge: ageMicros(now, c.serversConfirmedAt),
		StoreReachable: c.storeReachable(now), CanLead: c.canLead(), Leaving: c.leaving, Isolated: c.box.isolated(),
		Term: c.term, LeaderAge: ageMicros(now, c.leaderSeenAt), Restarts: c.recentRestarts(now), LeavingServers: c.recentLeavingServers(now), Limits: c.recentLimits(now),
	}
	_, m.QuarantinePosition = c.box.quarantine.positions()
	if c.isLeader() {
		m.LeaderAge = 0
	}
	if c.catalog != nil {
		m.ConfigVersion = c.catalog.Version
	}

	return m
}

// nextTimestamp returns the time since the start of the box in microseconds, strictly increasing so
// that receivers can order messages.
func (c *control) nextTimestamp(now time.Time) int64 {
	c.lastSentTimestamp = max(c.lastSentTimestamp+1, now.Sub(c.box.startedAt).Microseconds())

	return c.lastSentTimestamp
}

// ageMicros returns the time since at in microseconds, or -1 if at is zero.
func ageMicros(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}

	// Receivers would take an age of -1 as unknown, and reject one below that.
	return max(0, now.Sub(at).Microseconds())
}
