// Command slatebridge-controller runs the controller of an entry box, on a platform with a log
// service and a membership list; see package logstore and slatebridge-gateway. On the platform with
// a store, slatebridge-box runs instead.
package main

import (
	"os"

	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/settings"
)

func main() {
	os.Exit(daemon.Main("slatebridge-controller", settings.LoadController, daemon.RunController))
}
