package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/event"
)

// noteAway notes for how long the machine has been suspended since the start. After a
// suspension what this box knows is old, and says so by its age; what it was about to do
// is decided anew.
func (c *control) noteAway(total time.Duration, now time.Time) {
	away := total - c.away
	c.away = total
	if away <= 0 {
		return
	}
	c.box.metrics.away.Add(away.Seconds())
	event.Log(c.box.logger, event.BoxSuspended, zap.Duration("away_ms", away))
	// The box that gives orders was not heard since nobody was; it is waited for as after a
	// start, so that no term is taken from a holder that is well.
	c.absent = now
	// Orders were planned for servers as they were. None is planned until their entries are
	// proved to be of after the return.
	c.dropOrders()
	c.returnedAt = now
	c.box.platform.DropIdle()
	c.box.wakeFollowers()
	c.publish()
	c.judgeReady(now)
}
