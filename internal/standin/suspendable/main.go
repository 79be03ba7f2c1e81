// Command suspendable is slatebridge-box with an emulated suspension of the machine, and emulated cuts
// of its links to backend servers. Tests change both from outside the process by files.
//
// The total suspension time in milliseconds is the size in bytes of the file whose path is in the
// environment variable SLATEBRIDGE_AWAY. It is zero if there is no such file. The file whose path is in
// SLATEBRIDGE_CUT has the form of the cut; it is empty or missing without one.
package main

import (
	"os"
	"time"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/platform"
)

func main() {
	file := os.Getenv("SLATEBRIDGE_AWAY")
	clock.SetSuspensionFunc(func(time.Time) time.Duration {
		info, err := os.Stat(file)
		if err != nil {
			return 0
		}

		return time.Duration(info.Size()) * time.Millisecond
	})
	links := newCutLinks(os.Getenv("SLATEBRIDGE_CUT"))
	go links.watch()
	run := daemon.NewBoxRunner(daemon.WithServerDial(links.dial))
	os.Exit(daemon.Main("slatebridge-box", platform.LoadSettings, run, daemon.WithSettingsFileFromEnv(platform.SettingsFileVariable)))
}
