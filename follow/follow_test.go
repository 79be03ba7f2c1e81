package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge/logstore"
)

// fakeTopic is a topic whose reads are answered by functions.
type fakeTopic struct {
	mu        sync.Mutex
	reads     int
	pageReads int
	// page returns a page of the whole topic; if nil, the topic is empty.
	page func(ctx context.Context, after string) (logstore.Page, error)
	read func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error)
}

func (ft *fakeTopic) topic() logstore.KeyedTopic {
	return logstore.KeyedTopic{
		ListPage: func(ctx context.Context, after string) (logstore.Page, error) {
			ft.pageReads++
			if ft.page != nil {
				return ft.page(ctx, after)
			}

			return logstore.Page{Changes: logstore.Changes{NextPosition: 10}}, nil
		},
		Read: func(ctx context.Context, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			ft.mu.Lock()
			ft.reads++
			n := ft.reads
			ft.mu.Unlock()

			return ft.read(ctx, n, from, wait)
		},
	}
}

// idleRead returns no changes once the wait is over.
func idleRead(ctx context.Context, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
	select {
	case <-ctx.Done():
		return logstore.Changes{}, ctx.Err()
	case <-time.After(wait):
		return logstore.Changes{NextPosition: from}, nil
	}
}

// recording is what a follower has reported to its callbacks.
type recording struct {
	changedKeys []string
	withGrace   []bool
	errors      int
	// snapshotSize is the number of entries of the last snapshot.
	snapshotSize int
}

// runControl observes and controls a follower while it runs.
type runControl struct {
	errors      atomic.Int32
	confirmedAt atomic.Pointer[time.Time]
	// paused makes ReadDelay return an hour, delayCalls counts the calls of ReadDelay, and wake
	// calls Wake.
	paused     atomic.Bool
	delayCalls atomic.Int32
	wake       func()
}

// longPollWait is the long-poll wait of the followers under test.
const longPollWait = 800 * time.Millisecond

// run follows the topic for some virtual time; during, if not nil, runs beside it.
func run(t *testing.T, ft *fakeTopic, d time.Duration, during func(ctl *runControl)) recording {
	t.Helper()
	var got recording
	var ctl runControl
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		f := New(Follower{
			Topic:        ft.topic(),
			LongPollWait: longPollWait,
			ReadDelay: func() time.Duration {
				ctl.delayCalls.Add(1)
				if ctl.paused.Load() {
					return time.Hour
				}

				return 0
			},
			Backoff:    func() time.Duration { return 300 * time.Millisecond },
			OnSnapshot: func(c logstore.Changes, _ time.Duration) { got.snapshotSize = len(c.Entries) },
		})
		ctl.wake = f.Wake
		f.OnChanges = func(c logstore.Changes, grace time.Duration) {
			for _, e := range c.Entries {
				got.changedKeys = append(got.changedKeys, e.Key)
				got.withGrace = append(got.withGrace, grace > 0)
			}
		}
		f.OnConfirmed = func(at time.Time) {
			if at.After(time.Now()) {
				t.Error("OnConfirmed was called with a time in the future")
			}
			ctl.confirmedAt.Store(&at)
		}
		f.OnError = func(error) { ctl.errors.Add(1) }
		if during != nil {
			go during(&ctl)
		}
		f.Run(ctx)
	})
	got.errors = int(ctl.errors.Load())

	return got
}

func change(key string, next logstore.Position) (logstore.Changes, error) {
	return logstore.Changes{Entries: []logstore.Entry{{Key: key, Value: []byte("v")}}, NextPosition: next}, nil
}

// slowPages returns a page function for n pages of one entry each, each served after some time.
func slowPages(n int, each time.Duration) func(ctx context.Context, after string) (logstore.Page, error) {
	return func(ctx context.Context, after string) (logstore.Page, error) {
		select {
		case <-ctx.Done():
			return logstore.Page{}, ctx.Err()
		case <-time.After(each):
		}
		key := string(rune('a' + len(after)))
		p := logstore.Page{Changes: logstore.Changes{Entries: []logstore.Entry{{Key: key, Value: []byte("v")}}, NextPosition: logstore.Position(10 + len(after))}}
		if len(after)+1 < n {
			p.NextAfter = after + key
		}

		return p, nil
	}
}

