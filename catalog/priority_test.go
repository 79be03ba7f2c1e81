package catalog

import "testing"

func TestPriority(t *testing.T) {
	route := &Route{Priority: 2}
	for name, c := range map[string]struct {
		account *Account
		want    int
	}{
		"anonymous":                     {nil, 2},
		"account without a priority":    {&Account{}, 2},
		"account with its own priority": {&Account{Priority: 0, HasPriority: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Priority(route, c.account); got != c.want {
				t.Errorf("priority %d, want %d", got, c.want)
			}
		})
	}
}

func TestPrioritized(t *testing.T) {
	route := func(service string, priority int) Route {
		return Route{Priority: priority, TrafficSplit: []WeightedService{{Service: service, Weight: 1}}}
	}
	anonymous := func(r Route) Route {
		r.AllowAnonymous = true

		return r
	}
	for name, c := range map[string]struct {
		routes        []Route
		accounts      []Account
		requireAPIKey bool
		want          bool
	}{
		"one priority":                     {[]Route{route("a", 1), route("a", 1)}, nil, false, false},
		"two priorities at two services":   {[]Route{route("a", 1), route("b", 2)}, nil, false, false},
		"two priorities at one service":    {[]Route{route("a", 1), route("a", 2)}, nil, false, true},
		"an account with another priority": {[]Route{route("a", 1)}, []Account{{Priority: 0, HasPriority: true}}, false, true},
		"an account with the same one":     {[]Route{route("a", 1)}, []Account{{Priority: 1, HasPriority: true}}, false, false},
		"all accounts have one priority":   {[]Route{route("a", 1)}, []Account{{Priority: 0, HasPriority: true}}, true, false},
		"accounts of two priorities":       {[]Route{route("a", 1)}, []Account{{Priority: 0, HasPriority: true}, {Priority: 2, HasPriority: true}}, true, true},
		"one account without a priority":   {[]Route{route("a", 1)}, []Account{{Priority: 0, HasPriority: true}, {}}, true, true},
		"a route for anonymous requests":   {[]Route{anonymous(route("a", 1))}, []Account{{Priority: 0, HasPriority: true}}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			cat := New(1, Limits{}, c.routes, []Service{{Name: "a"}, {Name: "b"}}, c.accounts, c.requireAPIKey)
			if got := cat.Prioritized("a"); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
