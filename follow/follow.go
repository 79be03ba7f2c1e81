// Package follow keeps a process up to date with a keyed topic of the platform's store (see
// logstore.KeyedTopic) and tracks the staleness of its copy.
package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/logstore"
)

// Timing of a Follower.
const (
	// coalesceDelay is the pause after changes were read, so that changes in quick succession
	// arrive in one response.
	coalesceDelay = 200 * time.Millisecond
	// responseTimeout is how long a response may take beyond the long-poll wait, also when the store
	// is slow.
	responseTimeout = 700 * time.Millisecond
	// maxClockGain is how much earlier than the wait an empty response may come because the store's clock
	// runs faster than that of the box.
	maxClockGain = 20 * time.Millisecond
	// restoreGrace is how long after a store outage or rollback a receiver keeps entries that are
	// missing or removed: they may merely have expired during the outage, and the servers that
	// wrote them write them again within about two seconds. A server that has really left is sent
	// requests for this time too, which must not exceed two seconds.
	restoreGrace = 1900 * time.Millisecond
	// maxIdle is the longest time between two calls of ReadDelay while the topic need not be read.
	maxIdle = 500 * time.Millisecond
)

// Follower follows one topic. It calls its functions from a single goroutine.
type Follower struct {
	Topic logstore.KeyedTopic
	// LongPollWait is how long one read waits for changes; it returns as soon as there are any.
	// Just before a response arrives, the copy is stale by up to this much if the previous response
	// was empty, and by up to twice as much plus coalesceDelay if it had changes; see Steady. The time
	// that the calls take adds to both. A shorter wait keeps the copy fresher but takes more calls, and each
	// call has a price.
	LongPollWait time.Duration
	// Steady shortens a wait that follows changes or a pause, so that confirmations are at most about
	// LongPollWait apart.
	Steady bool
	// Single, if set, reports whether others read the topic for this process, so that a read only makes
	// up for what they lack. It then returns at once, and if it has no answer after HedgeDelay, another
	// one is made beside it.
	Single func() bool
	// HedgeDelay is how long a single read may take before another one is made.
	HedgeDelay time.Duration
	// DropIdleConnections is called before that read, so that it is sent over a new connection. It may
	// be nil.
	DropIdleConnections func()
	// Behind, if set, says that only the newest record of each key counts. It reports whether others
	// have provided a later record than this Follower has read. What it has missed is then listed
	// instead of read, as are changes that don't fit into one response.
	Behind func() bool
	// ReadDelay returns how long the topic need not be read, for instance because others read it
	// for this process; zero means read now. It is called again after that time, after maxIdle if
	// that is shorter, or after Wake.
	ReadDelay func() time.Duration
	// Backoff returns the pause after a failed call.
	Backoff func() time.Duration
	// OnSnapshot receives the whole content of the topic: at the start, and again after records
	// were lost. grace is how long to keep the entries that are missing in it in case they are
	// written again, because they may have expired during a store outage.
	OnSnapshot func(c logstore.Changes, grace time.Duration)
	// OnChanges receives records in order. grace is how long to keep the entries that they remove
	// in case these are written again.
	OnChanges func(c logstore.Changes, grace time.Duration)
	// OnConfirmed reports that the copy includes everything written before the time.
	OnConfirmed func(at time.Time)
	// OnError receives the error of each failed call.
	OnError func(err error)

	// failing reports whether a call has failed since the last response.
	failing bool
	// recoveredAt is when the last store outage ended or the last rollback was noticed.
	recoveredAt time.Time
	// idled reports whether others have read the topic for this process since the last read.
	idled bool
	// confirmedAt is the last time that was passed to OnConfirmed.
	confirmedAt time.Time
	// wakeSignal holds an element while a call of Wake is pending.
	wakeSignal chan struct{}
}

// New returns f, ready for calls of Wake even before Run.
func New(f Follower) *Follower {
	f.wakeSignal = make(chan struct{}, 1)

	return &f
}

// Wake ends the current idle period or, if there is none, the next one. The Follower then calls
// ReadDelay again. Reads and pauses after failed calls are not interrupted.
func (f *Follower) Wake() {
	select {
	case f.wakeSignal <- struct{}{}:
	default:
	}
}

// Run follows the topic until ctx is canceled.
func (f *Follower) Run(ctx context.Context) {
	next, haveSnapshot := logstore.Position(0), false
	for ctx.Err() == nil {
		if delay := f.ReadDelay(); delay > 0 {
			f.idled = true
			f.idle(ctx, min(delay, maxIdle))

			continue
		}
		var err error
		if haveSnapshot && !f.skipsMissed() {
			next, err = f.readChanges(ctx, next)
		} else {
			next, err = f.readSnapshot(ctx, next)
		}
		haveSnapshot = err == nil || (haveSnapshot && !needsSnapshot(err))
		if err != nil {
			f.handleError(ctx, err)
		}
	}
}

// skipsMissed reports whether the topic is to be listed since what was missed meanwhile doesn't count.
func (f *Follower) skipsMissed() bool { return f.idled && f.Behind != nil && f.Behind() }

