package box

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/relay"
)

// electionTimeout bounds the calls of one election. The store may be slow.
const electionTimeout = time.Second

// adoptTerm takes over a newer term.
func (c *control) adoptTerm(t elect.Term) {
	if !t.Newer(c.term) {
		return
	}
	if c.isLeader() {
		event.Log(c.box.logger, event.ElectionLost, zap.Int64("token", c.term.Token), zap.Int64("newer", t.Token), zap.String("to", string(t.Box)))
	}
	c.term = t
	c.discardQueuedOrders()
	c.campaignWaitSince, c.leaderSeenAt = clock.Now(), clock.Now()
	if c.isLeader() {
		event.Log(c.box.logger, event.ElectionWon, zap.Int64("token", t.Token))
		clear(c.pendingOrders)
	}
}

// isLeader reports whether this box is the leader.
func (c *control) isLeader() bool {
	return c.term.Token > 0 && c.term.Box == c.settings.Box && c.term.Boot == c.box.bootID
}

// leaderTimeout is how long no box has seen the leader before another one campaigns.
const leaderTimeout = 2 * time.Second

// leaderAlive reports whether the leader was seen recently and has not resigned.
func (c *control) leaderAlive(now time.Time) bool {
	return c.isLeader() || now.Sub(c.leaderSeenAt) < leaderTimeout
}

// electionBackoff is how long a box does not campaign after a failed election call. Other boxes
// campaign meanwhile: the store may answer them.
const electionBackoff = 4 * time.Second

// canLead reports whether this box could be the leader.
func (c *control) canLead() bool {
	return c.catalog != nil && len(c.serversByName) > 0 && !c.leaving && !c.topicFailed[topicServers] &&
		clock.Since(c.electionFailedAt) > electionBackoff
}

// onElectionFailed records that an election call to the store failed.
func (c *control) onElectionFailed(err error) {
	c.box.metrics.storeCall("election", err)
	c.electionFailedAt = clock.Now()
	event.Log(c.box.logger, event.StoreLost, zap.String("topic", "election"), event.Error(err))
}

// campaign starts an election if there is no leader.
func (c *control) campaign(now time.Time) {
	if c.leaderAlive(now) {
		c.campaignWaitSince = now

		return
	}
	if c.campaigning || !c.canLead() || now.Sub(c.campaignWaitSince) < elect.CampaignDelay(c.electionRank(now)) {
		return
	}
	c.campaigning = true
	known := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, electionTimeout)
		defer cancel()
		t, err := elect.Campaign(ctx, c.box.platform.Election, known, c.settings.Box, c.box.bootID)
		c.box.post(&electionFinished{term: t, err: err})
	}()
}

// minNonRelayRanks is the minimum number of ranks over which the boxes that are not relays are
// spread. They campaign only if no relay does: the store may refuse all relays.
const minNonRelayRanks = 8

// nonRelayRank returns the election rank of a box among the non-relays of a hall with the given
// number of boxes. Few boxes share a rank, and some box has one of the first ranks.
//
// Otherwise all boxes of a hall (of two hundred boxes) that is cut off from the store and from the
// leader would campaign at once. Each of them learns only by a call or two that it cannot be
// elected, and the first that reaches the store again would replace a healthy leader.
func nonRelayRank(box slatebridge.BoxID, boxes int) int {
	return int(fleet.ShortID(slatebridge.ServerID(box)) % uint32(max(minNonRelayRanks, boxes)))
}

// electionRank returns the number of boxes that campaign before this one. In halls of more than a
// few boxes the box next in line to be a relay campaigns first. The leader plans for all servers,
// which is expensive in a large fleet, and a relay busy with planning delays updates for its whole
// hall. The relays of all halls follow, and then all other
// boxes. A box need not know every other box: the ranks need only the relays, which send messages
// in each round or are named in digests.
func (c *control) electionRank(now time.Time) int {
	halls := c.reachableHalls()
	preceding := 0
	if c.hallWork.live > relay.PerHall+1 {
		preceding = len(halls)
		if c.isNextRelay(now) {
			hall, _ := slices.BinarySearch(halls, c.settings.Hall)

			return hall
		}
	}
	relays := c.relays(now)
	for _, hall := range halls {
		if hall != c.settings.Hall {
			relays = append(relays, c.remoteRelays(hall, now)...)
		}
	}
	relaysBefore, eligibleRelays := 0, 0
	for _, o := range relays {
		if !o.canLead {
			continue
		}
		eligibleRelays++
		if o.id < c.settings.Box {
			relaysBefore++
		}
	}
	if c.isRelay(now) {
		return preceding + relaysBefore
	}

	return preceding + eligibleRelays + nonRelayRank(c.settings.Box, c.hallWork.live)
}

// reachableHalls returns the halls from which messages arrive, including this one, sorted.
func (c *control) reachableHalls() []slatebridge.HallID {
	halls := []slatebridge.HallID{c.settings.Hall}
	for _, hall := range c.remoteHalls() {
		if _, ok := c.hallSeenAt[hall]; ok {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)

	return halls
}

// isNextRelay reports whether this box would become a relay if one were lost.
func (c *control) isNextRelay(now time.Time) bool {
	var list []relay.Candidate
	for _, o := range c.topCandidates(c.settings.Hall, now, relay.PerHall+1) {
		list = append(list, o.candidate(now))
	}

	return relay.Rank(c.selfCandidate(now), list) == relay.PerHall
}

// onElectionFinished handles the result of an election.
func (c *control) onElectionFinished(m *electionFinished) {
	c.campaigning = false
	if m.err != nil {
		c.onElectionFailed(m.err)
	}
	c.campaignWaitSince = clock.Now()
	c.adoptTerm(m.term)
}
