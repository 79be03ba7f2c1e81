package tunnel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/reach"
)

const (
	// maxDialTime bounds all attempts for one connection together.
	maxDialTime = 400 * time.Millisecond
	// A way that has not led to a connection after a few usual dials, but at least after
	// minHedgeDelay and at most after maxHedgeDelay, is late, and the next one is tried beside it.
	minHedgeDelay = 50 * time.Millisecond
	maxHedgeDelay = 100 * time.Millisecond
	// maxLateTimer is how late this process may notice that a way is late. If it is later, it was
	// the process that stood still, and the way gets the time again.
	maxLateTimer = 25 * time.Millisecond
	// maxHelpers is the number of helpers that are asked for one connection. A single one may have lost
	// its links as well.
	maxHelpers = 3
)

// Dialer opens connections to servers: directly, or through another box where that fails. It is safe
// for concurrent use.
type Dialer struct {
	self     slatebridge.BoxID
	observer *reach.Observer
	dialPeer reach.DialFunc
	keys     *Keyring
	links    *links
	helpers  *helperSet
	metrics  *Metrics
	onDetour func(address, helper string)
	onReturn func()
}

// DialerOption configures a Dialer.
type DialerOption func(*Dialer)

// WithOnDetour sets a function that is called when the first server is connected to through a tunnel
// while no other one is.
func WithOnDetour(f func(address, helper string)) DialerOption {
	return func(d *Dialer) { d.onDetour = f }
}

// WithOnReturn sets a function that is called when the direct way to a server that was connected to
// through tunnels works again.
func WithOnReturn(f func()) DialerOption {
	return func(d *Dialer) { d.onReturn = f }
}

// DialerConfig has what a Dialer needs.
type DialerConfig struct {
	Box  slatebridge.BoxID
	Hall slatebridge.HallID
	// Observer opens the direct connections, and DialPeer those to other boxes.
	Observer *reach.Observer
	DialPeer reach.DialFunc
	Keys     *Keyring
	// Random returns random numbers from 0 to 1.
	Random  func() float64
	Metrics *Metrics
}

// NewDialer returns a Dialer that knows no helpers yet.
func NewDialer(c DialerConfig, opts ...DialerOption) *Dialer {
	d := &Dialer{
		self: c.Box, observer: c.Observer, dialPeer: c.DialPeer, keys: c.Keys, links: newLinks(),
		helpers: newHelperSet(c.Box, c.Hall, c.Random), metrics: c.Metrics,
		onDetour: func(string, string) {}, onReturn: func() {},
	}
	for _, o := range opts {
		o(d)
	}

	return d
}

// SetHelpers replaces the boxes through which connections may be opened.
func (d *Dialer) SetHelpers(list []Helper) { d.helpers.setKnown(list) }

// SampleHelpers returns up to n other boxes of the own hall that reach servers, chosen at random.
func (d *Dialer) SampleHelpers(n int) []Helper { return d.helpers.sample(n) }

// Detours returns the number of servers to which connections go through tunnels.
func (d *Dialer) Detours() int { return d.links.detourCount() }

// DialContext opens a connection to the server at the address.
//
// It fails with ECONNREFUSED if the server refuses connections of this box and of helpers, or if no
// other box is known.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	p := d.links.plan(address, d.observer.Isolated(), clock.Now())
	if !p.tunnel || d.helpers.empty() {
		return d.dialDirect(ctx, network, address)
	}

	return d.newRace(network, address, p).run(ctx)
}

// Probe tries the direct way to a server that is connected to through tunnels, if one is due. It is to
// be called several times a second.
func (d *Dialer) Probe(ctx context.Context) {
	address := d.links.dueProbe(clock.Now())
	if address == "" {
		return
	}
	// The error is counted by the Observer.
	if c, err := d.dialDirect(ctx, "tcp", address); err == nil {
		_ = c.Close()
	}
}

// dialDirect opens a connection of the box's own.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	began := clock.Now()
	c, err := d.observer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.links.directConnected(address, clock.Since(began)) {
		d.onReturn()
	}

	return c, nil
}

// dialThrough opens a tunnel to the server through the helper.
func (d *Dialer) dialThrough(ctx context.Context, h Helper, address string) (net.Conn, error) {
	c, err := d.openTunnel(ctx, h, address)
	d.metrics.dialed(err)
	if err != nil && !isFinding(err) && ctx.Err() == nil {
		d.helpers.avoid(h.Address, clock.Now())
	}

	return c, err
}

func (d *Dialer) openTunnel(ctx context.Context, h Helper, address string) (net.Conn, error) {
	key, ok := d.keys.current()
	if !ok {
		return nil, errors.Wrap(errUnavailable, "no configuration is known yet")
	}
	nonce, err := newNonce()
	if err != nil {
		return nil, err
	}
	c, err := d.dialPeer(ctx, "tcp", h.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "tunnel: connect to %s", h.Box), errUnavailable)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	t, err := d.handshake(c, key, nonce, address)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = c.Close()

		return nil, errors.Wrapf(err, "through %s", h.Box)
	}
	d.metrics.opened(1)

	return t, nil
}

// handshake asks the helper at the other end of the connection for a tunnel.
func (d *Dialer) handshake(c net.Conn, key Key, nonce, address string) (*conn, error) {
	box := string(d.self)
	_, err := fmt.Fprintf(c, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n\r\n", address, address,
		headerBox, box, headerNonce, nonce, headerProof, key.proof(purposeOpen, nonce, address, box))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "tunnel: ask"), errUnavailable)
	}
	t := newConn(c, func() { d.metrics.opened(-1) })
	resp, err := http.ReadResponse(t.r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "tunnel: response"), errUnavailable)
	}
	_ = resp.Body.Close()
	if resp.Header.Get(headerProof) != key.proof(purposeOpened, nonce, address, box) {
		// What such a box says is no finding, and nothing may be sent to it.
		return nil, errForbidden
	}
	d.helpers.learn(parseAlternates(resp.Header.Get(headerAlternates)), clock.Now())
	if err := statusError(resp.StatusCode); err != nil {
		return nil, err
	}

	return t, nil
}

// statusError returns the error that the status of a helper's response stands for.
func statusError(status int) error {
	switch status {
	case statusConnected:
		return nil
	case statusRefused:
		return errServerRefused
	case statusTimedOut:
		return errServerTimedOut
	case statusForbidden:
		return errForbidden
	default:
		return errors.Wrapf(errUnavailable, "status %d", status)
	}
}

// errUnconfirmed is the error of a server that refuses connections of this box while no helper could
// say whether it refuses theirs.
var errUnconfirmed = errors.New("tunnel: no helper could confirm that the server refuses connections")

// refused returns the error of a server that refuses connections of this box or of helpers.
func refused(address string, confirmed bool) error {
	if !confirmed {
		return errors.Wrapf(errUnconfirmed, "dial %s", address)
	}

	return &net.OpError{Op: "dial", Net: "tcp", Err: errors.Wrapf(syscall.ECONNREFUSED, "%s, also to helpers", address)}
}
