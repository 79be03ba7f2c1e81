package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge/platform/standin"
)

// Figures of the case "drained-servers".
const (
	// serveAfterDraining is how long a server that says that it drains serves on: drain_ms and a little longer.
	serveAfterDraining = 2500 * time.Millisecond
	// settleTime is how long the boxes have for new orders before the final fault.
	settleTime = 10 * time.Second
	// downTime is how long all boxes are down in the final fault.
	downTime = 800 * time.Millisecond
	// recovery is recovery_s of the settings, after which requests have to be served again.
	recovery = 12 * time.Second
	// before and after are the numbers of requests before the drain and after the recovery.
	before  = 20
	after   = 40
	sendGap = 100 * time.Millisecond
	// leastShare is the share of the requests that RECOVER asks for.
	leastShare = 0.25
	// loadTime is how long the stand-ins of model servers take to load a layer, and eventGap the time
	// between two events of a stream.
	loadTime = 20 * time.Millisecond
	eventGap = 20 * time.Millisecond
	// cardLayers is how many layers a card holds, with room for requests beside them, and cardsPerHall and
	// modelLayers are the numbers of cards in each hall and of layers of the model.
	cardLayers   = 4
	cardsPerHall = 7
	modelLayers  = 12
	// drainedPerHall is how many cards of each hall leave: those with the layers in the middle of the model.
	drainedPerHall = 3
)

// drainedConfig has a model of 12 layers of 1,000 MB, and cards of 4,800 MB.
const drainedConfig = `{
  "version": 1,
  "routes": [
    {"name": "draft", "host": "demo.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 20000,
     "target_latency_ms": 500, "gap_aim_ms": 200, "priority": 1, "service": "llm", "max_attempts": 2, "resume_streams": true}
  ],
  "services": [
    {"name": "llm", "max_connections": 1000, "engine": {
      "slots": 192, "kv_token_bytes": 600000, "step_ms": 1, "read_per_s": 100000,
      "models": [{"name": "m", "load_s": 0.3}], "usual": {"prompt": 100, "answer": 20},
      "layers": 12, "layer_mb": 1000, "kinds": [{"name": "card", "mb": 4800, "pace": 1, "read_x": 1}]}}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "store-1", "api_keys": ["demo-key"], "priority": 1}]
}`

// playDrainedServers empties three of the seven servers of each hall in planned work. What is left in each hall
// has room for the whole model. Then all boxes are killed and started again.
func playDrainedServers(w *world, trouble bool) (bool, error) {
	w.fleet.EventInterval, w.fleet.LoadPerLayer = eventGap, loadTime
	w.fleet.Configure(drainedConfig)
	halls := []string{"hall-a", "hall-b", "hall-c"}
	byHall := make(map[string][]*standin.Server)
	for i, hall := range halls {
		for j := range cardsPerHall {
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
		w.drain(byHall)
	}
	time.Sleep(settleTime)
	w.noteLayers(halls, byHall)
	w.sendAll("between", before)
	if err := w.restartAll(downTime); err != nil {
		return false, err
	}
	time.Sleep(recovery + time.Second)
	w.noteLayers(halls, byHall)
	served := w.sendAll("after", after)

	return float64(served) < leastShare*after, nil
}

// drain empties the servers in the middle of each hall as the platform does in planned work: they say that
// they drain, serve on for some time, and end. It drops them from the servers by hall.
func (w *world) drain(byHall map[string][]*standin.Server) {
	const firstDrained = (cardsPerHall - drainedPerHall) / 2
	var leaving []*standin.Server
	for hall, servers := range byHall {
		slices.SortFunc(servers, byLayers)
		leaving = append(leaving, servers[firstDrained:firstDrained+drainedPerHall]...)
		byHall[hall] = slices.Concat(servers[:firstDrained], servers[firstDrained+drainedPerHall:])
	}
	for _, s := range leaving {
		from, to := s.Layers()
		w.note("%s in %s with the layers [%d,%d) says that it drains", s.ID, s.Hall, from, to)
		w.fleet.Leave(s)
	}
	time.Sleep(serveAfterDraining)
	const never = time.Hour
	for _, s := range leaving {
		w.fleet.RemoveEntry(s)
		w.fleet.Crash(s, never)
	}
	w.note("%d servers have ended", len(leaving))
}

func byLayers(a, b *standin.Server) int {
	fromA, toA := a.Layers()
	fromB, toB := b.Layers()

	return cmp.Or(cmp.Compare(fromA, fromB), cmp.Compare(toA, toB))
}

// noteLayers writes which server holds which layers, and how many layers they could hold.
func (w *world) noteLayers(halls []string, byHall map[string][]*standin.Server) {
	held := make(map[int]bool)
	for _, hall := range halls {
		for _, s := range byHall[hall] {
			from, to := s.Layers()
			w.note("%s %s holds [%d,%d); it has begun %d orders", hall, s.ID, from, to, s.OrdersStarted())
			for l := from; l < to; l++ {
				held[l] = true
			}
		}
		w.note("the %d servers of %s have room for %d layers", len(byHall[hall]), hall, cardLayers*len(byHall[hall]))
	}
	w.note("%d of the %d layers of the model are held by some server", len(held), modelLayers)
}
