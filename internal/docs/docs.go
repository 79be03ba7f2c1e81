// Package docs generates the pages of docs/ that list data of the code. A test compares the pages
// with the data, and `make docs` rewrites them.
package docs

import (
	"fmt"
	"strings"

	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/internal/faultmatrix"
	"github.com/slatebridge/slatebridge/result"
)

const generatedNotice = "<!-- Made by `make docs`; do not edit. -->\n\n"

// ResultsPage returns the page of result codes.
func ResultsPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generatedNotice)
	b.WriteString("Each refusal and each failed answer carries a code, in the body's `code` field.\n")
	b.WriteString("`ran` says whether the request was run. An answer may be less certain than the\n")
	b.WriteString("table: \"no\" becomes \"maybe\" when an earlier try with the same key may have\n")
	b.WriteString("run. See [callers.md](callers.md).\n\n")
	b.WriteString("| code | name | status | ran | retryable | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range result.Definitions() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", e.Number, e.Name, e.Status, e.Execution, yesNo(e.Retryable), e.Text)
	}

	return b.String()
}

// EventsPage returns the page of log events.
func EventsPage() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generatedNotice)
	b.WriteString("Each log line is a JSON object with the event's number in `event` and its name in\n")
	b.WriteString("`msg`. Routing and placement decisions have a line each.\n\n")
	b.WriteString("| event | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range event.Definitions() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}

	return b.String()
}

// MatrixPage returns the page of the fault matrix.
func MatrixPage() string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\n" + generatedNotice)
	b.WriteString("`+` marks a cell that is a subtest of the named test; `-` marks one that is not\n")
	b.WriteString("tested. [PROOF.md](PROOF.md) says what each test asserts.\n")
	for _, m := range faultmatrix.Matrices() {
		writeMatrixSection(&b, m)
	}

	return b.String()
}

func writeMatrixSection(b *strings.Builder, m faultmatrix.Matrix) {
	fmt.Fprintf(b, "\n## %s\n\nTest: `%s`, %d cells (random pairs included).\n\n| step |", m.Name, m.Test, len(m.Cells()))
	for _, f := range m.Faults {
		fmt.Fprintf(b, " %s |", f.Name)
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(m.Faults)) + "\n")
	for _, s := range m.Steps {
		fmt.Fprintf(b, "| %s |", s.Name)
		for _, f := range m.Faults {
			mark := "+"
			if _, excluded := m.Excluded[faultmatrix.Cell{Step: s.Name, Fault: f.Name}]; excluded {
				mark = "-"
			}
			fmt.Fprintf(b, " %s |", mark)
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	for _, s := range m.Steps {
		fmt.Fprintf(b, "- **%s**: %s\n", s.Name, s.Description)
	}
	for _, f := range m.Faults {
		fmt.Fprintf(b, "- *%s*: %s\n", f.Name, f.Description)
	}
	b.WriteString("- pairs drawn by a fixed seed:")
	for _, c := range m.RandomPairs() {
		fmt.Fprintf(b, " `%s`", c)
	}
	b.WriteString("\n")
	for _, s := range m.Steps {
		for _, f := range m.Faults {
			c := faultmatrix.Cell{Step: s.Name, Fault: f.Name}
			if reason, excluded := m.Excluded[c]; excluded {
				fmt.Fprintf(b, "- not tested: `%s`: %s\n", c, reason)
			}
		}
	}
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}

	return "no"
}
