package ownload

import (
	"container/heap"
	"testing"
	"time"
)

// The simulated box. Its processor takes 12 ms for a request, so that it carries some 80 a second.
const (
	acceptCost = 200 * time.Microsecond
	readCost   = 2 * time.Millisecond
	eventCost  = 250 * time.Microsecond
	eventCount = 40
	eventPause = 25 * time.Millisecond
	// tickInterval is the interval of observations.
	tickInterval = 20 * time.Millisecond
	// keptPause and newPause are the pauses between requests on open connections and, while the surge
	// lasts, between new connections.
	keptPause = 25 * time.Millisecond
	newPause  = 4 * time.Millisecond
	surgeFrom = 5 * time.Second
	surgeEnd  = 25 * time.Second
	// settleTime is the time from the start of the surge after which requests have to be served, and
	// maxEventDelay how late an event may be.
	settleTime    = 4 * time.Second
	maxEventDelay = 250 * time.Millisecond
	// minServedShare is the share of the requests that were read that has to be served.
	minServedShare = 0.75
)

// task is work of the simulated processor, which it does in the order in which it is due.
type task struct {
	due time.Time
	// seq orders tasks that are due at the same time.
	seq  int
	cost time.Duration
	run  func()
}

// taskQueue is a heap of tasks.
type taskQueue []*task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].due.Before(q[j].due) || (q[i].due.Equal(q[j].due) && q[i].seq < q[j].seq)
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a task.
func (q *taskQueue) Push(x any) {
	// The heap holds only tasks.
	t, _ := x.(*task)
	*q = append(*q, t)
}

// Pop removes the last task.
func (q *taskQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]

	return t
}

// simulation is a box with one processor. Without a limiter it takes everything.
type simulation struct {
	now      time.Time
	queue    taskQueue
	seq      int
	limiter  *Limiter
	limited  bool
	inFlight int
	// read and served count the requests that came after the settling time, closed the connections
	// that were closed unread.
	read, served, closed int
}

func newSimulation(limited bool) *simulation {
	s := &simulation{now: time.Unix(0, 0), limited: limited}
	s.limiter = New(func() int { return s.inFlight })

	return s
}

func (s *simulation) at(due time.Time, cost time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, &task{due: due, seq: s.seq, cost: cost, run: run})
}

// every does something at each interval between two times.
func (s *simulation) every(from, to time.Time, interval, cost time.Duration, run func(due time.Time)) {
	for due := from; due.Before(to); due = due.Add(interval) {
		s.at(due, cost, func() { run(due) })
	}
}

func (s *simulation) run(end time.Time) {
	for s.queue.Len() > 0 {
		// The heap holds only tasks.
		t, _ := heap.Pop(&s.queue).(*task)
		if t.due.After(s.now) {
			s.now = t.due
		}
		if s.now.After(end) {
			return
		}
		t.run()
		s.now = s.now.Add(t.cost)
	}
}

// observe makes the observation that was due at the time.
func (s *simulation) observe(due time.Time) {
	s.limiter.Observe(s.now.Sub(due), s.now)
	s.limiter.Expect(due.Add(tickInterval))
}

// accept accepts a new connection, which is read in turn.
func (s *simulation) accept(counts bool) {
	if s.limited && !s.limiter.Accept(s.now) {
		s.closed++

		return
	}
	s.at(s.now, readCost, func() {
		if s.limited {
			s.limiter.Read()
		}
		s.serve(counts)
	})
}

// serve relays the events of a request. It is served if none of them is late.
func (s *simulation) serve(counts bool) {
	s.inFlight++
	if counts {
		s.read++
	}
	began, late := s.now, false
	for n := 1; n <= eventCount; n++ {
		due := began.Add(time.Duration(n) * eventPause)
		s.at(due, eventCost, func() {
			late = late || s.now.Sub(due) > maxEventDelay
			if n < eventCount {
				return
			}
			s.inFlight--
			if counts && !late {
				s.served++
			}
		})
	}
}

// surge runs a box that serves callers on open connections, and to which most new connections of its
// hall come for a time.
func surge(limited bool) *simulation {
	s := newSimulation(limited)
	start := s.now
	end := start.Add(surgeEnd)
	s.every(start, end, tickInterval, 0, s.observe)
	counts := func(due time.Time) bool {
		return due.Sub(start) > surgeFrom+settleTime && due.Before(end.Add(-2*time.Second))
	}
	s.every(start, end, keptPause, readCost, func(due time.Time) { s.serve(counts(due)) })
	s.every(start.Add(surgeFrom), end, newPause, acceptCost, func(due time.Time) { s.accept(counts(due)) })
	s.run(end)

	return s
}

