package logstore

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
)

// TestOddMembers guards against one odd entry of another writer that keeps controllers from following the
// whole list.
func TestOddMembers(t *testing.T) {
	const depth = 300_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	for name, odd := range map[string]string{
		"a number too large": `{"id":"odd","speed":1e400}`, "a fraction": `{"id":"odd","max_layers":1.5}`, "a list": "[]", "a text": `"x"`,
		"an id that is a number": `{"id":7}`, "deep": `{"id":"odd","url":` + deep + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, fmt.Sprintf(`{"boxes":[{"id":"b1"},%s,{"id":"b2"}],"servers":[%s,{"id":"s1"}]}`, odd, odd))
			}))
			defer srv.Close()
			m, err := NewMembershipClient(srv.URL, srv.Client()).Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var ids []string
			for _, b := range m.Boxes {
				ids = append(ids, string(b.ID))
			}
			for _, s := range m.Servers {
				ids = append(ids, string(s.ID))
			}
			if diff := cmp.Diff([]string{"b1", "b2", "s1"}, slicesWithout(ids, "odd")); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
			if len(m.Refused) == 0 {
				t.Error("no entry was refused")
			}
		})
	}
	t.Run("entries of other kinds are kept", func(t *testing.T) {
		var m Membership
		if err := m.UnmarshalJSON([]byte(`{"servers":[{"id":"s1","state":"live"}]}`)); err != nil {
			t.Fatal(err)
		}
		want := []slatebridge.BackendServer{{ID: "s1", State: slatebridge.Live}}
		if diff := cmp.Diff(want, m.Servers); diff != "" || len(m.Refused) > 0 {
			t.Errorf("refused %v, servers (-want +got):\n%s", m.Refused, diff)
		}
	})
}

func slicesWithout(list []string, not string) []string {
	var out []string
	for _, v := range list {
		if v != not {
			out = append(out, v)
		}
	}

	return out
}
