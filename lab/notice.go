package lab

import (
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
)

// noticeGrace is the time after a notice in which requests may still reach the server, because they
// were already under way: boxes must comply with a notice within half a second.
const noticeGrace = 500 * time.Millisecond

// serverNotice is what a server has announced to a box.
type serverNotice struct {
	// cooldownSince is when the server first asked for the cooldown, and cooldownUntil its end.
	cooldownSince, cooldownUntil time.Duration
	// leavingSince is when the server first announced that it is leaving.
	leavingSince time.Duration
}

// setCooldown makes servers reject the requests for which they are the first server, and ask for a
// cooldown; zero makes them accept requests again.
func setCooldown(list []*server, cooldown time.Duration) {
	for _, s := range list {
		s.cooldown = cooldown
	}
}

// updateNotice changes what the server has announced to the box.
func (s *server) updateNotice(b *box, change func(notice *serverNotice)) {
	if s.notices == nil {
		s.notices = make(map[*box]serverNotice)
	}
	notice := s.notices[b]
	change(&notice)
	s.notices[b] = notice
}

// recordArrival counts a request that reaches its first server in spite of an earlier notice, and
// its use of the rate limit.
func (q *request) recordArrival() {
	s := q.sim.cluster.servers[q.path[0].Server.ID]
	notice, now := s.notices[q.box], q.sim.now
	s.recordLimitUse(now, q.sim.result)
	if notice.cooldownUntil > now && now > notice.cooldownSince+noticeGrace {
		q.sim.result.SentDuringCooldown++
	}
	if notice.leavingSince > 0 && now > notice.leavingSince+noticeGrace {
		q.sim.result.SentAfterLeaving++
	}
}

// observeCooldown delivers the cooldown notice of a server to the box.
func (q *request) observeCooldown(id slatebridge.ServerID) {
	s, now := q.sim.cluster.servers[id], q.sim.now
	s.updateNotice(q.box, func(notice *serverNotice) {
		if now >= notice.cooldownUntil {
			notice.cooldownSince = now
		}
		notice.cooldownUntil = max(notice.cooldownUntil, now+s.cooldown)
	})
	if q.sim.scenario.IgnoreServerNotices {
		q.box.fleet.RecordRejection(id)
	} else {
		q.box.fleet.ApplyNotice(id, fleet.Notice{Cooldown: s.cooldown})
	}
}

// observeAcceptance delivers to the box what the first server of the path announces when it accepts
// the request, and records in the box that all servers of the path accepted it. A box that ignores
// notices does not record that.
func (q *request) observeAcceptance() {
	first := q.sim.cluster.servers[q.path[0].Server.ID]
	if first.Leaving {
		q.observeLeaving(first)
	}
	if q.sim.scenario.IgnoreServerNotices {
		return
	}
	ids := make([]slatebridge.ServerID, 0, len(q.path))
	for _, stage := range q.path {
		ids = append(ids, stage.Server.ID)
	}
	q.box.fleet.RecordAcceptance(ids...)
}

// observeLeaving delivers to the box the notice that the server is leaving. The box shares it with
// its peers.
func (q *request) observeLeaving(s *server) {
	now, id := q.sim.now, s.ID
	s.updateNotice(q.box, func(notice *serverNotice) {
		if notice.leavingSince == 0 {
			notice.leavingSince = now
		}
	})
	if q.sim.scenario.IgnoreServerNotices || !q.box.fleet.ApplyNotice(id, fleet.Notice{Leaving: true}).Leaving {
		return
	}
	q.sim.schedule(propagationTime, func() {
		q.sim.forEachBox(func(b *box) {
			if s.Leaving {
				b.fleet.ApplyNotice(id, fleet.Notice{Leaving: true})
			}
		})
	})
}
