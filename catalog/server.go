package catalog

import (
	"fmt"
	"strings"

	"github.com/slatebridge/slatebridge"
)

// Server is a backend server as described by its server entry in the store.
type Server struct {
	// ID identifies one incarnation of the server. A restarted server has lost its
	// state, so it gets a new ID and nothing recorded about the previous incarnation
	// applies to it.
	ID slatebridge.ServerID
	// Name is the key of the server entry.
	Name string
	// Incarnation distinguishes runs of the server process; empty if the server does
	// not report it.
	Incarnation string
	Service     string
	// Address has the form host:port.
	Address string
	Hall    slatebridge.HallID
	// Leaving means that the server completes its in-flight work and accepts no more.
	Leaving bool
	// EntryInvalid means that the server entry was overwritten with an invalid one. The
	// server gets no new work until the entry is valid again; in-flight work continues.
	EntryInvalid bool
	Slots        int
	// Accelerator names the accelerator type; empty for plain servers.
	Accelerator string
	// Layers is the layer range that the server holds; empty if it holds none.
	Layers slatebridge.LayerRange
	// ModelVersion is the version of the loaded weights.
	ModelVersion int
	// Model is the name of the loaded model.
	Model string
}

// incarnationSeparator separates the server name and the incarnation in a server ID.
const incarnationSeparator = "@"

// ServerID returns the ID of one incarnation of the named server. Separators in
// the name are doubled. Without an incarnation, the ID is the name.
func ServerID(name, incarnation string) slatebridge.ServerID {
	if incarnation == "" {
		return slatebridge.ServerID(name)
	}

	return slatebridge.ServerID(strings.ReplaceAll(name, incarnationSeparator, incarnationSeparator+incarnationSeparator) + incarnationSeparator + incarnation)
}

// AfterRestart returns the server as it is just after a restart with the given
// incarnation: no layers are loaded, and Leaving and EntryInvalid are cleared.
func (s Server) AfterRestart(incarnation string) Server {
	s.ID, s.Incarnation = ServerID(s.Name, incarnation), incarnation
	s.Layers, s.ModelVersion, s.Model = slatebridge.LayerRange{}, 0, ""
	s.Leaving, s.EntryInvalid = false, false

	return s
}

// PoolHost returns the connection pool key, in host:port form. The incarnation
// precedes the address so that a pooled connection to an earlier incarnation is never
// reused; connpool.Transport strips it before dialing.
func (s Server) PoolHost() string {
	if s.Incarnation == "" {
		return s.Address
	}

	return s.Incarnation + "." + s.Address
}

// EntryFault classifies why a server entry is invalid.
type EntryFault string

// The kinds of invalid server entries.
const (
	// MalformedEntry means that the entry cannot be decoded or a field has the wrong type.
	MalformedEntry EntryFault = "unreadable"
	// MissingField means that a required field is missing.
	MissingField EntryFault = "missing"
	// OutOfRange means that a field value is outside its valid range.
	OutOfRange EntryFault = "out of range"
	// UnknownState means that the entry has an unrecognized state.
	UnknownState EntryFault = "unknown state"
)

// EntryError reports an invalid server entry.
type EntryError struct {
	// Name is the key of the server entry.
	Name   string
	Fault  EntryFault
	Detail string
}

// Error implements the error interface.
func (e *EntryError) Error() string {
	return fmt.Sprintf("entry of server %q: %s: %s", e.Name, e.Fault, e.Detail)
}
