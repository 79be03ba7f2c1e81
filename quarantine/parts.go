package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// A stream has progressed once it has had progressEvents events on its path, over at least
	// progressTime: its prompt parts do not crash servers that begin to answer.
	progressEvents = 8
	progressTime   = 250 * time.Millisecond
	// provenStreakBeforeTrial is streakBeforeTrial for a part that was recently proven harmless. It is
	// not higher, because a part may begin to crash servers when new weights are loaded.
	provenStreakBeforeTrial = 4
	// causesBeforeTrial is the number of causes from which the crashes under such a part count against it
	// nevertheless; see explained.
	causesBeforeTrial = 3
	// unsharedPartTTL is how long the crashes under a part are remembered that is not in the store.
	// Boxes without requests with that part do not learn that it was proven harmless.
	unsharedPartTTL = time.Minute
	// provenHold is how long a part that was recently proven harmless is held back after the first trial
	// in which a server crashed. Most requests of an account may have it.
	provenHold = time.Minute
	// accountsForAll is the number of client accounts in whose trials servers have crashed under a
	// part from which the part is held back for all accounts.
	accountsForAll = 2
)

// HasProgressed reports whether a stream with this number of events on its path, the first of which
// came the given time ago, shows that its prompt parts crash no servers.
func HasProgressed(events int, sinceFirst time.Duration) bool {
	return events >= progressEvents && sinceFirst >= progressTime
}

// Subject is what may crash the servers that run a request: the request itself, or a part of its
// prompt that it shares with other requests.
type Subject struct {
	Request Fingerprint
	// Parts are the fingerprints of all parts of the prompt but the last, which no other request has.
	Parts []Fingerprint
	// Account identifies the client account.
	Account AccountHash
}

// AccountHash identifies a client account in entries. Two accounts may share one.
type AccountHash uint16

// NewAccountHash returns the hash of a client account's name.
func NewAccountHash(account string) AccountHash {
	sum := sha256.Sum256([]byte(account))

	return AccountHash(binary.LittleEndian.Uint16(sum[:]))
}

// NewPartFingerprint returns the fingerprint of a prompt part of requests to a service.
func NewPartFingerprint(service, part string) Fingerprint {
	f := NewFingerprint("", service, "", "", []byte(part))
	f[0] |= partBit

	return f
}

// partSource returns the source of a crash under a part: all requests of an account at one crashed
// server count once.
func partSource(account AccountHash, server slatebridge.ServerID) uint32 {
	sum := sha256.Sum256([]byte(server))

	return uint32(account)<<16 | uint32(binary.LittleEndian.Uint16(sum[:]))
}

// account returns the client account whose requests a crash under a part was counted for.
func (c Crash) account() AccountHash { return AccountHash(c.Source >> 16) }

// accounts returns the client accounts under whose requests servers crashed, and those for which one
// did so in a trial.
func (e Entry) accounts() (all, inTrials []AccountHash) {
	for _, c := range e.Crashes {
		if !slices.Contains(all, c.account()) {
			all = append(all, c.account())
		}
		if c.TrialID != 0 && !slices.Contains(inTrials, c.account()) {
			inTrials = append(inTrials, c.account())
		}
	}

	return all, inTrials
}

// partNeedsTrial is needsTrial for the entry of a part.
func (e Entry) partNeedsTrial() bool {
	n := streakBeforeTrial
	if e.Succeeded {
		n = provenStreakBeforeTrial
	}

	return e.CrashStreak > n || (e.CrashStreak == n && e.quickStreak() >= n)
}

// recordPartCrash records a crash under a part. It reports whether the crash is new. A crash does not
// count if the part has been proven harmless since the attempt began. If the attempt had progressed,
// only a complete answer proves that. The caller holds mu.
func (l *Ledger) recordPartCrash(f Fingerprint, account AccountHash, a Attempt, server slatebridge.ServerID, now time.Time) bool {
	p, _ := l.proofs.get(f)
	if p.completeAt.After(a.StartedAt) || (!a.Progressed && p.progressAt.After(a.StartedAt)) {
		return false
	}
	s := l.suspect(f, now)
	streak := s.entry.CrashStreak
	if streak > 0 && (a.StartedAt.Before(s.lastCrashAt) || s.entry.hasCrashed(server)) {
		// The attempt began before the latest crash was known, or this crash is known.
		streak--
	}
	crash := Crash{Source: partSource(account, server), Server: server, TrialID: a.trialOf(f), Delayed: a.Progressed}
	before := s.entry
	s.entry = before.Merge(Entry{CrashStreak: streak + 1, Crashes: []Crash{crash}, Trials: before.finishedTrial(crash.TrialID)})
	if len(s.entry.Crashes) == len(before.Crashes) && s.entry.CrashStreak == before.CrashStreak && crash.TrialID == 0 {
		return false
	}
	s.lastCrashAt = now
	l.recordServerCrash(server, now)
	switch {
	case s.entry.partNeedsTrial():
		l.schedulePublish(f, now, urgentDelay)
	case s.shared:
		l.schedulePublish(f, now, failureDelay)
	case !a.Progressed:
		l.recordEarly(f)
	}

	return true
}

