package logstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of calls to the store. A call that fails with any other error, including
// ErrNoValidResponse, may have taken effect.
var (
	// ErrRejected means that the store refused the call without any effect.
	ErrRejected = errors.New("store: call rejected without effect")
	// ErrCompacted means that the requested records are no longer kept.
	ErrCompacted = errors.New("store: requested records are no longer kept")
	// ErrRolledBack means that the store was restored from an older copy after the position passed
	// to Read, or that of an earlier page, had been assigned. The topic has to be listed again.
	// Records written after the copy was made are missing from it. In the topic of server entries,
	// live servers write theirs again within about two seconds.
	ErrRolledBack = errors.New("store: rolled back to an older copy")
	// ErrConflict means that the condition of an append did not hold.
	ErrConflict = errors.New("store: append condition does not hold")
)

// Entry is one key-value record of a keyed topic of the store. An empty value removes the key.
type Entry struct {
	Key      string
	Value    []byte
	Position Position
}

// Removed reports whether the record removes its key.
func (e Entry) Removed() bool {
	return len(e.Value) == 0
}

// Changes is the result of a read or of a listing of a keyed topic.
type Changes struct {
	Entries []Entry
	// NextPosition is the position to read from next.
	NextPosition Position
	// End is the position at which the topic ended when it was read. A response has a limited size, so
	// that it may end before.
	End Position
	// Call is when the call that returned the changes was sent and answered.
	Call CallTimes
}

// CallTimes are when a call was sent and when its response had been read. They are zero if unknown.
type CallTimes struct{ SentAt, AnsweredAt time.Time }

// Partial reports whether there were more changes than these when the topic was read.
func (c Changes) Partial() bool { return c.End > c.NextPosition }

// KeyedTopic is a topic of the store that keeps the newest record of each key. Its fields are
// functions so that tests can replace them.
type KeyedTopic struct {
	// ListPage returns one page of the newest records of all keys: the page after the given key, or
	// the first one if the key is empty. ListAll reads all pages.
	ListPage func(ctx context.Context, after string) (Page, error)
	// Read returns the records from the position on. It waits up to the given time for the first
	// record. After ErrCompacted or ErrRolledBack the topic has to be listed again.
	Read func(ctx context.Context, from Position, wait time.Duration) (Changes, error)
	// Put writes a record; it may be nil for topics that Slatebridge only reads.
	Put func(ctx context.Context, key string, value []byte) error
	// PutBatch writes records together and returns the resulting end of the topic; it may be nil
	// for topics that Slatebridge only reads.
	PutBatch func(ctx context.Context, entries []Entry) (end Position, err error)
	// PutIfEnd writes a record if the topic still ends at the position, and otherwise fails with
	// ErrConflict.
	PutIfEnd func(ctx context.Context, end Position, e Entry) error
}

// ConditionalTopic is a topic to which a record is appended only if nothing else was appended in
// the meantime.
type ConditionalTopic struct {
	// End returns the position of the next record, and the newest record, which is empty if there
	// is none.
	End func(ctx context.Context) (end Position, newest []byte, err error)
	// AppendIfEnd appends the record if the topic still ends at the position, and otherwise fails
	// with ErrConflict.
	AppendIfEnd func(ctx context.Context, end Position, record []byte) error
}
