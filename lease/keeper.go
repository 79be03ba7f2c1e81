package lease

import (
	"strconv"
	"time"

	"github.com/slatebridge/slatebridge/logstore"
)

// Timing of leases.
const (
	// Term is for how long a renewal lasts, from before it was sent.
	Term = 6 * time.Second
	// renewEvery is the pause between two renewals.
	renewEvery = 2 * time.Second
	// Margin is what a challenger waits in addition to the term.
	Margin = time.Second
	// retryEvery is the pause between two claims of a challenger.
	retryEvery = time.Second
)

// Keeper claims and renews one hall's lease for one box. It decides by what it
// is told and does nothing by itself; only one goroutine uses it.
type Keeper struct {
	holder Holder
	// delay is added to a challenger's wait, so that boxes do not all claim at
	// the same moment.
	delay time.Duration

	fold Fold
	// quietSince is since when the stream has been read without a failure and
	// has shown nothing new.
	quietSince time.Time
	readable   bool

	sequence int
	sent     map[string]time.Time
	lastSent time.Time
	// until is the end of this box's term, if it holds the lease.
	until time.Time
	// since is when this box's unbroken hold has begun.
	since time.Time
}

// NewKeeper returns a Keeper of the holder.
func NewKeeper(holder Holder, delay time.Duration) *Keeper {
	return &Keeper{holder: holder, delay: delay, sent: make(map[string]time.Time)}
}

// Hold is a lease that is held.
type Hold struct {
	// Token is the fencing token.
	Token int64
	// Until is when the hold ends unless it is renewed.
	Until time.Time
	// Since is when this box began to hold the lease.
	Since time.Time
}

// Held returns the hold, and whether there is one at this time.
func (k *Keeper) Held(now time.Time) (Hold, bool) {
	if !now.Before(k.until) {
		return Hold{}, false
	}
	_, token, _ := k.fold.Current()

	return Hold{Token: token, Until: k.until, Since: k.since}, true
}

// Holder returns the holder by the log, whether or not its term has ended.
func (k *Keeper) Holder() Holder {
	rec, _, _ := k.fold.Current()

	return rec.Holder
}

// Next returns the offset of the next record to read.
func (k *Keeper) Next() int64 {
	return k.fold.Next()
}

// OnBatch folds one reading of the stream.
func (k *Keeper) OnBatch(b logstore.Batch, now time.Time) {
	if !k.readable {
		k.readable = true
		k.quietSince = now
	}
	_, before, _ := k.fold.Current()
	k.fold = k.fold.WithBatch(b)
	rec, after, known := k.fold.Current()
	if len(b.Records) > 0 {
		k.quietSince = now
	}
	if known && after != before {
		k.onCurrent(rec, now)
	}
}

func (k *Keeper) onCurrent(rec Record, now time.Time) {
	if rec.Holder != k.holder {
		k.until = time.Time{}

		return
	}
	sentAt, ok := k.sent[rec.ID]
	if !ok {
		return
	}
	delete(k.sent, rec.ID)
	if !now.Before(k.until) {
		k.since = now
	}
	k.until = sentAt.Add(Term)
}

// OnReadError notes that the stream could not be read, so that nothing is
// known of renewals since.
func (k *Keeper) OnReadError() {
	k.readable = false
}

// Due returns the record to append now, if there is one.
func (k *Keeper) Due(now time.Time) (Record, bool) {
	if !k.readable || !k.mayClaim(now) {
		return Record{}, false
	}
	k.sequence++
	rec := Record{
		ID:       string(k.holder.Box) + "/" + k.holder.Boot + "/" + strconv.Itoa(k.sequence),
		Holder:   k.holder,
		Replaces: k.fold.replaceable(),
	}
	k.lastSent = now
	k.sent[rec.ID] = now
	k.dropUnanswered(now)

	return rec, true
}

func (k *Keeper) mayClaim(now time.Time) bool {
	if _, held := k.Held(now); held {
		return now.Sub(k.lastSent) >= renewEvery
	}
	if now.Sub(k.lastSent) < retryEvery {
		return false
	}
	_, current, known := k.fold.Current()
	if known && current == none {
		return now.Sub(k.quietSince) >= k.delay
	}

	return now.Sub(k.quietSince) >= Term+Margin+k.delay
}

// dropUnanswered forgets records whose term has ended before they were seen.
func (k *Keeper) dropUnanswered(now time.Time) {
	for id, at := range k.sent {
		if now.Sub(at) > Term {
			delete(k.sent, id)
		}
	}
}
