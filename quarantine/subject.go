package quarantine

import (
	"cmp"
	"time"

	"github.com/slatebridge/slatebridge"
)

// Decision is the decision on a request with all that may crash servers in it.
type Decision struct {
	Verdict Verdict
	// Blamed is what the verdict is about: the request or a part of its prompt. It is the request
	// while the verdict is Allowed.
	Blamed Fingerprint
	// CrashStreak is the crash streak of the request itself, and BlamedStreak that of Blamed.
	CrashStreak, BlamedStreak int
	// Ambiguous reports whether a trial of the request would not tell whether the request itself or
	// the blamed part crashes servers. One of another request with that part would.
	Ambiguous bool
	// Suspected reports whether a server has crashed under anything in the request that was not
	// proven harmless recently.
	Suspected bool
}

// Decide returns the decision on a request: the strictest verdict on anything in it. Among those it
// blames what was not proven harmless, and then what has the highest crash streak.
func (l *Ledger) Decide(subject Subject, now time.Time) Decision {
	d := Decision{Blamed: subject.Request}
	if l.Empty() {
		return d
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	proven := false
	if s, ok := l.suspects[subject.Request]; ok {
		d.Verdict, d.CrashStreak, d.BlamedStreak = l.verdict(subject.Request, s, now), s.entry.CrashStreak, s.entry.CrashStreak
		d.Suspected, proven = d.CrashStreak > 0, s.entry.Succeeded
	}
	for _, f := range subject.Parts {
		s, ok := l.suspects[f]
		if !ok {
			continue
		}
		d.Suspected = d.Suspected || !s.entry.Succeeded
		v := l.partVerdict(f, s, subject, now)
		stronger := cmp.Or(compareTrueFirst(s.entry.Succeeded, proven), cmp.Compare(s.entry.CrashStreak, d.BlamedStreak)) >= 0
		if v > d.Verdict || (v == d.Verdict && v != Allowed && stronger) {
			d.Verdict, d.Blamed, d.BlamedStreak, proven = v, f, s.entry.CrashStreak, s.entry.Succeeded
		}
	}

	d.Ambiguous = d.Blamed != subject.Request && d.CrashStreak >= d.BlamedStreak

	return d
}

// CrashFinding is a crash that was counted for a request or a part of its prompt.
type CrashFinding struct {
	Blamed Fingerprint
	// CrashStreak is the crash streak with this crash.
	CrashStreak int
}

// RecordCrashUnder records a crash for the request and the parts of its prompt, and returns those for
// which it counts.
func (l *Ledger) RecordCrashUnder(subject Subject, a Attempt, server slatebridge.ServerID, now time.Time) []CrashFinding {
	var out []CrashFinding
	if l.RecordCrash(subject.Request, a, server, now) {
		out = append(out, CrashFinding{Blamed: subject.Request})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range subject.Parts {
		if l.recordPartCrash(f, subject.Account, a, server, now) {
			out = append(out, CrashFinding{Blamed: f})
		}
	}
	for i := range out {
		if s, ok := l.suspects[out[i].Blamed]; ok {
			out[i].CrashStreak = s.entry.CrashStreak
		}
	}

	return out
}

// RecordFailureOf records that a request ended without an answer; see RecordFailure. Parts that were
// proven harmless recently are published only after a second crash.
func (l *Ledger) RecordFailureOf(subject Subject, now time.Time) {
	if l.Empty() {
		return
	}
	l.RecordFailure(subject.Request, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range subject.Parts {
		if s, ok := l.suspects[f]; ok && !s.shared && (!s.entry.Succeeded || s.entry.CrashStreak >= streakBeforeTrial) {
			l.schedulePublish(f, now, failureDelay)
		}
	}
}

// RecordSuccessOf records that a server answered the request completely, which shows that nothing in
// it crashes servers.
func (l *Ledger) RecordSuccessOf(subject Subject, now time.Time) {
	l.RecordSuccess(subject.Request, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range subject.Parts {
		l.recordPartSuccess(f, now)
	}
}
