package lab

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/retry"
)

// Timing and size parameters of the simulation.
const (
	// serverRoundTrip is the round trip time from a box to a server.
	serverRoundTrip = 2 * time.Millisecond
	// failureDetectionTime is how long the boxes take to detect that servers are lost or cut off.
	// A box whose request finds a server unreachable suspects that server for the same time.
	failureDetectionTime = 100 * time.Millisecond
	// slownessDetectionTime is how long boxes take to detect that a server has become slow.
	slownessDetectionTime = 300 * time.Millisecond
	// pathRetryInterval is the pause after which a waiting request looks for a path again.
	pathRetryInterval = 100 * time.Millisecond
	// placementInterval is the interval between two checks of the layer placement.
	placementInterval = time.Second
	// drainNotice is how long a draining server announces that it is leaving before it stops.
	drainNotice = 2 * time.Second
	// callerTokenTimeout is how long a caller waits for the next token.
	callerTokenTimeout = 2 * time.Second
	// maxServersPerRequest is the maximum number of servers, not counting lost ones, that may
	// execute the same request as its first pipeline stage in one try.
	maxServersPerRequest = 2
	// maxSizeFactor limits the size of a request to this multiple of the mean.
	maxSizeFactor = 3
)

// event is a callback scheduled in virtual time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

// Push adds an event.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario *Scenario
	rand     *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int
	cluster  *cluster
	// allocator issues the grants for rate-limited servers.
	allocator *allowance.Allocator
	catalog   *catalog.Catalog
	boxes     []*box
	halls     []slatebridge.HallID
	result    *Result
	// sharedChanges has the quarantine changes that boxes have published.
	sharedChanges changeSet
	// requestTimes has the arrival times of tries at boxes, and retryTimes those of the retries by
	// boxes, both ascending.
	requestTimes, retryTimes []time.Duration
}

// Simulate runs a scenario with the given seed, or with the scenario's own seed if it is zero.
func Simulate(sc *Scenario, seed uint64) *Result {
	if seed == 0 {
		seed = sc.Seed
	}
	m := sc.model()
	sim := &simulation{
		scenario: sc, rand: rand.New(rand.NewPCG(seed, seed)), halls: sc.halls(),
		catalog: catalog.New(1, catalog.Limits{}, sc.routes(), []catalog.Service{{Name: service, Model: m}}, nil, false),
		cluster: newCluster(m, sc.initialPlacement(m)), allocator: allowance.NewAllocator(), result: newResult(sc, seed), sharedChanges: make(changeSet),
	}
	for _, hall := range sim.halls {
		for n := range sc.BoxesPerHall {
			b := &box{name: string(hall) + string(rune('0'+n%10)), hall: hall}
			b.reset(sim.catalog, sim.cluster, sim.retryBounds(), sim.clock, sim.rand)
			sim.boxes = append(sim.boxes, b)
		}
	}
	sim.scheduleEvery(time.Duration(sc.GossipInterval), func() { exchangeGossip(sim.boxes, sim.clock()) })
	sim.scheduleEvery(placementInterval, sim.updatePlacement)
	for i := range sc.Faults {
		sim.scheduleFault(&sc.Faults[i])
	}
	sim.scheduleArrivals()
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.result.summarize(sim)

	return sim.result
}

func (sim *simulation) retryBounds() retry.Bounds {
	b := sim.scenario.RetryBudget

	return retry.Bounds{Ratio: b.Ratio, Extra: b.Extra, Window: time.Duration(b.Window)}
}

// clock returns the virtual time.
func (sim *simulation) clock() time.Time { return sim.timeAt(sim.now) }

// timeAt returns the time that is the given virtual time after the start.
func (sim *simulation) timeAt(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// schedule calls f after the given virtual time.
func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.seq, run: f})
}

// scheduleEvery calls f at the given interval until the end of the simulation.
func (sim *simulation) scheduleEvery(d time.Duration, f func()) {
	sim.schedule(d, func() {
		f()
		if sim.now < sim.endTime() {
			sim.scheduleEvery(d, f)
		}
	})
}

// endTime returns the latest deadline that a request can have.
func (sim *simulation) endTime() time.Duration {
	longest := Duration(0)
	for _, k := range sim.scenario.RequestClasses {
		longest = max(longest, k.Deadline)
	}

	return time.Duration(sim.scenario.ArrivalWindow + longest)
}

// activeFault returns the first active fault of the given type, or nil.
func (sim *simulation) activeFault(faultType string) *Fault {
	for i := range sim.scenario.Faults {
		if fault := &sim.scenario.Faults[i]; fault.Type == faultType && fault.activeAt(sim.now) {
			return fault
		}
	}

	return nil
}

// scheduleArrivals starts the arrival process of each request class in each hall.
func (sim *simulation) scheduleArrivals() {
	for i := range sim.scenario.RequestClasses {
		for _, hall := range sim.halls {
			sim.scheduleNextArrival(&sim.scenario.RequestClasses[i], hall)
		}
	}
}

// scheduleNextArrival schedules the next request of a Poisson arrival process.
func (sim *simulation) scheduleNextArrival(class *RequestClass, hall slatebridge.HallID) {
	rate := class.ArrivalRate
	if fault := sim.activeFault(FaultLoadBurst); fault != nil && (fault.RequestClass == "" || fault.RequestClass == class.Name) && (fault.Hall == "" || fault.Hall == string(hall)) {
		rate *= fault.Magnitude
	}
	sim.schedule(time.Duration(sim.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now >= time.Duration(sim.scenario.ArrivalWindow) {
			return
		}
		sim.scheduleNextArrival(class, hall)
		size := func(mean float64) float64 { return math.Ceil(min(maxSizeFactor*mean, mean*sim.rand.ExpFloat64())) }
		q := &request{
			sim: sim, class: class, hall: hall, promptTokens: size(class.MeanPromptTokens), answerTokens: max(1, size(class.MeanAnswerTokens)), startedAt: sim.now, callerRetriesLeft: class.MaxRetries,
			fingerprint: fingerprintOf(len(sim.result.requests)), account: strconv.Itoa(len(sim.result.requests) % accountCount),
		}
		if fault := sim.activeFault(FaultImmediateRetries); fault != nil && sim.rand.Float64() < fault.Fraction {
			q.retriesImmediately, q.callerRetriesLeft = true, q.callerRetriesLeft+int(fault.Magnitude)
		}
		sim.result.requests = append(sim.result.requests, q)
		q.startTry()
	})
}

// updatePlacement makes servers load the layers that the placement assigns to them.
func (sim *simulation) updatePlacement() {
	for _, s := range sim.cluster.planPlacement(sim.now) {
		sim.schedule(s.loadedAt-sim.now, func() {
			if s.lost {
				return
			}
			s.Layers = s.nextLayers
			sim.forEachBox(func(b *box) { b.fleet.Set(s.Server) })
		})
	}
}

// forEachBox calls f for each running box.
func (sim *simulation) forEachBox(f func(b *box)) {
	for _, b := range sim.boxes {
		if !b.down {
			f(b)
		}
	}
}

// pickBox returns a random running box in the hall, or in another hall if there is none, or nil.
func (sim *simulation) pickBox(hall slatebridge.HallID) *box {
	var near, far []*box
	for _, b := range sim.boxes {
		switch {
		case b.down:
		case b.hall == hall:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	switch {
	case len(near) > 0:
		return near[sim.rand.IntN(len(near))]
	case len(far) > 0:
		return far[sim.rand.IntN(len(far))]
	default:
		return nil
	}
}
