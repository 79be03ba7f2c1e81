// Package keepalive makes TCP connections fail soon after the other side has fallen silent.
//
// Otherwise a connection on a link that swallows packets hangs for many minutes, and so does each call
// that is sent over it.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// A sound server or box may be silent for a second or so, so that a connection outlasts one lost probe.
const (
	// Idle is the time without any packet after which a probe is sent, and the pause between two
	// probes. The kernel takes whole seconds.
	Idle = time.Second
	// userTimeout is the silence after which a connection with data on its way fails. On Linux it also
	// decides when probes give up, whatever their count.
	userTimeout = 2500 * time.Millisecond
	// Timeout is the longest silence of a connection, counted from the last packet: the first probe
	// after userTimeout ends it.
	Timeout = 3 * time.Second
	// count is the number of probes within Timeout.
	count = int(Timeout / Idle)
)

func config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: Idle, Interval: Idle, Count: count}
}

// NewDialer returns a dialer of connections that fail after Timeout of silence. Opening one may take
// dialTimeout.
func NewDialer(dialTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout, KeepAliveConfig: config(),
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Set makes an accepted connection fail after Timeout of silence. Connections other than those of TCP
// stay as they are.
func Set(c net.Conn) error {
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

	return setUserTimeout(raw)
}

func setUserTimeout(c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})

	return errors.Wrap(errors.CombineErrors(err, sockErr), "keepalive: user timeout")
}
