package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
)

// noteSuspension handles a suspension of the machine, given the total suspension time since the
// start. State from before the suspension is stale; its recorded age already accounts for that.
// Everything that was planned is planned again.
func (c *control) noteSuspension(total time.Duration, now time.Time) {
	suspended := total - c.suspendedTotal
	c.suspendedTotal = total
	if suspended <= 0 {
		return
	}
	c.box.metrics.suspendedTime.Add(suspended.Seconds())
	event.Log(c.box.logger, event.BoxSuspended, zap.Duration("away_ms", suspended))
	// No box was heard during the suspension, so the leader's silence means nothing. The box waits
	// for it as after a start, so that it does not replace a healthy leader.
	c.campaignWaitSince = now
	// The queued orders were planned for the servers as they were before the suspension. No order
	// is planned until the entries are confirmed as of resumedAt or later (see canIssueOrders).
	c.discardQueuedOrders()
	c.resumedAt = now
	c.box.platform.CloseIdleConnections()
	c.box.wakeFollowers()
	c.publish()
	c.updateReadiness(now)
}
