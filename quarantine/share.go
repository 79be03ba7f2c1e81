package quarantine

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// maxRecentCrashes limits the crashed servers that are remembered.
	maxRecentCrashes = 256
	// urgentDelay, failureDelay and droppedDelay are the delays before changes are published:
	// minimal for what other boxes must act on, short for requests that may reach them, and long
	// for those that no longer matter. Calls to the store are billed.
	//
	// Scenario: a third of the servers crash, and all boxes have streams there. If everything were
	// published at once, and each box read every change from the store, the calls would be many times
	// as many.
	urgentDelay  = 20 * time.Millisecond
	failureDelay = 500 * time.Millisecond
	droppedDelay = 5 * time.Second
	// If outageSize or more servers crash within outageWindow, as far as this box knows, no single
	// request is the cause.
	outageWindow = 100 * time.Millisecond
	outageSize   = 5
)

// Change is an entry to be shared with other boxes. Without a value it deletes the entry.
type Change struct {
	Key   string
	Value []byte
}

// crashedServer is a server that crashed at a time.
type crashedServer struct {
	id slatebridge.ServerID
	at time.Time
}

// recordServerCrash records when a server was first found to have crashed.
func (l *Ledger) recordServerCrash(id slatebridge.ServerID, now time.Time) {
	if slices.ContainsFunc(l.recentCrashes, func(e crashedServer) bool { return e.id == id }) {
		return
	}
	if len(l.recentCrashes) == maxRecentCrashes {
		l.recentCrashes = l.recentCrashes[1:]
	}
	l.recentCrashes = append(l.recentCrashes, crashedServer{id, now})
}

// partOfOutage reports whether all servers that crashed under the request did so together with many
// others.
func (l *Ledger) partOfOutage(e Entry) bool {
	return !slices.ContainsFunc(e.Crashes, func(crash Crash) bool {
		i := slices.IndexFunc(l.recentCrashes, func(v crashedServer) bool { return v.id == crash.Server })
		if i < 0 {
			return true
		}
		n := 0
		for _, v := range l.recentCrashes {
			if v.at.Sub(l.recentCrashes[i].at).Abs() <= outageWindow {
				n++
			}
		}

		return n < outageSize
	})
}

// TrialChange returns the change that announces a trial of the request.
func (l *Ledger) TrialChange(f Fingerprint, t Trial) (Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var e Entry
	if s, ok := l.suspects[f]; ok {
		e = s.entry
	}
	data, err := e.WithTrial(t).Encode()

	return Change{Key: f.key(), Value: data}, err
}

// Apply applies a change made by another box. It fails if the change cannot be decoded.
func (l *Ledger) Apply(c Change, now time.Time) error {
	f, err := parseKey(c.Key)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(c.Value) == 0 {
		if _, ok := l.suspects[f]; ok {
			l.drop(f, false, now)
		}
		if f.IsPart() {
			l.proofs.set(f, proof{progressAt: now, completeAt: now})
		}

		return nil
	}
	e, err := DecodeEntry(c.Value)
	if err != nil {
		return err
	}
	s := l.suspect(f, now)
	before := s.entry
	s.entry, s.shared = before.Merge(e), true
	if len(s.entry.Crashes) > len(before.Crashes) {
		s.lastCrashAt = now
	}
	if len(s.entry.Trials) > len(before.Trials) {
		s.lastTrialAt = now
	}
	if s.entry.Succeeded != e.Succeeded || len(s.entry.Crashes) > len(e.Crashes) || len(s.entry.Trials) > len(e.Trials) || s.entry.CrashStreak > e.CrashStreak {
		// Two boxes wrote concurrently: the store keeps only the newest entry, which lacks
		// something known here.
		l.schedulePublish(f, now, failureDelay)
	}

	return nil
}

// Snapshot returns all entries that the store may contain.
func (l *Ledger) Snapshot() []Change {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Change
	for f, s := range l.suspects {
		if s.shared {
			// An entry contains only encodable fields.
			data, _ := s.entry.Encode()
			out = append(out, Change{Key: f.key(), Value: data})
		}
	}

	return out
}

// TimeUntilDue returns the time until a change is due, or a negative duration if there is none.
func (l *Ledger) TimeUntilDue(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unpublished) == 0 {
		return -1
	}
	var due time.Time
	for _, at := range l.unpublished {
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}

	return max(0, due.Sub(now))
}

// DueChanges returns all unpublished changes if one of them is due, and marks them as published.
// It omits suspects that were never in the store, with a crash streak below streakBeforeTrial, if
// their servers all crashed in an outage.
func (l *Ledger) DueChanges(now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyDue(now) {
		return nil
	}
	out := make([]Change, 0, len(l.unpublished))
	for f := range l.unpublished {
		c := Change{Key: f.key()}
		if s, ok := l.suspects[f]; ok {
			if !s.shared && s.entry.CrashStreak < streakBeforeTrial && l.partOfOutage(s.entry) {
				continue
			}
			s.shared = true
			// An entry contains only encodable fields.
			c.Value, _ = s.entry.Encode()
		}
		out = append(out, c)
	}
	clear(l.unpublished)
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })

	return out
}

func (l *Ledger) anyDue(now time.Time) bool {
	for _, at := range l.unpublished {
		if !now.Before(at) {
			return true
		}
	}

	return false
}

// RequeueChanges schedules changes again that could not be published.
func (l *Ledger) RequeueChanges(changes []Change, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if f, err := parseKey(c.Key); err == nil {
			l.schedulePublish(f, now, failureDelay)
		}
	}
}

// schedulePublish schedules the publication of a request's entry. The caller holds mu.
func (l *Ledger) schedulePublish(f Fingerprint, now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if before, ok := l.unpublished[f]; ok && before.Before(at) {
		return
	}
	l.unpublished[f] = at
	l.signal()
}

// key returns the key of the entry in the store.
func (f Fingerprint) key() string { return hex.EncodeToString(f[:]) }

func parseKey(key string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(key)) != FingerprintSize {
		return f, errInvalidKey
	}
	if _, err := hex.Decode(f[:], []byte(key)); err != nil {
		return f, errInvalidKey
	}

	return f, nil
}

// RepublishShared schedules all shared entries again, because the store may have lost them.
func (l *Ledger) RepublishShared(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, s := range l.suspects {
		if s.shared {
			l.schedulePublish(f, now, failureDelay)
		}
	}
}
