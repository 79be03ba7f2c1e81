package relay_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/relay"
)

// candidates returns boxes with links of the given rates.
func candidates(links ...float64) []relay.Candidate {
	out := make([]relay.Candidate, 0, len(links))
	for i, link := range links {
		out = append(out, relay.Candidate{Box: slatebridge.BoxID(fmt.Sprint("box-", i)), Link: link})
	}

	return out
}

func TestBest(t *testing.T) {
	list := candidates(1, 5, 3, 5)
	best := relay.Best(list, 3)
	if best[0].Link != 5 || best[1].Link != 5 || best[2].Link != 3 {
		t.Errorf("best: %v", best)
	}
	t.Run("the order does not depend on that of the list", func(t *testing.T) {
		turned := []relay.Candidate{list[3], list[2], list[1], list[0]}
		if diff := cmp.Diff(best, relay.Best(turned, 3)); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("there may be fewer", func(t *testing.T) {
		if n := len(relay.Best(list[:1], relay.Count)); n != 1 {
			t.Errorf("%d of one", n)
		}
	})
	t.Run("a box's rank is how many are better", func(t *testing.T) {
		for i, c := range relay.Best(list, len(list)) {
			if n := relay.Rank(c, list); n != i {
				t.Errorf("%s has rank %d, want %d", c.Box, n, i)
			}
		}
	})
}

func ExampleBest() {
	list := []relay.Candidate{{Box: "box-1", Link: 2.5e6}, {Box: "box-2", Link: 25e6}, {Box: "box-3", Link: 25e6}}
	for _, c := range relay.Best(list, relay.Count) {
		fmt.Println(c.Link)
	}
	// Output:
	// 2.5e+07
	// 2.5e+07
}
