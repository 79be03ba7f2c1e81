package box

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/reach"
	"github.com/slatebridge/slatebridge/tunnel"
)

const (
	// returnDelay is how long after the direct way to a server works again the idle connections are
	// closed, so that tunnels are given up for direct connections.
	returnDelay = 500 * time.Millisecond
	// returnInterval is the least time between two such closes. Connections to servers are dear, and
	// links may fail and return again and again.
	returnInterval = 10 * time.Second
	// tunnelShare is the share of a process's descriptors for the tunnels of other boxes. Most are for callers
	// and their requests.
	tunnelShare = 0.2
)

// ServerLinks are the ways of a box to the servers: its own connections, and tunnels through other
// boxes while these fail.
type ServerLinks struct {
	observer *reach.Observer
	dialer   *tunnel.Dialer
	keys     *tunnel.Keyring
	metrics  *tunnel.Metrics
	logger   *zap.Logger

	mu sync.Mutex
	// isLate reports whether the box is late with its own work.
	isLate func() bool
	// closeIdle closes the idle connections to servers, and closedAt is when that was last due.
	closeIdle func()
	closedAt  time.Time
}

// NewServerLinks returns the links of a box that connects to servers by dialServer and to other boxes
// by dialPeer.
func NewServerLinks(s Settings, dialServer, dialPeer reach.DialFunc, logger *zap.Logger, reg prometheus.Registerer) *ServerLinks {
	l := &ServerLinks{
		keys: tunnel.NewKeyring(s.Bounds.MaxRevocationDelay, clock.Now), metrics: tunnel.NewMetrics(reg), logger: logger,
		closeIdle: func() {}, isLate: func() bool { return false },
	}
	m := reach.NewMetrics(reg)
	l.observer = reach.NewObserver(dialServer, reach.WithOnDial(m.Dialed), reach.WithLateness(l.late), reach.WithOnChange(func(isolated bool, failedServers int) {
		m.Changed(isolated, failedServers)
		if isolated {
			event.Log(logger, event.ServersUnreached, zap.Int("servers", failedServers))
		} else {
			event.Log(logger, event.ServersReached)
		}
	}))
	l.dialer = tunnel.NewDialer(tunnel.DialerConfig{
		Box: s.Box, Hall: s.Hall, Observer: l.observer, DialPeer: dialPeer, Keys: l.keys, Random: rand.Float64, Metrics: l.metrics,
	}, tunnel.WithOnDetour(l.onDetour), tunnel.WithOnReturn(l.onReturn))

	return l
}

// SetCloseIdle sets the function that closes the idle connections to servers.
func (l *ServerLinks) SetCloseIdle(closeIdle func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle = closeIdle
}

// setLateness sets the function that reports whether the box is late with its own work.
func (l *ServerLinks) setLateness(isLate func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLate = isLate
}

func (l *ServerLinks) late() bool {
	l.mu.Lock()
	isLate := l.isLate
	l.mu.Unlock()

	return isLate()
}

// DialContext opens a connection to a server.
func (l *ServerLinks) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialer.DialContext(ctx, network, address)
}

func (l *ServerLinks) onDetour(address, helper string) {
	event.Log(l.logger, event.TunnelsBegan, zap.String("address", address), zap.String("through", helper))
}

// onReturn closes the idle connections soon, so that tunnels are given up for direct connections.
func (l *ServerLinks) onReturn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if now.Sub(l.closedAt) < returnInterval {
		return
	}
	l.closedAt = now
	time.AfterFunc(returnDelay, l.closeIdle)
}

// handler returns the handler of requests for tunnels through this box.
func (l *ServerLinks) handler(b *Box) http.Handler {
	return tunnel.NewHandler(tunnel.HandlerConfig{
		Observer: l.observer, Keys: l.keys, MaxCarried: maxCarried(b.settings.Descriptors),
		IsServer: b.fleet.HasAddress, OtherServer: b.fleet.OtherAddress, Stopping: b.handler.Stopping,
		Alternates: l.dialer.SampleHelpers, Metrics: l.metrics,
	})
}

// maxCarried returns the number of tunnels for which a process with the descriptors, zero if unknown, has room.
func maxCarried(descriptors int) int {
	if descriptors <= 0 {
		return tunnel.MaxCarried
	}

	return min(tunnel.MaxCarried, int(tunnelShare*float64(descriptors))/tunnel.DescriptorsPerTunnel)
}

// isolated reports whether this box reaches no server by connections of its own.
func (b *Box) isolated() bool { return b.links != nil && b.links.observer.Isolated() }

// serversAliveSince reports whether any server has shown life to this box itself since the given time.
func (b *Box) serversAliveSince(at time.Time) bool {
	return b.links == nil || b.links.observer.AliveSince(at)
}

// serversAnsweredSince reports whether any server has sent something to this box itself since the given
// time.
func (b *Box) serversAnsweredSince(at time.Time) bool {
	return b.links == nil || b.links.observer.AnsweredSince(at)
}

// updateServerLinks tells the dialer which boxes are heard, and has it look for links that work again.
func (c *control) updateServerLinks(now time.Time) {
	l := c.box.links
	if l == nil {
		return
	}
	detours := l.dialer.Detours()
	if detours == 0 && c.detours > 0 {
		event.Log(c.box.logger, event.TunnelsEnded)
	}
	if c.detours = detours; detours > 0 {
		go l.dialer.Probe(c.ctx)
	}
	l.dialer.SetHelpers(c.helpers(now))
}

// helpers returns the boxes that may help this one: those in contact with it or another box, and
// that do not stop.
func (c *control) helpers(now time.Time) []tunnel.Helper {
	list := make([]tunnel.Helper, 0, len(c.peers))
	for _, o := range c.peers {
		heard := o.live() || now.Sub(o.indirectSeenAt) < minPeerTimeout
		if heard && o.address != "" && !o.lastMessage.Leaving {
			list = append(list, tunnel.Helper{Box: o.id, Address: o.address, Hall: o.hall, Isolated: o.lastMessage.Isolated})
		}
	}

	return list
}
