package box

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/place"
)

const (
	// orderTimeout bounds one order call.
	orderTimeout = time.Second
	// replanDelay is how long after the expected load time an order whose completion was not seen
	// is dropped, so that the server is planned again. It leaves time for the server to finish the
	// requests that it still runs and for its entry to be updated.
	replanDelay = 8 * time.Second
	// unansweredRetryDelay is the delay before the same order is repeated after a failed call. The
	// server may have restarted without receiving it, and servers that reset the connection of
	// their first orders would otherwise stay empty for seconds.
	unansweredRetryDelay = 1500 * time.Millisecond
	// refusedReplanDelay is how long after a server refused an order it is planned again.
	refusedReplanDelay = 1500 * time.Millisecond
)

// plannedOrder is the layer range that one server is to hold.
type plannedOrder struct {
	server catalog.Server
	layers slatebridge.LayerRange
	// loadTime is the expected duration of all loads that run together with this one.
	loadTime time.Duration
	// retried marks the repetition of an order that got no answer.
	retried bool
}

// pendingOrder is an order whose completion the server has not yet shown.
type pendingOrder struct {
	layers    slatebridge.LayerRange
	loadTime  time.Duration
	expiresAt time.Time
	// retryAt is when the order is repeated; zero if it was answered.
	retryAt time.Time
}

const (
	// maxOrdersInFlight limits the orders sent and not yet answered. Each costs the leader about a
	// millisecond of CPU time, so that a box with 0.12 cores gets all of them answered within
	// orderTimeout.
	//
	// A leader that sends the orders for all servers of a large fleet at once delays its own calls
	// beyond their timeout. A box with 0.85 cores sent 1,505 orders; the outcome of 161 is known,
	// and 149 of these timed out and had to be repeated.
	maxOrdersInFlight = 32
	// termVerificationTTL is how long a verification of the term covers further orders.
	termVerificationTTL = time.Second
)

// verifyInterval is how often a leader without orders verifies its term if it does not read the
// store otherwise. It must notice that the store refuses it before it has orders to send.
const verifyInterval = 3 * time.Second

// verifyBackoff is the pause after a verification that the store did not answer.
const verifyBackoff = time.Second

// placeLayers plans and sends orders if this box is the leader.
func (c *control) placeLayers(now time.Time) {
	if !c.canIssueOrders(now) {
		return
	}
	if len(c.orderQueue) > 0 {
		// Queued orders are sent before new ones are planned.
		if now.Sub(c.termVerifiedAt) >= termVerificationTTL {
			c.verifyTerm(nil)
		}

		return
	}
	orders := c.plan(now)
	if len(orders) == 0 && (c.box.isReader.Load() || now.Sub(c.termVerifiedAt) < verifyInterval) {
		return
	}
	c.verifyTerm(orders)
}

// canIssueOrders reports whether this box may plan and send orders now.
func (c *control) canIssueOrders(now time.Time) bool {
	return c.isLeader() && !c.verifying && c.catalog != nil && !c.leaving && c.settled(now) &&
		!c.serversConfirmedAt.Before(c.resumedAt) && now.Sub(c.electionFailedAt) >= verifyBackoff
}

// verifyTerm checks in the store that this box still is the leader, right before it sends orders: a
// box that was paused may have been replaced.
func (c *control) verifyTerm(orders []plannedOrder) {
	c.verifying = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, electionTimeout)
		defer cancel()
		t, _, err := elect.Current(ctx, c.box.platform.Election)
		c.box.post(&termVerified{term: t, err: err, orders: orders})
	}()
}

// onTermVerified sends the verified orders if this box still is the leader.
func (c *control) onTermVerified(m *termVerified) {
	c.verifying, c.termVerifiedAt = false, clock.Now()
	if m.err != nil {
		c.onElectionFailed(m.err)

		return
	}
	c.adoptTerm(m.term)
	if c.isLeader() && m.term.Token < c.term.Token {
		// Another writer overwrote the record of this box's term, or the store was restored from an
		// older copy. Nothing proves the term any more, so a new one has to be won.
		event.Log(c.box.logger, event.ElectionLost, zap.Int64("token", c.term.Token), zap.String("why", "its record is missing from the store"))
		c.term = elect.Term{Token: c.term.Token}
		c.discardQueuedOrders()
	}
	if !c.isLeader() || m.term != c.term {
		return
	}
	for _, o := range m.orders {
		c.pendingOrders[o.server.ID] = pendingOrder{layers: o.layers, loadTime: o.loadTime, expiresAt: clock.Now().Add(replanDelay + o.loadTime)}
		event.Log(c.box.logger, event.PlacementPlanned, zap.String("server", string(o.server.ID)),
			zap.String("card", o.server.Accelerator), zap.String("hall", string(o.server.Hall)),
			zap.Stringer("from", o.server.Layers), zap.Stringer("to", o.layers), zap.Int64("token", c.term.Token))
	}
	c.orderQueue = append(c.orderQueue, m.orders...)
	c.sendOrders(clock.Now())
}

