package slatebridge

// BoxID identifies an entry box.
type BoxID string

// HallID identifies a data hall.
type HallID string

// LifecycleState is the lifecycle state of a box or a backend server.
type LifecycleState string

// The lifecycle states.
const (
	// Live means that the box or server accepts new work.
	Live LifecycleState = "live"
	// Leaving means that the box or server finishes its in-flight work and accepts no new work.
	Leaving LifecycleState = "leaving"
)

// Box is an entry box as gateways and controllers see it: one gateway and one controller on one
// machine.
type Box struct {
	ID   BoxID  `json:"id"`
	Hall HallID `json:"hall"`
	// GatewayPeerURL is the base URL of the gateway's listener for other boxes.
	GatewayPeerURL string `json:"gateway_peer_url"`
	// ControllerPeerURL is the base URL of the controller's listener for other boxes.
	ControllerPeerURL string         `json:"controller_peer_url"`
	State             LifecycleState `json:"state"`
}
