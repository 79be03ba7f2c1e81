// Command slatebridge-box runs a whole entry box as one program, on the platform with a store; see
// package platform. On a platform with a log service and a membership list, slatebridge-gateway and
// slatebridge-controller together form an entry box.
package main

import (
	"os"

	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/platform"
)

func main() {
	os.Exit(daemon.Main("slatebridge-box", platform.LoadSettings, daemon.RunBox, daemon.WithSettingsFileFromEnv(platform.SettingsFileVariable)))
}
