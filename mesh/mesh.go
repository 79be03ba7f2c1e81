// Package mesh implements the messages between boxes: a small UDP datagram several times a second,
// and state documents over HTTP for a box that cannot reach the store.
package mesh

import (
	"cmp"
	"context"
	"encoding/binary"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxMessageBytes is the largest encoded message; it has to fit into one UDP datagram.
	maxMessageBytes = 60 << 10
	// echoSize is the size in bytes of the echo in front of each message.
	echoSize = 8
)

// Target is a box to which a message is sent.
type Target struct {
	// Address is the host and port on which the box receives messages.
	Address string
	// Echo is the newest SentAt received from the box; zero if none was received. The box uses it
	// to bound the age of the message that carries the echo: that message was made after the box
	// had sent its own message with this SentAt.
	Echo int64
}

// ReceivedMessage is a decoded message together with its echo.
type ReceivedMessage struct {
	Message
	// Echo is the newest SentAt that the sender had received from this box.
	Echo int64
	// Size is the size of the datagram in bytes.
	Size int
}

// Socket sends and receives messages.
type Socket struct {
	conn net.PacketConn
}

// Listen opens a UDP socket on the address.
func Listen(ctx context.Context, address string) (*Socket, error) {
	var cfg net.ListenConfig
	conn, err := cfg.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "mesh: listen")
	}

	return NewSocket(conn), nil
}

// NewSocket returns a Socket that uses an open connection.
func NewSocket(conn net.PacketConn) *Socket {
	return &Socket{conn: conn}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Send sends the datagram to all targets, each with its own echo. Messages may be lost, so an error
// for one target does not stop the others; the first error is returned.
func (s *Socket) Send(d Datagram, targets []Target) error {
	var firstErr error
	for _, t := range targets {
		binary.BigEndian.PutUint64(d, uint64(t.Echo))
		addr, err := net.ResolveUDPAddr("udp4", t.Address)
		if err == nil {
			_, err = s.conn.WriteTo(d, addr)
		}
		if err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "mesh: send to %s", t.Address)
		}
	}

	return firstErr
}

// Receive passes each message to onMessage until the socket is closed. Datagrams that are not valid
// messages are reported to onError.
func (s *Socket) Receive(onMessage func(ReceivedMessage), onError func(error)) {
	buf := make([]byte, maxMessageBytes)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			onError(err)

			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			onError(err)

			continue
		}
		onMessage(m)
	}
}

func decode(data []byte) (ReceivedMessage, error) {
	if len(data) < echoSize {
		return ReceivedMessage{}, errors.Newf("mesh: datagram of %d bytes is shorter than the %d bytes of the echo", len(data), echoSize)
	}
	r := ReceivedMessage{Echo: int64(binary.BigEndian.Uint64(data)), Size: len(data)}
	if err := decoder.Unmarshal(data[echoSize:], &r.Message); err != nil {
		return r, errors.Wrap(err, "mesh: decode message")
	}

	return r, r.validate()
}

// validate returns an error if the message has values that no box sends.
func (m *Message) validate() error {
	if m.Box == "" || m.Hall == "" {
		return errors.New("mesh: message has no box or no hall")
	}
	if m.ConfigAge < -1 || m.ServersAge < -1 || m.LeaderAge < -1 || m.ServersPosition < 0 || m.ConfigVersion < 0 || m.Term.Token < 0 {
		return errors.New("mesh: message has an age below -1, or a negative position, version or token")
	}
	for _, w := range append([]Work{m.Work}, m.RemoteWork...) {
		if w.Age < 0 || w.LiveBoxes < 0 || w.BudgetBoxes < 0 {
			return errors.New("mesh: message has in-flight work with a negative age or number of boxes")
		}
	}
	if err := validateLimits(m.Limits); err != nil {
		return err
	}

	return cmp.Or(m.Grant.validate(), m.Room.validate())
}
