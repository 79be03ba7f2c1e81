package box

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/retry"
)

// maxLoadsPerMessage is the number of server loads up to which one message carries all of them. A
// load takes about 11 bytes, so this many fit one 1,500-byte packet. Loads of more servers are
// split by short ID into shards, which have at most this many on average. One shard is sent per
// round, in turn.
const maxLoadsPerMessage = 110

// work is the requests in flight and the usage of the retry budget of some boxes.
type work struct {
	// asOf is when the figures were valid.
	asOf time.Time
	// live is the number of boxes that the figures cover, and budgetBoxes how many may be using the
	// retry budget.
	live        int
	budgetBoxes int
	// loads is the work in flight by short server ID.
	loads map[uint32]fleet.Load
	usage map[string]retry.Usage
	// shards are when the shards of the loads were valid, and completeAsOf is the time of the oldest
	// one; zero until all are known.
	shards       shardTimes
	completeAsOf time.Time
}

// maxShards is the number of shards up to which their times are kept. It exceeds the shards for
// the servers of the largest fleet.
const maxShards = 128

// shardTimes records when each shard of reported loads was last valid. If the number of shards
// changes, all are forgotten.
type shardTimes struct {
	at    []time.Time
	known int
}

// record records the time of a shard, and returns the time of the oldest shard if all are known.
func (s *shardTimes) record(m mesh.Work, at time.Time) time.Time {
	if m.ShardCount <= 1 {
		*s = shardTimes{}

		return at
	}
	if m.ShardIndex >= m.ShardCount || m.ShardCount > maxShards {
		*s = shardTimes{}

		return time.Time{}
	}
	if len(s.at) != int(m.ShardCount) {
		*s = shardTimes{at: make([]time.Time, m.ShardCount)}
	}
	if s.at[m.ShardIndex].IsZero() {
		s.known++
	}
	s.at[m.ShardIndex] = at
	if s.known < len(s.at) {
		return time.Time{}
	}

	return slices.MinFunc(s.at, time.Time.Compare)
}

// sumWork returns the sum of the work.
func sumWork(list ...work) work {
	sum := work{loads: make(map[uint32]fleet.Load)}
	for _, w := range list {
		sum.live += w.live
		sum.budgetBoxes += w.budgetBoxes
		for n, l := range w.loads {
			sum.loads[n] = sum.loads[n].Add(l)
		}
		sum.usage = retry.Sum(sum.usage, w.usage)
		if w.asOf.After(sum.asOf) {
			sum.asOf = w.asOf
		}
	}

	return sum
}

// sub returns w without o, which was part of the sum. Loads with no requests left are dropped, also
// those that would become negative because o has grown since w was summed up.
func (w work) sub(o work) work {
	w.live -= o.live
	w.budgetBoxes -= o.budgetBoxes
	w.loads = maps.Clone(w.loads)
	for n, l := range o.loads {
		if left := w.loads[n].Sub(l); left.Requests > 0 {
			w.loads[n] = left
		} else {
			delete(w.loads, n)
		}
	}
	w.usage = retry.Subtract(w.usage, o.usage)

	return w
}

// apply replaces the work by that of a message. A message with one shard of the loads replaces only
// the loads of that shard.
//
// The map of the loads is changed in place, since with hundreds of boxes each of them receives
// eight such messages per second, with a sixth of the loads of a hall's servers in each message.
func (w *work) apply(m mesh.Work, at time.Time) {
	if w.loads == nil {
		w.loads = make(map[uint32]fleet.Load, len(m.Loads))
	}
	for n := range w.loads {
		if m.ShardCount <= 1 || n%m.ShardCount == m.ShardIndex {
			delete(w.loads, n)
		}
	}
	for _, l := range m.Loads {
		w.loads[l.ShortID] = fleet.Load{Requests: float64(l.Requests), FirstStage: float64(l.FirstStage), TokenLayers: float64(l.TokenLayers)}
	}
	w.asOf = measuredAt(m, at)
	w.completeAsOf = w.shards.record(m, w.asOf)
	w.live, w.budgetBoxes, w.usage = m.LiveBoxes, m.BudgetBoxes, m.Usage
}

