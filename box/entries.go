package box

import (
	"maps"
	"sync"

	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

// entryTable has the entries of the servers as the store has them. The control actor changes
// them. What boxes that ask get is made when one asks.
//
// Load pattern: thousands of servers load their layers at a start, and each box takes up some
// changes of their entries in each message; hardly any is asked for them. A copy for each such
// message was most of what boxes did then.
type entryTable struct {
	mu   sync.Mutex
	list map[string]mesh.Entry
	// next is the offset up to which the entries are known.
	next logstore.Place
	// copied is what boxes that ask get; nil after a change until one asks.
	copied *mesh.Document
}

func newEntryTable() *entryTable { return &entryTable{list: make(map[string]mesh.Entry)} }

// change has f change the entries, which are known up to the offset next afterwards.
func (t *entryTable) change(next logstore.Place, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.next, t.copied = next, nil
}

// document returns the entries for other boxes; nil if none are known.
func (t *entryTable) document() *mesh.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.copied == nil && t.next > 0 {
		t.copied = mesh.NewServers(mesh.Servers{Entries: maps.Clone(t.list), Next: t.next})
	}

	return t.copied
}
