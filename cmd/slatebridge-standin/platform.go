package main

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/daemon"
	"github.com/slatebridge/slatebridge/platform/standin"
)

// modelServersPerHall is the number of model servers in each hall of the demo.
const modelServersPerHall = 4

type platformCommand struct {
	Listen     string `long:"listen" required:"yes" description:"the address of the store"`
	Halls      int    `long:"halls" description:"how many halls have servers" default:"2"`
	ConfigFile string `long:"config" required:"yes" description:"a JSON file with the configuration"`
}

// Execute runs the stand-in for the platform with a store: a store, and four model servers and one
// plain server in each hall. In the first hall, the model servers have the addresses 127.0.64.1 to
// 127.0.64.4, and the plain server 127.0.64.9; in the second hall, they begin with 127.0.65, and so
// on. The port is 8000.
func (c *platformCommand) Execute([]string) error {
	config, err := os.ReadFile(c.ConfigFile)
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	ctx := daemon.StopContext()
	var listenErr error
	fleet := standin.NewFleet(c.Listen, func(address string) net.Listener {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			listenErr = errors.CombineErrors(listenErr, err)

			return closedListener{}
		}

		return ln
	})
	defer fleet.Close()
	fleet.Configure(string(config))
	for h := range c.Halls {
		hall := "hall-" + string(rune('a'+h))
		for i := range modelServersPerHall {
			fleet.Add(&standin.Server{
				ID: fmt.Sprintf("model-%s-%d", hall, i+1), Service: "llm", Hall: hall, AcceleratorKind: "big",
				Address: fmt.Sprintf("127.0.%d.%d:8000", 64+h, i+1),
			})
		}
		fleet.Add(&standin.Server{
			ID: "plain-" + hall, Service: "till", Hall: hall, Address: fmt.Sprintf("127.0.%d.9:8000", 64+h),
		})
	}
	if listenErr != nil {
		return errors.Wrap(listenErr, "standin")
	}
	<-ctx.Done()

	return nil
}

// closedListener takes the place of a listener that could not be opened.
type closedListener struct{}

// Accept returns net.ErrClosed.
func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Close does nothing.
func (closedListener) Close() error { return nil }

// Addr returns an empty address.
func (closedListener) Addr() net.Addr { return &net.TCPAddr{} }
