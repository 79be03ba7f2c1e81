package place

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// coverModel is the model of the first two deployments.
func coverModel() *catalog.Model {
	return &catalog.Model{
		Layers: 80, LayerMB: 1750, TokenBytes: 459000,
		Cards: []catalog.Card{{Name: "a100s", MemoryMB: 36000}, {Name: "l4", MemoryMB: 21600}, {Name: "t4", MemoryMB: 14400}},
	}
}

// coverServers are the servers of three halls of the first deployments.
func coverServers() []Holder {
	var out []Holder
	counts := [][3]int{{3, 3, 5}, {1, 5, 8}, {1, 7, 5}}
	for i, hall := range []string{"a", "b", "c"} {
		n := counts[i]
		for kind, card := range []string{"a100s", "l4", "t4"} {
			for i := range n[kind] {
				out = append(out, Holder{ID: slatebridge.ServerID(fmt.Sprintf("%s-%s-%d", hall, card, i)), Hall: slatebridge.HallID(hall), Card: card})
			}
		}
	}

	return out
}

// checkRanges fails the test if a server is to hold more than fits.
func checkRanges(t interface{ Errorf(string, ...any) }, m *catalog.Model, servers []Holder) {
	for _, s := range servers {
		c, _ := m.Card(s.Card)
		if s.Layers.From < 0 || s.Layers.To > m.Layers || float64(s.Layers.Len())*m.LayerMB > c.MemoryMB {
			t.Errorf("%s is to hold %s", s.ID, s.Layers)
		}
	}
}

func TestCover(t *testing.T) {
	m := coverModel()
	servers := given(coverServers(), Cover(m, coverServers()))
	checkRanges(t, m, servers)
	for _, hall := range []slatebridge.HallID{"a", "b", "c"} {
		if Lacking(m, servers)[hall] {
			t.Errorf("hall %s lacks layers", hall)
		}
	}
	t.Run("servers that hold layers keep them", func(t *testing.T) {
		if again := Cover(m, servers); len(again) != 0 {
			t.Errorf("%d servers are ordered again", len(again))
		}
	})
	t.Run("nothing is to be mended", func(t *testing.T) {
		if moves := Mend(m, servers); len(moves) != 0 {
			t.Errorf("%d servers are moved", len(moves))
		}
	})
	t.Run("a card of no known kind gets nothing", func(t *testing.T) {
		if got := Cover(m, []Holder{{ID: "x", Hall: "a", Card: "unknown"}}); len(got) != 0 {
			t.Errorf("got %v", got)
		}
	})
}

// TestMendAfterLosses takes servers away at random. As long as the rest of a
// hall has room for all layers, the hall is whole again after a few rounds,
// with no server beyond its memory.
func TestMendAfterLosses(t *testing.T) {
	m := coverModel()
	rapid.Check(t, func(t *rapid.T) {
		servers := given(coverServers(), Cover(m, coverServers()))
		for range rapid.IntRange(1, 2).Draw(t, "losses") {
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "lost")
			servers = append(servers[:i:i], servers[i+1:]...)
		}
		for range 8 {
			servers = given(servers, Mend(m, servers))
		}
		for range 3 {
			servers = given(servers, Shift(m, servers))
		}
		checkRanges(t, m, servers)
		room := make(map[slatebridge.HallID]int)
		for _, s := range servers {
			c, _ := m.Card(s.Card)
			room[s.Hall] += min(s.Layers.Len()+1, mostLayers(m, c))
		}
		for _, hall := range []slatebridge.HallID{"a", "b", "c"} {
			const spare = 6 // layers; exact fits may need more than one round of growth
			if room[hall] >= m.Layers+spare && Lacking(m, servers)[hall] {
				t.Errorf("hall %s has room for %d layers and lacks some", hall, room[hall])
			}
		}
	})
}

func TestCopies(t *testing.T) {
	m := coverModel()
	t.Run("a hall that can hold the model once does", func(t *testing.T) {
		for _, group := range homes(m, coverServers()) {
			if n := Copies(m, group.servers); n != 1 {
				t.Errorf("hall %s: %d copies", group.servers[0].Hall, n)
			}
		}
	})
	t.Run("a single hall holds the model twice if it can", func(t *testing.T) {
		var one []Holder
		for i := range 16 {
			one = append(one, Holder{ID: slatebridge.ServerID(fmt.Sprint(i)), Hall: "a", Card: "a100s"})
		}
		for l, n := range copiesIn(m, given(one, Cover(m, one))) {
			if n != 2 {
				t.Errorf("layer %d has %d copies", l, n)
			}
		}
	})
	t.Run("halls that cannot hold the model alone hold it together", func(t *testing.T) {
		var small []Holder
		for i := range 12 {
			small = append(small, Holder{ID: slatebridge.ServerID(fmt.Sprint(i)), Hall: slatebridge.HallID(fmt.Sprint(i % 4)), Card: "l4"})
		}
		for l, n := range copiesIn(m, given(small, Cover(m, small))) {
			if n == 0 {
				t.Errorf("layer %d has no copy", l)
			}
		}
	})
}
