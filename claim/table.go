package claim

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/logstore"
)

// Claim is a claim as stored in the log.
type Claim struct {
	ID       ID     `json:"id"`
	Key      Digest `json:"key"`
	BodyHash uint64 `json:"body"`
	// Replaces is the abandoned claim that this one takes over from, or the zero ID.
	Replaces ID `json:"replaces,omitzero"`
}

// Abandonment records in the log that a claim's call was not sent and never will be.
type Abandonment struct {
	ID  ID     `json:"id"`
	Key Digest `json:"key"`
}

// RecordData is the content of one record of the claims stream.
type RecordData struct {
	Claims []Claim `json:"claims,omitempty"`
	// Abandonments are encoded as "given_up".
	Abandonments []Abandonment `json:"given_up,omitempty"`
}

// Entry is the state of one key.
type Entry struct {
	// Owner is the claim whose box may send the call.
	Owner     ID
	BodyHash  uint64
	Abandoned bool
	// ClaimedAt is when the claim Owner was appended, by the log's clock.
	ClaimedAt time.Time
}

// Table is the state of all keys after the records applied so far. It is not safe for concurrent
// use.
type Table struct {
	entries map[Digest]Entry
	// firstClaims lists the keys by the time of their first claim, oldest first, for ExpireBefore.
	firstClaims []firstClaim
	// completeSince is the time since which every claim is known.
	completeSince time.Time
	// nextOffset is the offset of the next record to apply.
	nextOffset int64
	// interned holds one copy of each box and boot ID, which thousands of claims share.
	interned map[string]string
}

type firstClaim struct {
	key       Digest
	claimedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Digest]Entry), interned: make(map[string]string)}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// CompleteSince returns the time since which every claim is known. It is zero if the stream was
// read from its start and nothing has expired yet.
func (t *Table) CompleteSince() time.Time {
	return t.completeSince
}

// Lookup returns the state of the key, and whether it has been claimed.
func (t *Table) Lookup(key Digest) (Entry, bool) {
	e, ok := t.entries[key]

	return e, ok
}

// Apply applies one read of the stream and returns the number of unreadable records. contiguous is
// false if the log has already dropped records that the table has not seen; CompleteSince then
// moves up to the time of the oldest record read, or to now if the read returned no records.
func (t *Table) Apply(b logstore.Batch, now time.Time) (unreadable int, contiguous bool) {
	contiguous = b.OldestOffset <= t.nextOffset
	if !contiguous {
		t.completeSince = now
		if len(b.Records) > 0 {
			t.completeSince = b.Records[0].Time
		}
		t.nextOffset = b.OldestOffset
	}
	for _, r := range b.Records {
		if r.Offset < t.nextOffset {
			continue
		}
		t.nextOffset = r.Offset + 1
		if !t.applyRecord(r) {
			unreadable++
		}
	}

	return unreadable, contiguous
}

func (t *Table) applyRecord(r logstore.Record) bool {
	var content RecordData
	if err := json.Unmarshal(r.Data, &content); err != nil {
		return false
	}
	for _, c := range content.Claims {
		t.applyClaim(c, r.Time)
	}
	for _, a := range content.Abandonments {
		t.applyAbandonment(a)
	}

	return true
}

// applyClaim makes c the owner of its key if the key has no owner, or if c replaces the current
// one.
func (t *Table) applyClaim(c Claim, at time.Time) {
	e, claimed := t.entries[c.Key]
	if claimed && (c.Replaces.IsZero() || c.Replaces != e.Owner) {
		return
	}
	if !claimed {
		t.firstClaims = append(t.firstClaims, firstClaim{key: c.Key, claimedAt: at})
	}
	c.ID.Box = slatebridge.BoxID(t.intern(string(c.ID.Box)))
	c.ID.Boot = t.intern(c.ID.Boot)
	t.entries[c.Key] = Entry{Owner: c.ID, BodyHash: c.BodyHash, ClaimedAt: at}
}

// intern returns the table's shared copy of the name.
func (t *Table) intern(name string) string {
	if interned, ok := t.interned[name]; ok {
		return interned
	}
	name = strings.Clone(name)
	t.interned[name] = name

	return name
}

func (t *Table) applyAbandonment(a Abandonment) {
	e, ok := t.entries[a.Key]
	if !ok || e.Owner != a.ID {
		return
	}
	e.Abandoned = true
	t.entries[a.Key] = e
}

// ExpireBefore removes the keys whose first claim is older than the given time. If there are any,
// CompleteSince moves up to that time.
func (t *Table) ExpireBefore(before time.Time) {
	n := 0
	for n < len(t.firstClaims) && t.firstClaims[n].claimedAt.Before(before) {
		delete(t.entries, t.firstClaims[n].key)
		n++
	}
	if n == 0 {
		return
	}
	t.firstClaims = append([]firstClaim(nil), t.firstClaims[n:]...)
	if len(t.entries) == 0 {
		clear(t.interned)
	}
	if t.completeSince.Before(before) {
		t.completeSince = before
	}
}
