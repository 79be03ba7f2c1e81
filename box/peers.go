package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// lostAfterIntervals is the number of usual message intervals without a message after which a
	// box counts as lost.
	lostAfterIntervals = 5
	// minPeerTimeout is the minimum silence before a box counts as lost.
	minPeerTimeout = 1500 * time.Millisecond
	// peerRetention is how long a lost box still counts toward the retry budget, which it may be
	// using, and is still contacted if no other box of its hall is heard.
	peerRetention = 20 * time.Second
	// unresponsiveBackoff is how long reports are withheld from a box that did not answer them,
	// even if other boxes hear it.
	unresponsiveBackoff = 3 * time.Second
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.1
	// joinDelay is how long a box waits after its start to hear from others before it becomes the
	// store reader of its hall. Store reads are billed, and many boxes start at the same time.
	joinDelay = time.Second
)

// peerBox is the state kept about another box.
type peerBox struct {
	id      slatebridge.BoxID
	hall    slatebridge.HallID
	address string
	// linkRate is the rate of its link in bytes per second.
	linkRate float64
	// canLead reports whether it can be the leader.
	canLead bool
	// bootID identifies its process; empty if the box itself was never heard.
	bootID string
	// lastSeenAt is when its last message arrived, and messageInterval the moving average of the
	// time between messages.
	lastSeenAt      time.Time
	messageInterval time.Duration
	lastMessage     mesh.Message
	lost            bool
	// lastTimestamp is the newest sender timestamp received from it.
	lastTimestamp int64
	// indirectSeenAt is when another box last reported hearing this peer.
	indirectSeenAt time.Time
	// indirectlyStarting reports whether the other box said that this peer was starting. It applies
	// unless the peer itself is heard.
	indirectlyStarting bool
	// unansweredSince is when the first report was sent that it has not answered.
	unansweredSince time.Time
	// lastReport is the work in its last report, and reportTimestamp the sender timestamp of that
	// report.
	lastReport      work
	reportTimestamp int64
	// completeReportAt is the sender timestamp of the oldest shard of its last report; zero until all
	// are known.
	completeReportAt int64
	reportShards     shardTimes
	// hallDigest is the work of its hall in its last digest, digestEcho the timestamp of this box's
	// newest report included there, and storeReader the box that the digest names to read the
	// store.
	hallDigest  work
	digestEcho  int64
	storeReader slatebridge.BoxID
	// digestSentAt is when a digest was last sent to it.
	digestSentAt time.Time
	// configConfirmedAt and serversConfirmedAt are the times, on this box's clock, at which the
	// other box's state is known to have been current.
	configConfirmedAt  time.Time
	serversConfirmedAt time.Time
}

// live reports whether the box itself was heard and is not lost.
func (o *peerBox) live() bool { return !o.lost && o.bootID != "" }

// starting reports whether the box started too recently to give grants.
func (o *peerBox) starting(now time.Time) bool {
	if !o.live() {
		return o.indirectlyStarting
	}

	return micros(o.lastTimestamp)+now.Sub(o.lastSeenAt) < allocatorStartDelay
}

// inHall reports whether the box is in the hall.
func (o *peerBox) inHall(hall slatebridge.HallID) bool { return o.hall == hall }

// silenceTimeout returns how long the box may be silent before it counts as lost.
func (o *peerBox) silenceTimeout() time.Duration {
	return max(minPeerTimeout, lostAfterIntervals*o.messageInterval)
}

// isReporting reports whether the box uses this one as a relay.
func (o *peerBox) isReporting(now time.Time) bool {
	return !o.lost && !o.lastReport.asOf.IsZero() && now.Sub(o.lastReport.asOf) <= o.silenceTimeout()
}

// isResponsive reports whether it is worth reporting to the box: it is not leaving, it has not left
// reports unanswered, and it is in contact with this box or another one.
func (o *peerBox) isResponsive(now time.Time) bool {
	if o.lastMessage.Leaving {
		return false
	}
	silent := !o.unansweredSince.IsZero() && now.Sub(o.unansweredSince) > o.silenceTimeout()

	return !silent && (o.live() || now.Sub(o.indirectSeenAt) < minPeerTimeout)
}

// retryUnresponsive makes a box that left reports unanswered eligible for reports again after
// unresponsiveBackoff, since other boxes may hear it.
func (o *peerBox) retryUnresponsive(now time.Time) {
	if !o.unansweredSince.IsZero() && now.Sub(o.unansweredSince) > o.silenceTimeout()+unresponsiveBackoff {
		o.unansweredSince = time.Time{}
	}
}

