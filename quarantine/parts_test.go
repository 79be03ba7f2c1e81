package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
)

// partScenario has several ledgers, as of several boxes, and a clock.
type partScenario struct {
	t       *testing.T
	ledgers []*Ledger
	now     time.Time
	lastID  uint32
}

func newPartScenario(t *testing.T, boxes int) *partScenario {
	t.Helper()
	s := &partScenario{t: t, now: time.Unix(1, 0)}
	for range boxes {
		s.ledgers = append(s.ledgers, New())
	}

	return s
}

// subject returns a new request of the account with the parts.
func (s *partScenario) subject(account string, parts ...string) Subject {
	s.lastID++
	out := Subject{Request: NewFingerprint(account, "h", "POST", "/", fmt.Append(nil, s.lastID)), Account: NewAccountHash(account)}
	for _, p := range parts {
		out.Parts = append(out.Parts, NewPartFingerprint("llm", p))
	}

	return out
}

// begin starts an attempt at a box 10 ms later, as a trial if the decision demands it.
func (s *partScenario) begin(box int, subject Subject) Attempt {
	s.t.Helper()
	s.now = s.now.Add(10 * time.Millisecond)
	l := s.ledgers[box]
	d := l.Decide(subject, s.now)
	s.lastID++
	a := Attempt{ID: s.lastID, CrashStreak: d.CrashStreak, StartedAt: s.now}
	switch d.Verdict {
	case Allowed:
	case TrialOnly:
		a.TrialID, a.TrialOf = s.lastID, d.Blamed
		l.RecordTrial(d.Blamed, Trial{ID: a.TrialID}, s.now)
	default:
		s.t.Fatalf("the verdict is %s", d.Verdict)
	}

	return a
}

// crash has a new server crash under the requests at the box, and tells the others.
func (s *partScenario) crash(box int, subjects ...Subject) {
	s.t.Helper()
	var attempts []Attempt
	for _, subject := range subjects {
		attempts = append(attempts, s.begin(box, subject))
	}
	s.now = s.now.Add(10 * time.Millisecond)
	s.lastID++
	server := slatebridge.ServerID(fmt.Sprint("s", s.lastID))
	for i, subject := range subjects {
		s.ledgers[box].RecordCrashUnder(subject, attempts[i], server, s.now)
		s.ledgers[box].RecordFailureOf(subject, s.now)
	}
	s.share(box)
}

