package catalog

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge/priority"
)

// priorityPair is the priority of a client account and that of a route, 0 for the most urgent.
type priorityPair struct {
	account, route int
}

// newPriorityPair returns the priorities of a request. The route's counts for both if the account,
// which is nil for an anonymous request, has none.
func newPriorityPair(r *Route, a *Account) priorityPair {
	if a != nil && a.HasPriority {
		return priorityPair{account: a.Priority, route: r.Priority}
	}

	return priorityPair{account: r.Priority, route: r.Priority}
}

func comparePriorities(a, b priorityPair) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
}

// Priority returns the priority of a request to the service among all that the configuration has
// for it: 0 for the most urgent, and one more for each less urgent one. The client account's
// priority decides first, then the route's. The account is nil for an anonymous request.
func (c *Catalog) Priority(service string, r *Route, a *Account) int {
	i, _ := slices.BinarySearchFunc(c.priorities[service], newPriorityPair(r, a), comparePriorities)

	return i
}

// Prioritized reports whether the configuration has requests of more than one priority for the
// service.
func (c *Catalog) Prioritized(service string) bool { return len(c.priorities[service]) > 1 }

// HasClasses reports whether the configuration has streams of more than one class for the service.
func (c *Catalog) HasClasses(service string) bool { return len(c.classes[service]) > 1 }

// Class returns the rank of a stream to the service among the priorities of all streams that the
// configuration has for it, 0 for the most urgent. If there are more of them than priority.Classes,
// only those of the accounts count.
func (c *Catalog) Class(service string, r *Route, a *Account) int {
	p, classes := newPriorityPair(r, a), c.classes[service]
	if c.classesByAccount[service] {
		p.route = 0
	}
	i, _ := slices.BinarySearchFunc(classes, p, comparePriorities)

	return i
}

// SameClasses reports whether the other configuration has the same classes for the service.
func (c *Catalog) SameClasses(o *Catalog, service string) bool {
	return slices.Equal(c.classes[service], o.classes[service])
}

// setClasses sets the classes of the streams for each service.
func (c *Catalog) setClasses(routes []Route, accounts []Account) {
	streams := make([]Route, 0, len(routes))
	for _, r := range routes {
		if r.Kind == Stream {
			r.TrafficSplit = slices.DeleteFunc(slices.Clone(r.TrafficSplit), func(s WeightedService) bool { return s.Weight <= 0 })
			streams = append(streams, r)
		}
	}
	c.classes, c.classesByAccount = prioritiesByService(streams, accounts, c.RequireAPIKey), make(map[string]bool)
	for service, pairs := range c.classes {
		if len(pairs) <= priority.Classes {
			continue
		}
		for i := range pairs {
			pairs[i].route = 0
		}
		c.classes[service], c.classesByAccount[service] = slices.Compact(pairs), true
	}
}

// prioritiesByService returns the priorities of the requests for each service, the most urgent
// first. Any account may use any route.
func prioritiesByService(routes []Route, accounts []Account, requireAPIKey bool) map[string][]priorityPair {
	distinct := make(map[int]*Account)
	for i := range accounts {
		if accounts[i].HasPriority {
			distinct[accounts[i].Priority] = &accounts[i]
		}
	}
	needsAccount := requireAPIKey && allHavePriority(accounts)
	out := make(map[string][]priorityPair)
	for i := range routes {
		r := &routes[i]
		var pairs []priorityPair
		if !needsAccount || r.AllowAnonymous {
			pairs = append(pairs, newPriorityPair(r, nil))
		}
		for _, a := range distinct {
			pairs = append(pairs, newPriorityPair(r, a))
		}
		for _, s := range r.TrafficSplit {
			out[s.Service] = addPriorities(out[s.Service], pairs)
		}
	}

	return out
}

// allHavePriority reports whether there are accounts and all have a priority of their own.
func allHavePriority(accounts []Account) bool {
	return len(accounts) > 0 && !slices.ContainsFunc(accounts, func(a Account) bool { return !a.HasPriority })
}

// addPriorities adds the missing ones to a sorted list.
func addPriorities(sorted, pairs []priorityPair) []priorityPair {
	for _, p := range pairs {
		if i, found := slices.BinarySearchFunc(sorted, p, comparePriorities); !found {
			sorted = slices.Insert(sorted, i, p)
		}
	}

	return sorted
}
