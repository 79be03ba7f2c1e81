package box

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/place"
)

// Delays before the planner reacts to a state that may still change.
const (
	// settleDelay is how long ago the latest new server must have appeared before layers are first
	// assigned. Servers that start together appear within three seconds, and one plan for all of
	// them is better than one for each.
	settleDelay = time.Second
	// newServerDelay is how long a server must be known before it is given layers that its hall
	// lacks, once every model has had all its layers (everComplete).
	newServerDelay = 200 * time.Millisecond
	// spareServerDelay is the same in a hall that lacks no layers. When servers are replaced, the
	// new one appears about a second before the old one leaves, and is best given the layers of the
	// old one.
	spareServerDelay = 1500 * time.Millisecond
	// repairDelay is how long a hall must lack layers before servers that hold other layers are
	// reassigned to them, so that a false suspicion does not cause a repair. It is not meant to
	// wait for crashed servers: they usually come back empty, so that their layers must be loaded
	// anew in any case (for the wait before a redistribution see mayRecover). It is also how long a
	// hall is not repaired after a server that holds layers has appeared there (see
	// withoutReturningHalls).
	repairDelay = 700 * time.Millisecond
)

// plan returns the orders that are due.
func (c *control) plan(now time.Time) []plannedOrder {
	for id, p := range c.pendingOrders {
		if now.After(p.expiresAt) {
			delete(c.pendingOrders, id)
		}
	}
	orders := c.retriesDue(now)
	for i := range c.catalog.Services {
		s := &c.catalog.Services[i]
		if s.Model != nil {
			orders = append(orders, c.ordersFor(s, now)...)
		}
	}

	return orders
}

// retriesDue returns the orders to be repeated because they got no answer.
func (c *control) retriesDue(now time.Time) []plannedOrder {
	var out []plannedOrder
	for id, p := range c.pendingOrders {
		if s, ok := c.box.fleet.Server(id); ok && !p.retryAt.IsZero() && now.After(p.retryAt) {
			out = append(out, plannedOrder{server: s, layers: p.layers, loadTime: p.loadTime, retried: true})
		}
	}

	return out
}

// settled reports whether layers may be assigned: every model has once had all its layers, or no
// new server has appeared for settleDelay.
func (c *control) settled(now time.Time) bool {
	return c.everComplete || now.Sub(c.lastNewServerAt) >= settleDelay
}

// assignable drops empty servers that appeared too recently to be given layers.
func (c *control) assignable(m *catalog.Model, servers []place.Server, now time.Time) []place.Server {
	if !c.everComplete {
		return servers
	}

	lacking := place.IncompleteHalls(m, servers)

	return slices.DeleteFunc(slices.Clone(servers), func(h place.Server) bool {
		delay := spareServerDelay
		if lacking[h.Hall] {
			delay = newServerDelay
		}

		return h.Layers.Len() == 0 && now.Sub(c.firstSeenAt[h.ID]) < delay
	})
}

// ordersFor returns the orders for the servers of a service. For the assignment of empty servers,
// servers that two boxes have found dead count as lost although their entries last some seconds
// more.
//
// If a third of the servers crash and restart empty within half a second, they get the layers of
// the dead ones at once, and not only after those entries have lapsed.
func (c *control) ordersFor(s *catalog.Service, now time.Time) []plannedOrder {
	byID := make(map[slatebridge.ServerID]catalog.Server)
	var servers []place.Server
	for _, v := range c.box.fleet.Servers() {
		if v.Service != s.Name || v.Leaving || v.EntryInvalid || v.Layers.To > s.Model.Layers {
			continue
		}
		layers := v.Layers
		if p, ok := c.pendingOrders[v.ID]; ok {
			layers = p.layers
		} else if now.Sub(c.unloadedAt[v.ID]) < replanDelay {
			continue
		}
		byID[v.ID] = v
		servers = append(servers, toPlannerServer(v, layers))
	}
	slices.SortFunc(servers, func(a, b place.Server) int { return compareIDs(a.ID, b.ID) })
	targets := place.AssignEmpty(s.Model, c.assignable(s.Model, withoutServers(servers, c.box.fleet.ConfirmedSuspects()), now))
	if len(targets) == 0 {
		targets = c.repair(s.Model, servers, now)
	}
	if len(targets) == 0 {
		return nil
	}
	duration := loadTime(s.Model, byID, slices.Concat(servers, targets))
	orders := make([]plannedOrder, 0, len(targets))
	for _, h := range targets {
		orders = append(orders, plannedOrder{server: byID[h.ID], layers: h.Layers, loadTime: duration})
	}

	return orders
}

