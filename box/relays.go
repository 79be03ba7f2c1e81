package box

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/relay"
)

// selfCandidate returns this box as a relay candidate.
func (c *control) selfCandidate(now time.Time) relay.Candidate {
	return relay.Candidate{
		Box: c.settings.Box, Address: c.settings.Listen.Mesh, LinkRate: c.settings.LinkRate, CanLead: c.canLead(),
		Starting: now.Sub(c.box.startedAt) < allocatorStartDelay,
	}
}

// candidate returns the box as a relay candidate.
func (o *peerBox) candidate(now time.Time) relay.Candidate {
	return relay.Candidate{Box: o.id, Address: o.address, LinkRate: o.linkRate, CanLead: o.canLead, Starting: o.starting(now)}
}

// relays returns the boxes of the hall that this one reports to.
func (c *control) relays(now time.Time) []*peerBox {
	return c.topCandidates(c.settings.Hall, now, relay.PerHall)
}

// remoteRelays returns the relays of another hall. If none is responsive, it returns the boxes
// heard last, since the hall may come back.
func (c *control) remoteRelays(hall slatebridge.HallID, now time.Time) []*peerBox {
	if out := c.topCandidates(hall, now, relay.PerHall); len(out) > 0 {
		return out
	}
	var out []*peerBox
	for _, o := range c.peers {
		if o.inHall(hall) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *peerBox) int { return cmp.Or(b.lastSeenAt.Compare(a.lastSeenAt), cmp.Compare(a.id, b.id)) })

	return out[:min(len(out), relay.PerHall)]
}

// topCandidates returns the n best responsive boxes of a hall, without this box.
func (c *control) topCandidates(hall slatebridge.HallID, now time.Time, n int) []*peerBox {
	var out []*peerBox
	for _, o := range c.peers {
		if o.inHall(hall) && o.isResponsive(now) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *peerBox) int { return relay.Compare(a.candidate(now), b.candidate(now)) })

	return out[:min(n, len(out))]
}

// candidates returns the n best live relay candidates of a hall, including this box. Those that are
// starting come in addition, since they do not allocate grants yet.
func (c *control) candidates(hall slatebridge.HallID, n int, now time.Time) []relay.Candidate {
	var list []relay.Candidate
	if hall == c.settings.Hall && !c.leaving {
		list = append(list, c.selfCandidate(now))
	}
	for _, o := range c.peers {
		if o.inHall(hall) && o.live() && !o.lastMessage.Leaving {
			list = append(list, o.candidate(now))
		}
	}
	best := relay.Select(list, n)
	for _, v := range relay.Select(withoutStarting(list), n) {
		if !slices.Contains(best, v) {
			best = append(best, v)
		}
	}

	return best
}

// isRelay reports whether this box is one of the relays of its hall.
func (c *control) isRelay(now time.Time) bool {
	var list []relay.Candidate
	for _, o := range c.relays(now) {
		list = append(list, o.candidate(now))
	}

	return !c.leaving && relay.Rank(c.selfCandidate(now), list) < relay.PerHall
}

// remoteHalls returns the known halls other than this one, sorted.
func (c *control) remoteHalls() []slatebridge.HallID {
	halls := make(map[slatebridge.HallID]bool, len(c.remoteWork))
	for hall := range c.remoteWork {
		halls[hall] = true
	}
	for _, o := range c.peers {
		if o.hall != "" && !o.inHall(c.settings.Hall) {
			halls[o.hall] = true
		}
	}

	return slices.Sorted(maps.Keys(halls))
}

// markIndirectlySeen records boxes that are in contact with another box.
func (c *control) markIndirectlySeen(hall slatebridge.HallID, list []relay.Candidate, at time.Time) {
	for _, v := range list {
		if v.Box == c.settings.Box {
			continue
		}
		o := c.ensurePeer(v.Box)
		if o.bootID == "" || at.Sub(o.lastSeenAt) > minPeerTimeout {
			// What the box itself reported takes precedence while it is recent.
			o.address, o.hall, o.linkRate, o.canLead, o.indirectlyStarting = v.Address, hall, v.LinkRate, v.CanLead, v.Starting
		}
		o.indirectSeenAt = latest(o.indirectSeenAt, at)
	}
}

