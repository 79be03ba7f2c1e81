package connpool

import (
	"context"
	"net"
	"strings"
)

// dialer is the type of http.Transport.DialContext.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ipv4Parts is the number of parts of an IPv4 address, separated by dots.
const ipv4Parts = 4

// stripLabel removes any DNS-style labels in front of an IPv4 address, such as "a1." in
// "a1.10.0.0.2:80". It does not check that the rest is an address: of any host with more than four
// parts, it keeps the last four. Connections are pooled by host, so a label keeps the connections
// to one incarnation of a server apart from those to the next one at the same address.
func stripLabel(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	parts := strings.Split(host, ".")
	if len(parts) <= ipv4Parts {
		return address
	}

	return net.JoinHostPort(strings.Join(parts[len(parts)-ipv4Parts:], "."), port)
}

// dialWithoutLabel connects to the address without its labels.
func (d dialer) dialWithoutLabel(ctx context.Context, network, address string) (net.Conn, error) {
	return d(ctx, network, stripLabel(address))
}
