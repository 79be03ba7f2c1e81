package logstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrListAborted means that ListAll stopped before the last page because the rest was not needed.
var ErrListAborted = errors.New("store: listing stopped early, the rest is not needed")

// Page is one page of the newest records of all keys of a topic.
type Page struct {
	Changes
	// NextAfter is the key after which the next page starts; empty for the last page.
	NextAfter string
}

// ListAll returns the newest record of every key, read page by page. Each page may take up to
// pageTimeout. Between pages, stop reports whether the rest is no longer needed; if so, ListAll
// fails with ErrListAborted. Changes made meanwhile are found by reading from NextPosition.
//
// A topic may be too large for one response within the timeout. Reading it in pages also lets the
// caller stop when other boxes have provided the rest. This matters for a starting box with a slow
// link and a fifth of a CPU core that lists thousands of servers.
func (k KeyedTopic) ListAll(ctx context.Context, pageTimeout time.Duration, stop func() bool) (Changes, error) {
	var all Changes
	for after := ""; ; {
		p, err := k.listPage(ctx, after, pageTimeout)
		if err != nil {
			return all, err
		}
		if after == "" {
			// The pages are not a consistent snapshot, so changes are read from the position that
			// the first page returned.
			all.NextPosition = p.NextPosition
		}
		if p.NextPosition.Era() != all.NextPosition.Era() {
			return all, ErrRolledBack
		}
		all.Entries = append(all.Entries, p.Entries...)
		if after = p.NextAfter; after == "" {
			return all, nil
		}
		if stop() {
			return all, ErrListAborted
		}
	}
}

func (k KeyedTopic) listPage(ctx context.Context, after string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	return k.ListPage(ctx, after)
}
