package quarantine

import (
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// baseHold is how long a request is held back before its next trial, and finalHold the same
	// after trialsBeforeHold trials.
	baseHold  = time.Hour
	finalHold = 24 * time.Hour
	// uncertainHold is how long a request is held back that was once answered, or whose trials were
	// inconclusive. It doubles with each trial.
	//
	// While servers crash for other causes every two seconds, they also crash during the trials of
	// a popular request. The longer holds would keep it back for an hour, and then for a day.
	uncertainHold = 10 * time.Second
	// trialTimeout is when a trial without a result counts as finished, since its box may be lost.
	// The timeout exceeds the duration of a stream.
	trialTimeout = 30 * time.Second
	// trialExclusiveTime is how long the first server of a trial is kept free of other trials.
	// It exceeds quickCrashTime, within which poison requests crash servers.
	trialExclusiveTime = time.Second
)

const (
	// trialDelay is the time after the last crash at which a request may be tried even at a server
	// that is the first server of more than maxOtherRequests other requests in flight: the crashed
	// servers are back by then, and have few requests. Callers are told to retry after this time.
	trialDelay       = 3 * time.Second
	maxOtherRequests = 8
)

// TrialAllowed reports whether a trial may begin at a server that is the first server of the given
// number of other requests in flight, at the given time since the last crash under the request. The
// number is a float64 because loads that boxes report are.
//
// Without this rule, a request that crashed two of three first servers within 0.3 s would be tried
// at the third, where all streams are by then, and would crash that one 0.2 s later. About eight
// requests are suspected together, and at most one of them is the cause, so a trial crashes its
// server with a probability of about one in eight. Beside more than eight others, that costs on
// average more than the one request that is lost by refusing the trial.
func TrialAllowed(otherRequests float64, since time.Duration) bool {
	return otherRequests <= maxOtherRequests || since >= trialDelay
}

// TrialAllowed is TrialAllowed for the decision: a trial that would not tell what is to blame waits for
// trialDelay in any case, so that one that does may come first.
func (d Decision) TrialAllowed(otherRequests float64, since time.Duration) bool {
	return since >= trialDelay || (!d.Ambiguous && TrialAllowed(otherRequests, since))
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Allowed allows the request, under which servers may have crashed. The status omits it.
	Allowed Verdict = iota
	// TrialOnly allows the request as a trial only.
	TrialOnly
	// TrialRunning refuses the request while a trial of it runs.
	TrialRunning
	// Held refuses the request, which is held back.
	Held
)

// String returns the verdict in words. The status shows all but that of Allowed.
func (v Verdict) String() string {
	return [...]string{"suspected", "on trial only", "on trial now", "held back"}[v]
}

// Verdict returns the verdict on a request, and its crash streak.
func (l *Ledger) Verdict(f Fingerprint, now time.Time) (v Verdict, streak int) {
	if l.Empty() {
		return Allowed, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[f]
	if !ok {
		return Allowed, 0
	}

	return l.verdict(f, s, now), s.entry.CrashStreak
}

func (l *Ledger) verdict(f Fingerprint, s *suspect, now time.Time) Verdict {
	switch {
	case !s.entry.needsTrial(now.Sub(s.lastCrashAt)) || l.successes.outweighCrash(f):
		return Allowed
	case s.trialRunning(now):
		return TrialRunning
	case now.Sub(latest(s.lastCrashAt, s.lastTrialAt)) < l.holdDuration(f, s.entry):
		return Held
	default:
		return TrialOnly
	}
}

// holdDuration returns how long a request is held back; zero if it is not. A request that was never
// answered completely is held for baseHold if isPoison, and for finalHold after trialsBeforeHold
// trials if its crash streak has reached heldStreak and a server crashed in a trial. For any other
// request, it is uncertain whether it causes the crashes, however often it was tried.
func (l *Ledger) holdDuration(f Fingerprint, e Entry) time.Duration {
	if f.IsPart() {
		return e.partHold()
	}
	trials := e.countedTrials()
	switch {
	case !e.Succeeded && e.CrashStreak >= heldStreak && e.crashedTrials() > 0 && trials >= trialsBeforeHold:
		return finalHold
	case !e.Succeeded && l.isPoison(f, e):
		return baseHold
	case trials >= trialsBeforeHold:
		return min(baseHold, uncertainHold<<(trials-trialsBeforeHold))
	default:
		return 0
	}
}

// trialRunning reports whether a trial is running.
func (s *suspect) trialRunning(now time.Time) bool {
	return now.Sub(s.lastTrialAt) < trialTimeout && slices.ContainsFunc(s.entry.Trials, func(t Trial) bool { return !t.Finished })
}

// isPoison reports whether a server crashed in a trial of the request after enough consecutive
// crashes, and no other request with as high a streak ran there.
func (l *Ledger) isPoison(f Fingerprint, e Entry) bool {
	return e.CrashStreak >= heldStreak && slices.ContainsFunc(e.Crashes, func(crash Crash) bool {
		return crash.TrialID != 0 && l.isTopSuspect(f, e, crash.Server)
	})
}

// isTopSuspect reports whether the request has a higher crash streak than all other requests under which
// the server crashed. Streams that moved on after earlier crashes have a streak as well.
//
// If a request crashes three of eight first servers within half a second, the streams there move to
// the others, beside its trial. If another request with a streak of two were enough to make the
// trial inconclusive, more servers would crash before the request is held back.
func (l *Ledger) isTopSuspect(f Fingerprint, e Entry, server slatebridge.ServerID) bool {
	for other, s := range l.suspects {
		if other != f && !other.IsPart() && s.entry.CrashStreak >= e.CrashStreak && s.entry.hasCrashed(server) {
			return false
		}
	}

	return true
}

// SinceLastCrash returns the time since the last crash under a request became known, or trialDelay,
// which allows a trial at any server, if the request is no suspect.
func (l *Ledger) SinceLastCrash(f Fingerprint, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[f]
	if !ok {
		return trialDelay
	}

	return now.Sub(s.lastCrashAt)
}

// TrialServers returns the short IDs of the first servers of trials that have just begun.
func (l *Ledger) TrialServers(now time.Time) []uint32 {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []uint32
	for _, s := range l.suspects {
		if now.Sub(s.lastTrialAt) >= trialExclusiveTime {
			continue
		}
		for _, t := range s.entry.Trials {
			if !t.Finished && len(t.Servers) > 0 {
				out = append(out, t.Servers[0])
			}
		}
	}

	return out
}
