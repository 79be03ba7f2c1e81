package retry

import "time"

const (
	// slotCount is the number of slots of a window.
	slotCount = 20
	// storedSlots is the number of slots that are kept. The newest one is incomplete, so one more
	// than slotCount is needed to cover any window that ends now.
	storedSlots = slotCount + 1
)

// window counts usage in the slots of a sliding window.
type window struct {
	// slotLength is the duration of one slot.
	slotLength time.Duration
	// newest is the number of the newest slot since the Unix epoch.
	newest int64
	slots  [storedSlots]Usage
}

// current returns the newest slot.
func (w *window) current() *Usage { return &w.slots[w.newest%storedSlots] }

// sum adds up the slots that cover the given duration up to now.
func (w *window) sum(last time.Duration) Usage {
	n := min(storedSlots, int64(last/w.slotLength)+1)
	var sum Usage
	for i := range n {
		sum = sum.plus(w.slots[(w.newest-i+storedSlots)%storedSlots])
	}

	return sum
}

// advance clears the slots after the newest one up to the given one.
func (w *window) advance(at int64) {
	if at-w.newest >= storedSlots || at < w.newest {
		*w = window{slotLength: w.slotLength, newest: at}

		return
	}
	for w.newest < at {
		w.newest++
		w.slots[w.newest%storedSlots] = Usage{}
	}
}

// counts returns the FromPool of all slots, the newest first.
func (w *window) counts() []int {
	out := make([]int, storedSlots)
	for i := range out {
		out[i] = w.slots[(w.newest-int64(i)+storedSlots)%storedSlots].FromPool
	}

	return out
}

// newGrantWindow returns a window like another one with the given counts, the newest first. Slots of
// two boxes do not begin at the same time, so all but the newest count as one slot younger.
func newGrantWindow(counts []int, like *window) *window {
	w := &window{slotLength: like.slotLength, newest: like.newest}
	for i, n := range counts {
		w.slots[(w.newest-int64(max(0, i-1))+storedSlots)%storedSlots].FromPool += n
	}

	return w
}
