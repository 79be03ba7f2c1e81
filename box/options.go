package box

import (
	"net/http"

	"github.com/slatebridge/slatebridge/reach"
)

// Option configures a Box.
type Option func(*Box)

// WithPeerClient sets the client for calls to other boxes; without it, the client for servers makes
// them.
func WithPeerClient(client *http.Client) Option {
	return func(b *Box) { b.peerClient = client }
}

// WithObserver sets the Observer of the box's own connections to servers. Without one, the box never
// counts as isolated.
func WithObserver(o *reach.Observer) Option {
	return func(b *Box) { b.observer = o }
}

// isolated reports whether this box reaches no server by connections of its own.
func (b *Box) isolated() bool { return b.observer != nil && b.observer.Isolated() }
