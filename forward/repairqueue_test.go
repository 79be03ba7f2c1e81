package forward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
)

// TestRepairsInOrder replays the loss of a server that many streams of a box pass. It checks that
// their moves are bounded, and that the most urgent ones come first.
func TestRepairsInOrder(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
		const streams, urgent, atOneServer = 30, 5, 4
		var all []*streamAttempt
		for i := range streams {
			priority := 1
			if i >= streams-urgent {
				priority = 0
			}
			all = append(all, rt.stream(fmt.Sprintf("r%d-%02d", priority, i), priority))
		}
		rt.lose(all...)
		rt.settle()
		if len(rt.moves) != streams {
			rt.Fatalf("%d moves", len(rt.moves))
		}
		// Moves in progress at the same time are recorded in any order.
		for i, m := range rt.moves {
			if isUrgent := m[:2] == "r0"; (isUrgent && i >= urgent+atOneServer) || (!isUrgent && i < atOneServer) {
				rt.Errorf("move %d is %s", i, m)
			}
		}
		if rt.most != atOneServer {
			rt.Errorf("%d moves at the same time at one server", rt.most)
		}
		wantEventCount(rt, event.RepairsQueued, 1)
	})
}

// addSilentServers adds servers for the layers [0,4), which respond neither to moves nor to queries.
func (rt *repairTest) addSilentServers(ids ...slatebridge.ServerID) {
	for _, id := range ids {
		rt.h.fleet.Set(catalog.Server{ID: id, Service: "llm", Hall: "a", Accelerator: "big", Address: string(id) + ":80", Layers: slatebridge.LayerRange{To: 4}})
	}
	rt.answer = func(_ string, p fleet.Path) error {
		if slices.Contains(ids, p[0].Server.ID) {
			time.Sleep(reportTimeout)

			return context.DeadlineExceeded
		}

		return nil
	}
	rt.report = func(id slatebridge.ServerID) error {
		if slices.Contains(ids, id) {
			return context.DeadlineExceeded
		}

		return nil
	}
}

// TestEndedStreamsAreNotOrdered checks that streams that have ended while the first repair waits for
// others are dropped from the order.
func TestEndedStreamsAreNotOrdered(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		var all []*streamAttempt
		for i := range 32 {
			all = append(all, rt.stream(fmt.Sprint("r", i), 0))
		}
		rt.lose(all...)
		time.Sleep(repairGatherTime / 2)
		for _, a := range all[2:] {
			rt.h.monitor.remove(a)
		}
		rt.settle()
		for _, l := range rt.logs.All() {
			if f := l.ContextMap(); f["event"] == int64(event.RepairsQueued) && f["streams"] != int64(2) {
				rt.Errorf("%v streams are put in order", f["streams"])
			}
		}
		wantEventCount(rt, event.RepairsQueued, 1)
		wantRepairs(rt, map[string]float64{repairMoved: 2, repairNotNeeded: 30})
	})
}

// TestLogOfKeptRoom checks that each lost server is logged once, also if the number of lost servers
// stays the same, and none where no route is repaired in order.
func TestLogOfKeptRoom(t *testing.T) {
	for name, v := range map[string]struct {
		routes []catalog.Route
		want   int
	}{
		"repaired in order": {nil, 2},
		"other routes":      {[]catalog.Route{{Kind: catalog.Stream, Resumable: true, TrafficSplit: []catalog.WeightedService{{Service: "llm", Weight: 1}}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
				if v.routes != nil {
					c := catalog.New(2, catalog.Limits{}, v.routes, []catalog.Service{{Name: "llm", Model: rt.model}}, nil, false)
					rt.h.state = func() State { return State{Catalog: c} }
				}
				rt.stream("r", 0)
				w := &watcher{h: rt.h}
				for _, id := range []slatebridge.ServerID{lostServer, lostServer, "first"} {
					rt.h.fleet.Suspect(id, clock.Now().Add(suspicionTTL))
					w.logLosses()
					if id == lostServer {
						w.logLosses()
					}
					rt.h.fleet.Trust(id)
				}
				wantEventCount(rt, event.RepairRoomKept, v.want)
				rt.h.fleet.RetireIncarnation(lostServer)
				w.logLosses()
				wantEventCount(rt, event.RepairRoomKept, v.want*3/2)
			})
		})
	}
}

// TestSilentFirstServers checks that streams whose first servers do not respond do not hold up those
// of other first servers, even if they are more urgent and have come before.
func TestSilentFirstServers(t *testing.T) {
	withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
		rt.addSilentServers("silent1", "silent2")
		var silent, others []*streamAttempt
		for i := range 16 {
			silent = append(silent, rt.streamFrom([]slatebridge.ServerID{"silent1", "silent2"}[i%2], fmt.Sprint("silent", i), 0))
		}
		for i := range 8 {
			others = append(others, rt.stream(fmt.Sprint("other", i), 1))
		}
		rt.lose(silent...)
		time.Sleep(2 * repairGatherTime)
		rt.lose(others...)
		time.Sleep(moveSilence + 8*time.Millisecond)
		for _, a := range others {
			if path, _ := a.current(); path.Contains(lostServer) {
				rt.Errorf("%s has not been moved", a.requestID)
			}
		}
		before := rt.moveCount()
		time.Sleep(10 * reportTimeout)
		// Each silent first server is asked for one stream at a time.
		if n := rt.moveCount() - before; n > 2*10 {
			rt.Errorf("%d further moves", n)
		}
		rt.h.repairs.clear()
		rt.settle()
	})
}
