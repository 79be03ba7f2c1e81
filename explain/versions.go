package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/slatebridge/slatebridge/event"

	"github.com/cockroachdb/errors"
)

// VersionTake tells how one box came to one version of the configuration.
type VersionTake struct {
	At      time.Time
	Box     string
	Version int64
	// From is the store, or the box from which the version came.
	From string
	// Behind is the time since the first box had this version or a later one.
	Behind time.Duration
	// Call, Decode and Apply are how long the call took that fetched the version, its decoding, and the wait
	// for the control actor.
	Call, Decode, Apply time.Duration
}

// OutdatedSpan is a time for which the last confirmation of a box's configuration was older than a change may
// take.
type OutdatedSpan struct {
	At      time.Time
	Box     string
	Version int64
	// Until is when the configuration was confirmed again; zero if the log doesn't say.
	Until time.Time
	// By is by whose word the configuration had last been current.
	By string
}

// Versions tells which version of the configuration each box had, when, and by whose word.
type Versions struct {
	// Takes are sorted by Behind, the latest first.
	Takes []VersionTake
	// Outdated are sorted by time.
	Outdated []OutdatedSpan
}

// BuildVersions reads the versions from the lines of many boxes. A box that skips a version because it takes a
// later one is behind by the time since the first box had any version that it lacked.
func BuildVersions(l *Log) Versions {
	var v Versions
	// firstAt has the versions in the order in which boxes came to them.
	var firstAt []VersionTake
	had := make(map[string]int64)
	for _, line := range l.Lines {
		switch line.Event {
		case event.Started:
			delete(had, line.Box)
		case event.CatalogTaken:
			t := newVersionTake(line)
			if len(firstAt) == 0 || t.Version > firstAt[len(firstAt)-1].Version {
				firstAt = append(firstAt, t)
			}
			if before, ok := had[t.Box]; ok && before < t.Version {
				i := slices.IndexFunc(firstAt, func(f VersionTake) bool { return f.Version > before })
				t.Behind = t.At.Sub(firstAt[i].At)
			}
			had[t.Box] = t.Version
			v.Takes = append(v.Takes, t)
		case event.CatalogOutdated:
			v.Outdated = append(v.Outdated, OutdatedSpan{At: line.Timestamp, Box: line.Box, Version: int64(line.Number("version")), By: line.Text("by")})
		case event.CatalogCurrent:
			v.endOutdated(line)
		default:
		}
	}
	slices.SortStableFunc(v.Takes, func(a, b VersionTake) int { return cmp.Compare(b.Behind, a.Behind) })

	return v
}

func newVersionTake(l LogLine) VersionTake {
	return VersionTake{
		At: l.Timestamp, Box: l.Box, Version: int64(l.Number("version")), From: l.Text("from"),
		Call: l.Duration("call_ms"), Decode: l.Duration("decode_ms"), Apply: l.Duration("apply_ms"),
	}
}

// endOutdated ends the last span of the box.
func (v *Versions) endOutdated(l LogLine) {
	for i, s := range slices.Backward(v.Outdated) {
		if s.Box == l.Box {
			v.Outdated[i].Until = l.Timestamp

			return
		}
	}
}

// timeOfDay is the layout of times in tables.
const timeOfDay = "15:04:05.000"

// Print writes the takes that were behind by at least the given time, and the spans, as tables.
func (v Versions) Print(w io.Writer, behind time.Duration) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) //nolint:mnd // two spaces between columns
	rows := []string{"at\tbox\tversion\tbehind_ms\tfrom\tcall_ms\tdecode_ms\tapply_ms"}
	for _, k := range v.Takes {
		if k.Behind >= behind {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d", k.At.Format(timeOfDay), k.Box, k.Version,
				k.Behind.Milliseconds(), k.From, k.Call.Milliseconds(), k.Decode.Milliseconds(), k.Apply.Milliseconds()))
		}
	}
	rows = append(rows, "", "outdated_at\tbox\tversion\tby\tuntil")
	for _, s := range v.Outdated {
		until := "-"
		if !s.Until.IsZero() {
			until = s.Until.Format(timeOfDay)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s\t%s", s.At.Format(timeOfDay), s.Box, s.Version, s.By, until))
	}
	if _, err := fmt.Fprintln(t, strings.Join(rows, "\n")); err != nil {
		return errors.Wrap(err, "explain: write table")
	}

	return errors.Wrap(t.Flush(), "explain: write table")
}