// RecordProgress records that a stream with these prompt parts has progressed (see HasProgressed).
func (l *Ledger) RecordProgress(parts []Fingerprint, now time.Time) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range parts {
		p, _ := l.proofs.get(f)
		p.progressAt = now
		l.proofs.set(f, p)
		if s, ok := l.suspects[f]; ok && !s.entry.hasDelayedCrash() {
			l.drop(f, s.shared, now)
		}
	}
}

// recordPartSuccess records that a request with the part was answered completely. The caller holds mu.
func (l *Ledger) recordPartSuccess(f Fingerprint, now time.Time) {
	l.proofs.set(f, proof{progressAt: now, completeAt: now})
	if s, ok := l.suspects[f]; ok {
		l.drop(f, s.shared, now)
	}
}

func (e Entry) hasDelayedCrash() bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Delayed })
}

// partVerdict returns the verdict on a part of a request. The caller holds mu.
//
// Servers that crash under one account's requests restrict other accounts only once that happens to
// them too, so that no account can have the parts of another one held back.
func (l *Ledger) partVerdict(f Fingerprint, s *suspect, subject Subject, now time.Time) Verdict {
	if !s.entry.partNeedsTrial() || l.explained(f, s.entry) {
		return Allowed
	}
	all, inTrials := s.entry.accounts()
	if !slices.Contains(all, subject.Account) && len(all) < accountsForAll {
		return Allowed
	}
	if s.trialRunning(now) {
		return TrialRunning
	}
	if now.Sub(latest(s.lastCrashAt, s.lastTrialAt)) >= s.entry.partHold() {
		return TrialOnly
	}
	applies := slices.Contains(inTrials, subject.Account) || len(inTrials) >= accountsForAll
	if s.entry.crashedTrials() > 0 && (!applies || !l.confirmedByTrial(f, s.entry, subject)) {
		return TrialOnly
	}

	return Held
}

// explained reports whether something else explains the crashes under a part that was proven harmless:
// fewer than causesBeforeTrial causes together ran at all servers that crashed. A cause was never proven
// harmless and crashed servers again and again; a crash without one counts as a cause of its own.
//
// Scenario: most requests of a route share a part. One in six has another part as well, which crashes
// servers, so that streams with the shared part are at every crash. If the shared part is what crashes
// them, each request explains only its own few crashes.
func (l *Ledger) explained(f Fingerprint, e Entry) bool {
	if !e.Succeeded {
		return false
	}
	left, causes := e.Crashes, 0
	for len(left) > 0 && causes < causesBeforeTrial {
		left = withoutCrashesOf(left, l.likeliestCause(f, left))
		causes++
	}

	return causes < causesBeforeTrial
}

// likeliestCause returns the entry of what explains most of the crashes, or one with the first of them.
func (l *Ledger) likeliestCause(f Fingerprint, crashes []Crash) Entry {
	best, most := Entry{Crashes: crashes[:1]}, 0
	for other, s := range l.suspects {
		if other == f || s.entry.Succeeded || s.entry.CrashStreak < streakBeforeTrial {
			continue
		}
		if n := len(crashes) - len(withoutCrashesOf(crashes, s.entry)); n > most {
			best, most = s.entry, n
		}
	}

	return best
}

// withoutCrashesOf returns the crashes of servers that did not crash under the entry as well.
func withoutCrashesOf(crashes []Crash, e Entry) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return e.hasCrashed(c.Server) })
}

// confirmedByTrial reports whether a server crashed in a trial of the part, and nothing that is not in the
// request may have caused that as well: something with as high a crash streak that ran there. Only a
// trial of a request without it tells which one it was.
func (l *Ledger) confirmedByTrial(f Fingerprint, e Entry, subject Subject) bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool {
		return c.TrialID != 0 && !l.hasOtherCause(f, e, subject, c.Server)
	})
}

func (l *Ledger) hasOtherCause(f Fingerprint, e Entry, subject Subject, server slatebridge.ServerID) bool {
	for other, s := range l.suspects {
		if other == f || other == subject.Request || slices.Contains(subject.Parts, other) {
			continue
		}
		provenOnly := s.entry.Succeeded && !e.Succeeded
		if !provenOnly && s.entry.CrashStreak >= e.CrashStreak && s.entry.hasCrashed(server) {
			return true
		}
	}

	return false
}

// partHold returns how long a part is held back after its last trial or crash.
func (e Entry) partHold() time.Duration {
	trials, crashed := e.countedTrials(), e.crashedTrials()
	switch {
	case e.CrashStreak < heldStreak || crashed == 0:
		if trials < trialsBeforeHold {
			return 0
		}

		return min(baseHold, uncertainHold<<(trials-trialsBeforeHold))
	case trials >= trialsBeforeHold:
		return finalHold
	case e.Succeeded && crashed == 1:
		return provenHold
	default:
		return baseHold
	}
}

// proof is when a part was last proven harmless: by a stream that had progressed, and by a complete
// answer.
type proof struct {
	progressAt, completeAt time.Time
}
