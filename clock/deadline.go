package clock

import (
	"context"
	"sync"
	"time"
)

// deadlines holds the contexts with a deadline that have not ended yet.
var deadlines = struct {
	mu     sync.Mutex
	active map[*deadline]struct{}
}{active: make(map[*deadline]struct{})}

// deadline is a context with a deadline that counts suspensions. Its timer stops during a
// suspension, so ExpireDeadlines ends the contexts whose deadline passed in the meantime.
type deadline struct {
	context.Context
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithDeadline returns a context that ends at time t, and a function that cancels it earlier. It is
// context.WithDeadline for times of this package, except that the Deadline method of the context
// does not report t: it reports the deadline of parent, if any.
func WithDeadline(parent context.Context, t time.Time) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	d := &deadline{Context: inner, at: t, cancel: cancel}
	deadlines.mu.Lock()
	deadlines.active[d] = struct{}{}
	d.timer = time.AfterFunc(Until(t), d.expire)
	deadlines.mu.Unlock()

	return d, func() { d.end(context.Canceled) }
}

// WithTimeout returns WithDeadline(parent, Now().Add(d)).
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return WithDeadline(parent, Now().Add(d))
}

// Err returns context.DeadlineExceeded if the deadline passed, and the error of the inner context
// otherwise.
func (d *deadline) Err() error {
	err := d.Context.Err()
	if err != nil && context.Cause(d.Context) == context.DeadlineExceeded { //nolint:errorlint // expire passes exactly this value.
		return context.DeadlineExceeded
	}

	return err
}

func (d *deadline) expire() { d.end(context.DeadlineExceeded) }

func (d *deadline) end(cause error) {
	deadlines.mu.Lock()
	delete(deadlines.active, d)
	d.timer.Stop()
	deadlines.mu.Unlock()
	d.cancel(cause)
}

// ExpireDeadlines ends all contexts whose deadline has passed. Call it when a suspension was
// detected.
func ExpireDeadlines() {
	now := Now()
	var due []*deadline
	deadlines.mu.Lock()
	for d := range deadlines.active {
		if !now.Before(d.at) {
			due = append(due, d)
		}
	}
	deadlines.mu.Unlock()
	for _, d := range due {
		d.expire()
	}
}

// Sleep returns after d, when ctx ends, or when a suspension is detected during which d elapsed.
func Sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
