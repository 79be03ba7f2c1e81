package box

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

// minRecentChanges is the minimum number of changes retained for other boxes: as many as a few
// messages carry.
const minRecentChanges = 4 * maxChangesPerMessage

// entryTable holds the server entries as in the store. The control actor changes them, and other
// boxes fetch them.
//
// Scenario: thousands of servers load their layers after a start. Each box applies changes of
// their entries with each message, but few boxes are asked for the entries. So documents for other
// boxes are built only on request.
type entryTable struct {
	mu      sync.Mutex
	entries map[string]mesh.ServerEntry
	// position is the store position up to which the entries are known, and recentChanges the
	// latest changes, without gaps up to position.
	position      logstore.Position
	recentChanges []mesh.ServerChange
	// documents caches what other boxes fetch, by the position up to which they know the entries.
	// It is empty after a change until a box asks.
	documents map[logstore.Position]*mesh.Document
}

func newEntryTable() *entryTable {
	return &entryTable{entries: make(map[string]mesh.ServerEntry), documents: make(map[logstore.Position]*mesh.Document)}
}

// update calls f, which changes the entries, and sets the position up to which they are known
// afterwards.
func (t *entryTable) update(next logstore.Position, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.position = next
	clear(t.documents)
}

// appendChange records a change. As many are retained as there are entries, since sending more
// changes would cost more than sending all entries.
func (t *entryTable) appendChange(v mesh.ServerChange) {
	t.recentChanges = append(t.recentChanges, v)
	if limit := max(minRecentChanges, len(t.entries)); len(t.recentChanges) > limit {
		t.recentChanges = t.recentChanges[len(t.recentChanges)-limit:]
	}
}

// changesSince returns the changes from a position on. It reports false if there are none or if
// some of them are no longer retained.
func (t *entryTable) changesSince(from logstore.Position) ([]mesh.ServerChange, bool) {
	if from <= 0 || from >= t.position || len(t.recentChanges) == 0 || t.recentChanges[0].Offset > from {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(t.recentChanges, from, func(v mesh.ServerChange, from logstore.Position) int { return cmp.Compare(v.Offset, from) })

	return t.recentChanges[at:], true
}

// document returns the entries for a box that knows them up to a position: the changes since then,
// or all entries. It returns nil if none are known.
//
// Scenario: thousands of servers load their layers at once, messages do not carry all changes, and
// hundreds of boxes fetch the rest repeatedly. Without the changes each fetch would return the full
// list.
func (t *entryTable) document(from logstore.Position) *mesh.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.position == 0 {
		return nil
	}
	changes, ok := t.changesSince(from)
	if !ok {
		from = 0
	}
	d := t.documents[from]
	if d == nil {
		s := mesh.ServerEntries{NextPosition: t.position}
		if ok {
			s.Changes = slices.Clone(changes)
		} else {
			s.Entries = maps.Clone(t.entries)
		}
		d = mesh.NewServersDocument(s)
		t.documents[from] = d
	}

	return d
}
