package tunnel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/answer"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/keepalive"
	"github.com/slatebridge/slatebridge/reach"
)

// MaxCarried is the largest number of tunnels that one helper carries, each with DescriptorsPerTunnel and two
// buffers of a frame. It bounds what they take from the helper's own callers.
const MaxCarried = 256

// DescriptorsPerTunnel is the number of descriptors that a tunnel takes at the helper.
const DescriptorsPerTunnel = 2

// Handler opens tunnels for other boxes.
type Handler struct {
	c       HandlerConfig
	carried atomic.Int64
}

// HandlerConfig has what a Handler needs.
type HandlerConfig struct {
	// Observer opens the connections to servers.
	Observer *reach.Observer
	Keys     *Keyring
	// MaxCarried is the number of tunnels that the helper has room for.
	MaxCarried int
	// IsServer reports whether a server is listed at the address.
	IsServer func(address string) bool
	// OtherServer returns the address of some listed server other than that at the given address; empty
	// if there is none.
	OtherServer func(address string) string
	// Stopping reports whether the box is about to stop.
	Stopping func() bool
	// Alternates returns other boxes that may help.
	Alternates func(n int) []Helper
	Metrics    *Metrics
}

// NewHandler returns a Handler.
func NewHandler(c HandlerConfig) *Handler { return &Handler{c: c} }

// ServeHTTP answers a request with the method CONNECT.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address, nonce, box := r.Host, r.Header.Get(headerNonce), r.Header.Get(headerBox)
	key, ok := h.c.Keys.find(r.Header.Get(headerProof), purposeOpen, nonce, address, box)
	if !ok {
		h.c.Metrics.asked(errForbidden)
		w.WriteHeader(statusForbidden)

		return
	}
	w.Header().Set(headerProof, key.proof(purposeOpened, nonce, address, box))
	w.Header().Set(headerAlternates, formatAlternates(h.c.Alternates(maxAlternates)))
	defer h.carried.Add(-1)
	server, err := h.connect(r.Context(), address, h.carried.Add(1))
	h.c.Metrics.asked(err)
	if err != nil {
		w.WriteHeader(statusOf(err))

		return
	}
	h.carry(w, server)
}

// connect connects to the server at the address for the n-th tunnel.
func (h *Handler) connect(ctx context.Context, address string, n int64) (net.Conn, error) {
	switch {
	case !h.c.IsServer(address):
		return nil, errForbidden
	case n > int64(h.c.MaxCarried), h.c.Stopping():
		return nil, errUnavailable
	}
	c, err := h.c.Observer.DialForPeer(ctx, "tcp", address)
	switch {
	case err == nil:
		// The end of what the server sends is passed on as such only if it has taken what the box sent.
		return answer.NewCarriedConn(c), nil
	case !h.reachesServers(ctx, address):
		return nil, errors.Mark(err, errUnavailable)
	case isRefused(err):
		return nil, errors.Mark(err, errServerRefused)
	default:
		return nil, errors.Mark(err, errServerTimedOut)
	}
}

// aliveWindow is how recent a sign of life of a server must be for a helper to rely on its own links.
const aliveWindow = 200 * time.Millisecond

// reachesServers reports whether the links of this box work, though it did not reach the server at the
// address. Without a recent sign of life it finds out at another server.
func (h *Handler) reachesServers(ctx context.Context, address string) bool {
	o := h.c.Observer
	if o.Isolated() {
		return false
	}
	if o.AliveSince(clock.Now().Add(-aliveWindow)) {
		return true
	}
	other := h.c.OtherServer(address)
	if other == "" {
		return false
	}
	c, err := o.DialForPeer(ctx, "tcp", other)
	if err != nil {
		return false
	}
	_ = c.Close()

	return true
}

// isRefused reports whether the error of a direct dial says that the server refuses connections.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// statusOf returns the status for an error of connect.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errForbidden):
		return statusForbidden
	case errors.Is(err, errUnavailable):
		return statusUnavailable
	case errors.Is(err, errServerRefused):
		return statusRefused
	default:
		return statusTimedOut
	}
}

// carry passes bytes between the box that asked and the server until one of them ends.
func (h *Handler) carry(w http.ResponseWriter, server net.Conn) {
	box, err := h.accept(w)
	if err != nil {
		_ = server.Close()

		return
	}
	h.c.Metrics.carrying(1)
	defer h.c.Metrics.carrying(-1)
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		if copyBytes(server, box, h.c.Metrics.passedOn) != nil {
			reset(server)
		}
		_ = server.Close()
	}()
	if writeFrames(box, server, h.c.Metrics.passedOn) != nil {
		reset(box)
	}
	_ = box.Close()
	_ = server.Close()
	<-requestsEnded
}

// accept responds that the tunnel is open, and returns the connection to the box.
func (h *Handler) accept(w http.ResponseWriter) (net.Conn, error) {
	box, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "tunnel: take over connection")
	}
	if buffered.Reader.Buffered() > 0 {
		reset(box)

		return nil, errors.New("tunnel: the box sent something before the response")
	}
	// The server of the handler would add a header on the encoding of the body, which has none.
	_, err = fmt.Fprintf(buffered, "HTTP/1.1 %d %s\r\n", statusConnected, http.StatusText(statusConnected))
	err = errors.CombineErrors(err, w.Header().Write(buffered))
	_, endErr := buffered.WriteString("\r\n")
	err = errors.CombineErrors(errors.CombineErrors(err, endErr), buffered.Flush())
	err = errors.CombineErrors(err, box.SetDeadline(time.Time{}))
	if err = errors.CombineErrors(err, keepalive.LimitUndelivered(box)); err != nil {
		_ = box.Close()
	}

	return box, errors.Wrap(err, "tunnel: respond")
}

// reset closes a connection so that the other side notices that it was broken off.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// The call can only fail on a connection that is already closed.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
