package forward

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

// ErrBarred says that a call was not sent, since the server wants none now.
var ErrBarred = errors.New("the server wants no calls now")

// hear takes up what an answer says of the server that sent it. Every answer of a server
// comes here: to requests, questions, moves and orders.
func (h *Handler) hear(id slatebridge.ServerID, n fleet.Notice) {
	if n.Empty() {
		return
	}
	h.metrics.noticed(n)
	if n.Unreadable != "" {
		event.Log(h.logger, event.NoticeUnreadable, zap.String("server", string(id)), zap.String("rest", n.Unreadable))
	}
	news := h.fleet.Hear(id, n)
	if news.Rest > 0 {
		event.Log(h.logger, event.ServerRests, zap.String("server", string(id)), zap.Duration("rest_ms", news.Rest))
	}
	if news.Leaving {
		event.Log(h.logger, event.ServerLeaves, zap.String("server", string(id)), zap.String("source", "its answer"))
		h.onLeaving(id)
	}
}

// Hear takes up what the answer to an order says of the server that sent it.
func (h *Handler) Hear(s catalog.Server, n fleet.Notice) { h.hear(s.ID, n) }

// barredFor returns why the attempt may not be sent now; nil if it may. What was chosen
// before a server spoke may have waited: for the consent to a trial, or as the path for when
// an attempt ends.
//
// Load pattern: for eight seconds a server turns all requests away, and asks for 3 s of rest
// each time, while the other one fails two of three. In virtual time with four boxes no request
// reached it in a rest; 108 did before.
func (h *Handler) barredFor(a Attempt) error {
	id, bar := a.Server.ID, h.fleet.Barred(a.Server.ID)
	if len(a.Path) > 0 {
		id, bar = h.fleet.BarredOn(a.Path)
	}
	if bar == fleet.NotBarred {
		return nil
	}

	return errors.Wrapf(ErrBarred, "%s is %s", id, bar)
}

// restLeft returns the refusal for a request whose servers all want rest; nil if that is not
// what is in the way.
func (h *Handler) restLeft(c *call) *result.Error {
	find := h.fleet.RestLeft
	if h.hasModel(c) {
		find = h.fleet.RestLeftForPath
	}
	left, ok := find(c.service)
	if !ok {
		return nil
	}

	return result.New(result.Resting, "the servers that could run the request want rest").WithRetryAfter(overload.RestIn(left, h.random()))
}
