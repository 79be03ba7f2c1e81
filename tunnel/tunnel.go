// Package tunnel connects a box to backend servers through another box while its own links to them
// are down.
//
// The box keeps every decision on a request: only the bytes of its connections pass through the
// other box, the helper. So orders, reports and requests all work through a tunnel, and a limit, a
// claim or a retry is charged once, where the request is.
//
// A tunnel is opened by an HTTP request with the method CONNECT at the address at which boxes fetch
// state from each other. Both sides prove that they know the configuration. A helper connects to
// servers directly only, so a tunnel has one hop.
package tunnel

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
)

// Headers of the request that opens a tunnel, and of its response.
const (
	// headerBox names the box that opens the tunnel.
	headerBox = "Box"
	// headerNonce has a random text that the proofs cover.
	headerNonce = "Nonce"
	// headerProof has the proof of the sender; see Key.
	headerProof = "Proof"
	// headerAlternates lists other boxes that may help.
	headerAlternates = "Alternates"
)

// Statuses with which a helper responds.
const (
	statusConnected = http.StatusOK
	// statusForbidden rejects a request without a valid proof, or for an address of no known server.
	statusForbidden = http.StatusForbidden
	// statusRefused and statusTimedOut are the helper's own findings about the server.
	statusRefused  = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
	// statusUnavailable says that the helper has no room, stops, or reaches no server itself.
	statusUnavailable = http.StatusServiceUnavailable
)

// Helper is a box through which connections may be opened.
type Helper struct {
	Box slatebridge.BoxID
	// Address is the host and port at which other boxes reach it.
	Address string
	Hall    slatebridge.HallID
	// Isolated is set if the box said that it reaches no server itself.
	Isolated bool
}

// maxAlternates is the number of boxes that one response names.
const maxAlternates = 4

// formatAlternates returns the value of headerAlternates.
func formatAlternates(list []Helper) string {
	parts := make([]string, 0, len(list))
	for _, h := range list {
		parts = append(parts, strings.Join([]string{string(h.Box), h.Address, string(h.Hall)}, ";"))
	}

	return strings.Join(parts, ",")
}

// parseAlternates returns the boxes in a value of headerAlternates, without malformed ones.
func parseAlternates(value string) []Helper {
	var out []Helper
	for part := range strings.SplitSeq(value, ",") {
		fields := strings.Split(part, ";")
		const fieldCount = 3
		if len(fields) != fieldCount || fields[1] == "" || len(out) == maxAlternates {
			continue
		}
		out = append(out, Helper{Box: slatebridge.BoxID(fields[0]), Address: fields[1], Hall: slatebridge.HallID(fields[2])})
	}

	return out
}

// Errors of tunnels that were not opened.
var (
	// errServerRefused and errServerTimedOut are a helper's findings about the server.
	errServerRefused  = errors.New("tunnel: the server refuses connections of the helper")
	errServerTimedOut = errors.New("tunnel: the server does not answer the helper")
	// errUnavailable says that the helper could not help, which tells nothing about the server.
	errUnavailable = errors.New("tunnel: the helper is not available")
	// errForbidden says that the helper did not accept the request, or did not prove that it is a box.
	errForbidden = errors.New("tunnel: no valid proof")
)

// isFinding reports whether the error of a tunnel is a finding about the server.
func isFinding(err error) bool { return errors.IsAny(err, errServerRefused, errServerTimedOut) }
