package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slatebridge/slatebridge"
)

// errKey says that a key is not that of an entry.
var errKey = errors.New("quarantine: a key that is no fingerprint")

// Bounds of one entry, and what follows from how many servers have ended.
const (
	// trialRow is after how many ends in a row, as many of them soon after an attempt had
	// begun, a request is sent as a trial only, and trialEnds after how many attempts that
	// ended with a server, in a row or not. One end tells nothing: some forty streams share a
	// server.
	trialRow  = 2
	trialEnds = 3
	// trialGrace is how long after them a request goes on as usual under which several
	// servers ended at once: if it is to blame, more end in a row at once, and if not, it
	// is answered meanwhile. All boxes have the time of news to know, which is longer.
	trialGrace = time.Second
	// quickTime is what counts as soon: requests that end servers were seen to do so within
	// 0.33 s, and this is half as long again. One that ends them later is tried after
	// trialEnds of them.
	quickTime = 500 * time.Millisecond
	// heldRow is after how many ends in a row it is held back, if the last was a trial.
	heldRow = 3
	// MostTrials is how often a request may be tried after trialEnds servers have ended
	// under it. It may reach servers three times more after the third; the bound is that
	// of the users' rules.
	MostTrials = 3
	// mostEnds is how many ends of a request are kept, and mostTrials how many trials.
	mostEnds   = 8
	mostTrials = 16
)

// End is an attempt that ended together with a server.
type End struct {
	_ struct{} `cbor:",toarray"`
	// Attempt is a random number that names the attempt.
	Attempt uint32
	// Server is the start of the server that ended, and Trial the number of the trial;
	// zero if it was none.
	Server slatebridge.ServerID
	Trial  uint32
	// Slow says that the attempt had run for longer than quickTime.
	Slow bool
}

// Trial is one attempt that was allowed although servers have ended under the request.
type Trial struct {
	_ struct{} `cbor:",toarray"`
	// Number is a random number that names the trial.
	Number uint32
	// Servers are the numbers of the servers of its path, the first one first.
	Servers []uint32
	// Late says that trialEnds servers had ended before.
	Late bool
	// Over says that it has ended, and Void that it never reached a server.
	Over bool
	Void bool
}

// Entry is what is known of one request. Entries are not changed; their methods return
// others. Of two boxes' entries Merge makes one, whatever the order.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Row is how many servers have ended one after the other under attempts each of
	// which began when the end before was known.
	Row    int
	Ends   []End
	Trials []Trial
	// Answered says that it was answered whole before.
	Answered bool
}

// WithEnd returns the entry after an attempt, begun when so many ends in a row were
// known, has ended with a server, so long after it had begun.
//
// Load pattern: a request ends a server under sixty others, and the next one to which these
// went on. Those that had run for longer are not suspected with it. Replayed in the pattern
// fatal with MayTry, means of 16 seeds: 0.998 in time, 7 given up, 3 servers ended, against
// 0.974, 79 and 4 (six seeds).
func (e Entry) WithEnd(end End, row int, after time.Duration) Entry {
	end.Slow = after > quickTime

	return e.Merge(Entry{Row: row + 1, Ends: []End{end}, Trials: e.trialOver(end.Trial)})
}

// WithTrial returns the entry with one more trial.
func (e Entry) WithTrial(t Trial) Entry {
	t.Late = len(e.Ends) >= trialEnds

	return e.Merge(Entry{Trials: []Trial{t}})
}

// WithTrialOver returns the entry after a trial has ended, without a server. One that is
// void never reached one.
func (e Entry) WithTrialOver(number uint32, void bool) Entry {
	list := e.trialOver(number)
	for i := range list {
		list[i].Void = void
	}

	return e.Merge(Entry{Trials: list})
}

func (e Entry) trialOver(number uint32) []Trial {
	for _, t := range e.Trials {
		if t.Number == number {
			t.Over = true

			return []Trial{t}
		}
	}

	return nil
}

// Merge returns an entry with what both know. Beyond the bounds ends in trials and late
// trials stay, since verdicts go by these.
func (e Entry) Merge(o Entry) Entry {
	return Entry{
		Row: max(e.Row, o.Row), Ends: mergeEnds(e.Ends, o.Ends), Trials: mergeTrials(e.Trials, o.Trials),
		Answered: e.Answered || o.Answered,
	}
}

