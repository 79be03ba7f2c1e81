package catalog

import "github.com/slatebridge/slatebridge"

// Server is a backend server as the directory of servers lists it.
type Server struct {
	ID      slatebridge.ServerID
	Service string
	// Address is host and port.
	Address string
	Hall    slatebridge.HallID
	// Leaving says that the server finishes its work and takes no more.
	Leaving bool
	Slots   int
	// Card names its kind of accelerator; empty for plain servers.
	Card string
	// Layers is what the server holds of the model; empty if it holds none.
	Layers slatebridge.LayerRange
	// ModelVersion is the version of the weights that it holds.
	ModelVersion int
	// Model names the weights.
	Model string
}