// TestSnapshotPages checks that a topic of many pages is read whole as long as each page arrives in
// time, and that reading stops when the rest is no longer needed.
func TestSnapshotPages(t *testing.T) {
	ft := &fakeTopic{page: slowPages(10, responseTimeout/2), read: func(ctx context.Context, _ int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
		if from != 10 {
			t.Errorf("changes are read from %d, want the position that the first page returned", from)
		}

		return idleRead(ctx, from, wait)
	}}
	got := run(t, ft, 5*time.Second, nil)
	if ft.pageReads != 10 || got.errors != 0 || ft.reads == 0 {
		t.Errorf("%d pages and %d reads, %d errors", ft.pageReads, ft.reads, got.errors)
	}
	if got.snapshotSize != 10 {
		t.Errorf("%d entries, want 10", got.snapshotSize)
	}
	t.Run("a page that arrives too late is an error", func(t *testing.T) {
		ft := &fakeTopic{page: slowPages(10, 3*responseTimeout)}
		if got := run(t, ft, 2*responseTimeout, nil); got.errors == 0 || got.snapshotSize != 0 {
			t.Errorf("%d errors, %d entries", got.errors, got.snapshotSize)
		}
	})
	t.Run("stops reading pages once ReadDelay is positive", func(t *testing.T) {
		ft := &fakeTopic{page: slowPages(10, responseTimeout/2)}
		got := run(t, ft, 20*time.Second, func(ctl *runControl) {
			time.Sleep(responseTimeout)
			ctl.paused.Store(true)
		})
		if ft.pageReads > 3 || got.errors != 0 || got.snapshotSize != 0 {
			t.Errorf("%d pages, %d errors, %d entries", ft.pageReads, got.errors, got.snapshotSize)
		}
	})
	t.Run("starts over if the store is rolled back between two pages", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, _ int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			return idleRead(ctx, from, wait)
		}}
		ft.page = func(context.Context, string) (logstore.Page, error) {
			era := min(int64(ft.pageReads-1), 1)
			p := logstore.Page{Changes: logstore.Changes{NextPosition: logstore.NewPosition(era, 5)}}
			if ft.pageReads == 1 {
				p.NextAfter = "a"
			}

			return p, nil
		}
		if got := run(t, ft, 5*time.Second, nil); ft.pageReads != 3 || got.errors != 1 {
			t.Errorf("%d pages, %d errors", ft.pageReads, got.errors)
		}
	})
}

func TestFollower(t *testing.T) {
	t.Run("changes arrive in order and without a grace period", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if n <= 2 {
				return change([]string{"a", "b"}[n-1], from+1)
			}

			return idleRead(ctx, from, wait)
		}}
		got := run(t, ft, 10*time.Second, nil)
		if diff := cmp.Diff(recording{changedKeys: []string{"a", "b"}, withGrace: []bool{false, false}}, got, cmp.AllowUnexported(recording{})); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("a response after a failure starts the grace period", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			switch n {
			case 1:
				return logstore.Changes{}, logstore.ErrRejected
			case 2:
				return change("a", from+1)
			default:
				return idleRead(ctx, from, wait)
			}
		}}
		got := run(t, ft, 10*time.Second, nil)
		if diff := cmp.Diff([]bool{true}, got.withGrace); diff != "" || got.errors != 1 {
			t.Errorf("%d errors; %s", got.errors, diff)
		}
	})
	t.Run("the grace period counts from the end of the outage", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			switch n {
			case 1:
				return logstore.Changes{}, logstore.ErrRejected
			case 2, 4, 6:
				return change(string(rune('a'+n)), from+1)
			default:
				return idleRead(ctx, from, wait)
			}
		}}
		got := run(t, ft, 10*time.Second, nil)
		// The three changes come 0 s, 1 s and 2 s after the end of the outage.
		if diff := cmp.Diff([]bool{true, true, false}, got.withGrace); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("a read without a response times out and is retried", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, _ int, _ logstore.Position, _ time.Duration) (logstore.Changes, error) {
			<-ctx.Done()

			return logstore.Changes{}, ctx.Err()
		}}
		if got := run(t, ft, 10*time.Second, nil); got.errors < 3 {
			t.Errorf("%d errors in ten seconds", got.errors)
		}
	})
}

