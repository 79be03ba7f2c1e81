package quarantine

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// MaxSuspects is the maximum number of suspects in a ledger. An entry takes some 300 bytes.
	// With each server crash, an attacker adds at most as many as the server ran requests.
	MaxSuspects = 20000
	// suspectTTL is how long the crashes under a request that is not held back are remembered.
	suspectTTL = time.Hour
	// droppedTTL is how long it is remembered that a request was dropped as a suspect: attempts
	// that began before may still end with a crash.
	droppedTTL = time.Minute
)

// Attempt is one attempt to serve a request.
type Attempt struct {
	// ID is a random number, and TrialID the trial that the attempt is; zero if none.
	ID      uint32
	TrialID uint32
	// CrashStreak is the crash streak known when the attempt began.
	CrashStreak int
	StartedAt   time.Time
	// TrialOf is what the trial was granted for: the request or a part of its prompt.
	TrialOf Fingerprint
	// Progressed reports whether the attempt has progressed on its path (see HasProgressed).
	Progressed bool
	// Suspected is that of the Decision on the attempt.
	Suspected bool
}

// trialOf returns the ID of the trial that the attempt is of f; zero if it is none.
func (a Attempt) trialOf(f Fingerprint) uint32 {
	if a.TrialOf != f {
		return 0
	}

	return a.TrialID
}

// Ledger holds the suspects: requests and prompt parts under which servers have crashed. It is safe for concurrent
// use.
type Ledger struct {
	// count is the number of suspects, so that no work is done while there are none.
	count atomic.Int64

	mu        sync.Mutex
	suspects  map[Fingerprint]*suspect
	successes successCounts
	proofs    generations[proof]
	// droppedAt is when requests were last dropped as suspects, mostly because they were answered
	// completely.
	droppedAt map[Fingerprint]time.Time
	// unpublished maps requests to the time by which their change is to be published.
	unpublished map[Fingerprint]time.Time
	// changed receives a value when something is to be published.
	changed chan struct{}
	// recentCrashes are the servers that crashed recently.
	recentCrashes []crashedServer
	// early are the suspects that are not shared (see suspect.shared) and under which a server has
	// just crashed quickly; see EarlySuspects.
	early map[Fingerprint]bool
}

// suspect is a request or a prompt part under which servers have crashed.
type suspect struct {
	entry Entry
	// lastCrashAt is when the last crash became known, and lastTrialAt the last trial.
	lastCrashAt time.Time
	lastTrialAt time.Time
	// shared reports whether the store may contain an entry of the request. Early suspects, which
	// spread by messages alone, are not shared.
	shared bool
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		suspects: make(map[Fingerprint]*suspect), successes: newSuccessCounts(), proofs: newGenerations[proof](), droppedAt: make(map[Fingerprint]time.Time),
		unpublished: make(map[Fingerprint]time.Time), changed: make(chan struct{}, 1),
		early: make(map[Fingerprint]bool),
	}
}

// Empty reports whether there are no suspects. It takes no lock.
func (l *Ledger) Empty() bool { return l.count.Load() == 0 }

// Changed receives a value when there are new changes to publish.
func (l *Ledger) Changed() <-chan struct{} { return l.changed }

// RecordCrash records that a server crashed during an attempt of the request. It reports whether
// the crash counts. A crash does not count if the attempt began before the request was last dropped
// as a suspect, or if the recent successes of the request outweigh the crash.
func (l *Ledger) RecordCrash(f Fingerprint, a Attempt, server slatebridge.ServerID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.droppedAt[f]; (ok && !a.StartedAt.After(at)) || l.successes.spend(f) {
		return false
	}
	s := l.suspect(f, now)
	s.entry = s.entry.WithCrash(Crash{Source: a.ID, Server: server, TrialID: a.TrialID}, a.CrashStreak, now.Sub(a.StartedAt))
	s.lastCrashAt = now
	l.recordServerCrash(server, now)
	switch {
	case s.entry.needsTrial(trialGrace):
		l.schedulePublish(f, now, urgentDelay)
	case s.shared:
		l.schedulePublish(f, now, failureDelay)
	case now.Sub(a.StartedAt) <= quickCrashTime:
		l.recordEarly(f)
	}

	return true
}