// measuredAt returns when the work of a message received at a time was valid.
func measuredAt(m mesh.Work, at time.Time) time.Time {
	return at.Add(-time.Duration(m.Age) * time.Microsecond)
}

// message returns the work in the form of messages, with the shard of the loads that is due in the
// round.
func (w work) message(hall slatebridge.HallID, round int, now time.Time) mesh.Work {
	m := mesh.Work{Hall: hall, Age: now.Sub(w.asOf).Microseconds(), LiveBoxes: w.live, BudgetBoxes: w.budgetBoxes, Usage: w.usage}
	if shards := (len(w.loads) + maxLoadsPerMessage - 1) / maxLoadsPerMessage; shards > 1 {
		m.ShardCount, m.ShardIndex = uint32(shards), uint32(round%shards)
	}
	for n, l := range w.loads {
		if m.ShardCount > 1 && n%m.ShardCount != m.ShardIndex {
			continue
		}
		m.Loads = append(m.Loads, mesh.ServerLoad{
			ShortID: n, Requests: wireCount(l.Requests), FirstStage: wireCount(l.FirstStage), TokenLayers: wireCount(l.TokenLayers),
		})
	}

	return m
}

// wireCount rounds a figure for transmission. Rounding errors when reserved memory is released can
// leave it below zero.
func wireCount(x float64) uint32 {
	return uint32(math.Round(min(max(0, x), math.MaxUint32)))
}

// ownWork returns this box's requests in flight and retry usage.
func (c *control) ownWork(now time.Time) work {
	return work{
		asOf: now, live: 1, budgetBoxes: 1,
		loads: fleet.LoadsByShortID(c.box.fleet.OwnLoads()),
		usage: c.box.handler.RetryBudget().Usage(now),
	}
}

// reportingPeersWork returns the work of the boxes of the hall that report to this one, and the
// number of boxes whose reports have stopped, which may still be using the retry budget.
func (c *control) reportingPeersWork(now time.Time) (others work, silent int) {
	var list []work
	for _, o := range c.peers {
		switch {
		case !o.inHall(c.settings.Hall) || o.lastReport.asOf.IsZero():
		case o.isReporting(now):
			list = append(list, o.lastReport)
		default:
			silent++
		}
	}

	return sumWork(list...), silent
}

// sentReportTTL is how long a box keeps its own reports, to subtract them from the sums that
// relays send back. It exceeds twice minPeerTimeout.
const sentReportTTL = 4 * time.Second

// sentReport is a report that this box sent.
type sentReport struct {
	timestamp int64
	work      work
}

// rememberReport stores a sent report and drops expired ones.
func (c *control) rememberReport(timestamp int64, w work) {
	c.sentReports = append(c.sentReports, sentReport{timestamp: timestamp, work: w})
	c.sentReports = slices.DeleteFunc(c.sentReports, func(t sentReport) bool { return w.asOf.Sub(t.work.asOf) > sentReportTTL })
}

// sentWork returns the work reported at a timestamp. It is empty if the relay has not received a
// report yet.
func (c *control) sentWork(timestamp int64) work {
	for _, t := range c.sentReports {
		if t.timestamp == timestamp {
			return t.work
		}
	}

	return work{}
}

// digestTTL is the maximum age of a digest for its use.
const digestTTL = 2 * time.Second

