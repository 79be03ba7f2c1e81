package repair

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLogState replays streams that are checked ten times a second and stay where they are.
func TestLogState(t *testing.T) {
	// lines returns the times, in checks, at which findings are logged.
	lines := func(checks int, finding func(i int) string) []int {
		var s LogState
		var out []int
		for i := range checks {
			var logged bool
			if s, logged = s.WithFinding(finding(i), lostAt.Add(time.Duration(i)*100*time.Millisecond)); logged {
				out = append(out, i)
			}
		}

		return out
	}
	for name, v := range map[string]struct {
		finding func(i int) string
		want    []int
	}{
		"the same finding":                  {func(int) string { return "" }, []int{0, 10, 30, 70, 150}},
		"another finding is logged at once": {func(i int) string { return fmt.Sprint(i >= 15) }, []int{0, 10, 15, 25, 45, 85, 165}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(v.want, lines(200, v.finding)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
