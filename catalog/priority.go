package catalog

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

// prioritizedServices returns the services before which the routes and accounts have more than one
// priority. Any account may use any route.
func prioritizedServices(routes []Route, accounts []Account) map[string]bool {
	first := make(map[string]int)
	out := make(map[string]bool)
	note := func(service string, priority int) {
		if p, ok := first[service]; !ok {
			first[service] = priority
		} else if p != priority {
			out[service] = true
		}
	}
	for i := range routes {
		for _, s := range routes[i].TrafficSplit {
			note(s.Service, routes[i].Priority)
		}
	}
	for i := range accounts {
		if !accounts[i].HasPriority {
			continue
		}
		for service := range first {
			note(service, accounts[i].Priority)
		}
	}

	return out
}
