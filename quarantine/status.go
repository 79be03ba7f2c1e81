package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// maxListed limits the suspects in the status.
	maxListed = 100
)

// Lift drops everything known of the requests whose fingerprints start with prefix, and returns
// their number.
func (l *Ledger) Lift(prefix string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for f, s := range l.suspects {
		if prefix != "" && strings.HasPrefix(f.key(), prefix) {
			l.drop(f, s.shared, now)
			n++
		}
	}

	return n
}

// Suspect describes a suspect request in the status for operators.
type Suspect struct {
	// Fingerprint is the displayed part of the fingerprint.
	Fingerprint string `json:"same"`
	Verdict     string `json:"verdict"`
	// PromptPart reports whether it is a part of prompts rather than a request.
	PromptPart bool `json:"prompt_part"`
	// CrashStreak is the number of consecutive crashes under the request.
	CrashStreak int `json:"row"`
	// Servers are the servers that crashed under the request, and Trials the number of its trials,
	// both within the limits of an entry.
	Servers []slatebridge.ServerID `json:"servers"`
	Trials  int                    `json:"trials"`
	// SinceLastCrash is the time since the last crash became known, in nanoseconds in JSON.
	SinceLastCrash time.Duration `json:"ago"`
}

// statusVerdict returns the verdict on a request, or on a part in the requests under which servers
// crashed last.
func (l *Ledger) statusVerdict(f Fingerprint, s *suspect, now time.Time) Verdict {
	if !f.IsPart() {
		return l.verdict(f, s, now)
	}
	v := Allowed
	all, _ := s.entry.accounts()
	for _, account := range all {
		v = max(v, l.partVerdict(f, s, Subject{Account: account}, now))
	}

	return v
}

// Suspects returns the requests and prompt parts that may be sent as trials only or not at all, those with the
// highest crash streak first.
func (l *Ledger) Suspects(now time.Time) []Suspect {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Suspect
	for f, s := range l.suspects {
		v := l.statusVerdict(f, s, now)
		if v == Allowed {
			continue
		}
		o := Suspect{Fingerprint: f.String(), PromptPart: f.IsPart(), Verdict: v.String(), CrashStreak: s.entry.CrashStreak, Trials: len(s.entry.Trials), SinceLastCrash: now.Sub(s.lastCrashAt)}
		for _, crash := range s.entry.Crashes {
			o.Servers = append(o.Servers, crash.Server)
		}
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.CrashStreak, a.CrashStreak), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})

	return out[:min(len(out), maxListed)]
}
