package logstore

import (
	"context"
	"time"
)

// Timing of a Tail.
const (
	// longPollWait is how long one read waits for the first record.
	longPollWait = 2 * time.Second
	// readTimeout limits one read as a whole.
	readTimeout = longPollWait + time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 100 * time.Millisecond
)

// Tail follows one stream of the log from an offset on.
type Tail struct {
	Log    Log
	Stream string
	// StartOffset is the offset of the first record to read.
	StartOffset int64
	// OnBatch receives each batch in order, with the offset that was requested. An OldestOffset
	// above the requested offset indicates a gap.
	OnBatch func(requested int64, b Batch)
	// OnError receives the error of each failed read; it may be nil.
	OnError func(err error)
}

// Run follows the stream until ctx is canceled.
func (t Tail) Run(ctx context.Context) {
	next := t.StartOffset
	// The first read after the start or after a failure does not wait, so that the reader learns
	// immediately how far it lags behind.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		b, err := t.read(ctx, next, wait)
		if err != nil {
			t.handleError(ctx, err)
			wait = 0

			continue
		}
		t.OnBatch(next, b)
		next = offsetAfter(next, b)
		wait = longPollWait
	}
}

// offsetAfter returns the offset to read next after batch b was read from the offset next.
func offsetAfter(next int64, b Batch) int64 {
	if b.OldestOffset > next {
		next = b.OldestOffset
	}
	if n := len(b.Records); n > 0 {
		next = b.Records[n-1].Offset + 1
	}

	return next
}

func (t Tail) read(ctx context.Context, next int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	return t.Log.Read(ctx, t.Stream, next, wait)
}

func (t Tail) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if t.OnError != nil {
		t.OnError(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
