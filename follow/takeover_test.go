package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/logstore"
)

// runUntil follows the topic for some virtual time, with the changes that edit makes to the follower.
func runUntil(t *testing.T, ft *fakeTopic, d time.Duration, edit func(f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		f := Follower{
			Topic: ft.topic(), LongPollWait: longPollWait,
			ReadDelay:   func() time.Duration { return 0 },
			Backoff:     func() time.Duration { return 300 * time.Millisecond },
			OnSnapshot:  func(logstore.Changes, time.Duration) {},
			OnChanges:   func(logstore.Changes, time.Duration) {},
			OnConfirmed: func(time.Time) {},
			OnError:     func(error) {},
		}
		edit(&f)
		New(f).Run(ctx)
	})
}

// TestMissedChangesAreListed guards against a follower that reads all that others have read for it meanwhile
// before it knows the newest record.
func TestMissedChangesAreListed(t *testing.T) {
	t.Run("after a pause", func(t *testing.T) {
		for name, behind := range map[string]bool{"others have provided a later record": true, "nothing was missed": false} {
			t.Run(name, func(t *testing.T) {
				ft := &fakeTopic{read: func(ctx context.Context, _ int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
					return idleRead(ctx, from, wait)
				}}
				start := time.Time{}
				runUntil(t, ft, 3*time.Second, func(f *Follower) {
					start = time.Now()
					f.Behind = func() bool { return behind }
					f.ReadDelay = func() time.Duration {
						if age := time.Since(start); age > time.Second && age < 2*time.Second {
							return 100 * time.Millisecond
						}

						return 0
					}
				})
				if want := map[bool]int{true: 2, false: 1}[behind]; ft.pageReads != want {
					t.Errorf("%d listings, want %d", ft.pageReads, want)
				}
			})
		}
	})
	t.Run("instead of changes that don't fit into one response", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if n > 1 {
				return idleRead(ctx, from, wait)
			}
			c, err := change("old", from+1)
			c.End = from + 5

			return c, err
		}}
		runUntil(t, ft, longPollWait/2, func(f *Follower) {
			f.Behind = func() bool { return false }
			f.OnChanges = func(c logstore.Changes, _ time.Duration) { t.Errorf("got a part of the changes: %v", c) }
		})
		if ft.pageReads != 2 || ft.reads != 2 {
			t.Errorf("%d listings and %d reads, want two of each", ft.pageReads, ft.reads)
		}
	})
}

// TestFailedListing guards against a follower that reads the whole history of a topic since a listing failed.
func TestFailedListing(t *testing.T) {
	for name, partial := range map[string]bool{"after a pause": false, "after a part of the changes": true} {
		t.Run(name, func(t *testing.T) {
			ft := &fakeTopic{}
			ft.page = func(context.Context, string) (logstore.Page, error) {
				if ft.pageReads == 2 {
					return logstore.Page{}, errors.New("no answer")
				}

				return logstore.Page{Changes: logstore.Changes{NextPosition: 10}}, nil
			}
			ft.read = func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
				if from < 10 {
					t.Errorf("read %d is from %d, want 10 at least", n, from)
				}
				c, err := idleRead(ctx, from, wait)
				if partial && n == 1 {
					c, err = change("old", from+1)
					c.End = from + 5
				}

				return c, err
			}
			runUntil(t, ft, 4*time.Second, func(f *Follower) {
				start := time.Now()
				f.Behind = func() bool { return ft.pageReads < 3 }
				f.ReadDelay = func() time.Duration {
					if age := time.Since(start); !partial && age > time.Second && age < 2*time.Second {
						return 100 * time.Millisecond
					}

					return 0
				}
			})
			if ft.pageReads < 2 || ft.reads < 2 {
				t.Errorf("%d listings and %d reads, want two at least", ft.pageReads, ft.reads)
			}
		})
	}
}

