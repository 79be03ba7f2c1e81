package repair

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
)

const (
	allowedPause = 250 * time.Millisecond
	// replacements is the number of servers that take over in the replayed load.
	replacements = 4
	// boxes is the number of boxes in it, and perBox that of the streams of each.
	boxes, perBox = 20, 12
)

// lostAt is when the servers of the tests are lost.
var lostAt = time.Unix(1000, 0)

// stream returns a stream whose acceptable pause ends after the time.
func stream(priority int, pauseLeft time.Duration, remaining int) Stream {
	return Stream{Priority: priority, PauseEnds: lostAt.Add(pauseLeft), CallerLeaves: lostAt.Add(pauseLeft + time.Second), RepairTime: 10 * time.Millisecond, RemainingTokens: remaining}
}

// startAll starts the streams of the queue one after the other, each after the one before is done,
// and returns their order.
func startAll[K comparable](q *Queue[K], now time.Time) []K {
	var order []K
	for {
		key, ok := q.Next(now)
		if !ok {
			return order
		}
		order = append(order, key)
		q.Done(key)
	}
}

func wantOrder(t *testing.T, q *Queue[string], want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, startAll(q, lostAt)); diff != "" {
		t.Error(diff)
	}
}

func TestOrder(t *testing.T) {
	for name, v := range map[string]struct{ first, second Stream }{
		"in time before late, whatever the priority":     {stream(2, 100*time.Millisecond, 50), stream(0, 5*time.Millisecond, 50)},
		"urgent before less urgent":                      {stream(0, 100*time.Millisecond, 50), stream(1, 20*time.Millisecond, 50)},
		"nearer deadline first":                          {stream(0, 20*time.Millisecond, 50), stream(0, 100*time.Millisecond, 5)},
		"fewer tokens left first":                        {stream(0, 20*time.Millisecond, 5), stream(0, 20*time.Millisecond, 50)},
		"caller still there before caller probably gone": {stream(2, -time.Millisecond, 50), stream(0, -2*time.Second, 50)},
		"among late ones, the caller who leaves first":   {stream(0, -500*time.Millisecond, 50), stream(0, -100*time.Millisecond, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			q := &Queue[string]{}
			q.Add("second", "s", v.second)
			q.Add("first", "s", v.first)
			wantOrder(t, q, "first", "second")
		})
	}
}

// fillQueue returns a queue of n streams with the given first servers.
func fillQueue(n int, first func(i int) slatebridge.ServerID) *Queue[int] {
	q := &Queue[int]{}
	for i := range n {
		q.Add(i, first(i), stream(0, time.Second, i))
	}

	return q
}

// startRunning starts all repairs that may start, and returns their number.
func startRunning(q *Queue[int]) int {
	n := 0
	for {
		if _, ok := q.Next(lostAt); !ok {
			return n
		}
		n++
	}
}

