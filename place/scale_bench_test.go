package place

import (
	"fmt"
	"slices"
	"testing"
)

// largeFleet returns so many servers in five halls, as mixed as those of a fleet of
// hundreds of boxes: a tenth large cards, the others middle and small.
func largeFleet(n int) []Holder {
	const halls = 5
	var servers []Holder
	for i := range halls {
		each := n / halls
		servers = append(servers, mixedHall(string(rune('a'+i)), each/10, each*4/10, each-each/10-each*4/10)...)
	}

	return servers
}

// halfGiven returns the servers of which every other one has been placed.
func halfGiven(servers, placed []Holder) []Holder {
	out := slices.Clone(servers)
	for i := range out {
		if i%2 == 0 {
			out[i] = placed[i]
		}
	}

	return out
}

// BenchmarkRound measures what the box that gives orders does in a round: a look at
// what is lacking, and plans for one server that comes and for one that is lost.
func BenchmarkRound(b *testing.B) {
	m := mixedModel()
	for _, n := range []int{230, 1000, 3000, 5700} {
		servers := largeFleet(n)
		placed := given(servers, Cover(m, servers))
		added := slices.Concat(placed, []Holder{{ID: "new", Hall: "a", Card: "middle"}})
		half := halfGiven(servers, placed)
		lost := slices.Delete(slices.Clone(placed), 3, 4)
		for _, plan := range []struct {
			name string
			run  func()
		}{
			{"start", func() { Cover(m, servers) }},
			{"one more", func() { Cover(m, added) }},
			{"half of them", func() { Cover(m, half) }},
			{"lacking", func() { Lacking(m, placed) }},
			{"mend", func() { Mend(m, lost) }},
			{"shift", func() { Shift(m, lost) }},
			{"improve", func() { Improve(m, lost) }},
		} {
			b.Run(fmt.Sprintf("%s/%d", plan.name, n), func(b *testing.B) {
				for b.Loop() {
					plan.run()
				}
			})
		}
	}
}
