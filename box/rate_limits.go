package box

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/mesh"
)

const (
	// limitTTL is how long a rate-limit change is reported to other boxes in each round. They also
	// learn it later from the server's own answers.
	limitTTL = 2 * time.Second
	// maxLimitsPerMessage limits the rate limits in one message. Each takes some 30 bytes.
	maxLimitsPerMessage = 60
)

// limitChange is a server that began or ceased to announce a rate limit.
type limitChange struct {
	id          slatebridge.ServerID
	observation allowance.Observation
	at          time.Time
}

// onLimitObserved handles the start or end of a server's rate-limit announcement to this box. The
// fleet knows it already. The other boxes are told of it, with the rate at that time; later changes
// of the rate go with the grant requests only.
//
// Without this message, each of hundreds of boxes would send one more request to a server that
// takes a few per second, and learn of its limit only from the answer.
func (c *control) onLimitObserved(id slatebridge.ServerID, observation allowance.Observation, now time.Time) {
	c.recordLimitChange(limitChange{id, observation, now})
	c.scheduleServerReportPush(now)
}

// recordLimitChange queues a change for the other boxes. It replaces an earlier one of the server.
func (c *control) recordLimitChange(l limitChange) {
	c.limitChanges = slices.DeleteFunc(c.limitChanges, func(v limitChange) bool { return v.id == l.id })
	c.limitChanges = append(c.limitChanges, l)
}

// applyLimits applies the rate-limit changes reported by another box. A relay passes them on.
func (c *control) applyLimits(msg mesh.Message, at time.Time) {
	for _, l := range msg.Limits {
		observation := l.Observation(at)
		change := c.box.fleet.ObserveLimit(l.Server, observation)
		switch change {
		case fleet.LimitAdded:
			event.Log(c.box.logger, event.ServerLimited, zap.String("server", string(l.Server)), zap.Float64("rate", observation.Rate), zap.String("source", string(msg.Box)))
		case fleet.LimitRemoved:
			event.Log(c.box.logger, event.ServerUnlimited, zap.String("server", string(l.Server)), zap.String("source", string(msg.Box)))
		case fleet.LimitUnchanged, fleet.LimitChanged:
			continue
		}
		if c.isRelay(at) {
			c.recordLimitChange(limitChange{l.Server, observation, at})
			c.scheduleServerReportPush(at)
		}
	}
}

// recentLimits returns the rate limits to send to other boxes: the most recent ones if not all fit
// into a message.
func (c *control) recentLimits(now time.Time) []mesh.LimitObservation {
	c.limitChanges = slices.DeleteFunc(c.limitChanges, func(l limitChange) bool { return now.Sub(l.at) > limitTTL })
	newest := c.limitChanges[max(0, len(c.limitChanges)-maxLimitsPerMessage):]
	out := make([]mesh.LimitObservation, 0, len(newest))
	for _, l := range newest {
		out = append(out, mesh.NewLimitObservation(l.id, l.observation, now))
	}

	return out
}
