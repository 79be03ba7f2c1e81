package explain

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/slatebridge/slatebridge/event"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge/internal/golden"
)

// line returns a log line of a box, at the given number of milliseconds after 10:00:00.
func line(ms int, box string, id event.ID, fields map[string]any) string {
	all := map[string]any{"ts": fmt.Sprintf("2026-01-01T10:00:%02d.%03dZ", ms/1000, ms%1000), "box": box, "event": id, "msg": "Any"}
	for k, v := range fields {
		all[k] = v
	}
	data, _ := json.Marshal(all)

	return string(data)
}

// readLog returns a Log with the lines.
func readLog(t *testing.T, lines ...string) *Log {
	t.Helper()
	l := &Log{}
	if err := l.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}

	return l
}

func TestCause(t *testing.T) {
	sent := line(1000, "b1", event.StreamSent, map[string]any{"request": "r", "path": "s1[0,4)>s2[4,8)"})
	stalled := line(2000, "b1", event.StreamStalled, map[string]any{"request": "r", "path": "s1[0,4)>s2[4,8)", "dead": []string{"s2"}})
	answered := line(3000, "b1", event.RequestAnswered, map[string]any{"request": "r", "took_ms": 2000, "longest_pause_ms": 400})
	refused := func(code int, why string) string {
		return line(1000, "b1", event.RequestRefused, map[string]any{"request": "r", "code": code, "why": why})
	}
	suspected := func(box, why string) string {
		return line(1990, box, event.ServerSuspected, map[string]any{fieldServer: "s2", "why": why})
	}
	for name, v := range map[string]struct {
		lines []string
		want  CauseKind
	}{
		"no line":                               {[]string{line(1000, "b2", event.PeerLost, map[string]any{"peer": "b1"})}, CauseNoLogLines},
		"a lost box":                            {[]string{sent}, CauseBoxLost},
		"a server that several boxes suspected": {[]string{sent, suspected("b2", "silent"), suspected("b1", "silent"), stalled, answered}, CauseServerDead},
		"a server that one box suspected":       {[]string{sent, suspected("b1", "silent"), stalled, line(2500, "b1", event.ServerTrusted, map[string]any{fieldServer: "s2"}), answered}, CauseBoxSlow},
		"a network partition":                   {[]string{sent, suspected("b1", "its hall is cut off"), stalled, answered}, CauseHallPartitioned},
		"a partition that first looked like a dead server": {[]string{
			sent, suspected("b1", "silent"), stalled, line(2100, "b1", event.ServerSuspected, map[string]any{fieldServer: "s1", "why": "its hall is cut off"}), answered,
		}, CauseHallPartitioned},
		"a restarted server": {[]string{
			sent, line(1900, "b3", event.ServerRestarted, map[string]any{fieldServer: "s2", "now": "s2@q", "source": "its entry"}), stalled, answered,
		}, CauseServerRestarted},
		"a slow server":                           {[]string{sent, line(1500, "b3", event.ServerSlow, map[string]any{fieldServer: "s1", "slowness": 5.5}), answered}, CauseServerSlow},
		"a configuration that is too old":         {[]string{refused(3005, "too old")}, CauseConfigNotCurrent},
		"an unknown key":                          {[]string{refused(1008, "the key is not known")}, CauseRequestRejected},
		"unavailable layers":                      {[]string{refused(3001, "some layers are on no server")}, CauseLayersUnavailable},
		"room kept for more urgent requests":      {[]string{refused(2003, "the room left is kept for more urgent requests")}, CauseRoomKept},
		"no free memory":                          {[]string{refused(2003, "no path has memory left")}, CauseNoCapacity},
		"an exhausted retry budget":               {[]string{refused(2003, "the budget for retries is used up")}, CauseRetryBudgetExhausted},
		"a quarantined prompt part":               {[]string{sent, line(900, "b1", event.AttemptEnded, map[string]any{"request": "r", fieldServer: "s1", "error": "EOF"}), refused(3010, "servers have ended")}, CausePoisonRequest},
		"a quarantined request":                   {[]string{sent, line(900, "b1", event.AttemptEnded, map[string]any{"request": "r", fieldServer: "s1", "error": "EOF"}), refused(3006, "servers have ended")}, CausePoisonRequest},
		"an answer in time":                       {[]string{sent, answered}, CauseAnswered},
		"a server error":                          {[]string{line(900, "b1", event.AttemptEnded, map[string]any{"request": "r", fieldServer: "s1", "error": "reset"}), refused(4001, "it may have run")}, CauseServerError},
		"a refusal for an unknown reason":         {[]string{refused(2004, "leaving")}, CauseUnknown},
		"no related lines":                        {[]string{sent, line(3000, "b1", event.RequestAnswered, map[string]any{"request": "r", "took_ms": 2000})}, CauseAnswered},
		"a slow server on no path of the request": {[]string{sent, line(1500, "b3", event.ServerSlow, map[string]any{fieldServer: "s9"}), answered}, CauseAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			if got := TraceRequest(readLog(t, v.lines...), "r").Cause; got.Kind != v.want {
				t.Errorf("cause %s (%s), want %s", got.Kind, got.Evidence, v.want)
			}
		})
	}
}

