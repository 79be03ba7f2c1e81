package claim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge/internal/golden"
	"github.com/slatebridge/slatebridge/platform"
)

// TestGoldenTable folds the records of each file, a line each, and prints the
// owners of the keys after each record.
func TestGoldenTable(t *testing.T) {
	golden.Each(t, "testdata/table/*.jsonl", func(_ *testing.T, input []byte) string {
		table := NewTable()
		var out strings.Builder
		for i, line := range strings.Split(strings.TrimSpace(string(input)), "\n") {
			offset := int64(i)
			record := platform.Record{Offset: offset, Time: time.Unix(offset, 0), Data: json.RawMessage(line)}
			unreadable, _ := table.Fold(platform.Batch{Next: offset + 1, Records: []platform.Record{record}}, time.Unix(0, 0))
			fmt.Fprintf(&out, "%d: unreadable=%d", offset, unreadable)
			for _, a := range table.order {
				e, _ := table.Lookup(a.key)
				fmt.Fprintf(&out, " %x:%s(given_up=%t)", a.key[:1], e.Owner, e.GivenUp)
			}
			out.WriteString("\n")
		}

		return out.String()
	})
}

// FuzzFold feeds the fold with anything a stream might hold.
func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"claims":[{"id":"A/1/1","key":"aa000000000000000000000000000000","body":1}]}`))
	f.Add([]byte(`{"given_up":[{"id":"A/1/1","key":""}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := NewTable()
		table.Fold(platform.Batch{Next: 1, Records: []platform.Record{{Data: data}}}, time.Unix(0, 0))
	})
}

// BenchmarkTableMemory measures the table at three sizes.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fillTable(n)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
		})
	}
}

func fillTable(n int) *Table {
	table := NewTable()
	for i := range n {
		var key Digest
		key[0], key[1], key[2] = byte(i), byte(i>>8), byte(i>>16)
		table.foldClaim(Claim{ID: ID{Box: "box", Boot: "boot", Seq: int64(i)}, Key: key}, time.Unix(int64(i), 0))
	}

	return table
}
