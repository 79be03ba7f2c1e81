package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
