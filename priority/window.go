package priority

import "time"

const (
	// slotLength is the length of one slot of a window, and slotCount the number of slots. Together
	// they cover the time over which the service of classes and accounts is compared.
	slotLength = time.Second
	slotCount  = 10
	// recentSlots is the number of slots over which arrival rates are estimated.
	recentSlots = 3
)

// counts counts requests and the tokens for which they need memory. A request is decided once it is
// admitted or refused.
type counts struct {
	offered, decided, admitted                   int64
	offeredTokens, decidedTokens, admittedTokens int64
}

func (n *counts) add(o counts) {
	n.offered += o.offered
	n.decided += o.decided
	n.admitted += o.admitted
	n.offeredTokens += o.offeredTokens
	n.decidedTokens += o.decidedTokens
	n.admittedTokens += o.admittedTokens
}

func (n *counts) subtract(o counts) {
	n.offered -= o.offered
	n.decided -= o.decided
	n.admitted -= o.admitted
	n.offeredTokens -= o.offeredTokens
	n.decidedTokens -= o.decidedTokens
	n.admittedTokens -= o.admittedTokens
}

// window counts requests in the slots of a sliding window.
type window struct {
	newest int64
	slots  [slotCount]counts
	// sum is the sum of all slots.
	sum counts
}

// add adds to a slot, unless that has left the window.
func (w *window) add(n counts, slot int64) {
	w.advance(slot)
	if w.newest-slot >= slotCount {
		return
	}
	w.slots[slot%slotCount].add(n)
	w.sum.add(n)
}

// advance makes the slot the newest one, unless there is a newer one, and clears those that leave the
// window.
func (w *window) advance(slot int64) {
	if slot-w.newest >= slotCount {
		*w = window{newest: slot}

		return
	}
	for w.newest < slot {
		w.newest++
		oldest := &w.slots[w.newest%slotCount]
		w.sum.subtract(*oldest)
		*oldest = counts{}
	}
}

// recent returns the sum of the newest recentSlots slots.
func (w *window) recent(slot int64) counts {
	w.advance(slot)
	var sum counts
	for i := range int64(recentSlots) {
		sum.add(w.slots[(w.newest-i+slotCount)%slotCount])
	}

	return sum
}

// recentDuration returns the time that window.recent covers at the given time since the tracker
// began, at least one slot.
func recentDuration(elapsed time.Duration) time.Duration {
	return max(slotLength, min(elapsed, elapsed%slotLength+(recentSlots-1)*slotLength))
}