// TestPartialRead guards against a copy that counts as current although a read returned only a part of the
// changes.
func TestPartialRead(t *testing.T) {
	t.Run("a part of the changes does not confirm the copy, and the rest is read at once", func(t *testing.T) {
		const parts = 5
		var confirmed *time.Time
		ft := &fakeTopic{}
		ctlOf := make(chan *runControl, 1)
		var ctl *runControl
		var firstAt, lastAt time.Time
		ft.read = func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if ctl == nil {
				ctl = <-ctlOf
				confirmed, firstAt = ctl.confirmedAt.Load(), time.Now()
			}
			if n > parts {
				return idleRead(ctx, from, wait)
			}
			if ctl.confirmedAt.Load() != confirmed {
				t.Errorf("the copy was confirmed after part %d of %d", n-1, parts)
			}
			lastAt = time.Now()
			c, err := change(string(rune('a'+n)), from+1)
			c.End = 10 + parts

			return c, err
		}
		got := run(t, ft, 10*time.Second, func(ctl *runControl) { ctlOf <- ctl })
		if len(got.changedKeys) != parts || lastAt != firstAt {
			t.Errorf("%d of %d parts, the last %s after the first", len(got.changedKeys), parts, lastAt.Sub(firstAt))
		}
	})
	t.Run("a part without changes neither confirms the copy nor is read without a pause", func(t *testing.T) {
		ft := &fakeTopic{read: func(_ context.Context, _ int, from logstore.Position, _ time.Duration) (logstore.Changes, error) {
			return logstore.Changes{NextPosition: from, End: from + 1}, nil
		}}
		run(t, ft, 3*time.Second, func(ctl *runControl) {
			time.Sleep(2 * time.Second)
			if age := time.Since(*ctl.confirmedAt.Load()); age < 2*time.Second {
				t.Errorf("the copy was confirmed %s ago", age)
			}
		})
		if ft.reads > 11 {
			t.Errorf("%d reads in three seconds", ft.reads)
		}
	})
}

func TestFollowerReadSchedule(t *testing.T) {
	t.Run("compacted records cause a new snapshot immediately", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if n == 1 {
				return logstore.Changes{}, logstore.ErrCompacted
			}

			return idleRead(ctx, from, wait)
		}}
		run(t, ft, time.Second, nil)
		if ft.pageReads != 2 {
			t.Errorf("%d snapshots were read, want 2", ft.pageReads)
		}
	})
	t.Run("an idle follower makes no calls and resumes at its position", func(t *testing.T) {
		var last logstore.Position
		var reads atomic.Int32
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			last = from
			reads.Add(1)
			if n == 1 {
				return change("a", from+1)
			}

			return idleRead(ctx, from, wait)
		}}
		run(t, ft, 12*time.Second, func(ctl *runControl) {
			time.Sleep(time.Second)
			ctl.paused.Store(true)
			// The extra millisecond keeps this check from coinciding with a call of ReadDelay.
			time.Sleep(time.Second + time.Millisecond)
			before, callsBefore := reads.Load(), ctl.delayCalls.Load()
			time.Sleep(9 * time.Second)
			if n := reads.Load(); n != before {
				t.Errorf("%d reads while idle", n-before)
			}
			if n, limit := ctl.delayCalls.Load()-callsBefore, int32(9*time.Second/maxIdle); n > limit {
				t.Errorf("%d calls of ReadDelay, want %d at most", n, limit)
			}
			time.Sleep(time.Millisecond)
			ctl.paused.Store(false)
			ctl.wake()
			time.Sleep(time.Millisecond)
			if n := reads.Load(); n != before+1 {
				t.Errorf("%d reads immediately after Wake, want 1", n-before)
			}
		})
		if last != 11 {
			t.Errorf("the last read was from %d, want 11", last)
		}
	})
	t.Run("staleness stays within three long-poll waits", func(t *testing.T) {
		ft := &fakeTopic{read: func(ctx context.Context, n int, from logstore.Position, wait time.Duration) (logstore.Changes, error) {
			if n%2 == 0 {
				time.Sleep(wait - time.Millisecond)

				return change("late", from+1)
			}

			return idleRead(ctx, from, wait)
		}}
		run(t, ft, 30*time.Second, func(ctl *runControl) {
			for range 290 {
				time.Sleep(100 * time.Millisecond)
				if age := time.Since(*ctl.confirmedAt.Load()); age > 3*longPollWait {
					t.Errorf("staleness is %s", age)

					return
				}
			}
		})
	})
}
