package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/logstore"
)

// publishRetryInterval is the delay between two attempts to append a record.
const publishRetryInterval = 200 * time.Millisecond

// ErrOutcomeUnknown marks errors of Publish after which the record may or may not be in
// the log; it is not about an Outcome. Publishing the same record again is safe within
// OutcomeWindow, in which duplicates are folded once.
var ErrOutcomeUnknown = errors.New("config: it is unknown whether the record was published")

// Publish appends the record to the log and returns its offset. If an append fails,
// Publish searches the log for the record's ID, and appends again if it does not find it
// or the search fails. Duplicates are therefore possible; they are folded once within
// OutcomeWindow. Publish retries until ctx ends.
func Publish(ctx context.Context, log logstore.Log, rec Record) (int64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "config: publish")
	}
	start, err := nextOffset(ctx, log)
	if err != nil {
		return 0, errors.Wrap(err, "config: record not published: log unreachable")
	}
	for {
		offset, err := log.Append(ctx, StreamName, data)
		if err == nil {
			return offset, nil
		}
		if offset, ok := findRecord(ctx, log, start, rec.ID); ok {
			return offset, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Mark(err, ErrOutcomeUnknown)
		case <-time.After(publishRetryInterval):
		}
	}
}

// nextOffset returns the offset of the next record to be appended to the stream.
func nextOffset(ctx context.Context, log logstore.Log) (int64, error) {
	const beyondEnd = 1 << 62
	b, err := log.Read(ctx, StreamName, beyondEnd, 0)

	return b.NextOffset, err
}

// findRecord searches for the record's ID, starting at the given offset. It also returns false if
// the log cannot be read.
func findRecord(ctx context.Context, log logstore.Log, from int64, id string) (int64, bool) {
	b, err := log.Read(ctx, StreamName, from, 0)
	if err != nil {
		return 0, false
	}
	for _, r := range b.Records {
		rec, err := decodeStrict[Record](r.Data)
		if err == nil && rec.ID == id {
			return r.Offset, true
		}
	}

	return 0, false
}
