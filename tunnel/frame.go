package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// What a server sends passes a tunnel in frames: the length in two bytes, then the bytes. An empty
// frame stands for the end of what the server sent. A tunnel that ends without it was broken off,
// which a plain end of the connection could not tell from a response that ends with its connection.
const (
	frameHeaderSize = 2
	// maxFrame is the largest number of bytes in a frame.
	maxFrame = 8 << 10
	// readBufferSize is the size of the buffer in front of the frames. Bodies bypass it.
	readBufferSize = 512
)

// frameBuffers holds buffers for one frame each.
var frameBuffers = sync.Pool{New: func() any { return new([frameHeaderSize + maxFrame]byte) }}

// writeFrames copies src to dst in frames until src ends. It returns nil after a clean end.
func writeFrames(dst io.Writer, src io.Reader, onBytes func(n int)) error {
	buf, _ := frameBuffers.Get().(*[frameHeaderSize + maxFrame]byte)
	defer frameBuffers.Put(buf)
	for {
		n, err := src.Read(buf[frameHeaderSize:])
		if n > 0 {
			onBytes(n)
			binary.BigEndian.PutUint16(buf[:], uint16(n))
			if _, werr := dst.Write(buf[:frameHeaderSize+n]); werr != nil {
				return errors.Wrap(werr, "tunnel: write frame")
			}
		}
		if errors.Is(err, io.EOF) {
			_, werr := dst.Write(make([]byte, frameHeaderSize))

			return errors.Wrap(werr, "tunnel: write end")
		}
		if err != nil {
			return errors.Wrap(err, "tunnel: read from server")
		}
	}
}

// copyBytes copies src to dst until src ends. It returns nil after a clean end.
func copyBytes(dst io.Writer, src io.Reader, onBytes func(n int)) error {
	buf, _ := frameBuffers.Get().(*[frameHeaderSize + maxFrame]byte)
	defer frameBuffers.Put(buf)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			onBytes(n)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "tunnel: write to server")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "tunnel: read from box")
		}
	}
}

// conn is the box's end of a tunnel. It reads what the server sends, and writes to it.
type conn struct {
	net.Conn
	r *bufio.Reader
	// left is the number of unread bytes of the current frame, and end the error that ends all reads.
	left    int
	end     error
	onClose func()
	once    sync.Once
}

// newConn returns the box's end of the tunnel over the connection to the helper.
func newConn(c net.Conn, onClose func()) *conn {
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferSize), onClose: onClose}
}

// Read reads what the server sent. It returns io.EOF only if the server ended the connection itself,
// and ECONNRESET if the tunnel was broken off.
func (c *conn) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n

	return n, c.broken(err)
}

// nextFrame reads the header of the next frame.
func (c *conn) nextFrame() error {
	var header [frameHeaderSize]byte
	// A read that times out may have consumed nothing only, or a later read would start within the
	// header.
	if _, err := c.r.Peek(frameHeaderSize); err != nil {
		return c.broken(err)
	}
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return c.broken(err)
	}
	if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
		c.end = io.EOF
	}

	return c.end
}

// broken turns the end of the connection into a reset.
func (c *conn) broken(err error) error {
	if errors.Is(err, io.EOF) {
		c.end = &net.OpError{Op: "read", Net: "tunnel", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}

		return c.end
	}

	return err
}

// Close closes the tunnel, and with it the helper's connection to the server.
func (c *conn) Close() error {
	c.once.Do(c.onClose)

	return c.Conn.Close()
}
