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

func TestClasses(t *testing.T) {
	stream := func(priority, weight int) Route {
		return Route{Kind: Stream, Priority: priority, TrafficSplit: []WeightedService{{Service: "a", Weight: weight}}}
	}
	// many has more pairs of priorities than there are classes.
	many := []Route{stream(0, 1), stream(1, 1), stream(2, 1), stream(3, 1), stream(4, 1), stream(5, 1)}
	urgent, deferrable := Account{Priority: 0, HasPriority: true}, Account{Priority: 1, HasPriority: true}
	for name, c := range map[string]struct {
		routes   []Route
		accounts []Account
		// want has the classes of the requests of each account on each route; nil if there is only one.
		want [][]int
	}{
		"streams of two priorities":                 {[]Route{stream(0, 1), stream(2, 1)}, []Account{{}}, [][]int{{0, 1}}},
		"streams of one priority and other calls":   {[]Route{stream(0, 1), routeTo("a", 2)}, []Account{{}}, nil},
		"a route without weight":                    {[]Route{stream(0, 1), stream(2, 0)}, []Account{{}}, nil},
		"other calls have no part in the order":     {[]Route{routeTo("a", 0), stream(1, 1), stream(2, 1)}, []Account{{}}, [][]int{{0, 0, 1}}},
		"more pairs than classes: the account only": {many, []Account{urgent, deferrable}, [][]int{{0, 0, 0, 0, 0, 0}, {1, 1, 1, 1, 1, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			cat := newWithPriorities(c.routes, c.accounts)
			var got [][]int
			for i := range c.accounts {
				var of []int
				for j := range c.routes {
					of = append(of, cat.Class("a", &c.routes[j], &c.accounts[i]))
				}
				got = append(got, of)
			}
			if !cat.HasClasses("a") {
				got = nil
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSameClasses(t *testing.T) {
	stream := func(service string, priority int) Route {
		r := routeTo(service, priority)
		r.Kind = Stream

		return r
	}
	before := newWithPriorities([]Route{stream("a", 0), stream("a", 1)}, nil)
	for name, c := range map[string]struct {
		routes []Route
		want   bool
	}{
		"the same":          {[]Route{stream("a", 1), stream("a", 0), stream("b", 2)}, true},
		"another one":       {[]Route{stream("a", 0), stream("a", 2)}, false},
		"one in between":    {[]Route{stream("a", 0), stream("a", 1), stream("a", 2)}, false},
		"no route to there": {[]Route{stream("b", 0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newWithPriorities(c.routes, nil).SameClasses(before, "a"); got != c.want {
				t.Errorf("got %t", got)
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