// TestSingleRead guards against a process that learns of a change too late because its only call got no answer.
func TestSingleRead(t *testing.T) {
	const hedgeDelay = 200 * time.Millisecond
	stall := func(ctx context.Context) (logstore.Changes, error) {
		<-ctx.Done()

		return logstore.Changes{}, ctx.Err()
	}
	for name, v := range map[string]struct {
		read func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error)
		// wantAt is when the first read is confirmed, and wantReads the number of reads until then.
		wantAt    time.Duration
		wantReads int
	}{
		"answered": {func(ctx context.Context, _ int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			return idleRead(ctx, from, wait)
		}, 0, 1},
		"no answer to the first": {func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if n == 1 {
				return stall(ctx)
			}

			return idleRead(ctx, from, wait)
		}, hedgeDelay, 2},
		"the second fails, the first answers late": {func(_ context.Context, n int, from logstore.Position, _ time.Duration) (logstore.Changes, error) {
			if n == 2 {
				return logstore.Changes{}, errors.New("refused")
			}
			time.Sleep(2 * hedgeDelay)

			return logstore.Changes{NextPosition: from}, nil
		}, 2 * hedgeDelay, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var confirmed atomic.Int64
			var dropped atomic.Int32
			ft := &fakeTopic{read: v.read}
			runUntil(t, ft, 5*time.Second, func(f *Follower) {
				begin, confirmations := time.Now(), 0
				f.Single, f.HedgeDelay = func() bool { return true }, hedgeDelay
				f.DropIdleConnections = func() { dropped.Add(1) }
				f.OnConfirmed = func(time.Time) {
					// The first one is that of the listing at the start.
					if confirmations++; confirmations == 2 {
						confirmed.Store(int64(time.Since(begin)))
					}
				}
				f.ReadDelay = func() time.Duration {
					if confirmations < 2 {
						return 0
					}

					return time.Hour
				}
			})
			if got := time.Duration(confirmed.Load()); got != v.wantAt || ft.reads != v.wantReads || int(dropped.Load()) != v.wantReads-1 {
				t.Errorf("confirmed after %s with %d reads, idle connections dropped %d times, want %s, %d and %d",
					got, ft.reads, dropped.Load(), v.wantAt, v.wantReads, v.wantReads-1)
			}
		})
	}
}

// TestEarlyEmptyAnswer guards against a copy that counts as current for a time at which nobody has looked, since
// the store did not wait for changes for as long as it was asked to.
func TestEarlyEmptyAnswer(t *testing.T) {
	for name, v := range map[string]struct{ held, wantClaim time.Duration }{
		"at once":                      {0, 0},
		"after a tenth of the wait":    {longPollWait / 10, 0},
		"after the wait":               {longPollWait, longPollWait},
		"by a clock that runs ahead":   {longPollWait - 5*time.Millisecond, longPollWait - 5*time.Millisecond},
		"after more time than allowed": {longPollWait + 100*time.Millisecond, longPollWait},
	} {
		t.Run(name, func(t *testing.T) {
			var sentAt time.Time
			ft := &fakeTopic{read: func(_ context.Context, _ int, from logstore.Position, _ time.Duration) (logstore.Changes, error) {
				sentAt = time.Now()
				time.Sleep(v.held)

				return logstore.Changes{NextPosition: from}, nil
			}}
			runUntil(t, ft, 10*time.Second, func(f *Follower) {
				f.OnConfirmed = func(at time.Time) {
					if claim := at.Sub(sentAt); !sentAt.IsZero() && claim != v.wantClaim {
						t.Errorf("current as of %s after the read was sent, want %s", claim, v.wantClaim)
					}
				}
			})
			if limit := 1 + int(10*time.Second/coalesceDelay); ft.reads > limit {
				t.Errorf("%d reads in ten seconds, want %d at most", ft.reads, limit)
			}
		})
	}
}

// TestSteadyConfirmations guards against a reader whose word is nearly as old as the bound after each change.
func TestSteadyConfirmations(t *testing.T) {
	const late = longPollWait - time.Millisecond
	ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
		if n%2 == 0 && wait > late {
			time.Sleep(late)

			return change("late", from+1)
		}

		return idleRead(ctx, from, wait)
	}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var confirmed atomic.Pointer[time.Time]
		f := New(Follower{
			Topic: ft.topic(), LongPollWait: longPollWait, Steady: true,
			ReadDelay:   func() time.Duration { return 0 },
			Backoff:     func() time.Duration { return 300 * time.Millisecond },
			OnSnapshot:  func(logstore.Changes, time.Duration) {},
			OnChanges:   func(logstore.Changes, time.Duration) {},
			OnConfirmed: func(at time.Time) { confirmed.Store(&at) },
			OnError:     func(err error) { t.Error(err) },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(time.Second)
		for range 280 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(*confirmed.Load()); age > longPollWait+coalesceDelay {
				t.Fatalf("the last confirmation is %s old", age)
			}
		}
	})
}
