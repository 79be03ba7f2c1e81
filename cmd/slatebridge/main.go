// Command slatebridge is the command-line tool for operators. It publishes declarations, announces
// planned stops, shows the configuration in force and the status of boxes, lifts quarantines,
// analyses the logs of boxes, simulates load, and prints idempotency keys.
//
// The commands publish, delete, stop and status work with slatebridge-controller; box, lift,
// explain, timeline and versions work with slatebridge-box.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/slatebridge/slatebridge/internal/program"
)

// options are the global flags, given before the command.
type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the TOML settings" default:"slatebridge.toml"`
	Version  func() `long:"version" description:"print the version and exit"`
}

func main() {
	var opts options
	opts.Version = func() {
		fmt.Println(program.Current())
		os.Exit(0)
	}
	parser := flags.NewParser(&opts, flags.Default)
	addCommands(parser, &opts)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