// RecordFailure records that a request ended without an answer. Its caller may send it to another
// box, so the other boxes must learn of the crashes under it.
//
// Most requests at a crashed server are answered by another one, and the other boxes need not learn
// of those.
func (l *Ledger) RecordFailure(f Fingerprint, now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspects[f]; ok && !s.shared {
		l.schedulePublish(f, now, failureDelay)
	}
}

// RecordSuccess records that a server answered the request completely, which shows that the request
// crashes no servers.
func (l *Ledger) RecordSuccess(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successes.set(f, min(maxSuccesses, l.successes.count(f)+1))
	if s, ok := l.suspects[f]; ok {
		l.drop(f, s.shared, now)
	}
}

// RecordTrial records that a trial of the request was granted.
func (l *Ledger) RecordTrial(f Fingerprint, t Trial, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspect(f, now)
	s.entry, s.lastTrialAt, s.shared = s.entry.WithTrial(t), now, true
}

// FinishTrial records that a trial ended with neither an answer nor a crash.
func (l *Ledger) FinishTrial(f Fingerprint, id uint32, now time.Time) {
	l.finishTrial(f, id, false, now)
}

// CancelTrial records that a trial never reached a server.
func (l *Ledger) CancelTrial(f Fingerprint, id uint32, now time.Time) {
	l.finishTrial(f, id, true, now)
}

func (l *Ledger) finishTrial(f Fingerprint, id uint32, canceled bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspects[f]; ok {
		s.entry = s.entry.WithTrialFinished(id, canceled)
		l.schedulePublish(f, now, urgentDelay)
	}
}

// Expire drops the suspects, and the drop times in droppedAt, that have expired.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, at := range l.droppedAt {
		if now.Sub(at) > droppedTTL {
			delete(l.droppedAt, f)
		}
	}
	for f, s := range l.suspects {
		ttl := suspectTTL
		switch {
		case l.holdDuration(f, s.entry) >= baseHold:
			ttl = 2 * finalHold
		case f.IsPart() && !s.shared:
			ttl = unsharedPartTTL
		}
		if now.Sub(latest(s.lastCrashAt, s.lastTrialAt)) > ttl {
			l.drop(f, s.shared, now)
		}
	}
}

// suspect returns the suspect for the request, which it creates if necessary. The caller holds mu.
func (l *Ledger) suspect(f Fingerprint, now time.Time) *suspect {
	s, ok := l.suspects[f]
	if ok {
		return s
	}
	if len(l.suspects) >= MaxSuspects {
		l.evictOne()
	}
	_, proven := l.proofs.get(f)
	s = &suspect{lastCrashAt: now, entry: Entry{Succeeded: proven || l.successes.known(f)}}
	l.suspects[f] = s
	l.count.Store(int64(len(l.suspects)))

	return s
}

// evictOne drops the suspect with the lowest crash streak, and among those the one with the oldest
// crash.
func (l *Ledger) evictOne() {
	var evicted Fingerprint
	var lowest *suspect
	for f, s := range l.suspects {
		if lowest == nil || cmp.Or(cmp.Compare(s.entry.CrashStreak, lowest.entry.CrashStreak), s.lastCrashAt.Compare(lowest.lastCrashAt)) < 0 {
			evicted, lowest = f, s
		}
	}
	delete(l.suspects, evicted)
	delete(l.unpublished, evicted)
}

// drop removes a suspect, also at the other boxes if publish is set. The caller holds mu.
func (l *Ledger) drop(f Fingerprint, publish bool, now time.Time) {
	delay := droppedDelay
	if s, ok := l.suspects[f]; ok && f.needsTrial(s.entry) {
		delay = urgentDelay
	}
	delete(l.suspects, f)
	delete(l.unpublished, f)
	l.count.Store(int64(len(l.suspects)))
	if !f.IsPart() {
		l.droppedAt[f] = now
	}
	if publish {
		l.schedulePublish(f, now, delay)
	}
}

// needsTrial reports whether what has the entry may only be sent as a trial, once the grace after its
// last crash has passed.
func (f Fingerprint) needsTrial(e Entry) bool {
	if f.IsPart() {
		return e.partNeedsTrial()
	}

	return e.needsTrial(trialGrace)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
