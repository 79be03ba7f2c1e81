package channel

import (
	"context"
	"net"
	"strings"
)

// dialer opens a connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ipLabels is how many labels an IPv4 address has.
const ipLabels = 4

// withoutLabel returns the address of a host that has a label in front of its IPv4
// address. Connections are kept by host, so that a label keeps those to one start of a
// server apart from those to the next one at the same address.
func withoutLabel(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	labels := strings.Split(host, ".")
	if len(labels) <= ipLabels {
		return address
	}

	return net.JoinHostPort(strings.Join(labels[len(labels)-ipLabels:], "."), port)
}

// toAddress makes the dialer open connections to hosts with labels.
func (d dialer) toAddress(ctx context.Context, network, address string) (net.Conn, error) {
	return d(ctx, network, withoutLabel(address))
}