// TestSurgeOfConnections guards against a box that collapses when most new connections of its hall
// come to it: what it reads it has to serve.
func TestSurgeOfConnections(t *testing.T) {
	limited, unlimited := surge(true), surge(false)
	for name, s := range map[string]*simulation{"limited": limited, "unlimited": unlimited} {
		t.Logf("%s: %d of %d requests read were served, %d connections were closed unread", name, s.served, s.read, s.closed)
	}
	if share := float64(limited.served) / float64(limited.read); share < minServedShare {
		t.Errorf("a share of %.2f of the requests read was served, want %.2f", share, minServedShare)
	}
	if limited.served < 2*unlimited.served || float64(unlimited.served) > minServedShare*float64(unlimited.read) {
		t.Errorf("%d requests were served, %d of %d without the limit: the surge does not overload the box", limited.served, unlimited.served, unlimited.read)
	}
}

// observer feeds a limiter with lags.
type observer struct {
	*Limiter
	now      time.Time
	inFlight int
	changes  []Change
}

func newObserver() *observer {
	o := &observer{now: time.Unix(0, 0)}
	o.Limiter = New(func() int { return o.inFlight }, WithOnChange(func(c Change) { o.changes = append(o.changes, c) }))

	return o
}

// observe makes n observations with the lag.
func (o *observer) observe(n int, lag time.Duration) {
	for range n {
		o.now = o.now.Add(tickInterval + lag)
		o.Observe(lag, o.now)
		o.Expect(o.now.Add(tickInterval))
	}
}

func (o *observer) wantLimit(t *testing.T, want int) {
	t.Helper()
	if got := o.State().Limit; got != want {
		t.Errorf("the limit is %d, want %d", got, want)
	}
}

func TestLimit(t *testing.T) {
	t.Run("none while the box is in time", func(t *testing.T) {
		o := newObserver()
		o.inFlight = 1000
		o.observe(100, maxLag)
		o.wantLimit(t, 0)
		if !o.Accept(o.now) || !o.AcceptRequest(o.now) || o.Full() {
			t.Error("a box in time refuses callers")
		}
	})
	t.Run("none after a short delay", func(t *testing.T) {
		o := newObserver()
		o.inFlight = 100
		o.observe(lateObservations-1, maxLag+1)
		o.observe(1, 0)
		o.wantLimit(t, 0)
	})
	t.Run("below what is in flight while late", func(t *testing.T) {
		o := newObserver()
		o.inFlight = 100
		o.observe(1, longLag)
		o.wantLimit(t, 85)
		o.observe(50, longLag)
		o.wantLimit(t, 85)
		if o.Accept(o.now) || o.AcceptRequest(o.now) || !o.Full() {
			t.Error("a late box takes more")
		}
		o.inFlight = 0
		o.observe(1, longLag)
		o.wantLimit(t, minLimit)
		if !o.Accept(o.now) {
			t.Error("a late box takes nothing at all")
		}
	})
	t.Run("rises while it is in use, and is lifted once it is not", func(t *testing.T) {
		o := newObserver()
		o.inFlight = 100
		o.observe(1, longLag)
		o.inFlight = 80
		o.observe(int(adjustInterval/tickInterval), 0)
		o.wantLimit(t, 86)
		o.inFlight = 10
		o.observe(int(liftAfter/tickInterval)+1, 0)
		o.wantLimit(t, 0)
		if len(o.changes) != 2 || o.changes[0].Limit == 0 || o.changes[1].Limit != 0 {
			t.Errorf("the changes are %+v, want the beginning and the end of the limit", o.changes)
		}
	})
}

func TestAccept(t *testing.T) {
	t.Run("connections that were not read yet count", func(t *testing.T) {
		o := newObserver()
		o.observe(1, longLag)
		o.inFlight = minLimit - 3
		for range 3 {
			if !o.Accept(o.now) {
				t.Fatal("a connection within the limit is refused")
			}
		}
		if o.Accept(o.now) {
			t.Error("a connection beyond the limit is accepted")
		}
		if o.Read(); !o.Accept(o.now) {
			t.Error("a connection is refused after another one was read")
		}
	})
	t.Run("an observation that is overdue counts at once", func(t *testing.T) {
		o := newObserver()
		o.observe(1, 0)
		if later := o.now.Add(tickInterval + longLag); o.Accept(later) || o.RecentLag(later) < longLag {
			t.Error("a connection is accepted although the box is late")
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	l := New(func() int { return 10 })
	now := time.Unix(0, 0)
	for b.Loop() {
		l.Observe(0, now)
	}
}
