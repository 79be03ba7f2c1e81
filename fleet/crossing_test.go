package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slatebridge/slatebridge/catalog"
)

// TestLinksBetweenHalls: the only path goes on in another hall, over a link that
// carries 1,000 tokens a second.
func TestLinksBetweenHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"b2", "b", 4, 8})
		m := testModel()
		m.HopBytes, m.HallBytes = 10, 10*1000
		f.SetCatalog(catalog.New(2, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))
		const size = 400
		find := func() Shortage {
			_, hold, short := f.Path(Query{Service: "llm", Tokens: size})
			hold.Release()

			return short
		}
		if short := find(); short != NoShortage {
			t.Errorf("the link is idle: %s", short)
		}
		if short := find(); short != NoShortage {
			t.Errorf("the link is used to 0.4: %s", short)
		}
		if short := find(); short != NoMemory {
			t.Errorf("the link is used to 0.8: %s", short)
		}
		time.Sleep(crossingTime)
		if short := find(); short != NoShortage {
			t.Errorf("a second later: %s", short)
		}
		f.SetOthers(9)
		if short := find(); short != NoMemory {
			t.Errorf("ten boxes use the link: %s", short)
		}
	})
}

// TestServersThatTurnRequestsAway: such a server gets nothing for a while, and
// longer each time.
func TestServersThatTurnRequestsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(testServer{"a1", "a", 0, 4}, testServer{"a2", "a", 4, 8})
		pause := func() time.Duration {
			f.NoteFull("a1")
			f.NoteFull("a1")
			began := time.Now()
			for {
				path, hold, _ := f.Path(Query{Service: "llm", Tokens: 10})
				hold.Release()
				if path != nil {
					return time.Since(began)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		for _, want := range []time.Duration{fullPause, 2 * fullPause, 4 * fullPause, mostFullPause, mostFullPause} {
			if got := pause(); got != want {
				t.Errorf("it got nothing for %s, want %s", got, want)
			}
		}
		time.Sleep(time.Minute)
		if got := pause(); got != fullPause {
			t.Errorf("after a while it got nothing for %s", got)
		}
	})
}