// target returns the box as a message target that acknowledges its last message.
func (o *peerBox) target() mesh.Target { return mesh.Target{Address: o.address, Echo: o.lastTimestamp} }

// reportTarget returns the box as a message target that acknowledges its last report.
func (o *peerBox) reportTarget() mesh.Target {
	return mesh.Target{Address: o.address, Echo: o.reportTimestamp}
}

// ensurePeer returns the state of the box, which it creates if the box is unknown.
func (c *control) ensurePeer(id slatebridge.BoxID) *peerBox {
	o, ok := c.peers[id]
	if !ok {
		o = &peerBox{id: id, lost: true, messageInterval: tickInterval, lastSeenAt: clock.Now()}
		c.peers[id] = o
	}

	return o
}

func (c *control) onPeerMessage(m *peerMessage) {
	msg := m.message
	if msg.Box == c.settings.Box {
		return
	}
	c.box.metrics.meshReceived(msg.Size)
	switch msg.Kind {
	case mesh.Suspicion, mesh.ForwardedSuspicion:
		c.onSuspicion(msg.Message, m.receivedAt)

		return
	case mesh.Update:
		c.onUpdate(msg.Message, m.receivedAt)

		return
	default:
	}
	o := c.ensurePeer(msg.Box)
	if o.bootID == msg.Boot && msg.SentAt <= o.lastTimestamp {
		return
	}
	c.updatePeer(o, msg.Message, m.receivedAt)
	c.noteRunningPeer(micros(msg.SentAt), m.receivedAt)
	c.applyChanges(msg.RecentChanges)
	c.applyRestarts(msg.Message, m.receivedAt)
	c.applyLeavingServers(msg.Message, m.receivedAt)
	c.applyLimits(msg.Message, m.receivedAt)
	c.applyFreshness(o, msg)
	switch msg.Kind {
	case mesh.Report:
		o.lastReport.apply(msg.Work, m.receivedAt)
		o.reportTimestamp = msg.SentAt
		o.completeReportAt = max(0, o.reportShards.record(msg.Work, time.UnixMicro(msg.SentAt)).UnixMicro())
		o.lastReport.live, o.lastReport.budgetBoxes = 1, 1
		c.applySuspicions(msg.Message, m.receivedAt, true)
	case mesh.RelayDigest:
		c.applyDigest(o, msg, m.receivedAt)
	default:
		// A kind of another program version. The fields common to all kinds are still applied.
	}
	c.box.quarantine.noteTopicEnd(msg.QuarantinePosition)
	c.adoptTerm(msg.Term)
	c.updateLeaderSeen(o, msg.Message, m.receivedAt)
	c.markHallSeen(msg.Hall, m.receivedAt)
}

// updatePeer records a message that the box itself sent.
func (c *control) updatePeer(o *peerBox, msg mesh.Message, at time.Time) {
	if o.lost || o.bootID != msg.Boot {
		event.Log(c.box.logger, event.PeerFound, zap.String("peer", string(msg.Box)), zap.String("address", msg.Address), zap.String("boot", msg.Boot))
	} else if interval := at.Sub(o.lastSeenAt); interval > 0 {
		o.messageInterval += time.Duration(intervalWeight * float64(interval-o.messageInterval))
	}
	if o.bootID != msg.Boot {
		o.lastReport, o.hallDigest, o.storeReader, o.messageInterval = work{}, work{}, "", tickInterval
		o.completeReportAt, o.reportShards = 0, shardTimes{}
		o.configConfirmedAt, o.serversConfirmedAt = time.Time{}, time.Time{}
	}
	if msg.Leaving && !o.lastMessage.Leaving && o.isReporting(at) && o.inHall(c.settings.Hall) {
		c.recentHallBoxes--
	}
	o.bootID, o.lastTimestamp, o.address, o.hall, o.linkRate, o.canLead = msg.Boot, msg.SentAt, msg.Address, msg.Hall, msg.LinkRate, msg.CanLead
	if msg.Leaving && !o.lastMessage.Leaving {
		c.box.post(&allocatorsDue{})
	}
	o.lastSeenAt, o.lastMessage, o.lost, o.unansweredSince = at, msg, false, time.Time{}
}

