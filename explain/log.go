// Package explain reads the logs of many slatebridge-box processes and shows what happened to a
// request, or what the boxes observed in each second. It needs only the log lines: files may be
// missing, and lines may be in any order.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge/event"

	"github.com/cockroachdb/errors"
)

// LogLine is one line of the log of a box.
type LogLine struct {
	Timestamp time.Time
	Box       string
	Event     event.ID
	// EventName is the name of the event as logged.
	EventName string
	// RequestID is the request that the line is about, or empty.
	RequestID string
	// Server is the server that the line is about, or empty.
	Server string
	// Fields has all fields of the line.
	Fields map[string]any
}

// fieldServer is the log field that names a server.
const fieldServer = "server"

// Text returns a string field, or an empty string if it is missing.
func (l LogLine) Text(field string) string {
	s, _ := l.Fields[field].(string)

	return s
}

// Number returns a numeric field, or zero if it is missing.
func (l LogLine) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)

	return n
}

// Duration returns a field in milliseconds as a duration.
func (l LogLine) Duration(field string) time.Duration {
	return time.Duration(l.Number(field) * float64(time.Millisecond))
}

// Strings returns a field that is a list of strings.
func (l LogLine) Strings(field string) []string {
	list, _ := l.Fields[field].([]any)
	out := make([]string, 0, len(list))
	for _, v := range list {
		if s, ok := v.(string); ok {
			out = append(out, s)
		}
	}

	return out
}

// maxLineBytes is the length of the longest line that can be read.
const maxLineBytes = 1 << 20

// Log holds the lines of several boxes, sorted by time.
type Log struct {
	Lines []LogLine
	// SkippedLines counts the lines that are not log lines of a box.
	SkippedLines int
}

// Read adds the lines of a log. It ignores text before the JSON object on a line, such as the name
// of a file or machine.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.SkippedLines++

			continue
		}
		l.Lines = append(l.Lines, line)
	}
	slices.SortStableFunc(l.Lines, func(a, b LogLine) int { return a.Timestamp.Compare(b.Timestamp) })

	return errors.Wrap(scanner.Err(), "explain: read log")
}

func parseLine(data []byte) (LogLine, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return LogLine{}, false
	}
	l := LogLine{Fields: fields}
	l.Box, l.EventName, l.RequestID, l.Server = l.Text("box"), l.Text("msg"), l.Text("request"), l.Text(fieldServer)
	l.Event = event.ID(l.Number("event"))
	timestamp, err := time.Parse(time.RFC3339Nano, l.Text("ts"))
	l.Timestamp = timestamp

	return l, err == nil && l.Box != "" && l.EventName != ""
}
