// Package lease gives each data hall at most one lease holder, using a stream of the platform's
// log.
//
// A claim names the offset of the lease record that it replaces. The first claim that names the
// current record becomes the current record, and its offset is the fencing token. Who holds the
// lease is decided without clocks; they only tell a holder when to stop and a challenger when it
// may claim.
package lease

import (
	"encoding/json"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/logstore"
)

// noRecord is the offset that the first claim in a stream replaces.
const noRecord = -1

// StreamName returns the name of the hall's lease stream.
func StreamName(hall slatebridge.HallID) string {
	return "lease-" + string(hall)
}

// Holder identifies a box and its boot ID.
type Holder struct {
	Box  slatebridge.BoxID `json:"box"`
	Boot string            `json:"boot"`
}

// Record is a claim or a renewal.
type Record struct {
	// ID is unique, so that the writer recognizes its record if the reply to the append was lost.
	ID     string `json:"id"`
	Holder Holder `json:"holder"`
	// Replaces is the offset of the record that this one replaces.
	Replaces int64 `json:"replaces"`
}

// State is the state of a lease stream after the records applied so far. It is immutable.
type State struct {
	nextOffset int64
	// known means that currentOffset and currentRecord are certain. If the log has dropped the
	// start of the stream, the current record is unknown until a record is read that replaces the
	// one at oldestOffset or a later one.
	known         bool
	currentOffset int64
	currentRecord Record
	// newestOffset is the offset of the last record read, whether or not it could be decoded.
	newestOffset int64
	// started means that the stream has been read at least once.
	started bool
	// oldestOffset is the offset of the oldest record that the log kept when this state began.
	oldestOffset int64
}

// Current returns the current record and its offset, and whether they are known.
func (s State) Current() (rec Record, offset int64, known bool) {
	return s.currentRecord, s.currentOffset, s.known
}

// NextOffset returns the offset of the next record to apply.
func (s State) NextOffset() int64 {
	return s.nextOffset
}

// Apply returns the state after one read of the stream.
func (s State) Apply(b logstore.Batch) State {
	if !s.started || b.OldestOffset > s.nextOffset {
		s = newStateAt(b.OldestOffset)
	}
	for _, r := range b.Records {
		if r.Offset < s.nextOffset {
			continue
		}
		s.nextOffset = r.Offset + 1
		s.newestOffset = r.Offset
		s = s.applyRecord(r)
	}

	return s
}

func newStateAt(oldest int64) State {
	return State{
		started:       true,
		nextOffset:    oldest,
		oldestOffset:  oldest,
		currentOffset: noRecord,
		newestOffset:  noRecord,
		known:         oldest == 0,
	}
}

func (s State) applyRecord(r logstore.Record) State {
	var rec Record
	if json.Unmarshal(r.Data, &rec) != nil {
		return s
	}
	if s.known {
		if rec.Replaces == s.currentOffset {
			s.currentOffset = r.Offset
			s.currentRecord = rec
		}

		return s
	}

	return s.inferCurrent(r.Offset, rec)
}

// inferCurrent makes the record the current one if it is the first one read that replaces a record
// that the log still keeps. Its writer either knew that the replaced record was the current one or,
// not knowing the current one, named the newest; see offsetToReplace.
func (s State) inferCurrent(offset int64, rec Record) State {
	if rec.Replaces < s.oldestOffset {
		return s
	}
	s.known = true
	s.currentOffset = offset
	s.currentRecord = rec

	return s
}

// offsetToReplace returns the offset that a new claim has to name: that of the current record or,
// if it is unknown, that of the newest one. A reader that does not know the current record will
// then also treat the claim as the current one; see inferCurrent.
func (s State) offsetToReplace() int64 {
	if s.known {
		return s.currentOffset
	}

	return s.newestOffset
}
