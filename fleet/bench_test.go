package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
)

// BenchmarkPath measures one path search in an installation with three halls, 80 layers and ranges
// of 5 to 14 layers.
func BenchmarkPath(b *testing.B) {
	for _, n := range []int{38, 99, 570, 5700} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			f := New("a", time.Now)
			m := &catalog.Model{Layers: 80, LayerMB: 1750, KVBytesPerToken: 459000, Accelerators: []catalog.Accelerator{{Name: "c", MemoryMB: 36000, StepTimeFactor: 3}}}
			f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))
			for i := range n {
				from := (i * 5) % 76
				f.Set(catalog.Server{
					ID: slatebridge.ServerID(fmt.Sprintf("s%04d", i)), Service: "llm", Accelerator: "c",
					Hall:   slatebridge.HallID([]string{"a", "b", "c"}[i%3]),
					Layers: slatebridge.LayerRange{From: from, To: min(80, from+5+i%10)},
				})
			}
			b.ResetTimer()
			for range b.N {
				_, reservation, _ := f.FindPath(Query{Service: "llm", Tokens: 900})
				reservation.Release()
			}
		})
	}
}

// BenchmarkLimitObservations measures the cost of rate limits on the request path. Servers without
// a limit must cause no allocations.
func BenchmarkLimitObservations(b *testing.B) {
	for name, limited := range map[string]int{"none of 5700": 0, "a fifth of 5700": 1140} {
		b.Run(name, func(b *testing.B) {
			f := New("a", time.Now)
			for i := range limited {
				f.ObserveLimit(slatebridge.ServerID(fmt.Sprintf("s%04d", 5*i)), observationAt(5, 0))
			}
			w := observationAt(allowance.NoLimit, 10)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.LimitObservations("s0001")
				f.ObserveLimit("s0001", w)
			}
		})
	}
}

// BenchmarkNearlyFullHalls measures what it costs to see that room is shared and that the servers of a
// path with eight stages have plenty of it. It must not allocate.
func BenchmarkNearlyFullHalls(b *testing.B) {
	f := New("a", time.Now)
	m := &catalog.Model{Layers: 80, LayerMB: 1000, KVBytesPerToken: 459000, Slots: 200, Accelerators: []catalog.Accelerator{{Name: "c", MemoryMB: 36000}}}
	f.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))
	f.SetPeerCounts(20, 60)
	for i := range 8 {
		f.Set(catalog.Server{
			ID: slatebridge.ServerID(fmt.Sprintf("s%04d", i)), Service: "llm", Accelerator: "c", Hall: "a", Slots: 200,
			Layers: slatebridge.LayerRange{From: 10 * i, To: 10 * (i + 1)},
		})
	}
	path, reservation, _ := f.FindPath(Query{Service: "llm", Tokens: 900})
	if len(path) != 8 || len(reservation.NearlyFullHalls()) > 0 {
		b.Fatal(path, reservation.NearlyFullHalls())
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.SharesRoom("llm")
		f.nearlyFullHalls(reservation.loads, Limits{Slots: 1})
	}
}
