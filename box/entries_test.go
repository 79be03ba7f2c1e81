package box

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge/logstore"
	"github.com/slatebridge/slatebridge/mesh"
)

// TestEntryTable: boxes that ask get the entries as they are then, and a copy is made only for
// the first of them after a change.
func TestEntryTable(t *testing.T) {
	table := newEntryTable()
	srv := httptest.NewServer(mesh.HelpHandler(mesh.Help{Servers: table.document}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	set := func(key string, next logstore.Place) {
		table.change(next, func() { table.list[key] = mesh.Entry{Value: []byte("{}"), Offset: next - 1} })
	}
	if table.document() != nil {
		t.Error("a box that knows nothing gives something")
	}
	set("s-1", 1)
	first := table.document()
	if table.document() != first {
		t.Error("a second copy without a change")
	}
	set("s-2", 2)
	want := mesh.Servers{Next: 2, Entries: map[string]mesh.Entry{"s-1": {Value: []byte("{}"), Offset: 0}, "s-2": {Value: []byte("{}"), Offset: 1}}}
	got, err := mesh.AskServers(t.Context(), srv.Client(), address)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	t.Run("what was asked for before a change stays as it was", func(t *testing.T) {
		copied := table.document()
		table.change(3, func() { delete(table.list, "s-1") })
		asked := httptest.NewServer(mesh.HelpHandler(mesh.Help{Servers: func() *mesh.Document { return copied }}))
		defer asked.Close()
		got, err := mesh.AskServers(t.Context(), asked.Client(), strings.TrimPrefix(asked.URL, "http://"))
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Error(diff, err)
		}
	})
	t.Run("boxes ask for what the control actor took up", func(t *testing.T) {
		c := newTestControl(t)
		c.box.platform.DecodeServer = testDecode
		c.onServers(&serversFound{entries: []logstore.Entry{entryWith(4)}, next: 1, whole: true})
		if diff := cmp.Diff([]byte{4}, c.box.entries.list["s1"].Value); diff != "" || c.box.entries.next != 1 {
			t.Error(diff, c.box.entries.next)
		}
		if c.box.entries.copied != nil {
			t.Error("a copy that nobody has asked for")
		}
	})
}