// sendOrders sends planned orders up to the in-flight limit.
func (c *control) sendOrders(now time.Time) {
	for len(c.orderQueue) > 0 && c.ordersInFlight < maxOrdersInFlight && c.isLeader() && now.Sub(c.termVerifiedAt) < termVerificationTTL {
		o := c.orderQueue[0]
		c.orderQueue = c.orderQueue[1:]
		p, planned := c.pendingOrders[o.server.ID]
		if !planned || p.layers != o.layers {
			// The server has restarted, or already shows these layers.
			continue
		}
		c.pendingOrders[o.server.ID] = pendingOrder{layers: o.layers, loadTime: o.loadTime, expiresAt: now.Add(replanDelay + o.loadTime)}
		c.ordersInFlight++
		go c.sendOrder(o, c.term.Token)
	}
}

// discardQueuedOrders drops the planned orders that were not sent.
func (c *control) discardQueuedOrders() {
	for _, o := range c.orderQueue {
		delete(c.pendingOrders, o.server.ID)
	}
	c.orderQueue = nil
}

func (c *control) sendOrder(o plannedOrder, token int64) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	report, err := c.box.handler.FetchReport(ctx, o.server)
	switch {
	case err != nil:
	case report.ExecutingOrder && o.retried:
		// The server has received the order.
	case c.refusesOrders(o.server.ID):
		// The server has announced this since the order was planned.
		err = errors.Wrap(place.ErrRefused, "the server is leaving or in a cooldown")
	case report.ExecutingOrder:
		// The server executes an order unknown to this box, such as one of a former leader. Having
		// it load other layers right after that order would be of no use.
		err = errors.Wrap(place.ErrRefused, "the server is executing another order")
	default:
		var n fleet.Notice
		n, err = c.box.platform.LoadLayers(ctx, Order{Server: o.server, Layers: o.layers, Token: token, ExpectedOrders: report.OrdersStarted})
		c.box.handler.RecordNotice(o.server, n)
	}
	c.box.post(&orderFinished{server: o.server.ID, layers: o.layers, err: err})
}

// refusesOrders reports whether a server has announced that it is leaving or in a cooldown.
func (c *control) refusesOrders(id slatebridge.ServerID) bool {
	reason := c.box.fleet.Eligibility(id)

	return reason == fleet.IneligibleLeaving || reason == fleet.IneligibleCoolingDown
}

// onOrderFinished handles the result of an order, and sends the next ones.
func (c *control) onOrderFinished(m *orderFinished) {
	c.ordersInFlight--
	defer c.sendOrders(clock.Now())
	if m.err == nil {
		event.Log(c.box.logger, event.OrderSent, zap.String("server", string(m.server)), zap.Stringer("layers", m.layers))

		return
	}
	event.Log(c.box.logger, event.OrderFailed, zap.String("server", string(m.server)), zap.Stringer("layers", m.layers), event.Error(m.err))
	p, ok := c.pendingOrders[m.server]
	switch {
	case !ok || errors.Is(m.err, place.ErrFenced):
	case errors.Is(m.err, place.ErrRefused):
		// The server is busy with an order of another box, or has changed.
		p.expiresAt = clock.Now().Add(refusedReplanDelay)
		c.pendingOrders[m.server] = p
	default:
		// The order may still be executed, so no other layers are chosen meanwhile.
		p.retryAt = clock.Now().Add(unansweredRetryDelay)
		c.pendingOrders[m.server] = p
	}
	if errors.Is(m.err, place.ErrFenced) && c.isLeader() {
		// Another box has won a newer term, which arrives by gossip. Until then this box sends no
		// more orders.
		event.Log(c.box.logger, event.ElectionLost, zap.Int64("token", c.term.Token), zap.String("why", "a server has seen a newer fencing token"))
		c.term = elect.Term{Token: c.term.Token}
		c.discardQueuedOrders()
	}
}
