// Command slatebridge is the operators' tool: it publishes declarations,
// announces planned stops, and shows what is in force.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/slatebridge/slatebridge/daemon"
)

// options are the flags before the command.
type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the TOML settings" default:"slatebridge.toml"`
	Version  func() `long:"version" description:"print the version and exit"`
}

func main() {
	var opts options
	opts.Version = func() {
		fmt.Println("slatebridge", daemon.Version)
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
