package main

import (
	"fmt"
	"time"

	"github.com/slatebridge/slatebridge/platform/standin"
)

// Figures of the case "empty-hall".
const (
	// largeHallCards and smallHallCards are the numbers of cards in the two halls that stay whole and in the
	// one whose servers crash. The cards of each hall have room for the whole model.
	largeHallCards = 8
	smallHallCards = 3
	// backAfter is after which time all but one of the crashed servers are back, empty. The last one is lost
	// for good.
	backAfter = 5 * time.Second
	// late is the number of requests after the recovery.
	late = 200
)

// playEmptyHall crashes the three model servers of one of three halls at the same time. Two of them come back
// empty. The other halls hold the whole model all the time. Then all boxes are killed and started again.
func playEmptyHall(w *world, trouble bool) (bool, error) {
	w.fleet.EventInterval, w.fleet.LoadPerLayer = eventGap, loadTime
	w.fleet.Configure(drainedConfig)
	halls := []string{"hall-a", "hall-b", "hall-c"}
	byHall := make(map[string][]*standin.Server)
	for i, hall := range halls {
		n := largeHallCards
		if hall == "hall-c" {
			n = smallHallCards
		}
		for j := range n {
			s, err := w.addServer(100+10*i+j, "llm", hall, "card")
			if err != nil {
				return false, err
			}
			byHall[hall] = append(byHall[hall], s)
		}
	}
	if err := w.startBoxes(halls...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	w.noteLayers(halls, byHall)
	if n := w.sendAll("before", before); n < before {
		return false, fmt.Errorf("only %d of %d requests were served in a quiet time", n, before)
	}
	if trouble {
		w.crashHall(byHall["hall-c"])
	}
	time.Sleep(backAfter + settleTime)
	w.noteBoxes()
	if err := w.restartAll(downTime); err != nil {
		return false, err
	}
	time.Sleep(recovery + time.Second)
	w.noteLayers(halls[:2], byHall)
	served := w.sendAll("after", late)
	w.noteBoxes()

	return float64(served) < leastShare*late, nil
}

// crashHall crashes all servers of a hall. All but the last come back.
func (w *world) crashHall(servers []*standin.Server) {
	const never = time.Hour
	for i, s := range servers {
		from, to := s.Layers()
		if i < len(servers)-1 {
			w.note("%s in %s with the layers [%d,%d) crashes; an empty one is back after %s", s.ID, s.Hall, from, to, backAfter)
			w.fleet.Crash(s, backAfter)
		} else {
			w.note("%s in %s with the layers [%d,%d) crashes and is lost for good", s.ID, s.Hall, from, to)
			w.fleet.Crash(s, never)
		}
	}
}

// noteBoxes writes how the boxes are.
func (w *world) noteBoxes() {
	for _, b := range w.boxes {
		w.note("%s: its process runs: %t, says that it is ready: %t", b.name, b.running(), b.isReady())
	}
}
