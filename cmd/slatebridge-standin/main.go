// Command slatebridge-standin runs the stand-ins used by the tests and the demo: a platform with a
// store and its servers (for slatebridge-box); the log service, the membership list, engines and
// plain services of a platform with a log service (for slatebridge-gateway and
// slatebridge-controller); and callers. It is never shipped with an entry box.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/daemon"
)

func main() {
	daemon.OutliveSignals()
	parser := flags.NewParser(&struct{}{}, flags.Default)
	commands := []struct {
		name    string
		short   string
		command any
	}{
		{"platform", "run the platform with a store: the store and backend servers", &platformCommand{}},
		{"log", "run the log service of a platform", &logCommand{}},
		{"members", "run the membership list of a platform: its boxes and servers", &membersCommand{}},
		{"engine", "run an engine", &engineCommand{}},
		{"plain", "run the servers of a plain service", &plainCommand{}},
		{"load", "send requests and check the answers", &loadCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

// serve serves the listeners until SIGTERM or SIGINT.
func serve(list ...daemon.ListenerConfig) error {
	ctx := daemon.StopContext()
	servers, err := daemon.Listen(ctx, zap.NewNop(), list...)
	if err != nil {
		return err
	}
	defer servers.Close()
	<-ctx.Done()

	return nil
}
