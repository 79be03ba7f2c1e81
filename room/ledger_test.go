package room

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// oneServer returns a view with server 1, which has memory for 10 tokens and 2 slots, and the given
// work in flight there.
func oneServer(inFlight Use) View {
	return View{LiveShare: 1, Server: func(shortID uint32) (Server, bool) {
		return Server{Capacity: Use{Memory: 10, Slots: 2}, InFlight: inFlight}, shortID == 1
	}}
}

// claim returns a claim of memory at server 1.
func claim(process string, id uint64, memory float64) Claim {
	return Claim{Process: process, ID: id, SentAt: int64(id), Limits: Limits{Memory: 1, MemoryBefore: 1, Slots: 1}, Stages: []Stage{{ShortID: 1, Need: Use{Memory: memory}}}}
}

func (c Claim) withSlot() Claim {
	c.Stages = []Stage{{ShortID: c.Stages[0].ShortID, Need: Use{Memory: c.Stages[0].Need.Memory, Slots: 1}}}

	return c
}

func wantGranted(t *testing.T, d Decision) {
	t.Helper()
	if diff := cmp.Diff(Decision{Granted: true}, d); diff != "" {
		t.Error(diff)
	}
}

func wantFull(t *testing.T, d Decision, full ...uint32) {
	t.Helper()
	if diff := cmp.Diff(Decision{Full: full}, d); diff != "" {
		t.Error(diff)
	}
}

func TestDecide(t *testing.T) {
	t.Run("claims count until they fill the server", func(t *testing.T) {
		l := NewLedger()
		wantGranted(t, l.Decide(claim("a", 1, 5), oneServer(Use{}), start))
		wantGranted(t, l.Decide(claim("b", 1, 5), oneServer(Use{}), start))
		wantFull(t, l.Decide(claim("c", 1, 1), oneServer(Use{}), start), 1)
	})
	t.Run("reported work counts", func(t *testing.T) {
		l := NewLedger()
		wantFull(t, l.Decide(claim("a", 1, 5), oneServer(Use{Memory: 6}), start), 1)
		wantGranted(t, l.Decide(claim("a", 2, 4), oneServer(Use{Memory: 6}), start))
	})
	t.Run("slots are limited", func(t *testing.T) {
		l := NewLedger()
		wantGranted(t, l.Decide(claim("a", 1, 1).withSlot(), oneServer(Use{Slots: 1}), start))
		if diff := cmp.Diff(Decision{Full: []uint32{1}, OnlySlots: true}, l.Decide(claim("a", 2, 1).withSlot(), oneServer(Use{Slots: 1}), start)); diff != "" {
			t.Error(diff)
		}
		wantGranted(t, l.Decide(claim("a", 3, 1), oneServer(Use{Slots: 1}), start))
	})
	t.Run("a lower limit leaves room for others", func(t *testing.T) {
		l := NewLedger()
		low := claim("a", 1, 1)
		low.Limits.MemoryBefore = 0.8
		wantFull(t, l.Decide(low, oneServer(Use{Memory: 8.5}), start), 1)
		low.Limits.MemoryBefore, low.Limits.Memory = 1, 0.8
		wantFull(t, l.Decide(low, oneServer(Use{Memory: 8}), start), 1)
		wantGranted(t, l.Decide(claim("b", 1, 1), oneServer(Use{Memory: 8}), start))
	})
	t.Run("a refused claim takes room at no server", func(t *testing.T) {
		l := NewLedger()
		c := claim("a", 1, 5)
		c.Stages = append(c.Stages, Stage{ShortID: 2, Need: Use{Memory: 5}})
		v := View{LiveShare: 1, Server: func(shortID uint32) (Server, bool) {
			return Server{Capacity: Use{Memory: 10}, InFlight: Use{Memory: 3 * float64(shortID)}}, true
		}}
		wantFull(t, l.Decide(c, v, start), 2)
		if l.Len() != 0 {
			t.Errorf("%d claims count", l.Len())
		}
	})
	t.Run("boxes that are not heard keep their part", func(t *testing.T) {
		l, v := NewLedger(), oneServer(Use{})
		v.LiveShare = 0.5
		wantGranted(t, l.Decide(claim("a", 1, 5), v, start))
		wantFull(t, l.Decide(claim("a", 2, 1), v, start), 1)
	})
	t.Run("unknown servers are not limited", func(t *testing.T) {
		c := claim("a", 1, 50)
		c.Stages[0].ShortID = 7
		wantGranted(t, NewLedger().Decide(c, oneServer(Use{}), start))
	})
}

