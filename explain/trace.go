package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/slatebridge/slatebridge/event"
)

const (
	// Lines about the servers of a request are related to it from relatedBefore its start until
	// relatedAfter its end.
	relatedBefore = 5 * time.Second
	relatedAfter  = time.Second
	// sameCrashWindow is the time within which suspicions of a server by several boxes are
	// attributed to the same crash.
	sameCrashWindow = time.Second
	// falseSuspicionWindow is the time within which renewed trust shows that a suspicion was false.
	falseSuspicionWindow = 2 * time.Second
)

// RequestTrace is the history of one request.
type RequestTrace struct {
	RequestID string
	// Box served the request; empty if no line names the request.
	Box string
	// Lines are about the request itself. RelatedLines are from the same period: lines of any box
	// about the servers of the request, and lines of Box about itself, the store and other boxes.
	// If no line names the request, RelatedLines are all PeerLost lines.
	Lines        []LogLine
	RelatedLines []LogLine
	Cause        Cause
}

// TraceRequest returns the history of a request.
func TraceRequest(l *Log, request string) RequestTrace {
	t := RequestTrace{RequestID: request}
	for _, line := range l.Lines {
		if line.RequestID == request {
			t.Lines = append(t.Lines, line)
		}
	}
	if len(t.Lines) == 0 {
		t.Cause = Cause{Kind: CauseNoLogLines, Evidence: "no line names the request: its box was lost before it logged a line, no box received the request, or the log is missing"}
		for _, line := range l.Lines {
			if line.Event == event.PeerLost {
				t.RelatedLines = append(t.RelatedLines, line)
			}
		}

		return t
	}
	first, last := t.Lines[0], t.Lines[len(t.Lines)-1]
	t.Box = first.Box
	servers := t.servers()
	// If the first line is about the end of the request, its took_ms gives the start.
	from, to := first.Timestamp.Add(-first.Duration("took_ms")-relatedBefore), last.Timestamp.Add(relatedAfter)
	for _, line := range l.Lines {
		if line.Timestamp.Before(from) || line.Timestamp.After(to) || line.RequestID != "" {
			continue
		}
		if t.isRelated(line, servers) {
			t.RelatedLines = append(t.RelatedLines, line)
		}
	}
	t.Cause = t.findCause()

	return t
}

// servers returns the servers named by the request's lines.
func (t *RequestTrace) servers() map[string]bool {
	out := make(map[string]bool)
	for _, l := range t.Lines {
		for _, field := range []string{"path", "from", "to", fieldServer} {
			for _, id := range pathServers(l.Text(field)) {
				out[id] = true
			}
		}
		for _, id := range l.Strings("dead") {
			out[id] = true
		}
	}

	return out
}

// pathServers returns the servers of a path such as "a[0,4)>b[4,8)".
func pathServers(path string) []string {
	var out []string
	for stage := range strings.SplitSeq(path, ">") {
		if id, _, _ := strings.Cut(stage, "["); id != "" {
			out = append(out, id)
		}
	}

	return out
}

// isRelated reports whether a line without a request ID is related to the request.
func (t *RequestTrace) isRelated(l LogLine, servers map[string]bool) bool {
	switch l.Event {
	case event.ServerSuspected, event.ServerTrusted, event.ServerSlow, event.ServerRemoved, event.ServerRestarted, event.PlacementPlanned, event.ServerChanged:
		return servers[l.Server]
	case event.StoreLost, event.StoreRegained, event.CatalogTaken, event.Ready, event.Stopping, event.Started, event.PeerLost, event.LinesDropped:
		return l.Box == t.Box
	default:
		return false
	}
}

// lastEvent returns the last line with one of the events, if any.
func (t *RequestTrace) lastEvent(events ...event.ID) (LogLine, bool) {
	for _, l := range slices.Backward(t.Lines) {
		if slices.Contains(events, l.Event) {
			return l, true
		}
	}

	return LogLine{}, false
}

// Print writes the trace with one line per log line; an asterisk marks the lines about the request
// itself.
func (t *RequestTrace) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, served by %s\n", t.RequestID, boxOrUnknown(t.Box))
	all := slices.Concat(t.Lines, t.RelatedLines)
	slices.SortStableFunc(all, func(a, b LogLine) int { return a.Timestamp.Compare(b.Timestamp) })
	for _, l := range all {
		mark := " "
		if l.RequestID != "" {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %-22s %-18s %s\n", mark, l.Timestamp.Format("15:04:05.000"), l.Box, l.EventName, l.summary())
	}
	fmt.Fprintf(&b, "likely cause: %s: %s\n", t.Cause.Kind, t.Cause.Evidence)
	_, err := io.WriteString(w, b.String())

	return err
}

func boxOrUnknown(name string) string {
	if name == "" {
		return "an unknown box"
	}

	return name
}

// summaryFields are the fields that summary shows, in order.
var summaryFields = []string{
	fieldServer, "path", "from", "to", "dead", "without", "silent_ms", "fate", "status", "error", "why", "code", "ran",
	"attempts", "first_event_ms", "longest_pause_ms", "took_ms", "config", "config_age_ms", "version", "peer", "topic", "layers", "token",
}

// summary returns the most informative fields of the line.
func (l LogLine) summary() string {
	var parts []string
	for _, name := range summaryFields {
		if v, ok := l.Fields[name]; ok && v != nil {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}

	return strings.Join(parts, " ")
}
