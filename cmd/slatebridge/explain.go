package main

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/explain"
)

// readLogs reads the logs of boxes from the files, or from standard input if there are none.
func readLogs(files []string) (*explain.Log, error) {
	l := &explain.Log{}
	if len(files) == 0 {
		return l, l.Read(os.Stdin)
	}
	for _, name := range files {
		if err := readFile(l, name); err != nil {
			return nil, err
		}
	}
	if len(l.Lines) == 0 {
		return nil, errors.Newf("no log lines of boxes in %v; %d other lines were skipped", files, l.SkippedLines)
	}

	return l, nil
}

func readFile(l *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()

	return errors.Wrap(l.Read(f), name)
}

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"1" description:"the request ID that the caller sent with this try"`
		Files   []string `positional-arg-name:"FILE" description:"logs of boxes; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute explains what happened to a request, from the logs of many boxes.
func (c *explainCommand) Execute([]string) error {
	l, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	trace := explain.TraceRequest(l, c.Args.Request)

	return trace.Print(os.Stdout)
}

type timelineCommand struct {
	CSVFile string `long:"csv" value-name:"FILE" description:"also write the table to this file, as CSV"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" description:"logs of boxes; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute summarizes what the boxes logged in each second.
func (c *timelineCommand) Execute([]string) error {
	l, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	timeline := explain.BuildTimeline(l)
	if c.CSVFile != "" {
		if err := writeFile(c.CSVFile, func(w io.Writer) error { return explain.PrintCSV(w, timeline) }); err != nil {
			return err
		}
	}

	return explain.PrintTable(os.Stdout, timeline)
}

type versionsCommand struct {
	Behind time.Duration `long:"behind" value-name:"TIME" default:"0s" description:"only boxes that had a version at least this long after the first one that had it"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of boxes; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute shows which version of the configuration each box had, the latest first.
func (c *versionsCommand) Execute([]string) error {
	l, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}

	return explain.BuildVersions(l).Print(os.Stdout, c.Behind)
}

func writeFile(name string, write func(w io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "csv")
	}

	return errors.CombineErrors(write(f), f.Close())
}
