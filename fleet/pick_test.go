package fleet

import (
	"testing"
	"time"

	"github.com/slatebridge/slatebridge"
)

// TestPickOnOthersWord guards against a service that a box refuses because other boxes hold all its
// servers for dead.
func TestPickOnOthersWord(t *testing.T) {
	const suspicion = time.Second
	for name, v := range map[string]struct {
		// own and reported are the servers that this box suspects and that others report.
		own, reported []slatebridge.ServerID
		// want is the server that is chosen; empty if none is.
		want slatebridge.ServerID
	}{
		"others report one of two": {reported: []slatebridge.ServerID{"s1"}, want: "s2"},
		"others report both":       {reported: []slatebridge.ServerID{"s1", "s2"}, want: "s1"},
		"this box suspects one, others report both": {
			own: []slatebridge.ServerID{"s1"}, reported: []slatebridge.ServerID{"s1", "s2"}, want: "s2",
		},
		"this box suspects both": {own: []slatebridge.ServerID{"s1", "s2"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newFakeClockFleet(t, "s1", "s2")
			for _, id := range v.reported {
				n.SuspectReported(id, n.now.Add(suspicion))
			}
			for _, id := range v.own {
				n.Suspect(id, n.now.Add(suspicion))
			}
			s, _, _ := n.Pick("till", nil)
			if s.ID != v.want {
				t.Errorf("picked %q, want %q", s.ID, v.want)
			}
		})
	}
}
