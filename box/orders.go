package box

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/place"
)

const (
	// settleTime is how long no new server must have appeared before layers
	// are assigned: servers of a start appear within three seconds, and a plan
	// over all of them is better than one for each.
	settleTime = time.Second
	// addTime is how long a server must be known before it is given layers that
	// its hall lacks, once some server holds layers.
	addTime = 200 * time.Millisecond
	// spareTime is the same in a hall that lacks none. When servers are
	// replaced, the new one comes about a second before the old one leaves, and
	// is best given the layers of that one.
	spareTime = 1500 * time.Millisecond
	// lackTime is how long a hall lacks layers before servers that hold other
	// layers are moved there. A crashed server comes back empty, so there is
	// nothing to wait for but a false alarm.
	lackTime = 700 * time.Millisecond
	// orderTime bounds one order.
	orderTime = time.Second
	// orderAgain is how long after the time that all loads under way take an order that
	// was not seen to be done is given again: for what servers still run, and for their
	// entries to tell.
	orderAgain = 8 * time.Second
	// unansweredAgain is when the same order is given again after a call that
	// failed: the server may have restarted and not had it. Measured with orderAgain
	// for those as well: nine servers that reset their first orders stayed empty for 8 s.
	unansweredAgain = 1500 * time.Millisecond
	// refusedAgain is the same for an order that the server has refused.
	refusedAgain = 1500 * time.Millisecond
)

// order is what one server shall hold.
type order struct {
	server catalog.Server
	layers slatebridge.LayerRange
	// load is how long all loads take that are under way with this one.
	load time.Duration
	// repeated says that the same order was given before, without an answer.
	repeated bool
}

// pendingOrder is an order that the server has not yet shown to be done.
type pendingOrder struct {
	layers slatebridge.LayerRange
	load   time.Duration
	until  time.Time
	// again is when it is to be repeated; zero if it was answered.
	again time.Time
}

const (
	// mostOrders is how many orders are under way at once; the next one leaves when one
	// is answered. Each costs this box about a millisecond of a core, so that all of them
	// are answered within orderTime by a box that has 0.12 of one.
	//
	// Load pattern: all servers of a large fleet are to be given layers at the same time.
	// Of 1,505 orders that a box with 0.85 of a core sent at once, 149 of the 161 whose end
	// was seen got no answer in time, and had to be sent again.
	mostOrders = 32
	// verifiedTime is for how long the store's word that this box gives the orders is
	// good for more of them.
	verifiedTime = time.Second
)

// verifyEvery is how often the elected box asks the store about its term when
// there is nothing to order, and it does not read the store otherwise: it must
// find out that the store turns it away before it has orders to give.
const verifyEvery = 3 * time.Second

// turnedAwayPause is between two questions of the elected box that the store
// did not answer.
const turnedAwayPause = time.Second

// place gives orders if this box is elected and something is to be done.
func (c *control) place(now time.Time) {
	if !c.mayOrder(now) {
		return
	}
	if len(c.queue) > 0 {
		// What was planned goes out before anything else is planned.
		if now.Sub(c.verifiedAt) >= verifiedTime {
			c.verify(nil)
		}

		return
	}
	orders := c.plan(now)
	if len(orders) == 0 && (c.box.reader.Load() || now.Sub(c.verifiedAt) < verifyEvery) {
		return
	}
	c.verify(orders)
}

// mayOrder reports whether it is this box's turn to plan and give orders.
func (c *control) mayOrder(now time.Time) bool {
	return c.elected() && !c.ordering && c.catalog != nil && !c.leaving && c.settled(now) && now.Sub(c.turnedAway) >= turnedAwayPause
}

// plan returns the orders that are due.
func (c *control) plan(now time.Time) []order {
	for id, p := range c.pending {
		if now.After(p.until) {
			delete(c.pending, id)
		}
	}
	orders := c.repeats(now)
	for i := range c.catalog.Services {
		s := &c.catalog.Services[i]
		if s.Model != nil {
			orders = append(orders, c.ordersFor(s, now)...)
		}
	}

	return orders
}

// verify asks the store whether this box still gives the orders, right before it gives
// some: a box that was paused may have been replaced meanwhile.
func (c *control) verify(orders []order) {
	c.ordering = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, electTime)
		defer cancel()
		t, _, err := elect.Current(ctx, c.box.platform.Election)
		c.box.tell(&verified{term: t, err: err, orders: orders})
	}()
}

// repeats returns the orders that are due again, since no answer came.
func (c *control) repeats(now time.Time) []order {
	var out []order
	for id, p := range c.pending {
		if s, ok := c.box.fleet.Server(id); ok && !p.again.IsZero() && now.After(p.again) {
			out = append(out, order{server: s, layers: p.layers, load: p.load, repeated: true})
		}
	}

	return out
}

// settled reports whether enough servers are known to assign layers.
func (c *control) settled(now time.Time) bool {
	return c.wasComplete || now.Sub(c.newServer) >= settleTime
}

