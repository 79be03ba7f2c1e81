package intake

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Sizes of the parts of a body. Each part is as large as all before it, between these bounds, so that what
// is allocated follows what has arrived, and nothing is copied when a body grows.
const (
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// ErrFull is returned for a body that does not fit into the Memory.
var ErrFull = errors.New("intake: no room for the body")

// Body is the body of a request in memory.
type Body struct {
	parts [][]byte
	size  int64
}

// BodyOf returns a Body of the bytes.
func BodyOf(data []byte) Body { return Body{parts: [][]byte{data}, size: int64(len(data))} }

// Size returns the number of bytes.
func (b Body) Size() int64 { return b.size }

// Parts returns the bytes in order. They must not be changed.
func (b Body) Parts() [][]byte { return b.parts }

// Bytes returns the bytes as one slice, which may be a copy.
func (b Body) Bytes() []byte {
	if len(b.parts) == 1 {
		return b.parts[0]
	}

	return bytes.Join(b.parts, nil)
}

// Reader returns a reader of the bytes.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.parts))
	for _, part := range b.parts {
		readers = append(readers, bytes.NewReader(part))
	}

	return io.MultiReader(readers...)
}

// ReadBody reads a body to its end and reserves what it allocates. length is the announced length;
// negative if there is none. A body that cannot fit is refused before it is read.
func ReadBody(r io.Reader, length int64, h *Hold) (Body, error) {
	var b Body
	if length > 0 && !h.Fits(length) {
		return b, ErrFull
	}
	for {
		part, err := readPart(r, b.nextPart(length), h)
		if len(part) > 0 {
			b.parts, b.size = append(b.parts, part), b.size+int64(len(part))
		}
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// ReadPrefix reads up to limit bytes of a body, and fewer if they do not fit. whole reports whether that was
// all.
func ReadPrefix(r io.Reader, limit int64, h *Hold) (b Body, whole bool, err error) {
	for b.size < limit {
		part, err := readPart(r, min(b.nextPart(-1), limit-b.size), h)
		if len(part) > 0 {
			b.parts, b.size = append(b.parts, part), b.size+int64(len(part))
		}
		switch {
		case errors.Is(err, io.EOF):
			return b, true, nil
		case errors.Is(err, ErrFull):
			return b, false, nil
		case err != nil:
			return b, false, err
		}
	}

	return b, false, nil
}

// nextPart returns the size of the next part, and one byte for a body that is complete: reading it finds
// the end.
func (b *Body) nextPart(length int64) int64 {
	next := min(max(b.size, minPartBytes), maxPartBytes)
	if length >= 0 {
		next = min(next, max(1, length-b.size))
	}

	return next
}

// readPart reads up to size bytes. At the end of the body, the error is io.EOF.
func readPart(r io.Reader, size int64, h *Hold) ([]byte, error) {
	if !h.Grow(size) {
		return nil, ErrFull
	}
	part, n := make([]byte, size), 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		if n += m; err != nil {
			return part[:n], err
		}
	}

	return part, nil
}
