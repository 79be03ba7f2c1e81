package assign

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/lease"
)

// OrderTimeout bounds the time for sending one order.
const OrderTimeout = 2 * time.Second

// unfencedServerDelay is how long a new lease holder waits before it sends orders to servers that
// do not check fencing tokens. By then, the lease of any earlier holder has expired, and any order
// that it sent at the last moment has timed out.
const unfencedServerDelay = lease.TTL + OrderTimeout

// Order is an assignment that an engine does not hold yet.
type Order struct {
	Server     slatebridge.BackendServer
	Assignment Assignment
}

// PendingOrders returns the orders for the assignments of the plan that the servers do not hold
// yet.
func PendingOrders(plan []Assignment, servers []slatebridge.BackendServer, holds func(slatebridge.ServerID) engine.State) []Order {
	byID := make(map[slatebridge.ServerID]slatebridge.BackendServer, len(servers))
	for _, s := range servers {
		byID[s.ID] = s
	}
	var orders []Order
	for _, a := range plan {
		s, ok := byID[a.Server]
		if ok && !isFulfilled(a, holds(a.Server)) {
			orders = append(orders, Order{Server: s, Assignment: a})
		}
	}

	return orders
}

// isFulfilled reports whether the held state satisfies the assignment. Additional adapters are
// allowed.
func isFulfilled(a Assignment, held engine.State) bool {
	if a.Model != held.Model || a.Layers != held.Layers {
		return false
	}
	for _, name := range a.Adapters {
		if !slices.Contains(held.Adapters, name) {
			return false
		}
	}

	return true
}

// OrderSender sends orders under a lease.
type OrderSender struct {
	Engines engine.Client
	Logger  *zap.Logger
	// CurrentLease returns the lease, and whether it is held at this moment.
	CurrentLease func() (lease.Lease, bool)
}

// Send sends the order if the lease is held and, for a server that does not check fencing tokens,
// has been held for unfencedServerDelay. It reports whether the engine accepted the order. The
// process may be paused between the check and the send; engines that check fencing tokens then
// reject the order.
func (s OrderSender) Send(ctx context.Context, o Order) bool {
	current, ok := s.CurrentLease()
	if !ok {
		s.logNotSent(o, "the lease is not held")

		return false
	}
	if !o.Server.ChecksFencingTokens && clock.Since(current.AcquiredAt) < unfencedServerDelay {
		s.logNotSent(o, "the server does not check fencing tokens, and an order of an earlier lease holder may still be in flight")

		return false
	}
	ctx, cancel := clock.WithDeadline(ctx, earlier(current.ExpiresAt, clock.Now().Add(OrderTimeout)))
	defer cancel()
	event.Log(s.Logger, event.OrderSent, append(orderFields(o), zap.Int64("token", current.FencingToken))...)
	err := s.Engines.SendOrder(ctx, o.Server.URL, engine.Order{
		FencingToken: current.FencingToken,
		Model:        o.Assignment.Model,
		Layers:       o.Assignment.Layers,
		Adapters:     o.Assignment.Adapters,
	})
	if err != nil {
		event.Log(s.Logger, event.OrderFailed, append(orderFields(o), event.Error(err))...)
	}

	return err == nil
}

// logNotSent logs why the order was not sent.
func (s OrderSender) logNotSent(o Order, why string) {
	event.Log(s.Logger, event.OrderHeld, append(orderFields(o), zap.String("why", why))...)
}

func orderFields(o Order) []zap.Field {
	return []zap.Field{
		zap.String("server", string(o.Server.ID)),
		zap.Stringer("model", o.Assignment.Model),
		zap.Stringer("layers", o.Assignment.Layers),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
