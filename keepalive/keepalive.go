// Package keepalive makes TCP connections fail soon after the other side has fallen silent.
//
// Otherwise a connection on a link that swallows packets hangs for many minutes, and so does each call
// that is sent over it.
package keepalive

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// A sound server or box may be silent for a second or so, so that a connection outlasts one lost probe.
const (
	// Idle is the time without any packet after which a probe is sent, and the pause between two
	// probes. The kernel takes whole seconds.
	Idle = time.Second
	// count is the number of probes without an answer that end a connection.
	count = 2
	// Timeout is the silence after which an idle connection fails.
	Timeout = (1 + count) * Idle
	// undeliveredTimeout is how long data may wait for the other side. On Linux it decides for probes
	// as well, whatever their count, where it is set. It also ends connections whose other side does
	// not read, such as that of a slow caller, and so is long.
	undeliveredTimeout = 15 * time.Second
)

func config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: Idle, Interval: Idle, Count: count}
}

// NewDialer returns a dialer of connections that fail after Timeout of silence while no data is on its
// way. Calls with data on its way have timeouts of their own. Opening a connection may take dialTimeout.
func NewDialer(dialTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: config()}
}

// LimitUndelivered makes an accepted connection fail when data for the other side, or a probe, has
// waited for too long. Connections other than those of TCP stay as they are.
func LimitUndelivered(c net.Conn) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetKeepAliveConfig(config()); err != nil {
		return errors.Wrap(err, "keepalive: probes")
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "keepalive: descriptor")
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(undeliveredTimeout.Milliseconds()))
	})

	return errors.Wrap(errors.CombineErrors(err, sockErr), "keepalive: user timeout")
}