// loadTime returns the expected time until the servers hold their target layers. The more of them
// load at once, the longer each takes.
//
// With a fixed timeout of 8 s, servers that are still loading would be given other layers: 2,414
// orders for 995 servers when fifteen at a time load at full speed.
func loadTime(m *catalog.Model, servers map[slatebridge.ServerID]catalog.Server, targets []place.Server) time.Duration {
	current := make([]place.Server, 0, len(servers))
	for _, v := range servers {
		current = append(current, toPlannerServer(v, v.Layers))
	}

	return place.EstimateLoadTime(m, current, targets)
}

// withoutServers returns the servers that are not among the excluded ones.
func withoutServers(servers []place.Server, excluded []slatebridge.ServerID) []place.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(h place.Server) bool { return slices.Contains(excluded, h.ID) })
}

// toPlannerServer returns a server as the planner sees it, with the given layers.
func toPlannerServer(s catalog.Server, layers slatebridge.LayerRange) place.Server {
	return place.Server{ID: s.ID, Hall: s.Hall, Accelerator: s.Accelerator, Layers: layers}
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

// repair reassigns layers in halls that have lacked some for repairDelay, and undoes this once it
// is no longer needed. The layers of suspect servers count as lost.
func (c *control) repair(m *catalog.Model, servers []place.Server, now time.Time) []place.Server {
	suspects := c.box.fleet.Suspects()
	alive := withoutServers(servers, suspects)
	if len(place.IncompleteHalls(m, alive)) == 0 {
		c.layersMissingSince, c.crashedHolders = time.Time{}, nil
		if len(suspects) > 0 {
			return nil
		}

		return c.rebalance(m, alive, now)
	}
	if c.layersMissingSince.IsZero() {
		c.layersMissingSince = now
	}
	if now.Sub(c.layersMissingSince) < repairDelay {
		return nil
	}
	if targets := place.Repair(m, alive); len(targets) > 0 {
		return c.withoutReturningHalls(targets, now)
	}
	targets := c.withoutReturningHalls(place.Redistribute(m, alive), now)
	if len(targets) > 0 && c.mayRecover(m, servers, targets[0].Hall) && now.Sub(c.layersMissingSince) < place.EstimateLoadTime(m, alive, targets)+c.box.handler.StreamDurationP95() {
		// Wait at most as long as the reassignment itself would take; the layers are then missing
		// for at most twice the shortest possible time.
		return nil
	}

	return targets
}

// withoutReturningHalls drops the orders for halls whose servers are coming back.
//
// When a hall is cut off, the entries of its servers lapse, and once the network recovers the
// servers return one by one within 1.5 s. A repair in between gives one server the layers of
// another that returns a moment later, and leaves too little KV-cache memory on the remaining
// servers of the layers that the first one gave up (as little as 0.39 of the hall's mean).
// Prompts then cross the links to other halls, and the first event of a response takes 1.4 s.
func (c *control) withoutReturningHalls(targets []place.Server, now time.Time) []place.Server {
	return slices.DeleteFunc(targets, func(h place.Server) bool { return now.Sub(c.lastReturnAt[h.Hall]) < repairDelay })
}

// mayRecover reports whether the hall would lack no layers if the servers that crashed came back.
// Servers that have left do not come back. Each crashed server counts with its former layers: it
// still holds them if it was only unreachable, and can be assigned them again if it comes back
// empty.
func (c *control) mayRecover(m *catalog.Model, servers []place.Server, hall slatebridge.HallID) bool {
	return !place.IncompleteHalls(m, slices.Concat(servers, c.crashedHolders))[hall]
}

// rebalance undoes repairs once the fleet is stable: a further change might make a move needless.
func (c *control) rebalance(m *catalog.Model, servers []place.Server, now time.Time) []place.Server {
	if c.rebalanced[m.Name] || len(c.pendingOrders) > 0 || now.Sub(c.topologyChangedAt) < spareServerDelay {
		return nil
	}
	targets := place.Rebalance(m, servers)
	c.rebalanced[m.Name] = len(targets) == 0

	return targets
}
