package controller

import (
	"slices"
	"sync"

	"github.com/slatebridge/slatebridge/logstore"
)

// maxBufferedRecords is how many records are kept for peers.
const maxBufferedRecords = 2000

// recordBuffer keeps the newest configuration records for peers.
type recordBuffer struct {
	mu      sync.Mutex
	records []logstore.Record
}

func newRecordBuffer() *recordBuffer {
	return &recordBuffer{}
}

func (r *recordBuffer) add(records []logstore.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		n := len(r.records)
		switch {
		case n > 0 && rec.Offset <= r.records[n-1].Offset:
			continue
		case n > 0 && rec.Offset > r.records[n-1].Offset+1:
			// The buffer must not contain gaps.
			r.records = nil
		}
		r.records = append(r.records, rec)
	}
	if n := len(r.records) - maxBufferedRecords; n > 0 {
		r.records = slices.Clone(r.records[n:])
	}
}

// recordsFrom returns the records from the offset on, or false if some of them are no longer kept.
func (r *recordBuffer) recordsFrom(offset int64) ([]logstore.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 || r.records[0].Offset > offset {
		return nil, false
	}
	skip := min(offset-r.records[0].Offset, int64(len(r.records)))

	return slices.Clone(r.records[skip:]), true
}
