package box

import (
	"net/http"
	"time"
)

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

// isolated reports whether this box reaches no server by connections of its own.
func (b *Box) isolated() bool { return b.links != nil && b.links.observer.Isolated() }

// serversAliveSince reports whether any server has shown life to this box itself since the given time.
func (b *Box) serversAliveSince(at time.Time) bool {
	return b.links == nil || b.links.observer.AliveSince(at)
}