// updateHallWork determines the work of the other boxes of the hall, from the reports sent to this
// box or from the digest of a relay that covers more boxes.
func (c *control) updateHallWork(own work, now time.Time) {
	others, silent := c.reportingPeersWork(now)
	c.aggregatedWork = sumWork(own, others)
	c.aggregatedWork.budgetBoxes += silent
	best, reportedAt := c.aggregatedWork, c.reportedAt(now)
	for _, o := range c.peers {
		v := o.hallDigest
		if !o.inHall(c.settings.Hall) || now.Sub(v.asOf) > digestTTL || v.live < best.live || (v.live == best.live && !v.asOf.After(best.asOf)) {
			continue
		}
		// A digest does not say which reports it contains.
		best, others, reportedAt = v, v.sub(c.sentWork(o.digestEcho)), nil
	}
	c.hallWork = best
	// Boxes that are no longer heard may still be using the retry budget.
	if best.budgetBoxes >= c.hallBudgetBoxes || now.Sub(c.hallBudgetBoxesAt) > peerRetention {
		c.hallBudgetBoxes, c.hallBudgetBoxesAt = best.budgetBoxes, now
	}
	others.asOf = best.asOf
	others.live, others.budgetBoxes = max(0, best.live-1), max(0, best.budgetBoxes-1)
	c.setHallPeerWork(hallKey(c.settings.Hall), others)
	c.box.handler.SetHallPeers(others.live)
	c.box.fleet.SetPeerCounts(others.live, c.liveBoxes()-1)
	c.box.hallPeers.Store(int64(others.live))
	c.box.rooms.setReports(reportedAt, c.hallShare(now), now)
	c.box.rooms.setRemoteReports(c.remoteReports())
}

// reportClockMargin is how far the timestamps of a box may run ahead of its clock, in microseconds,
// because each message has one of its own.
const reportClockMargin = 1000

// reportedAt returns, by boot ID of the boxes that report to this one, the time before which
// their claims of room are contained in their work.
func (c *control) reportedAt(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	for _, o := range c.peers {
		if o.inHall(c.settings.Hall) && o.isReporting(now) && o.completeReportAt > 0 {
			out[o.bootID] = o.completeReportAt - reportClockMargin
		}
	}

	return out
}

// remoteReports returns the time at which all work known of each other hall was valid.
func (c *control) remoteReports() map[string]time.Time {
	out := make(map[string]time.Time, len(c.remoteWork))
	for hall, w := range c.remoteWork {
		if !w.completeAsOf.IsZero() {
			out[string(hall)] = w.completeAsOf
		}
	}

	return out
}

// hallShare returns the share of the boxes of the hall that are heard, of those that were heard
// within roomShareMemory. Boxes that have announced that they leave do not count.
func (c *control) hallShare(now time.Time) float64 {
	staying := c.hallWork.live
	for _, o := range c.peers {
		if o.inHall(c.settings.Hall) && o.lastMessage.Leaving && o.isReporting(now) {
			staying--
		}
	}
	if staying >= c.recentHallBoxes || now.Sub(c.recentHallBoxesAt) > roomShareMemory {
		c.recentHallBoxes, c.recentHallBoxesAt = staying, now
	}

	return float64(max(0, staying)) / float64(max(1, c.recentHallBoxes))
}

// setHallPeerWork passes the work of the other boxes of a hall to the fleet and the retry budget.
func (c *control) setHallPeerWork(key string, w work) {
	c.box.fleet.SetPeerGroupLoads(key, w.loads)
	c.box.handler.RetryBudget().SetPeerGroup(key, w.live, w.usage, w.asOf)
}

// applyRemoteWork applies the work of another hall unless what is known covers more boxes or is
// newer.
func (c *control) applyRemoteWork(hall slatebridge.HallID, m mesh.Work, at time.Time) {
	if hall == c.settings.Hall || hall == "" {
		return
	}
	w := c.remoteWork[hall]
	if w == nil {
		w = &work{}
	}
	validAt := measuredAt(m, at)
	if !validAt.After(w.asOf) || (m.LiveBoxes < w.live && validAt.Sub(w.asOf) < digestTTL) {
		return
	}
	w.apply(m, at)
	c.remoteWork[hall] = w
	c.setHallPeerWork(hallKey(hall), *w)
}

// hallKey returns the key under which the fleet and the retry budget store a hall's work.
func hallKey(hall slatebridge.HallID) string { return "hall " + string(hall) }
