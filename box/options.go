package box

import "net/http"

// Option configures a Box.
type Option func(*Box)

// WithPeerClient sets the client for calls to other boxes; without it, the client for servers makes
// them.
func WithPeerClient(client *http.Client) Option {
	return func(b *Box) { b.peerClient = client }
}

// WithServerLinks sets the links through which the client for servers connects. Without them, the box
// neither notices that it reaches no server nor helps other boxes.
func WithServerLinks(l *ServerLinks) Option {
	return func(b *Box) { b.links = l }
}
