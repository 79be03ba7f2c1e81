package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slatebridge/slatebridge"
)

// errInvalidKey reports that a key is not that of an entry.
var errInvalidKey = errors.New("quarantine: the key is not a fingerprint")

// Thresholds for the number of crashes, and limits of one entry.
const (
	// A request may be sent only as a trial: after streakBeforeTrial consecutive crashes if at
	// least that many were quick; after crashesBeforeTrial consecutive crashes; or after
	// crashesBeforeTrial crashes in all, once trialGrace has passed. One crash shows nothing: some
	// forty streams share a server.
	streakBeforeTrial  = 2
	crashesBeforeTrial = 3
	// trialGrace is how long a request continues as usual after several servers crashed under it at
	// the same time. If it is the cause, more consecutive crashes follow at once, and if not, it is
	// answered meanwhile. It is shorter than the time in which boxes must learn of changes
	// (MaxStaleness in package box).
	trialGrace = time.Second
	// quickCrashTime is the duration of an attempt up to which its crash counts as quick. Poison
	// requests crash servers within 0.33 s, and this is half as long again. One that crashes them
	// later is sent as a trial after crashesBeforeTrial crashes.
	quickCrashTime = 500 * time.Millisecond
	// heldStreak is the crash streak from which a request is held back if one of the crashes was in
	// a trial.
	heldStreak = 3
	// trialsBeforeHold is the number of counted trials (see Trial.Counted) after which the request
	// is held back before each further trial, whatever the results; holdDuration returns for how
	// long. The platform's rules allow the request to reach servers three more times after the
	// third crash.
	trialsBeforeHold = 3
	// maxCrashes limits the crashes in an entry, and maxStoredTrials the trials.
	maxCrashes      = 8
	maxStoredTrials = 16
)

// Crash is an attempt during which a server crashed.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Source identifies what counts as one crash: the random number of the attempt or, in the entry
	// of a part, its account and server (see partSource).
	Source uint32
	// Server is the incarnation that crashed, and TrialID the trial that the attempt was; zero if
	// none.
	Server  slatebridge.ServerID
	TrialID uint32
	// Delayed reports whether the attempt had run for longer than quickCrashTime or, in the entry of a
	// part, had progressed.
	Delayed bool
}

// Trial is an attempt that was granted although servers have crashed under the request.
type Trial struct {
	_ struct{} `cbor:",toarray"`
	// ID is the random number of the trial.
	ID uint32
	// Servers are the short IDs (fleet.ShortID) of the servers on its path, in order.
	Servers []uint32
	// Counted reports whether the trial counts towards trialsBeforeHold, unless it is canceled: it
	// began after at least crashesBeforeTrial crashes.
	Counted bool
	// Finished reports whether the trial has ended, and Canceled whether it never reached a server.
	Finished bool
	Canceled bool
}

// Entry is what is known of one request or prompt part. Entries are immutable; methods return new ones. Merge
// combines the entries of two boxes in any order.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// CrashStreak is the number of consecutive crashes: each attempt began when the crash before
	// was known.
	CrashStreak int
	Crashes     []Crash
	Trials      []Trial
	// Succeeded reports whether the request was ever answered completely, or the part recently proven
	// harmless before its crashes.
	Succeeded bool
}

// WithCrash adds a crash to the entry. streak is the crash streak known when the attempt began, and
// runTime how long the attempt had run.
//
// When a poison request crashes a server, about sixty other requests move with it to the next one,
// which crashes as well. The crash of an attempt that had run for longer than quickCrashTime is not
// counted as quick, which tells such requests apart from the cause. Without this and TrialAllowed,
// many more requests would be given up.
func (e Entry) WithCrash(crash Crash, streak int, runTime time.Duration) Entry {
	crash.Delayed = runTime > quickCrashTime

	return e.Merge(Entry{CrashStreak: streak + 1, Crashes: []Crash{crash}, Trials: e.finishedTrial(crash.TrialID)})
}

// WithTrial adds a trial to the entry.
func (e Entry) WithTrial(t Trial) Entry {
	t.Counted = len(e.Crashes) >= crashesBeforeTrial

	return e.Merge(Entry{Trials: []Trial{t}})
}

// WithTrialFinished marks a trial as finished without a crash. A canceled one never reached a
// server.
func (e Entry) WithTrialFinished(id uint32, canceled bool) Entry {
	finished := e.finishedTrial(id)
	for i := range finished {
		finished[i].Canceled = canceled
	}

	return e.Merge(Entry{Trials: finished})
}

func (e Entry) finishedTrial(id uint32) []Trial {
	for _, t := range e.Trials {
		if t.ID == id {
			t.Finished = true

			return []Trial{t}
		}
	}

	return nil
}

// Merge combines two entries. Of lists that exceed their limits it keeps crashes in trials and
// counted trials first, since verdicts depend on them.
func (e Entry) Merge(o Entry) Entry {
	return Entry{
		CrashStreak: max(e.CrashStreak, o.CrashStreak), Crashes: mergeCrashes(e.Crashes, o.Crashes), Trials: mergeTrials(e.Trials, o.Trials),
		Succeeded: e.Succeeded || o.Succeeded,
	}
}

