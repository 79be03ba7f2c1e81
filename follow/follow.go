// Package follow keeps a process up to date with a keyed topic of the store,
// and says since when what it has is proved to be current.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/logstore"
)

// Timing of a Follower.
const (
	// ShortWait is how long one read waits for news when nobody else proves
	// that what is known is current. It is the age of the proof just before the
	// next answer, so it stays well below the bound on revocations (5 s).
	ShortWait = 2500 * time.Millisecond
	// LongWait is the same when other boxes share their proofs; each call has a
	// price. News come at once either way.
	LongWait = 8 * time.Second
	// gather is the pause after news, so that changes in quick succession come
	// in one answer. The bounds on news are two seconds and more.
	gather = 200 * time.Millisecond
	// answerTime is what an answer may take beyond the wait. The store takes
	// about 4 ms, and on slow days 50 times as long.
	answerTime = 700 * time.Millisecond
	// pause is between two reads while the store refuses them. Each call has a
	// price, and the bounds on news after an outage are two seconds and more.
	pause = 300 * time.Millisecond
)

// Follower follows one topic. Its functions are called by one goroutine.
type Follower struct {
	Topic logstore.Keyed
	// Wait returns how long the next read waits for news.
	Wait func() time.Duration
	// OnNewest receives the whole content: at the start, and again after
	// records were lost. afterOutage says that the store had been away.
	OnNewest func(entries []logstore.Entry, afterOutage bool)
	// OnChanges receives records in order.
	OnChanges func(entries []logstore.Entry, afterOutage bool)
	// OnCurrent is told that everything written before the time is known.
	OnCurrent func(at time.Time)
	// OnError receives the error of each call that failed.
	OnError func(err error)

	// refresh asks for a read without a wait.
	refresh  chan struct{}
	hurry    bool
	answered time.Time
	// missed says that a call has failed since the last answer.
	missed bool
}

// New returns a Follower of the topic, whose functions have to be set.
func New(topic logstore.Keyed) *Follower {
	return &Follower{Topic: topic, refresh: make(chan struct{}, 1)}
}

// Refresh ends a wait for news, so that a new proof comes soon.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.answered = time.Now()
	next, whole := int64(0), false
	for ctx.Err() == nil {
		var err error
		if whole {
			next, err = f.read(ctx, next)
		} else {
			next, err = f.newest(ctx)
		}
		whole = err == nil || (whole && !errors.Is(err, logstore.ErrGone))
		if err != nil {
			f.failed(ctx, err)
		}
	}
}

func (f *Follower) newest(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout(answerTime))
	defer cancel()
	sent := time.Now()
	c, err := f.Topic.Newest(ctx)
	if err != nil {
		return 0, err
	}
	f.OnNewest(c.Entries, f.noteAnswer())
	f.OnCurrent(sent)

	return c.Next, nil
}

func (f *Follower) read(all context.Context, next int64) (int64, error) {
	wait := f.Wait()
	if f.missed || f.hurry {
		// After a failure the reader wants to know at once how far it is behind.
		wait = 0
	}
	f.hurry = false
	ctx, cancel := context.WithTimeout(all, f.timeout(wait+answerTime))
	defer cancel()
	stop := func() {}
	if wait > 0 {
		stop = f.endOnRefresh(ctx, cancel)
	}
	sent := time.Now()
	c, err := f.Topic.Read(ctx, next, wait)
	stop()
	if err != nil && f.hurry {
		return next, nil
	}
	if err != nil {
		return next, err
	}
	after := f.noteAnswer()
	if len(c.Entries) > 0 {
		f.OnChanges(c.Entries, after)
		f.OnCurrent(sent)
		sleep(all, gather)
		// The wait for the news may have been long, and so the proof is old.
		f.hurry = time.Since(sent) > ShortWait/2

		return c.Next, nil
	}
	// The store held an empty answer for the whole wait, so it is as young as
	// the wait allows.
	f.OnCurrent(earlier(sent.Add(wait), time.Now()))

	return c.Next, nil
}

// endOnRefresh ends the read when a refresh is asked for. The returned
// function has to be called after the read, by the same goroutine.
func (f *Follower) endOnRefresh(ctx context.Context, cancel context.CancelFunc) func() {
	ended := make(chan bool, 1)
	go func() {
		select {
		case <-ctx.Done():
			ended <- false
		case <-f.refresh:
			cancel()
			ended <- true
		}
	}()

	return func() {
		cancel()
		f.hurry = <-ended
	}
}

// timeout returns the time for one call; it grows while the store is slow, so
// that a slow store can still be followed.
func (f *Follower) timeout(d time.Duration) time.Duration {
	if f.missed {
		return d + answerTime
	}

	return d
}

// noteAnswer notes an answer, and reports whether it ends an outage.
func (f *Follower) noteAnswer() bool {
	after := f.missed
	f.answered, f.missed = time.Now(), false

	return after
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.OnError(err)
	if errors.Is(err, logstore.ErrGone) {
		return
	}
	f.missed = true
	sleep(ctx, pause)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