func TestQueue(t *testing.T) {
	t.Run("bounds the repairs at a time", func(t *testing.T) {
		q := fillQueue(50, func(i int) slatebridge.ServerID { return slatebridge.ServerID(fmt.Sprint(i)) })
		if n := startRunning(q); n != maxConcurrent {
			t.Errorf("%d streams under repair, want %d", n, maxConcurrent)
		}
	})
	t.Run("streams of a silent first server do not hold up others", func(t *testing.T) {
		q := fillQueue(50, func(i int) slatebridge.ServerID {
			if i < 40 {
				return "silent"
			}

			return "other"
		})
		startRunning(q)
		started := make(map[slatebridge.ServerID]int)
		for _, first := range q.running {
			started[first]++
		}
		if diff := cmp.Diff(map[slatebridge.ServerID]int{"silent": maxConcurrentPerServer, "other": maxConcurrentPerServer}, started); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("a stream under repair that loses another server waits for its end", func(t *testing.T) {
		q := fillQueue(1, func(int) slatebridge.ServerID { return "s" })
		startRunning(q)
		q.Add(0, "s", stream(0, time.Second, 0))
		if n := startRunning(q); n != 0 {
			t.Error("the stream is repaired twice at a time")
		}
		q.Done(0)
		if n := startRunning(q); n != 1 {
			t.Error("the second repair does not start")
		}
	})
	t.Run("a stream that is added twice waits once, with the new values", func(t *testing.T) {
		q := &Queue[string]{}
		q.Add("a", "s", stream(1, time.Second, 0))
		q.Add("b", "s", stream(0, time.Second, 0))
		q.Add("a", "s", stream(0, time.Millisecond*500, 0))
		wantOrder(t, q, "a", "b")
	})
	t.Run("cleared streams are not repaired", func(t *testing.T) {
		q := fillQueue(20, func(int) slatebridge.ServerID { return "s" })
		n := startRunning(q)
		q.Clear()
		for i := range n {
			q.Done(i)
		}
		if n := startRunning(q); n != 0 {
			t.Errorf("%d streams are repaired", n)
		}
	})
}

// TestQueueOfPausedRepairs checks that repairs that wait for a retry leave their turns to others.
func TestQueueOfPausedRepairs(t *testing.T) {
	ownServer := func(i int) slatebridge.ServerID { return slatebridge.ServerID(fmt.Sprint(i)) }
	q := fillQueue(50, ownServer)
	startRunning(q)
	paused := 0
	for {
		again := 0
		for key := range maps.Clone(q.running) {
			if q.Pause(key) {
				again++
			}
		}
		if paused += again; again == 0 {
			break
		}
		startRunning(q)
	}
	if paused != maxPaused || len(q.running) != maxConcurrent {
		t.Errorf("%d repairs are paused, and %d in progress", paused, len(q.running))
	}
	for key := range maps.Clone(q.paused) {
		q.Add(key, ownServer(key), stream(0, 0, 0))
		q.Resume(key)
	}
	endAll(q)
	if n := startRunning(q); n != maxConcurrent {
		t.Errorf("%d repairs start after the end of all", n)
	}
}

// TestQueueOfSilentServers checks the bounds of first servers that do not respond to moves.
func TestQueueOfSilentServers(t *testing.T) {
	t.Run("first servers found silent leave half of the repairs to others", func(t *testing.T) {
		q := fillQueue(50, func(i int) slatebridge.ServerID {
			return []slatebridge.ServerID{"silent1", "silent2", "other"}[min(i/20, 2)]
		})
		startRunning(q)
		for _, first := range []slatebridge.ServerID{"silent1", "silent2"} {
			q.RecordSilence(first, lostAt)
		}
		wantStarted(t, q, map[slatebridge.ServerID]int{"silent1": 4, "silent2": 4, "other": 4})
		endAll(q)
		wantStarted(t, q, map[slatebridge.ServerID]int{"silent1": 1, "silent2": 1, "other": 4})
		q.ClearSilence("silent1")
		endAll(q)
		wantStarted(t, q, map[slatebridge.ServerID]int{"silent1": 4, "silent2": 1, "other": 2})
	})
	t.Run("many silent first servers hold half of the repairs", func(t *testing.T) {
		q := fillQueue(50, func(i int) slatebridge.ServerID { return slatebridge.ServerID(fmt.Sprint(i)) })
		for i := range 40 {
			q.RecordSilence(slatebridge.ServerID(fmt.Sprint(i)), lostAt)
		}
		startRunning(q)
		silent := 0
		for key := range q.running {
			if key < 40 {
				silent++
			}
		}
		if silent != maxConcurrentSilent || len(q.running) != maxConcurrent {
			t.Errorf("%d of %d streams under repair are of silent first servers", silent, len(q.running))
		}
	})
	t.Run("a repair of a silent first server goes on only alone", func(t *testing.T) {
		q := fillQueue(3, func(int) slatebridge.ServerID { return "silent" })
		startRunning(q)
		kept := []bool{q.Keep(0)}
		q.RecordSilence("silent", lostAt)
		for i := range 3 {
			kept = append(kept, q.Keep(i))
		}
		if diff := cmp.Diff([]bool{true, false, false, true}, kept); diff != "" {
			t.Error(diff)
		}
	})
}

// wantStarted starts all repairs that may start, and checks the first servers of those in progress.
func wantStarted(t *testing.T, q *Queue[int], want map[slatebridge.ServerID]int) {
	t.Helper()
	startRunning(q)
	started := make(map[slatebridge.ServerID]int)
	for _, first := range q.running {
		started[first]++
	}
	if diff := cmp.Diff(want, started); diff != "" {
		t.Error(diff)
	}
}

// endAll ends all repairs in progress.
func endAll(q *Queue[int]) {
	for key := range q.running {
		q.Done(key)
	}
}

// lostStream is a stream of the replayed load.
type lostStream struct {
	box    int
	stream Stream
	// prefill is the time that a replacement takes for its tokens.
	prefill time.Duration
}

// lostStreams returns the streams of many boxes that lose a stage at the same moment. They were
// silent for different times when that is found, and differ in priority and size.
func lostStreams(seed uint64, priorities int) []lostStream {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]lostStream, 0, boxes*perBox)
	for box := range boxes {
		for range perBox {
			s := stream(rng.IntN(priorities), time.Duration(rng.Int64N(int64(allowedPause))), rng.IntN(100))
			prefill := time.Duration(2+rng.IntN(6)) * time.Millisecond
			s.RepairTime = prefill * time.Duration(boxes) / replacements
			out = append(out, lostStream{box, s, prefill})
		}
	}

	return out
}

