package controller

import (
	"context"

	"github.com/slatebridge/slatebridge/assign"
)

// sendOrders sends the orders that the actor offers, one round after another.
func (c *Controller) sendOrders(ctx context.Context) {
	sender := assign.OrderSender{Engines: c.engines, Logger: c.logger, CurrentLease: c.heldLease}
	for {
		select {
		case <-ctx.Done():
			return
		case orders := <-c.orders:
			for _, o := range orders {
				sender.Send(ctx, o)
			}
			// Probes need this time to see the effect of these orders. Orders that were planned
			// before that may already wait in the channel; they are sent next nevertheless.
			sleep(ctx, 2*probeInterval)
		}
	}
}