// ripe drops empty servers that are to wait.
func (c *control) ripe(m *catalog.Model, holders []place.Holder, now time.Time) []place.Holder {
	if !c.wasComplete {
		return holders
	}

	lacking := place.Lacking(m, holders)

	return slices.DeleteFunc(slices.Clone(holders), func(h place.Holder) bool {
		wait := spareTime
		if lacking[h.Hall] {
			wait = addTime
		}

		return h.Layers.Len() == 0 && now.Sub(c.firstSeen[h.ID]) < wait
	})
}

// ordersFor returns the orders to the servers of a service. What two boxes have found dead
// counts as lost for those that hold nothing: its entry stands for some seconds more.
//
// Load pattern: a third of the servers crash and are back, empty, within half a second.
// Measured on 9 boxes before 38 servers: worth 0.514 and 0.495 in place of 0.426 and 0.432.
func (c *control) ordersFor(s *catalog.Service, now time.Time) []order {
	servers := make(map[slatebridge.ServerID]catalog.Server)
	var holders []place.Holder
	for _, v := range c.box.fleet.Servers() {
		if v.Service != s.Name || v.Leaving || v.Withdrawn || v.Layers.To > s.Model.Layers {
			continue
		}
		layers := v.Layers
		if p, ok := c.pending[v.ID]; ok {
			layers = p.layers
		} else if now.Sub(c.emptied[v.ID]) < orderAgain {
			continue
		}
		servers[v.ID] = v
		holders = append(holders, holderOf(v, layers))
	}
	slices.SortFunc(holders, func(a, b place.Holder) int { return compareIDs(a.ID, b.ID) })
	todo := place.Cover(s.Model, c.ripe(s.Model, without(holders, c.box.fleet.SurelyDead()), now))
	if len(todo) == 0 {
		todo = c.mend(s.Model, holders, now)
	}
	load := loadTime(s.Model, servers, slices.Concat(holders, todo))
	orders := make([]order, 0, len(todo))
	for _, h := range todo {
		orders = append(orders, order{server: servers[h.ID], layers: h.Layers, load: load})
	}

	return orders
}

// loadTime returns how long the servers take until they hold what they are to hold. The
// more of them load at once, the longer each takes.
//
// Load pattern: a thousand servers start, and fifteen load at once without slowing each
// other down. When orders not seen to be done within 8 s were given up, servers that still
// loaded were given other layers: 2,414 orders for 995 servers.
func loadTime(m *catalog.Model, servers map[slatebridge.ServerID]catalog.Server, shall []place.Holder) time.Duration {
	held := make([]place.Holder, 0, len(servers))
	for _, v := range servers {
		held = append(held, holderOf(v, v.Layers))
	}

	return place.LoadTime(m, held, shall)
}

// without returns the holders that are none of the servers.
func without(holders []place.Holder, servers []slatebridge.ServerID) []place.Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(h place.Holder) bool { return slices.Contains(servers, h.ID) })
}

func holderOf(s catalog.Server, layers slatebridge.LayerRange) place.Holder {
	return place.Holder{ID: s.ID, Hall: s.Hall, Card: s.Card, Layers: layers}
}