// readSnapshot lists the topic and returns the position to read from next: the given one if the listing fails.
func (f *Follower) readSnapshot(ctx context.Context, next logstore.Position) (logstore.Position, error) {
	sentAt := clock.Now()
	c, err := f.list(ctx)
	if err != nil {
		return next, err
	}
	f.idled = false
	c.Call = logstore.CallTimes{SentAt: sentAt, AnsweredAt: clock.Now()}
	f.OnSnapshot(c, f.recordSuccess())
	f.confirm(sentAt)

	return c.NextPosition, nil
}

func (f *Follower) readChanges(parent context.Context, next logstore.Position) (logstore.Position, error) {
	wait := f.wait()
	sentAt := clock.Now()
	c, err := f.call(parent, func(ctx context.Context) (logstore.Changes, error) {
		ctx, cancel := context.WithTimeout(ctx, f.timeout(wait+responseTimeout))
		defer cancel()

		return f.Topic.Read(ctx, next, wait)
	})
	if err != nil {
		return next, err
	}
	f.idled = false
	c.Call = logstore.CallTimes{SentAt: sentAt, AnsweredAt: clock.Now()}
	grace := f.recordSuccess()
	if c.Partial() {
		return f.readOn(parent, c, next, grace)
	}
	if len(c.Entries) > 0 {
		f.OnChanges(c, grace)
		f.confirm(sentAt)
		sleep(parent, coalesceDelay)

		return c.NextPosition, nil
	}
	if held := c.Call.AnsweredAt.Sub(sentAt); held < wait-maxClockGain {
		// The store didn't hold the response back, and nothing says when it made it.
		f.confirm(sentAt)
		sleep(parent, coalesceDelay)

		return c.NextPosition, nil
	}
	// The store held back an empty response for the whole wait, so the copy is current as of the
	// end of the wait.
	f.confirm(earlier(sentAt.Add(wait), clock.Now()))

	return c.NextPosition, nil
}

func (f *Follower) list(ctx context.Context) (logstore.Changes, error) {
	list := func(ctx context.Context) (logstore.Changes, error) {
		return f.Topic.ListAll(ctx, f.timeout(responseTimeout), func() bool { return f.ReadDelay() > 0 })
	}
	if f.Behind == nil {
		// The list of a topic of which all records count can be long, and takes its time.
		return list(ctx)
	}

	return f.call(ctx, list)
}

// readOn handles a part of the changes, which says nothing on whether the copy is current. The rest is read
// or listed at once.
func (f *Follower) readOn(ctx context.Context, c logstore.Changes, next logstore.Position, grace time.Duration) (logstore.Position, error) {
	switch {
	case len(c.Entries) == 0:
		sleep(ctx, f.Backoff())
	case f.Behind != nil:
		return f.readSnapshot(ctx, next)
	default:
		f.OnChanges(c, grace)
	}

	return c.NextPosition, nil
}

// wait returns how long the next read waits for changes.
func (f *Follower) wait() time.Duration {
	if f.failing || f.single() {
		// After a failure, read without a long-poll wait, so that the Follower learns immediately
		// how far the copy lags behind.
		return 0
	}
	if !f.Steady {
		return f.LongPollWait
	}

	return max(0, min(f.LongPollWait, f.LongPollWait-clock.Since(f.confirmedAt)))
}

func (f *Follower) single() bool { return f.Single != nil && f.Single() }

// confirm reports that the copy includes everything written before the time.
func (f *Follower) confirm(at time.Time) {
	f.confirmedAt = at
	f.OnConfirmed(at)
}

// call makes a call to the store. A single read that has no answer after HedgeDelay is made once more over a
// new connection, and the first answer of both counts.
func (f *Follower) call(ctx context.Context, read func(ctx context.Context) (logstore.Changes, error)) (logstore.Changes, error) {
	if f.HedgeDelay <= 0 || !f.single() {
		return read(ctx)
	}

	return hedge(ctx, f.HedgeDelay, f.DropIdleConnections, read)
}

// timeout returns the timeout for one call that normally takes up to d. It is longer while calls
// fail, so that a slow store can still be followed.
func (f *Follower) timeout(d time.Duration) time.Duration {
	if f.failing {
		return d + responseTimeout
	}

	return d
}

// recordSuccess records a response and returns the rest of the grace period; see restoreGrace.
func (f *Follower) recordSuccess() time.Duration {
	now := clock.Now()
	if f.failing {
		f.failing, f.recoveredAt = false, now
	}
	if f.recoveredAt.IsZero() {
		return 0
	}

	return max(0, restoreGrace-now.Sub(f.recoveredAt))
}

func (f *Follower) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, logstore.ErrListAborted) {
		return
	}
	f.OnError(err)
	if errors.Is(err, logstore.ErrRolledBack) {
		// Entries that the rolled-back store has lost are written again.
		f.recoveredAt = clock.Now()
	}
	if needsSnapshot(err) {
		return
	}
	firstFailure := !f.failing
	f.failing = true
	if firstFailure && errors.Is(err, context.DeadlineExceeded) {
		// The connection may have stalled rather than the store. With a pause before the retry, a
		// change made meanwhile would take effect too late.
		return
	}
	sleep(ctx, f.Backoff())
}

// needsSnapshot reports whether the requested records no longer exist, so that the whole topic has
// to be read again.
func needsSnapshot(err error) bool {
	return errors.IsAny(err, logstore.ErrCompacted, logstore.ErrRolledBack)
}

// idle sleeps for d or until Wake is called.
func (f *Follower) idle(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.wakeSignal:
	case <-t.C:
	}
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
