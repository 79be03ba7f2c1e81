package mesh

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/retry"
)

// BenchmarkMessage reports the size of a message of a box with streams in
// flight at so many servers, and the time to encode it.
func BenchmarkMessage(b *testing.B) {
	for _, servers := range []int{0, 38, 99} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			m := Message{
				Box: "front-pl-hall-a-1", Hall: "pl-hall-a", Boot: "0d7f9f3f5b11", Address: "10.1.0.28:7400",
				Sent: 1 << 34, Config: 37, ConfigAge: 300000, Next: 250, ServersAge: 300000, Ready: true, Reads: true,
				Usage: map[string]retry.Usage{"till-llm": {Requests: 120, Retries: 3}, "till-api": {Requests: 20}},
				Echo:  map[string]int64{}, Boxes: map[slatebridge.BoxID]string{}, Loads: map[slatebridge.ServerID]fleet.Load{},
			}
			for i := range 10 {
				m.Echo[fmt.Sprintf("0d7f9f3f5b%02d", i)] = 1 << 34
			}
			for i := range 6 {
				m.Boxes[slatebridge.BoxID(fmt.Sprintf("front-pl-hall-a-%d", i))] = "10.1.0.28:7400"
			}
			for i := range servers {
				m.Loads[slatebridge.ServerID(fmt.Sprintf("i-%010d", i))] = fleet.Load{Requests: 3, TokenLayers: 41234.5}
			}
			size := 0
			for range b.N {
				data, err := json.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkBrief reports the size of the message that a server is dead.
func BenchmarkBrief(b *testing.B) {
	m := Message{Box: "front-pl-hall-a-1", Hall: "pl-hall-a", Brief: true, Dead: []slatebridge.ServerID{"i-0d7f9f3f5b"}}
	for b.Loop() {
		data, err := json.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