func TestEndOfClaims(t *testing.T) {
	// full returns a ledger in which a claim fills the server.
	full := func(t *testing.T) *Ledger {
		t.Helper()
		l := NewLedger()
		wantGranted(t, l.Decide(claim("a", 7, 10), oneServer(Use{}), start))
		wantFull(t, l.Decide(claim("b", 1, 1), oneServer(Use{}), start), 1)

		return l
	}
	t.Run("a report contains it", func(t *testing.T) {
		l := full(t)
		l.SetReported(map[string]int64{"a": 7}, start)
		wantFull(t, l.Decide(claim("b", 2, 1), oneServer(Use{}), start), 1)
		l.SetReported(map[string]int64{"a": 8}, start)
		wantGranted(t, l.Decide(claim("b", 3, 1), oneServer(Use{}), start))
	})
	t.Run("its request was not sent", func(t *testing.T) {
		l := full(t)
		l.Release("a", 7)
		l.Release("a", 7)
		wantGranted(t, l.Decide(claim("b", 2, 10), oneServer(Use{}), start))
	})
	t.Run("its box has stopped", func(t *testing.T) {
		l := full(t)
		wantFull(t, l.Decide(claim("b", 2, 1), oneServer(Use{}), start.Add(ClaimTTL-time.Millisecond)), 1)
		wantGranted(t, l.Decide(claim("b", 3, 1), oneServer(Use{}), start.Add(ClaimTTL)))
	})
	t.Run("another process of the box does not end it", func(t *testing.T) {
		l := full(t)
		l.SetReported(map[string]int64{"a, started again": 100}, start)
		wantFull(t, l.Decide(claim("b", 2, 1), oneServer(Use{}), start), 1)
	})
}

func TestRepeatedAndLateClaims(t *testing.T) {
	t.Run("a repeated claim takes its room once", func(t *testing.T) {
		l := NewLedger()
		for range 3 {
			wantGranted(t, l.Decide(claim("a", 1, 6), oneServer(Use{}), start))
		}
		wantGranted(t, l.Decide(claim("b", 1, 4), oneServer(Use{}), start))
	})
	t.Run("a claim that is already reported takes none", func(t *testing.T) {
		l := NewLedger()
		l.SetReported(map[string]int64{"a": 5}, start)
		wantGranted(t, l.Decide(claim("a", 4, 6), oneServer(Use{Memory: 10}), start))
		if l.Len() != 0 {
			t.Errorf("%d claims count", l.Len())
		}
	})
}

// TestLedgerBound checks that a ledger with too many claims neither grants nor refuses another one.
func TestLedgerBound(t *testing.T) {
	l := NewLedger()
	v := View{LiveShare: 1, Server: func(uint32) (Server, bool) { return Server{}, false }}
	for id := range uint64(MaxClaims) {
		wantGranted(t, l.Decide(claim("a", id, 1), v, start))
	}
	if diff := cmp.Diff(Decision{}, l.Decide(claim("a", MaxClaims, 1), v, start)); diff != "" {
		t.Error(diff)
	}
	l.SetReported(map[string]int64{"a": MaxClaims}, start)
	if len(l.claims)+len(l.pending) != 0 {
		t.Errorf("%d claims and %d servers left", len(l.claims), len(l.pending))
	}
}
