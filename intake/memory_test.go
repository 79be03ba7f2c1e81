package intake

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAccount(t *testing.T) {
	const capacity = 1000
	t.Run("a request must leave as much free as it holds, up to a quarter", func(t *testing.T) {
		for _, tt := range []struct {
			used, n int64
			want    bool
		}{
			{0, 750, true}, {0, 751, false}, {750, 125, true}, {750, 126, false}, {990, 5, true}, {990, 6, false}, {1000, 1, false},
		} {
			a := NewMemory(capacity)
			a.used = tt.used
			if got := a.Hold().Grow(tt.n); got != tt.want {
				t.Errorf("with %d in use, %d bytes fit: %t, want %t", tt.used, tt.n, got, tt.want)
			}
		}
	})
	t.Run("the largest request fits in calm, and one byte more does not", func(t *testing.T) {
		a := NewMemory(capacity)
		h := a.Hold()
		if !h.Grow(a.Largest()) || a.Hold().Grow(a.Largest()) {
			t.Error("the largest request does not fit once")
		}
		h.Release()
		if a.Hold().Grow(a.Largest() + 1) {
			t.Error("a larger request fits")
		}
	})
	t.Run("what is released is free again", func(t *testing.T) {
		a := NewMemory(capacity)
		h := a.Hold()
		for range 10 {
			if !h.Grow(400) {
				t.Fatal("no room after a release")
			}
			h.Release()
			h.Release()
		}
		if a.Used() != 0 {
			t.Errorf("%d bytes are in use", a.Used())
		}
	})
	t.Run("no hold has no bound", func(t *testing.T) {
		var h *Hold
		if !h.Grow(1<<40) || !h.Fits(1<<40) {
			t.Error("a request without a bound was refused")
		}
		h.Release()
	})
}

// TestSmallRequestsFindRoom guards against requests that together leave no room for a small one.
func TestSmallRequestsFindRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, small, largeCount = 1 << 20, 1 << 10, 200
		a := NewMemory(capacity)
		for range largeCount {
			h, part := a.Hold(), rapid.Int64Range(64<<10, capacity).Draw(t, "part")
			for range rapid.IntRange(1, 4).Draw(t, "parts") {
				h.Grow(part)
			}
		}
		if a.Used() > capacity || !a.Hold().Grow(small) {
			t.Fatalf("%d of %d bytes are in use, and a request of %d bytes finds no room: %t", a.Used(), capacity, small, !a.Hold().Fits(small))
		}
	})
}