func compareIDs(a, b slatebridge.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// mend mends halls that have lacked layers for some time, and takes back what
// was mended so once it is needless. Servers that are taken as dead do not count.
func (c *control) mend(m *catalog.Model, holders []place.Holder, now time.Time) []place.Holder {
	dead := c.box.fleet.Suspects()
	alive := without(holders, dead)
	if len(place.Lacking(m, alive)) == 0 {
		c.lackingLayers, c.crashed = time.Time{}, nil
		if len(dead) > 0 {
			return nil
		}

		return c.improve(m, alive, now)
	}
	if c.lackingLayers.IsZero() {
		c.lackingLayers = now
	}
	if now.Sub(c.lackingLayers) < lackTime {
		return nil
	}
	if todo := place.Mend(m, alive); len(todo) > 0 {
		return c.unlessReturning(todo, now)
	}
	todo := c.unlessReturning(place.Shift(m, alive), now)
	if len(todo) > 0 && c.mayComeBack(m, holders, todo[0].Hall) && now.Sub(c.lackingLayers) < place.LoadTime(m, alive, todo)+c.box.handler.StreamTime() {
		// To wait as long as the cure takes costs at most twice as much as to know.
		return nil
	}

	return todo
}

// unlessReturning leaves out the orders for halls whose servers are coming back.
//
// Load pattern: a hall is cut off, and the entries of its servers lapse. Once the cut
// heals they return within a second and a half, one after the other. Mended meanwhile, a
// hall gave one server the layers of another that returned a moment later, and was left
// with 0.39 of its mean memory at the layers that the first one had given up; prompts
// went over the links to other halls, and first events took 1.4 s for as long as the day
// lasted.
func (c *control) unlessReturning(todo []place.Holder, now time.Time) []place.Holder {
	return slices.DeleteFunc(todo, func(h place.Holder) bool { return now.Sub(c.returned[h.Hall]) < lackTime })
}

// mayComeBack reports whether the hall would lack no layers if the servers that
// crashed came back. Those that have left do not.
func (c *control) mayComeBack(m *catalog.Model, holders []place.Holder, hall slatebridge.HallID) bool {
	return !place.Lacking(m, slices.Concat(holders, c.crashed))[hall]
}

// improve takes back what was mended, once nothing changes: that might make a
// move needless.
func (c *control) improve(m *catalog.Model, holders []place.Holder, now time.Time) []place.Holder {
	if c.improved[m.Name] || len(c.pending) > 0 || now.Sub(c.unsettledAt) < spareTime {
		return nil
	}
	todo := place.Improve(m, holders)
	c.improved[m.Name] = len(todo) == 0

	return todo
}

func (c *control) onVerified(m *verified) {
	c.ordering, c.verifiedAt = false, time.Now()
	if m.err != nil {
		c.onElectionFailed(m.err)

		return
	}
	c.adopt(m.term)
	if c.elected() && m.term.Token == 0 {
		// Another writer wrote over the record of this box's term, so that nothing shows
		// that it stands. It is won anew.
		event.Log(c.box.logger, event.ElectionLost, zap.Int64("token", c.term.Token), zap.String("why", "its record cannot be read"))
		c.term = elect.Term{Token: c.term.Token}
		c.dropOrders()
	}
	if !c.elected() || m.term != c.term {
		return
	}
	for _, o := range m.orders {
		c.pending[o.server.ID] = pendingOrder{layers: o.layers, load: o.load, until: time.Now().Add(orderAgain + o.load)}
		event.Log(c.box.logger, event.PlacementPlanned, zap.String("server", string(o.server.ID)),
			zap.String("card", o.server.Card), zap.String("hall", string(o.server.Hall)),
			zap.Stringer("from", o.server.Layers), zap.Stringer("to", o.layers), zap.Int64("token", c.term.Token))
	}
	c.queue = append(c.queue, m.orders...)
	c.sendOrders(time.Now())
}

// sendOrders sends as many of the planned orders as may be under way.
func (c *control) sendOrders(now time.Time) {
	for len(c.queue) > 0 && c.ordersOpen < mostOrders && c.elected() && now.Sub(c.verifiedAt) < verifiedTime {
		o := c.queue[0]
		c.queue = c.queue[1:]
		p, planned := c.pending[o.server.ID]
		if !planned || p.layers != o.layers {
			// The server has started again, or shows that it has the layers.
			continue
		}
		c.pending[o.server.ID] = pendingOrder{layers: o.layers, load: o.load, until: now.Add(orderAgain + o.load)}
		c.ordersOpen++
		go c.give(o, c.term.Token)
	}
}

// dropOrders forgets what was planned and not sent.
func (c *control) dropOrders() {
	for _, o := range c.queue {
		delete(c.pending, o.server.ID)
	}
	c.queue = nil
}

func (c *control) give(o order, token int64) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTime)
	defer cancel()
	report, err := c.box.handler.Ask(ctx, o.server)
	switch {
	case err != nil:
	case report.Busy && o.repeated:
		// It has had the order.
	case report.Busy:
		// It carries out one that this box does not know of, such as that of a box that
		// gave the orders before. To load other layers after those helps nobody.
		err = errors.Wrap(place.ErrRefused, "the server is busy with another order")
	default:
		err = c.box.platform.Load(ctx, Order{Server: o.server, Layers: o.layers, Token: token, Taken: report.Orders})
	}
	c.box.tell(&ordered{server: o.server.ID, layers: o.layers, err: err})
}

func (c *control) onOrdered(m *ordered) {
	c.ordersOpen--
	defer c.sendOrders(time.Now())
	if m.err == nil {
		event.Log(c.box.logger, event.OrderSent, zap.String("server", string(m.server)), zap.Stringer("layers", m.layers))

		return
	}
	event.Log(c.box.logger, event.OrderFailed, zap.String("server", string(m.server)), zap.Stringer("layers", m.layers), event.Error(m.err))
	p, ok := c.pending[m.server]
	switch {
	case !ok || errors.Is(m.err, place.ErrFenced):
	case errors.Is(m.err, place.ErrRefused):
		// The server is busy with an order of another box, or has changed.
		p.until = time.Now().Add(refusedAgain)
		c.pending[m.server] = p
	default:
		// It may be carried out late, so no other layers are chosen meanwhile.
		p.again = time.Now().Add(unansweredAgain)
		c.pending[m.server] = p
	}
	if errors.Is(m.err, place.ErrFenced) && c.elected() {
		// Another box has won since. Its term will be heard of; until then this
		// one gives no more orders.
		event.Log(c.box.logger, event.ElectionLost, zap.Int64("token", c.term.Token), zap.String("why", "a server has seen a newer token"))
		c.term = elect.Term{Token: c.term.Token}
		c.dropOrders()
	}
}
