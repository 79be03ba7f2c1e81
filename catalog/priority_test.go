package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func routeTo(service string, priority int) Route {
	return Route{Priority: priority, TrafficSplit: []WeightedService{{Service: service, Weight: 1}}}
}

func newWithPriorities(routes []Route, accounts []Account) *Catalog {
	return New(1, Limits{}, routes, []Service{{Name: "a"}, {Name: "b"}}, accounts, len(accounts) > 0)
}

func TestPriority(t *testing.T) {
	routes := []Route{routeTo("a", 0), routeTo("a", 2)}
	for name, c := range map[string]struct {
		accounts []Account
		// want has the priorities of the requests of each account on each route.
		want [][]int
	}{
		"accounts without a priority":          {[]Account{{}}, [][]int{{0, 1}}},
		"accounts alike: the route decides":    {[]Account{{Priority: 1, HasPriority: true}, {Priority: 1, HasPriority: true}}, [][]int{{0, 1}, {0, 1}}},
		"the account decides before the route": {[]Account{{Priority: 1, HasPriority: true}, {Priority: 0, HasPriority: true}}, [][]int{{2, 3}, {0, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			cat := newWithPriorities(routes, c.accounts)
			var got [][]int
			for i := range c.accounts {
				var of []int
				for j := range routes {
					of = append(of, cat.Priority("a", &routes[j], &c.accounts[i]))
				}
				got = append(got, of)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPrioritized(t *testing.T) {
	for name, c := range map[string]struct {
		routes   []Route
		accounts []Account
		want     bool
	}{
		"one priority":                      {[]Route{routeTo("a", 1), routeTo("a", 1)}, nil, false},
		"two priorities at two services":    {[]Route{routeTo("a", 1), routeTo("b", 2)}, nil, false},
		"two priorities at one service":     {[]Route{routeTo("a", 1), routeTo("a", 2)}, nil, true},
		"accounts of two priorities":        {[]Route{routeTo("a", 1)}, []Account{{Priority: 0, HasPriority: true}, {Priority: 1, HasPriority: true}}, true},
		"accounts of one priority":          {[]Route{routeTo("a", 2)}, []Account{{Priority: 1, HasPriority: true}}, false},
		"one account with, one without":     {[]Route{routeTo("a", 2)}, []Account{{Priority: 1, HasPriority: true}, {}}, true},
		"routes differ, accounts are alike": {[]Route{routeTo("a", 1), routeTo("a", 2)}, []Account{{Priority: 1, HasPriority: true}}, true},
		"nothing is before the service":     {[]Route{routeTo("b", 1), routeTo("b", 2)}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newWithPriorities(c.routes, c.accounts).Prioritized("a"); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
