package tunnel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/reach"
)

// benchDialer returns a Dialer that knows as many boxes as a relay of the largest hall, and whose direct
// connections work.
func benchDialer() *Dialer {
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		_ = server.Close()

		return client, nil
	}
	d := NewDialer(DialerConfig{
		Box: "box", Hall: "a", Observer: reach.NewObserver(dial), DialPeer: dial, Keys: NewKeyring(keyRetention, clock.Now),
		Random: rand.Float64, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	const boxes = 250
	var list []Helper
	for i := range boxes {
		list = append(list, Helper{Box: slatebridge.BoxID(fmt.Sprint(i)), Address: fmt.Sprintf("10.0.0.%d:1", i), Hall: "a"})
	}
	d.SetHelpers(list)

	return d
}

// BenchmarkDirectDial measures what a direct connection costs beside the dial itself; compare it with
// BenchmarkPlainDial.
func BenchmarkDirectDial(b *testing.B) {
	d := benchDialer()
	for b.Loop() {
		c, err := d.DialContext(b.Context(), "tcp", serverAddr)
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

func BenchmarkPlainDial(b *testing.B) {
	d := benchDialer()
	for b.Loop() {
		c, err := d.observer.DialContext(b.Context(), "tcp", serverAddr)
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

// BenchmarkPick measures the choice of helpers, which only a connection that fails needs.
func BenchmarkPick(b *testing.B) {
	d := benchDialer()
	now := clock.Now()
	for b.Loop() {
		_ = d.helpers.pick(maxHelpers, now)
	}
}
