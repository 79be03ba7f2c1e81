package catalog

import "slices"

// Priority returns the priority of a request on the route, 0 for the most urgent: that of the client
// account if it has one, else that of the route. The account is nil for an anonymous request.
func Priority(r *Route, a *Account) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}

	return r.Priority
}

// Prioritized reports whether the configuration has requests of more than one priority before the
// service.
func (c *Catalog) Prioritized(service string) bool { return c.prioritized[service] }

// prioritizedServices returns the services before which there may be requests of more than one
// priority. Any account may use any route. The priority of a route counts only if there may be
// requests that have no other: anonymous ones, or those of an account without a priority.
func prioritizedServices(routes []Route, accounts []Account, requireAPIKey bool) map[string]bool {
	first := make(map[string]int)
	out := make(map[string]bool)
	needsRoute := !requireAPIKey || slices.ContainsFunc(accounts, func(a Account) bool { return !a.HasPriority })
	note := func(service string, priority int) {
		if p, ok := first[service]; !ok {
			first[service] = priority
		} else if p != priority {
			out[service] = true
		}
	}
	for i := range routes {
		for _, s := range routes[i].TrafficSplit {
			if needsRoute || routes[i].AllowAnonymous {
				note(s.Service, routes[i].Priority)
			}
			for j := range accounts {
				if accounts[j].HasPriority {
					note(s.Service, accounts[j].Priority)
				}
			}
		}
	}

	return out
}
