// Package mesh carries what boxes tell each other: a small message by UDP
// several times a second, and the configuration by HTTP for a box that cannot
// get it from the store.
package mesh

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/elect"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/retry"
)

// maxMessage is the largest message, in bytes: what a datagram can hold.
const maxMessage = 60 << 10

// Message is what a box tells another one.
type Message struct {
	Box  slatebridge.BoxID  `json:"b"`
	Hall slatebridge.HallID `json:"h"`
	// Boot names the process.
	Boot string `json:"o,omitempty"`
	// Address is where the box hears messages, as host and port.
	Address string `json:"a,omitempty"`
	// Sent is the sender's steady clock in microseconds since its start.
	Sent int64 `json:"s,omitempty"`
	// Echo is, by the boot of a receiver, the newest Sent heard from it. It
	// proves to that receiver how old this message can be at most.
	Echo map[string]int64 `json:"e,omitempty"`
	// Config is the version of the configuration; zero if none is known.
	Config int64 `json:"c"`
	// ConfigAge is how long ago that version was proved to be the newest, in
	// microseconds.
	ConfigAge int64 `json:"ca"`
	// Next is the offset up to which the entries of the backend servers are
	// known, and ServersAge how long ago they were proved to be current, in
	// microseconds.
	Next       int64 `json:"v"`
	ServersAge int64 `json:"va"`
	// Recent are the last changes of those entries, without a gap up to Next.
	Recent []Change `json:"w,omitempty"`
	// Reads says that the store answers the sender.
	Reads bool `json:"z,omitempty"`
	// Loads is the work in flight: that of the box in messages to its own hall,
	// that of all boxes of its hall in messages to other halls.
	Loads map[slatebridge.ServerID]fleet.Load `json:"l,omitempty"`
	// Usage is what was sent to each service in the last window, of the same
	// boxes as Loads.
	Usage map[string]retry.Usage `json:"u,omitempty"`
	// Dead are servers that do not answer the box.
	Dead []slatebridge.ServerID `json:"d,omitempty"`
	// Slow are servers that the box found slow, with how many times as long as
	// usual they take.
	Slow map[slatebridge.ServerID]float64 `json:"y,omitempty"`
	Term elect.Term                       `json:"t"`
	// HolderAge is how long ago the box that won the term was last heard, by
	// the sender or by a box it heard, in microseconds; -1 if never.
	HolderAge int64 `json:"ta"`
	// Brief says that the message has nothing but Dead and Slow. It is sent at
	// once when a server is found dead, often by many boxes.
	Brief bool `json:"k,omitempty"`
	// Leaving says that the box is stopping.
	Leaving bool `json:"x,omitempty"`
	// Ready says that the box could give orders.
	Ready bool `json:"r,omitempty"`
	// Boxes are the addresses of the boxes that the sender hears.
	Boxes map[slatebridge.BoxID]string `json:"p,omitempty"`
}

// Change is one change of a backend server's entry.
type Change struct {
	Offset int64  `json:"o"`
	Key    string `json:"k"`
	Value  []byte `json:"v,omitempty"`
	// Grace is for how many microseconds a removed server may come back, since
	// its entry may have lapsed while the store was away.
	Grace int64 `json:"a,omitempty"`
}

// Socket sends and receives messages.
type Socket struct {
	conn net.PacketConn
}

// Listen opens a socket at the address.
func Listen(ctx context.Context, address string) (*Socket, error) {
	var cfg net.ListenConfig
	conn, err := cfg.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "mesh: socket")
	}

	return NewSocket(conn), nil
}

// NewSocket returns a socket over an open connection.
func NewSocket(conn net.PacketConn) *Socket {
	return &Socket{conn: conn}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Send sends one message to all addresses. Messages may be lost, so an error
// at one address does not keep the others from being sent; the first is
// returned.
func (s *Socket) Send(m Message, to []string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "mesh: message")
	}
	if len(data) > maxMessage {
		return errors.Newf("mesh: a message has %d bytes; the limit is %d", len(data), maxMessage)
	}
	var first error
	for _, a := range to {
		addr, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = s.conn.WriteTo(data, addr)
		}
		if err != nil && first == nil {
			first = errors.Wrapf(err, "mesh: to %s", a)
		}
	}

	return first
}

// Receive hands on each message until the socket is closed. Datagrams that
// are no message are reported to onError.
func (s *Socket) Receive(onMessage func(Message), onError func(error)) {
	buf := make([]byte, maxMessage)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			onError(err)

			continue
		}
		var m Message
		if err := json.Unmarshal(buf[:n], &m); err != nil {
			onError(errors.Wrap(err, "mesh: message"))

			continue
		}
		onMessage(m)
	}
}
