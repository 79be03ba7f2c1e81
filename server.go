package slatebridge

// ServerID identifies a backend server.
type ServerID string

// ServerKind is the kind of work that a backend server does.
type ServerKind string

// The kinds of backend servers.
const (
	// EngineServer runs a layer range of a model.
	EngineServer ServerKind = "engine"
	// PlainServer answers the calls of a plain service, one without a model.
	PlainServer ServerKind = "plain"
)

// BackendServer is a server that the router sends work to.
type BackendServer struct {
	ID   ServerID   `json:"id"`
	Hall HallID     `json:"hall"`
	Kind ServerKind `json:"kind"`
	URL  string     `json:"url"`
	// Service is the plain service that the server runs; empty for engines.
	Service string         `json:"service,omitempty"`
	State   LifecycleState `json:"state"`
	// LayersPerMillisecond is the speed of the server, in layers a millisecond for one token;
	// engines only.
	LayersPerMillisecond float64 `json:"speed,omitempty"`
	// MaxLayers is the number of layers that fit into the accelerator; engines only.
	MaxLayers int `json:"max_layers,omitempty"`
	// ChecksFencingTokens is whether the server rejects placement orders with an older fencing
	// token than the newest that it has seen; engines only.
	ChecksFencingTokens bool `json:"checks_tokens,omitempty"`
}

// WithState returns a copy of the server in the given state.
func (s BackendServer) WithState(state LifecycleState) BackendServer {
	s.State = state

	return s
}
