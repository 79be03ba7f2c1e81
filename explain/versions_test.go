package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// versionLog is the log of three boxes: box-2 is behind, skips a version and is outdated meanwhile; box-3 starts
// again.
const versionLog = `
{"ts":"2026-12-01T10:00:00.000Z","msg":"Started","event":100,"box":"box-1"}
{"ts":"2026-12-01T10:00:01.000Z","msg":"CatalogTaken","event":210,"box":"box-1","version":2,"from":"store","call_ms":4,"decode_ms":8,"apply_ms":0}
{"ts":"2026-12-01T10:00:01.010Z","msg":"CatalogTaken","event":210,"box":"box-2","version":2,"from":"box-1","call_ms":2,"decode_ms":8,"apply_ms":1}
{"ts":"2026-12-01T10:00:01.020Z","msg":"CatalogTaken","event":210,"box":"box-3","version":2,"from":"box-1","call_ms":2,"decode_ms":8,"apply_ms":1}
{"ts":"2026-12-01T10:00:05.000Z","msg":"CatalogTaken","event":210,"box":"box-1","version":5,"from":"store","call_ms":700,"decode_ms":8,"apply_ms":0}
{"ts":"2026-12-01T10:00:06.000Z","msg":"CatalogTaken","event":210,"box":"box-1","version":9,"from":"store","call_ms":700,"decode_ms":8,"apply_ms":0}
{"ts":"2026-12-01T10:00:06.100Z","msg":"CatalogOutdated","event":216,"box":"box-2","version":2,"age_ms":2010,"by":"box-1"}
{"ts":"2026-12-01T10:00:06.500Z","msg":"Started","event":100,"box":"box-3"}
{"ts":"2026-12-01T10:00:06.600Z","msg":"CatalogTaken","event":210,"box":"box-3","version":9,"from":"box-1","call_ms":2,"decode_ms":8,"apply_ms":0}
{"ts":"2026-12-01T10:00:06.700Z","msg":"CatalogTaken","event":210,"box":"box-2","version":9,"from":"store","call_ms":650,"decode_ms":90,"apply_ms":40}
{"ts":"2026-12-01T10:00:06.700Z","msg":"CatalogCurrent","event":217,"box":"box-2","version":9,"by":"store","outdated_ms":600}
{"ts":"2026-12-01T10:00:09.000Z","msg":"CatalogOutdated","event":216,"box":"box-1","version":9,"age_ms":2010,"by":"store"}
`

func TestVersions(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(versionLog)); err != nil {
		t.Fatal(err)
	}
	v := BuildVersions(&l)
	t.Run("a box that skips a version is behind since it lacked it, one that starts is not", func(t *testing.T) {
		behind := make(map[string]time.Duration)
		for _, k := range v.Takes {
			if k.Version == 9 {
				behind[k.Box] = k.Behind
			}
		}
		want := map[string]time.Duration{"box-1": 0, "box-2": 1700 * time.Millisecond, "box-3": 0}
		if diff := cmp.Diff(want, behind); diff != "" {
			t.Errorf("time behind (-want +got):\n%s", diff)
		}
	})
	t.Run("the table has the latest first", func(t *testing.T) {
		var b strings.Builder
		if err := v.Print(&b, time.Second); err != nil {
			t.Fatal(err)
		}
		want := `at            box    version  behind_ms  from   call_ms  decode_ms  apply_ms
10:00:06.700  box-2  9        1700       store  650      90         40

outdated_at   box    version  by     until
10:00:06.100  box-2  2        box-1  10:00:06.700
10:00:09.000  box-1  9        store  -
`
		if diff := cmp.Diff(want, b.String()); diff != "" {
			t.Errorf("table (-want +got):\n%s", diff)
		}
	})
}