// share tells the other boxes what the box publishes.
func (s *partScenario) share(box int) {
	s.t.Helper()
	l := s.ledgers[box]
	early := l.EarlySuspects()
	s.now = s.now.Add(droppedDelay)
	changes := l.DueChanges(s.now)
	for i, o := range s.ledgers {
		if i == box {
			continue
		}
		for _, c := range early {
			if _, err := o.ApplyEarlySuspect(c, s.now); err != nil {
				s.t.Fatal(err)
			}
		}
		for _, c := range changes {
			if err := o.Apply(c, s.now); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

// prove has the box answer a request completely.
func (s *partScenario) prove(box int, subject Subject) {
	s.t.Helper()
	s.begin(box, subject)
	s.now = s.now.Add(10 * time.Millisecond)
	s.ledgers[box].RecordSuccessOf(subject, s.now)
	s.share(box)
}

func (s *partScenario) wantVerdict(subject Subject, want Verdict) {
	s.t.Helper()
	for i, l := range s.ledgers {
		if d := l.Decide(subject, s.now); d.Verdict != want {
			s.t.Errorf("box %d: the verdict is %q after %d consecutive crashes, want %q", i, d.Verdict, d.BlamedStreak, want)
		}
	}
}

func TestPartVerdicts(t *testing.T) {
	t.Run("no box sees two crashes", func(t *testing.T) {
		s := newPartScenario(t, 4)
		s.prove(0, s.subject("shop", "common"))
		for box, want := range []Verdict{Allowed, TrialOnly, Held} {
			s.crash(box, s.subject("shop", "common", "bad"))
			s.wantVerdict(s.subject("shop", "other", "bad"), want)
		}
		s.wantVerdict(s.subject("shop", "other"), Allowed)
	})
	t.Run("a common part beside it is answered otherwise", func(t *testing.T) {
		s := newPartScenario(t, 1)
		for range 3 {
			s.prove(0, s.subject("shop", "common"))
			s.crash(0, s.subject("shop", "common", "bad"))
		}
		s.wantVerdict(s.subject("shop", "common", "bad"), Held)
		s.wantVerdict(s.subject("shop", "common"), Allowed)
	})
	t.Run("a common part beside it gets no answers, but did before", func(t *testing.T) {
		s := newPartScenario(t, 1)
		s.prove(0, s.subject("shop", "common"))
		for range 2 {
			s.crash(0, s.subject("shop", "common", "bad"), s.subject("shop", "common"))
		}
		for range causesBeforeTrial - 2 {
			// Other causes crash servers as well.
			s.crash(0, s.subject("shop", "common"))
		}
		s.wantVerdict(s.subject("shop", "common"), Allowed)
		s.crash(0, s.subject("shop", "common", "bad"), s.subject("shop", "common"))
		s.wantVerdict(s.subject("shop", "common", "bad"), Held)
		s.wantVerdict(s.subject("shop", "common"), Allowed)
	})
	t.Run("a part that only ever came with it is tried alone", func(t *testing.T) {
		s := newPartScenario(t, 1)
		for range 3 {
			s.crash(0, s.subject("shop", "beside", "bad"))
		}
		s.wantVerdict(s.subject("shop", "beside", "bad"), Held)
		s.wantVerdict(s.subject("shop", "beside"), TrialOnly)
		s.prove(0, s.subject("shop", "beside"))
		s.wantVerdict(s.subject("shop", "beside"), Allowed)
		s.wantVerdict(s.subject("shop", "bad"), Held)
	})
}

func TestProvenPartVerdicts(t *testing.T) {
	t.Run("a part crashes servers that was answered before", func(t *testing.T) {
		s := newPartScenario(t, 4)
		for box := range s.ledgers {
			s.prove(box, s.subject("shop", "bad"))
		}
		for i := range provenStreakBeforeTrial + 1 {
			s.crash(i%len(s.ledgers), s.subject("shop", "bad"))
		}
		s.wantVerdict(s.subject("shop", "bad"), Held)
	})
	t.Run("a part crashes servers that was answered before, and each request is sent twice", func(t *testing.T) {
		s := newPartScenario(t, 4)
		for box := range s.ledgers {
			s.prove(box, s.subject("shop", "bad"))
		}
		crashes := 0
		for d := (Decision{}); d.Verdict != Held && crashes < 20; d = s.ledgers[0].Decide(s.subject("shop", "bad"), s.now) {
			subject := s.subject("shop", "bad")
			for box := 0; box < 2 && s.ledgers[box].Decide(subject, s.now).Verdict <= TrialOnly; box++ {
				s.crash(box, subject)
				crashes++
			}
		}
		if want := 2 * (causesBeforeTrial + 1); crashes > want {
			t.Errorf("%d servers crashed, want %d at most", crashes, want)
		}
	})
	t.Run("a part crashes servers of which each stream had events for long", func(t *testing.T) {
		s := newPartScenario(t, 1)
		for range provenStreakBeforeTrial + 1 {
			subject := s.subject("shop", "bad")
			a := s.begin(0, subject)
			s.now = s.now.Add(time.Second)
			s.ledgers[0].RecordProgress(subject.Parts, s.now)
			a.Progressed = true
			s.now = s.now.Add(time.Second)
			s.lastID++
			s.ledgers[0].RecordCrashUnder(subject, a, slatebridge.ServerID(fmt.Sprint("s", s.lastID)), s.now)
		}
		s.wantVerdict(s.subject("shop", "bad"), TrialOnly)
	})
	t.Run("many streams at one crashed server", func(t *testing.T) {
		s := newPartScenario(t, 1)
		for range 40 {
			subject := s.subject("shop", "common")
			s.ledgers[0].RecordCrashUnder(subject, Attempt{ID: s.lastID, StartedAt: s.now}, "s1", s.now)
		}
		s.wantVerdict(s.subject("shop", "common"), Allowed)
	})
}

// TestPartsOfOtherAccounts checks that no account can have the parts of another one held back, and
// that a part is held back for all once it has crashed servers under two.
func TestPartsOfOtherAccounts(t *testing.T) {
	s := newPartScenario(t, 1)
	for range 3 {
		s.crash(0, s.subject("shop", "bad"))
	}
	s.wantVerdict(s.subject("shop", "bad"), Held)
	s.wantVerdict(s.subject("clinic", "bad"), Allowed)
	s.crash(0, s.subject("clinic", "bad"))
	s.wantVerdict(s.subject("clinic", "bad"), TrialOnly)
	s.wantVerdict(s.subject("bank", "bad"), TrialOnly)
	s.crash(0, s.subject("clinic", "bad"))
	s.wantVerdict(s.subject("bank", "bad"), Held)
}

// TestPartFingerprint checks that parts and requests cannot be confused, and that services do not
// share parts.
func TestPartFingerprint(t *testing.T) {
	part := NewPartFingerprint("llm", "a")
	if !part.IsPart() || NewFingerprint("", "llm", "", "", []byte("a")).IsPart() {
		t.Error("the fingerprints do not tell a part from a request")
	}
	if part == NewPartFingerprint("other", "a") || part == NewPartFingerprint("llm", "b") {
		t.Error("two parts have the same fingerprint")
	}
}

// TestPartMemory checks that crashes under parts that are not in the store are forgotten soon, and
// that the proofs of parts are bounded.
func TestPartMemory(t *testing.T) {
	s := newPartScenario(t, 1)
	l := s.ledgers[0]
	subject := s.subject("shop", "a")
	l.RecordCrashUnder(subject, Attempt{ID: 1, StartedAt: s.now, Progressed: true}, "s1", s.now)
	l.Expire(s.now.Add(unsharedPartTTL + time.Second))
	if _, ok := l.suspects[subject.Parts[0]]; ok {
		t.Error("the part is still a suspect")
	}
	for i := range 4 * generationSize {
		l.RecordProgress([]Fingerprint{NewPartFingerprint("llm", fmt.Sprint(i))}, s.now)
	}
	if n := len(l.proofs.recent) + len(l.proofs.older); n > 2*generationSize {
		t.Errorf("%d parts are remembered, want %d at most", n, 2*generationSize)
	}
}

func BenchmarkDecide(b *testing.B) {
	l := New()
	now := time.Unix(1, 0)
	subject := Subject{Request: NewFingerprint("shop", "h", "POST", "/", nil)}
	for i := range 3 {
		subject.Parts = append(subject.Parts, NewPartFingerprint("llm", fmt.Sprint(i)))
	}
	l.RecordCrash(NewFingerprint("other", "h", "POST", "/", nil), Attempt{ID: 1, StartedAt: now}, "s1", now)
	for b.Loop() {
		l.Decide(subject, now)
	}
}

func BenchmarkRecordProgress(b *testing.B) {
	l := New()
	parts := []Fingerprint{NewPartFingerprint("llm", "a"), NewPartFingerprint("llm", "b")}
	for b.Loop() {
		l.RecordProgress(parts, time.Unix(1, 0))
	}
}

func BenchmarkNewPartFingerprint(b *testing.B) {
	for b.Loop() {
		NewPartFingerprint("llm", "5c1e07a2")
	}
}
