package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/slatebridge/slatebridge/logstore"
)

// OutcomeWindow is the number of offsets for which the outcome of a record is kept to
// detect duplicates. Later duplicates are folded again and normally rejected because
// their base revision is no longer the current one. The exception is a put with base
// revision 0: it is accepted again if its object was deleted since.
const OutcomeWindow = 50_000

// Object is an object of the current configuration.
type Object struct {
	ID       ObjectID        `json:"id"`
	Revision Revision        `json:"revision"`
	Author   string          `json:"by"`
	Value    json.RawMessage `json:"value"`
}

// Outcome is the result of folding a record.
type Outcome struct {
	RecordID string   `json:"record_id"`
	Object   ObjectID `json:"object"`
	Offset   int64    `json:"offset"`
	Accepted bool     `json:"accepted"`
	// Reason explains why a record was rejected. For a conflict, it names the change
	// that came first.
	Reason string `json:"why,omitempty"`
}

// State is the configuration after all records before an offset. It is immutable.
type State struct {
	applied  int64
	objects  map[ObjectID]Object
	outcomes map[string]Outcome
}

// AppliedOffset returns the offset up to which, exclusively, the records are folded. It
// is the offset of the next record to fold.
func (s State) AppliedOffset() int64 {
	return s.applied
}

// Object returns the object with the ID.
func (s State) Object(id ObjectID) (Object, bool) {
	o, ok := s.objects[id]

	return o, ok
}

// Objects returns all objects, sorted by kind and name.
func (s State) Objects() []Object {
	list := slices.Collect(maps.Values(s.objects))
	slices.SortFunc(list, func(a, b Object) int {
		return strings.Compare(a.ID.String(), b.ID.String())
	})

	return list
}

// Outcome returns the outcome of the record with the ID, if it is still kept.
func (s State) Outcome(recordID string) (Outcome, bool) {
	o, ok := s.outcomes[recordID]

	return o, ok
}

// WithRecords returns the state after the records, and the outcomes of those not folded
// before. It skips records before the state's offset. The records must not leave a gap
// after that offset; callers check this against the oldest offset of the log.
func (s State) WithRecords(records []logstore.Record) (State, []Outcome) {
	next := State{
		applied:  s.applied,
		objects:  cloneOrMake(s.objects),
		outcomes: cloneOrMake(s.outcomes),
	}
	var outcomes []Outcome
	for _, r := range records {
		if r.Offset < next.applied {
			continue
		}
		if o, first := next.fold(r); first {
			outcomes = append(outcomes, o)
		}
		next.applied = r.Offset + 1
	}
	next.pruneOutcomes()

	return next, outcomes
}

// fold applies a record in place. It returns false if a record with the same ID was
// folded within OutcomeWindow before.
func (s *State) fold(r logstore.Record) (Outcome, bool) {
	rec, err := decodeStrict[Record](r.Data)
	if err != nil {
		return Outcome{Offset: r.Offset, Reason: "unreadable record: " + err.Error()}, true
	}
	if o, ok := s.outcomes[rec.ID]; ok && o.Offset > r.Offset-OutcomeWindow {
		return Outcome{}, false
	}
	o := Outcome{RecordID: rec.ID, Object: rec.Object, Offset: r.Offset}
	o.Reason = s.validate(rec)
	if o.Reason == "" {
		o.Accepted = true
		s.applyChange(rec, r.Offset)
	}
	s.outcomes[rec.ID] = o

	return o, true
}

// applyChange applies an accepted record.
func (s *State) applyChange(rec Record, offset int64) {
	if rec.Action == Delete {
		delete(s.objects, rec.Object)

		return
	}
	s.objects[rec.Object] = Object{
		ID:       rec.Object,
		Revision: Revision(offset + 1),
		Author:   rec.Author,
		Value:    rec.Value,
	}
}

// pruneOutcomes drops the outcomes that are older than OutcomeWindow.
func (s *State) pruneOutcomes() {
	maps.DeleteFunc(s.outcomes, func(_ string, o Outcome) bool {
		return o.Offset <= s.applied-OutcomeWindow
	})
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}

	return maps.Clone(m)
}

// stateJSON is the encoding of a State in snapshots and in messages to peers.
type stateJSON struct {
	Applied  int64     `json:"applied"`
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
}

// MarshalJSON implements json.Marshaler. Its output is deterministic.
func (s State) MarshalJSON() ([]byte, error) {
	outcomes := slices.Collect(maps.Values(s.outcomes))
	slices.SortFunc(outcomes, func(a, b Outcome) int {
		return int(a.Offset - b.Offset)
	})

	return json.Marshal(stateJSON{Applied: s.applied, Objects: s.Objects(), Outcomes: outcomes})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *State) UnmarshalJSON(data []byte) error {
	j, err := decodeStrict[stateJSON](data)
	if err != nil {
		return err
	}
	*s = State{
		applied:  j.Applied,
		objects:  make(map[ObjectID]Object, len(j.Objects)),
		outcomes: make(map[string]Outcome, len(j.Outcomes)),
	}
	for _, o := range j.Objects {
		s.objects[o.ID] = o
	}
	for _, o := range j.Outcomes {
		s.outcomes[o.RecordID] = o
	}

	return nil
}