// selectStoreReader returns the box that is to read the store for the hall: the best candidate that
// can reach the store, or this box if none can.
func (c *control) selectStoreReader(now time.Time) slatebridge.BoxID {
	var list []relay.Candidate
	if c.storeReachable(now) {
		list = append(list, c.selfCandidate(now))
	}
	for _, o := range c.peers {
		if o.inHall(c.settings.Hall) && o.live() && o.lastMessage.StoreReachable && !o.lastMessage.Leaving {
			list = append(list, o.candidate(now))
		}
	}
	if len(list) == 0 {
		return c.settings.Box
	}

	return relay.Select(list, 1)[0].Box
}

// isStoreReader reports whether this box reads the store for its hall. Boxes other than relays
// follow the best relay they are in contact with. Within joinDelay after its start a box without such
// a relay is a store reader only if it is a seed. This does not delay the first read of a restarted box, which
// is due at once even if the box is not the store reader (see assumedConfirmedAt).
func (c *control) isStoreReader(now time.Time) bool {
	relays := c.relays(now)
	alone := !slices.ContainsFunc(relays, (*peerBox).live)
	if alone && now.Sub(c.box.startedAt) < joinDelay && !slices.Contains(c.settings.Seeds, c.settings.Listen.Mesh) {
		return false
	}
	if alone || c.isRelay(now) {
		return c.selectStoreReader(now) == c.settings.Box
	}
	for _, o := range relays {
		if o.live() && o.storeReader != "" {
			return o.storeReader == c.settings.Box
		}
	}

	return false
}

// storeFailureTTL is how long a failed call shows that a box that is not the store reader cannot
// reach the store. It makes no calls in the meantime, so it can't find out by itself, and may be
// selected again after this time.
const storeFailureTTL = 5 * time.Second

// storeReachable reports whether this box can reach the store, as far as it knows.
func (c *control) storeReachable(now time.Time) bool {
	for topic, down := range c.topicFailed {
		if down && (c.box.isReader.Load() || now.Sub(c.topicFailedAt[topic]) < storeFailureTTL) {
			return false
		}
	}

	return true
}

// Shares of MaxStaleness.
const (
	// maxReadDelayShare bounds how much longer than a relay a box waits before it reads the store. What is
	// left of the bound is for the read.
	maxReadDelayShare = 0.1
	// readerSilenceShare is for how long the store reader of the hall may be silent before a relay reads the
	// store itself, once its last confirmation is silentReadShare old. A box that many callers turn to at
	// that moment may take long over a call.
	readerSilenceShare = 0.3
	silentReadShare    = 0.35
	// readerSilenceIntervals is the same in usual message intervals, if that is longer.
	readerSilenceIntervals = 3
)

// updateReadSchedule decides whether this box reads the store, or when it does so by itself.
func (c *control) updateReadSchedule(now time.Time) {
	reads, delay := c.isStoreReader(now), int64(c.storeReadDelay(now))
	changed := c.box.isReader.Swap(reads) != reads
	if sooner := c.box.storeReadDelay.Swap(delay) > delay; changed || sooner {
		c.box.wakeFollowers()
	}
}

// storeReadDelay returns how much longer than a relay this box waits without a confirmation before
// it reads the store itself: as long as those of the hall together would call about twice per second,
// but no longer than the bound allows. It is negative for a relay that doesn't hear the store reader.
func (c *control) storeReadDelay(now time.Time) time.Duration {
	maxStaleness := float64(c.settings.Bounds.MaxStaleness)
	switch {
	case c.hallWork.live <= 1:
		return 0
	case c.isRelay(now) && c.isReaderSilent(now):
		return time.Duration((silentReadShare - ownReadShare) * maxStaleness)
	case c.isRelay(now):
		return 0
	}
	part := float64(fleet.ShortID(slatebridge.ServerID(c.settings.Box))) / math.MaxUint32

	return time.Duration(part * min(maxReadDelayShare*maxStaleness, float64(c.hallWork.live)*float64(pausePerPeer)))
}

// isReaderSilent reports whether the store reader of the hall, another box, was not heard for some time although
// it does not count as lost yet.
func (c *control) isReaderSilent(now time.Time) bool {
	o, ok := c.peers[c.selectStoreReader(now)]
	if !ok {
		return false
	}
	limit := max(time.Duration(readerSilenceShare*float64(c.settings.Bounds.MaxStaleness)), readerSilenceIntervals*o.messageInterval)

	return now.Sub(o.lastSeenAt) > limit+c.box.handler.Load().RecentLag(now)
}