func mergeEnds(a, b []End) []End {
	out := slices.Clone(a)
	for _, end := range b {
		if !slices.ContainsFunc(out, func(v End) bool { return v.Attempt == end.Attempt }) {
			out = append(out, end)
		}
	}
	slices.SortFunc(out, func(a, b End) int {
		return cmp.Or(first(a.Trial != 0, b.Trial != 0), cmp.Compare(a.Attempt, b.Attempt))
	})

	return out[:min(len(out), mostEnds)]
}

func mergeTrials(a, b []Trial) []Trial {
	out := slices.Clone(a)
	for _, t := range b {
		i := slices.IndexFunc(out, func(v Trial) bool { return v.Number == t.Number })
		if i < 0 {
			out = append(out, t)

			continue
		}
		out[i].Over = out[i].Over || t.Over
		out[i].Late = out[i].Late || t.Late
		out[i].Void = out[i].Void || t.Void
	}
	slices.SortFunc(out, func(a, b Trial) int { return cmp.Or(first(a.Late, b.Late), cmp.Compare(a.Number, b.Number)) })

	return out[:min(len(out), mostTrials)]
}

// first compares two values of which the true one comes first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// onTrial reports whether the request may only be sent as a trial, so long after its last
// end.
func (e Entry) onTrial(since time.Duration) bool {
	switch {
	case e.Row >= trialRow && e.quickRow() >= trialRow, e.Row >= trialEnds:
		return true
	default:
		return len(e.Ends) >= trialEnds && since >= trialGrace
	}
}

// quickRow returns how many of the ends in a row came soon after an attempt had begun, at
// most. Ends that came at the same time count once in a row, and some may be forgotten.
func (e Entry) quickRow() int {
	slow := 0
	for _, end := range e.Ends {
		if end.Slow {
			slow++
		}
	}

	return max(len(e.Ends)-slow, e.Row-slow)
}

// late returns how many trials there were after trialEnds servers had ended.
func (e Entry) late() int {
	n := 0
	for _, t := range e.Trials {
		if t.Late && !t.Void {
			n++
		}
	}

	return n
}

// trialsEnded returns how many trials have ended with a server.
func (e Entry) trialsEnded() int {
	n := 0
	for _, end := range e.Ends {
		if end.Trial != 0 {
			n++
		}
	}

	return n
}

// has reports whether the server ended under the request.
func (e Entry) has(server slatebridge.ServerID) bool {
	return slices.ContainsFunc(e.Ends, func(v End) bool { return v.Server == server })
}

// oldEntry is an entry of a program that did not tell ends after long from others; the store
// may have some for as long as requests are held back.
type oldEntry struct {
	_    struct{} `cbor:",toarray"`
	Row  int
	Ends []struct {
		_       struct{} `cbor:",toarray"`
		Attempt uint32
		Server  slatebridge.ServerID
		Trial   uint32
	}
	Trials   []Trial
	Answered bool
}

func (o oldEntry) entry() Entry {
	e := Entry{Row: o.Row, Trials: o.Trials, Answered: o.Answered}
	for _, end := range o.Ends {
		e.Ends = append(e.Ends, End{Attempt: end.Attempt, Server: end.Server, Trial: end.Trial})
	}

	return e
}

// Encode returns the entry as boxes share it.
func (e Entry) Encode() ([]byte, error) {
	data, err := cbor.Marshal(e)

	return data, errors.Wrap(err, "quarantine: entry")
}

// decoder bounds what an entry may make this process allocate.
var decoder = func() cbor.DecMode {
	const mostElements = 64
	// The options are constant and valid.
	mode, err := cbor.DecOptions{MaxArrayElements: mostElements, MaxMapPairs: mostElements}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// Decode returns the entry that Encode made. One that another writer spoiled has an
// error.
func Decode(data []byte) (Entry, error) {
	var e Entry
	if err := decoder.Unmarshal(data, &e); err != nil {
		var old oldEntry
		if decoder.Unmarshal(data, &old) != nil {
			return Entry{}, errors.Wrap(err, "quarantine: entry")
		}
		e = old.entry()
	}
	if e.Row < 0 || len(e.Ends) > mostEnds || len(e.Trials) > mostTrials {
		return Entry{}, errors.Newf("quarantine: an entry with row %d, %d ends and %d trials", e.Row, len(e.Ends), len(e.Trials))
	}

	return e, nil
}
