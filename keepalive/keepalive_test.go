package keepalive

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// option returns a socket option of the connection.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	v := 0
	if err := raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
		t.Fatal(err)
	}

	return v
}

// TestTimeouts checks that the kernel has the timeouts, for connections that were opened and accepted.
func TestTimeouts(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dialed, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := LimitUndelivered(accepted); err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]struct {
		net.Conn
		userTimeout time.Duration
	}{"dialed": {dialed, 0}, "accepted": {accepted, undeliveredTimeout}} {
		t.Run(name, func(t *testing.T) {
			c := v.Conn
			for option, got := range map[string]struct{ got, want int }{
				"TCP_USER_TIMEOUT": {option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(v.userTimeout.Milliseconds())},
				"TCP_KEEPIDLE":     {option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), int(Idle.Seconds())},
				"TCP_KEEPINTVL":    {option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), int(Idle.Seconds())},
				"TCP_KEEPCNT":      {option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), count},
				"SO_KEEPALIVE":     {option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1},
			} {
				if got.got != got.want {
					t.Errorf("%s is %d, want %d", option, got.got, got.want)
				}
			}
		})
	}
}