func mergeCrashes(a, b []Crash) []Crash {
	out := slices.Clone(a)
	for _, crash := range b {
		i := slices.IndexFunc(out, func(v Crash) bool { return v.Source == crash.Source })
		if i < 0 {
			out = append(out, crash)

			continue
		}
		out[i].TrialID = max(out[i].TrialID, crash.TrialID)
		out[i].Delayed = out[i].Delayed && crash.Delayed
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(compareTrueFirst(a.TrialID != 0, b.TrialID != 0), cmp.Compare(a.Source, b.Source))
	})

	return out[:min(len(out), maxCrashes)]
}

func mergeTrials(a, b []Trial) []Trial {
	out := slices.Clone(a)
	for _, t := range b {
		i := slices.IndexFunc(out, func(v Trial) bool { return v.ID == t.ID })
		if i < 0 {
			out = append(out, t)

			continue
		}
		out[i].Finished = out[i].Finished || t.Finished
		out[i].Counted = out[i].Counted || t.Counted
		out[i].Canceled = out[i].Canceled || t.Canceled
	}
	slices.SortFunc(out, func(a, b Trial) int { return cmp.Or(compareTrueFirst(a.Counted, b.Counted), cmp.Compare(a.ID, b.ID)) })

	return out[:min(len(out), maxStoredTrials)]
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// needsTrial reports whether the request may only be sent as a trial, at the given time since its
// last crash.
func (e Entry) needsTrial(since time.Duration) bool {
	switch {
	case e.CrashStreak >= streakBeforeTrial && e.quickStreak() >= streakBeforeTrial, e.CrashStreak >= crashesBeforeTrial:
		return true
	default:
		return len(e.Crashes) >= crashesBeforeTrial && since >= trialGrace
	}
}

// quickStreak returns an upper bound on the number of quick crashes in the streak. The list may
// hold more crashes than the streak counts, since simultaneous ones count once, or fewer, since it
// is limited to maxCrashes.
func (e Entry) quickStreak() int {
	delayed := 0
	for _, crash := range e.Crashes {
		if crash.Delayed {
			delayed++
		}
	}

	return max(len(e.Crashes)-delayed, e.CrashStreak-delayed)
}

// countedTrials returns the number of trials that count towards trialsBeforeHold.
func (e Entry) countedTrials() int {
	n := 0
	for _, t := range e.Trials {
		if t.Counted && !t.Canceled {
			n++
		}
	}

	return n
}

// crashedTrials returns the number of trials in which a server crashed.
func (e Entry) crashedTrials() int {
	n := 0
	for _, crash := range e.Crashes {
		if crash.TrialID != 0 {
			n++
		}
	}

	return n
}

// hasCrashed reports whether the server crashed under the request.
func (e Entry) hasCrashed(server slatebridge.ServerID) bool {
	return slices.ContainsFunc(e.Crashes, func(v Crash) bool { return v.Server == server })
}

// legacyEntry is the format of earlier versions, which lacked Crash.Delayed. The store may contain
// such entries for as long as requests are held back.
type legacyEntry struct {
	_           struct{} `cbor:",toarray"`
	CrashStreak int
	Crashes     []struct {
		_       struct{} `cbor:",toarray"`
		Attempt uint32
		Server  slatebridge.ServerID
		Trial   uint32
	}
	Trials    []Trial
	Succeeded bool
}

func (o legacyEntry) toEntry() Entry {
	e := Entry{CrashStreak: o.CrashStreak, Trials: o.Trials, Succeeded: o.Succeeded}
	for _, crash := range o.Crashes {
		e.Crashes = append(e.Crashes, Crash{Source: crash.Attempt, Server: crash.Server, TrialID: crash.Trial})
	}

	return e
}

// Encode returns the stored form of the entry.
func (e Entry) Encode() ([]byte, error) {
	data, err := cbor.Marshal(e)

	return data, errors.Wrap(err, "quarantine: encode entry")
}

// decoder limits the memory that decoding an entry may allocate.
var decoder = func() cbor.DecMode {
	const maxElements = 64
	// The options are constant and valid.
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// DecodeEntry decodes the stored form of an entry. It fails if the data is not a valid entry, for
// example because another program wrote it.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := decoder.Unmarshal(data, &e); err != nil {
		var legacy legacyEntry
		if decoder.Unmarshal(data, &legacy) != nil {
			return Entry{}, errors.Wrap(err, "quarantine: decode entry")
		}
		e = legacy.toEntry()
	}
	if e.CrashStreak < 0 || len(e.Crashes) > maxCrashes || len(e.Trials) > maxStoredTrials {
		return Entry{}, errors.Newf("quarantine: invalid entry with crash streak %d, %d crashes and %d trials", e.CrashStreak, len(e.Crashes), len(e.Trials))
	}

	return e, nil
}