// replayMoves has the replacements prefill the streams of all boxes, each box in its own order, and
// returns how many streams of each priority continue in time.
func replayMoves(streams []lostStream, order func(ofBox []lostStream) []lostStream) map[int]int {
	queues := make([][]lostStream, boxes)
	for _, s := range streams {
		queues[s.box] = append(queues[s.box], s)
	}
	for box, q := range queues {
		queues[box] = order(q)
	}
	busy := make([]time.Duration, replacements)
	inTime := make(map[int]int)
	for turn := 0; ; turn++ {
		moved := false
		for _, q := range queues {
			if turn >= len(q) {
				continue
			}
			moved = true
			i := slices.Index(busy, slices.Min(busy))
			busy[i] += q[turn].prefill
			if s := q[turn].stream; !lostAt.Add(busy[i]).After(s.PauseEnds) {
				inTime[s.Priority]++
			}
		}
		if !moved {
			return inTime
		}
	}
}

// TestOrderUnderLoad replays a loss of servers: 20 boxes with 12 streams each, whose tokens four
// replacements prefill. It checks that more streams are in time than in the order in which they are
// found, and of the most urgent ones clearly more.
func TestOrderUnderLoad(t *testing.T) {
	ordered := func(ofBox []lostStream) []lostStream {
		q := &Queue[int]{}
		for i, s := range ofBox {
			q.Add(i, "s", s.stream)
		}
		out := make([]lostStream, 0, len(ofBox))
		for _, i := range startAll(q, lostAt) {
			out = append(out, ofBox[i])
		}

		return out
	}
	asFound := func(ofBox []lostStream) []lostStream { return ofBox }
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			streams := lostStreams(seed, 3)
			before, after := replayMoves(streams, asFound), replayMoves(streams, ordered)
			if 2*after[0] < 3*before[0] {
				t.Errorf("most urgent streams in time: %d, in the order found %d", after[0], before[0])
			}
			streams = lostStreams(seed, 1)
			before, after = replayMoves(streams, asFound), replayMoves(streams, ordered)
			if after[0] <= before[0] {
				t.Errorf("streams in time without priorities: %d, in the order found %d", after[0], before[0])
			}
		})
	}
}

// TestQueueSortsSeldom checks that streams that are added shortly after the queue was put in order wait
// for the next time.
func TestQueueSortsSeldom(t *testing.T) {
	q := &Queue[string]{}
	for _, key := range []string{"a", "b", "c"} {
		q.Add(key, "s", stream(1, time.Second, 0))
	}
	q.Sort(lostAt)
	q.Add("urgent", "s", stream(0, time.Second, 0))
	var got []bool
	for _, after := range []time.Duration{0, sortInterval - 1, sortInterval} {
		key, _ := q.Next(lostAt.Add(after))
		got = append(got, key == "urgent")
	}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// TestOrderIfAllAreInTime checks the order against the one that is made stream by stream, for loads
// that fit in the order of priorities, only in that of deadlines, or not at all.
func TestOrderIfAllAreInTime(t *testing.T) {
	late, fitting, byDeadline := 0, 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var streams []Stream
		for range 2 + rng.IntN(30) {
			s := stream(rng.IntN(3), time.Duration(rng.Int64N(int64(allowedPause))), rng.IntN(100))
			s.RepairTime = time.Duration(rng.Int64N(int64(12 * time.Millisecond)))
			streams = append(streams, s)
		}
		p := newPlan(streams, lostAt)
		p.addAll()
		want, wantInTime := p.result()
		got, inTime := Order(streams, lostAt)
		if diff := cmp.Diff(want, got); diff != "" || inTime != wantInTime {
			t.Errorf("seed %d: %d in time, want %d: %s", seed, inTime, wantInTime, diff)
		}
		switch {
		case inTime < len(streams):
			late++
		case slices.IsSortedFunc(got, p.comparePriorities):
			fitting++
		default:
			byDeadline++
		}
	}
	if min(late, fitting, byDeadline) == 0 {
		t.Errorf("%d loads do not fit, %d do, %d only in the order of deadlines", late, fitting, byDeadline)
	}
}

// BenchmarkOrder measures the order of very many streams whose turns are not known.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{30, 300, 500, 5000} {
		b.Run(fmt.Sprint("streams=", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			streams := make([]Stream, 0, n)
			for range n {
				s := stream(rng.IntN(3), time.Duration(rng.Int64N(int64(allowedPause))), rng.IntN(100))
				s.RepairTime = 0
				streams = append(streams, s)
			}
			for b.Loop() {
				Order(streams, lostAt)
			}
		})
	}
}
