package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxEarly limits the early suspects reported at once. A box that is not alone in its hall starts
// fewer requests than half of this at one server within quickCrashTime. The other half is kept for
// prompt parts, which most of these requests share.
const maxEarly = 64

// recordEarly queues a suspect to be reported to other boxes by messages alone, not through the
// store, since a copy of the request may be on its way to them. The caller holds mu.
func (l *Ledger) recordEarly(f Fingerprint) {
	if len(l.early) >= maxEarly || (!f.IsPart() && len(l.early) >= maxEarly/2) {
		return
	}
	l.early[f] = true
	l.signal()
}

// EarlySuspects returns the suspects that are not in the store and under which a server has just
// crashed quickly, each once until it crashes another server quickly. Those that need a trial are
// published instead. It omits the crashes of an outage.
//
// If several callers send the same poison request, the box that saw the first crash knows it, but
// other boxes, which do not, send their copies to further servers about 0.12 s later, and then
// retry them. Entries written to the store would arrive too late, and most of them would be about
// requests that are answered a moment later.
func (l *Ledger) EarlySuspects() []Change {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Change
	for f := range l.early {
		if s, ok := l.suspects[f]; ok && !l.partOfOutage(s.entry) {
			// An entry contains only encodable fields.
			data, _ := s.entry.Encode()
			out = append(out, Change{Key: f.key(), Value: data})
		}
	}
	clear(l.early)
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })

	return out
}

// ApplyEarlySuspect applies an early suspect reported by another box, and reports whether it is
// new. It fails if the change cannot be decoded.
func (l *Ledger) ApplyEarlySuspect(c Change, now time.Time) (bool, error) {
	f, err := parseKey(c.Key)
	if err != nil {
		return false, err
	}
	e, err := DecodeEntry(c.Value)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.droppedAt[f]; ok || l.successes.outweighCrash(f) {
		return false, nil
	}
	// Whether a part was proven harmless before or after this crash is not known here. The next proof
	// drops the entry.
	s := l.suspect(f, now)
	before := s.entry
	s.entry = before.Merge(e)
	if len(s.entry.Crashes) == len(before.Crashes) {
		return false, nil
	}
	s.lastCrashAt = now

	return true, nil
}

// signal notifies the receiver of Changed.
func (l *Ledger) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}
