package tunnel

import (
	"sync"
	"time"
)

const (
	// probeInterval is the least time between two direct attempts at a server that is connected to
	// through tunnels, made when a connection is needed anyway, and between two attempts that are made
	// only to find out whether the box's own links work again.
	probeInterval = time.Second
	// After helpers did not reach a server either, no tunnel to it is tried for minTunnelBackoff, or
	// up to maxTunnelBackoff if that repeats: most likely the server has failed.
	minTunnelBackoff = time.Second
	maxTunnelBackoff = 8 * time.Second
	// linkRetention is how long the link to a server is remembered after its last use.
	linkRetention = time.Minute
	// dialTimeWeight is the weight of the newest dial in the moving average of their durations, and
	// lateFactor the multiple of it after which a dial counts as late.
	dialTimeWeight = 0.1
	lateFactor     = 4
)

// link is what is known of the ways to one server.
type link struct {
	// detoured is set while connections go through tunnels, as the direct way failed.
	detoured bool
	// probedAt is when the direct way was last tried, and usedAt when a connection was last needed.
	probedAt, usedAt time.Time
	// tunnelFailures counts the consecutive dials at which helpers did not reach the server either,
	// and tunnelRetryAt is when a tunnel may be tried again.
	tunnelFailures int
	tunnelRetryAt  time.Time
}

// plan says which ways to a server to try.
type plan struct {
	direct, tunnel bool
	// tunnelFirst is set if the tunnel does not wait for the direct way to fail.
	tunnelFirst bool
}

// links decides which ways to servers to try, from how earlier attempts ended. It is safe for
// concurrent use.
type links struct {
	mu       sync.Mutex
	byServer map[string]*link
	detours  int
	sweptAt  time.Time
	// probedAt is the time of the last attempt that was made only to find out about the box's links.
	probedAt time.Time
	// dialTime is the moving average of the duration of successful direct dials.
	dialTime time.Duration
}

func newLinks() *links { return &links{byServer: make(map[string]*link)} }

// plan returns which ways to the server at the address to try. isolated says that the box reaches no
// server directly.
func (l *links) plan(address string, isolated bool, now time.Time) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	v, ok := l.byServer[address]
	if !ok && !isolated {
		return plan{direct: true, tunnel: true}
	}
	if !ok {
		v = &link{}
		l.byServer[address] = v
	}
	v.usedAt = now
	p := plan{tunnelFirst: isolated || v.detoured, direct: true}
	p.tunnel = p.tunnelFirst || !now.Before(v.tunnelRetryAt)
	if p.tunnelFirst {
		if p.direct = now.Sub(v.probedAt) >= probeInterval; p.direct {
			v.probedAt = now
		}
	}

	return p
}

// sweep forgets links that were not used for long. The caller holds mu.
func (l *links) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < linkRetention {
		return
	}
	l.sweptAt = now
	for address, v := range l.byServer {
		if now.Sub(v.usedAt) >= linkRetention {
			l.forget(address, v)
		}
	}
}

func (l *links) forget(address string, v *link) {
	if v.detoured {
		l.detours--
	}
	delete(l.byServer, address)
}

// directConnected records that the direct way to a server works, and took the given time. It reports
// whether connections to it went through tunnels before. If so, the box's own links most likely work
// again, and the direct way comes first at all servers.
func (l *links) directConnected(address string, took time.Duration) (recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialTime += time.Duration(dialTimeWeight * float64(took-l.dialTime))
	v, ok := l.byServer[address]
	if !ok {
		return false
	}
	recovered = v.detoured
	l.forget(address, v)
	if recovered {
		for a, other := range l.byServer {
			if other.detoured {
				l.forget(a, other)
			}
		}
	}

	return recovered
}

// tunnelConnected records that a tunnel was opened in place of a direct connection. It reports
// whether it is the only server with tunnels.
func (l *links) tunnelConnected(address string, now time.Time) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byServer[address]
	if !ok {
		v = &link{probedAt: now}
		l.byServer[address] = v
	}
	v.usedAt, v.tunnelFailures, v.tunnelRetryAt = now, 0, time.Time{}
	if v.detoured {
		return false
	}
	v.detoured = true
	l.detours++

	return l.detours == 1
}

// unreached records that neither this box nor helpers reached the server.
func (l *links) unreached(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byServer[address]
	if !ok {
		v = &link{}
		l.byServer[address] = v
	}
	if v.detoured {
		v.detoured = false
		l.detours--
	}
	v.usedAt = now
	v.tunnelRetryAt = now.Add(min(minTunnelBackoff<<min(v.tunnelFailures, 8), maxTunnelBackoff))
	v.tunnelFailures++
}

// dueProbe returns the address of a server that is connected to through tunnels, to find out whether
// the direct way works again: the one whose direct way was not tried for longest. It returns an empty
// address if none is due.
func (l *links) dueProbe(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if now.Sub(l.probedAt) < probeInterval {
		return ""
	}
	var due *link
	address := ""
	for a, v := range l.byServer {
		if v.detoured && now.Sub(v.probedAt) >= probeInterval && (due == nil || v.probedAt.Before(due.probedAt)) {
			due, address = v, a
		}
	}
	if due != nil {
		l.probedAt, due.probedAt = now, now
	}

	return address
}

// detourCount returns the number of servers to which connections go through tunnels.
func (l *links) detourCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.detours
}

// hedgeDelay returns after which time a dial counts as late, between the given bounds.
func (l *links) hedgeDelay(least, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	return min(max(least, lateFactor*l.dialTime), most)
}
