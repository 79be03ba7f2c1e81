package repair

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a stream under way that lost servers of its path.
type Stream struct {
	// Priority is the priority of the request, 0 for the most urgent. It is the same for all
	// streams of a service without priorities.
	Priority int
	// PauseEnds is when the longest acceptable pause of the stream is over, and CallerLeaves when
	// its caller is expected to give up.
	PauseEnds    time.Time
	CallerLeaves time.Time
	// RepairTime is the expected time that its repair takes of the replacements, together with those of
	// other boxes' streams that come between it and the next one of this box.
	RepairTime time.Duration
	// RemainingTokens is the expected number of tokens still to be generated.
	RemainingTokens int
}

// maxPlanned bounds the streams that are planned to be in time, and so what the order costs. The
// pauses of more streams are over before their repair.
const maxPlanned = 500

// Order returns the streams, as indexes, in the order in which they are repaired, and how many of
// them are expected to be in time. These come first: the more urgent before the less urgent, unless
// one would then be late, and else by their deadlines. The others follow: first those whose callers
// still wait, then more urgent ones, then those whose callers leave earlier. Where that is equal,
// streams with fewer tokens to generate come first, as they free their memory first.
//
// Of the streams that cannot all be in time, more urgent ones are chosen before less urgent ones,
// and within one priority as many as possible.
//
// Load pattern: several servers crash at once. Of the hundreds of streams that passed them, not all
// can be repaired within the acceptable pause, as a few replacements prefill the tokens of all.
// Ordered by deadline alone, the first streams are just too late, and each makes the next one late.
func Order(streams []Stream, now time.Time) (order []int, inTime int) {
	p := newPlan(streams, now)
	if !p.fits() {
		p.addAll()
	}

	return p.result()
}

// plan is an order that is being made.
type plan struct {
	streams []Stream
	now     time.Time
	// inTime lists the streams that are expected to be in time, by deadline, and late the others.
	inTime, late []int
}

func newPlan(streams []Stream, now time.Time) *plan { return &plan{streams: streams, now: now} }

// fits reports whether all streams are in time in the order of their deadlines, and if so plans
// them. It costs far less than addAll.
func (p *plan) fits() bool {
	byDeadline := indexes(len(p.streams))
	slices.SortStableFunc(byDeadline, p.compareDeadlines)
	if len(byDeadline) > maxPlanned || p.firstMissed(byDeadline) >= 0 {
		return false
	}
	p.inTime = byDeadline

	return true
}

// addAll adds all streams, the more urgent ones first.
func (p *plan) addAll() {
	byPriority := indexes(len(p.streams))
	slices.SortStableFunc(byPriority, p.comparePriorities)
	for _, i := range byPriority {
		p.add(i)
	}
}

// result returns the planned order and the number of streams that are in time.
func (p *plan) result() (order []int, inTime int) {
	slices.SortStableFunc(p.late, p.compareLate)
	urgentFirst := slices.Clone(p.inTime)
	slices.SortStableFunc(urgentFirst, p.comparePriorities)
	if p.firstMissed(urgentFirst) < 0 {
		p.inTime = urgentFirst
	}

	return append(p.inTime, p.late...), len(p.inTime)
}

// add adds a stream to those that are in time. If they cannot all be, the one with the longest
// repair time among the least urgent ones is left out. Streams are added by priority and deadline.
func (p *plan) add(i int) {
	if len(p.inTime) == maxPlanned {
		p.late = append(p.late, i)

		return
	}
	at, _ := slices.BinarySearchFunc(p.inTime, i, p.compareDeadlines)
	p.inTime = slices.Insert(p.inTime, at, i)
	missed := p.firstMissed(p.inTime)
	if missed < 0 {
		return
	}
	out := at
	for k, j := range p.inTime[:missed+1] {
		if p.streams[j].Priority == p.streams[i].Priority && p.streams[j].RepairTime > p.streams[p.inTime[out]].RepairTime {
			out = k
		}
	}
	p.late = append(p.late, p.inTime[out])
	p.inTime = slices.Delete(p.inTime, out, out+1)
}

// firstMissed returns the position of the first stream that misses its deadline in the given order;
// -1 if there is none.
func (p *plan) firstMissed(order []int) int {
	done := p.now
	for k, i := range order {
		if done = done.Add(p.streams[i].RepairTime); done.After(p.streams[i].PauseEnds) {
			return k
		}
	}

	return -1
}

func (p *plan) compareDeadlines(a, b int) int {
	return cmp.Or(p.streams[a].PauseEnds.Compare(p.streams[b].PauseEnds), cmp.Compare(p.streams[a].RemainingTokens, p.streams[b].RemainingTokens))
}

func (p *plan) comparePriorities(a, b int) int {
	return cmp.Or(cmp.Compare(p.streams[a].Priority, p.streams[b].Priority), p.compareDeadlines(a, b))
}

func (p *plan) compareLate(a, b int) int {
	s, o := p.streams[a], p.streams[b]

	return cmp.Or(
		cmp.Compare(p.callerGone(s), p.callerGone(o)),
		cmp.Compare(s.Priority, o.Priority),
		s.CallerLeaves.Compare(o.CallerLeaves),
		cmp.Compare(s.RemainingTokens, o.RemainingTokens),
	)
}

// callerGone returns 1 if the caller of the stream is expected to have given up, else 0.
func (p *plan) callerGone(s Stream) int {
	if s.CallerLeaves.Before(p.now) {
		return 1
	}

	return 0
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}

	return out
}
