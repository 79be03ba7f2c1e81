// Command slatebridge-gateway runs the gateway of an entry box, on a platform with a log and a list of
// boxes and servers; see slatebridge-controller. On the users' platform, slatebridge-box runs instead.
package main

import (
	"os"

	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/settings"
)

func main() {
	os.Exit(daemon.Main("slatebridge-gateway", settings.LoadGateway, daemon.RunGateway))
}