// applyDigest applies what a relay reports of its own and other halls.
func (c *control) applyDigest(o *peerBox, msg mesh.ReceivedMessage, at time.Time) {
	o.hallDigest.apply(msg.Work, at)
	o.digestEcho, o.storeReader = msg.Echo, msg.StoreReader
	c.applyRemoteWork(msg.Hall, msg.Work, at)
	for _, w := range msg.RemoteWork {
		c.applyRemoteWork(w.Hall, w, at)
		if w.LiveBoxes > 0 {
			c.markHallSeen(w.Hall, at.Add(-time.Duration(w.Age)*time.Microsecond))
		}
	}
	for hall, list := range msg.RelayCandidates {
		c.markIndirectlySeen(hall, list, at)
	}
	// Suspicions in the digest of a relay of this hall are not recorded for forwarding: if the
	// relays forwarded each other's suspicions, these would never expire. The boxes that detected
	// them report to this box as well if it is a relay.
	c.applySuspicions(msg.Message, at, !o.inHall(c.settings.Hall))
}

// updateLeaderSeen records when the leader was last heard, by this box or by the sender of the
// message.
func (c *control) updateLeaderSeen(o *peerBox, msg mesh.Message, at time.Time) {
	if msg.Term != c.term || msg.LeaderAge < 0 {
		return
	}
	if o.id == c.term.Box {
		if msg.Boot != c.term.Boot || msg.Leaving || !msg.CanLead {
			c.leaderSeenAt, c.leaderResignedAt = time.Time{}, at

			return
		}
	}
	// The sender may not have received the leader's resignation yet.
	if heard := at.Add(-time.Duration(msg.LeaderAge) * time.Microsecond); heard.After(c.leaderResignedAt) {
		c.leaderSeenAt = latest(c.leaderSeenAt, heard)
	}
}

// applyFreshness uses what the other box reports about the age of its state. The message echoes one
// of this box's own, so it was made after that one was sent, however long it was in transit.
func (c *control) applyFreshness(o *peerBox, msg mesh.ReceivedMessage) {
	if msg.Echo == 0 || msg.Echo > c.lastSentTimestamp || o.bootID != msg.Boot {
		return
	}
	sentAt := c.box.startedAt.Add(time.Duration(msg.Echo) * time.Microsecond)
	if msg.ConfigAge >= 0 {
		o.configConfirmedAt = sentAt.Add(-time.Duration(msg.ConfigAge) * time.Microsecond)
	}
	if msg.ServersAge >= 0 {
		o.serversConfirmedAt = sentAt.Add(-time.Duration(msg.ServersAge) * time.Microsecond)
	}
	// The local state is at least as new as what was confirmed as current there.
	if c.catalog != nil && msg.ConfigVersion > 0 && msg.ConfigVersion <= c.catalog.Version {
		c.configJoined = c.configJoined || msg.ConfigAge >= 0
		c.onConfigConfirmed(o.configConfirmedAt, string(o.id))
	}
	if msg.ServersPosition > 0 && msg.ServersPosition <= c.serversPosition {
		c.onServersConfirmed(o.serversConfirmedAt)
	}
}

// applyChanges applies changes of server entries that continue the known ones.
func (c *control) applyChanges(list []mesh.ServerChange) {
	if c.serversPosition == 0 || len(list) == 0 || list[0].Offset > c.serversPosition {
		return
	}
	// Entries with the same grace are applied together.
	for rest := list; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Grace == rest[0].Grace {
			n++
		}
		entries := make([]logstore.Entry, 0, n)
		for _, v := range rest[:n] {
			entries = append(entries, logstore.Entry{Key: v.Key, Value: v.Value, Position: v.Offset})
		}
		c.onServers(&serversUpdate{
			entries: entries, next: rest[n-1].Offset + 1, grace: time.Duration(rest[0].Grace) * time.Microsecond,
		})
		rest = rest[n:]
	}
}

// expirePeers marks silent boxes as lost, and forgets them after peerRetention.
func (c *control) expirePeers(now time.Time) {
	// Messages that have arrived may not have been read yet.
	ownLag := c.box.handler.Load().RecentLag(now)
	for id, o := range c.peers {
		o.retryUnresponsive(now)
		silent := now.Sub(o.lastSeenAt)
		if !o.lost && silent > o.silenceTimeout()+ownLag {
			o.lost = true
			event.Log(c.box.logger, event.PeerLost, zap.String("peer", string(id)), zap.Duration("silent_ms", silent))
		}
		if silent > peerRetention && now.Sub(o.indirectSeenAt) > peerRetention {
			delete(c.peers, id)
		}
	}
	c.expireHalls(now)
}

// retryBudgetBoxes returns how many boxes may be using the retry budget.
func (c *control) retryBudgetBoxes() int {
	n := max(1, c.hallBudgetBoxes)
	for _, w := range c.remoteWork {
		n += w.budgetBoxes
	}

	return max(n, 1+len(c.peers))
}
