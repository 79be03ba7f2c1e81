package catalog

import (
	"testing"
)

func testCatalog() *Catalog {
	return New(3, Limits{}, []Route{
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, []Service{{Name: "s"}}, []Account{{Name: "shop", APIKeys: []string{"k1", "k2"}}}, true)
}

func TestRoute(t *testing.T) {
	c := testCatalog()
	for _, v := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"B.EXAMPLE", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		t.Run(v.host+v.path, func(t *testing.T) {
			got := ""
			if r := c.Route(v.host, v.path); r != nil {
				got = r.Name
			}
			if got != v.want {
				t.Errorf("route %q, want %q", got, v.want)
			}
		})
	}
}

func TestAccount(t *testing.T) {
	c := testCatalog()
	if a := c.Account("k2"); a == nil || a.Name != "shop" {
		t.Errorf("API key k2: got account %v, want shop", a)
	}
	if a := c.Account(""); a != nil {
		t.Errorf("empty API key: got account %v, want none", a)
	}
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	r := Route{TrafficSplit: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := make(map[string]int)
	for i := range 100 {
		counts[r.ChooseService(float64(i)/100)]++
	}
	if counts["a"] != 90 || counts["b"] != 10 {
		t.Errorf("requests per service: %v, want 90 for a and 10 for b", counts)
	}
	if (&Route{}).ChooseService(0.5) != "" {
		t.Error("a route without a traffic split chose a service")
	}
}

func TestTokenLayerCapacity(t *testing.T) {
	m := &Model{Layers: 80, LayerMB: 1750, KVBytesPerToken: 459000}
	a := Accelerator{MemoryMB: 14400}
	// The platform's servers report the same capacity when no layers are loaded.
	if got := int(m.TokenLayerCapacity(a, 0)); got != 2509803 {
		t.Errorf("an accelerator without layers has a capacity of %d tokens x layers, want 2509803", got)
	}
	if m.TokenLayerCapacity(a, 9) != 0 {
		t.Error("an accelerator without free memory has a capacity above zero")
	}
}

func TestHasRoute(t *testing.T) {
	routes := []Route{
		{Host: "a", Resumable: true, TrafficSplit: []WeightedService{{Service: "llm", Weight: 1}, {Service: "new", Weight: 1}}},
		{Host: "b", TrafficSplit: []WeightedService{{Service: "till", Weight: 1}}},
	}
	c := New(1, Limits{}, routes, nil, nil, false)
	for service, want := range map[string]bool{"llm": true, "new": true, "till": false, "none": false} {
		if got := c.HasRoute(service, func(r *Route) bool { return r.Resumable }); got != want {
			t.Errorf("%s: %t, want %t", service, got, want)
		}
	}
}