// TestRequestTraceGolden checks that lines in any order, prefixed with machine names and mixed with
// the lines of other programs, give the same trace. It also checks the timeline.
func TestRequestTraceGolden(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "crash.log"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	trace := func(lines []string) (string, *Log) {
		l := readLog(t, lines...)
		tr := TraceRequest(l, "3aeb6e96")
		var b strings.Builder
		if err := tr.Print(&b); err != nil {
			t.Fatal(err)
		}

		return b.String(), l
	}
	want, l := trace(lines)
	golden.Compare(t, filepath.Join("testdata", "crash.story"), want)
	if l.SkippedLines != 1 {
		t.Errorf("%d lines were skipped, want 1", l.SkippedLines)
	}
	reversed := slices.Clone(lines)
	slices.Reverse(reversed)
	got, _ := trace(reversed)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	var table strings.Builder
	if err := PrintTable(&table, BuildTimeline(l)); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, filepath.Join("testdata", "crash.timeline"), table.String())
}

func TestTimeline(t *testing.T) {
	l := readLog(t,
		line(100, "b1", event.ElectionWon, nil),
		line(200, "b1", event.ServerSuspected, map[string]any{fieldServer: "s1"}),
		line(300, "b2", event.ServerSuspected, map[string]any{fieldServer: "s1"}),
		line(1400, "b2", event.ServerEnded, map[string]any{fieldServer: "s1"}),
		line(1500, "b1", event.ServerEnded, map[string]any{fieldServer: "s1"}),
		line(2050, "b2", event.BoxSuspended, map[string]any{"away_ms": 8000}),
		line(2060, "b1", event.ServerRests, map[string]any{fieldServer: "s2", "rest_ms": 3000}),
		line(2070, "b2", event.ServerRests, map[string]any{fieldServer: "s2", "rest_ms": 3000}),
		line(2080, "b2", event.ServerLeaves, map[string]any{fieldServer: "s3"}),
		line(2090, "b2", event.ServerLimited, map[string]any{fieldServer: "s4", "rate": 5.4}),
		line(2095, "b1", event.ServerLimited, map[string]any{fieldServer: "s4", "rate": 5.4}),
		line(2100, "b2", event.RequestRefused, map[string]any{"request": "r", "code": 2003}),
	)
	var b strings.Builder
	if err := PrintCSV(&b, BuildTimeline(l)); err != nil {
		t.Fatal(err)
	}
	want := strings.Join(timelineColumns, ",") + "\n" +
		"0,b1,0,1,0,0,0,0,0,0,0,0,0,0,0,0,0,\n" +
		"1,b1,0,0,0,0,0,0,0,1,0,0,0,0,0,0,0,\n" +
		"2,b1,0,0,0,0,0,0,0,0,1,1,1,1,0,0,0,2003:1\n"
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Error(diff)
	}
}

// TestLedgerRefusal checks that the evidence names the servers at which the ledger refused room.
func TestLedgerRefusal(t *testing.T) {
	l := readLog(t,
		line(1000, "b1", event.RoomRefused, map[string]any{"request": "r", "full": []string{"s2", "s3"}}),
		line(1001, "b1", event.RequestRefused, map[string]any{"request": "r", "code": 2003, "why": "no path has memory left for the request"}),
	)
	want := Cause{CauseNoCapacity, "no path has memory left for the request; room refused by the hall's ledger at s2, s3"}
	if diff := cmp.Diff(want, TraceRequest(l, "r").Cause); diff != "" {
		t.Error(diff)
	}
}
