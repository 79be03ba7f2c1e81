package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEvent is the largest event that is read, in bytes.
	maxEvent = 256 << 10
	// eventBuffer is the size of the buffer of one stream. Events have about
	// 100 bytes.
	eventBuffer = 4 << 10
)

// errEventSize says that an event is too large to be one.
var errEventSize = errors.New("an event is too large")

// streamEvent is one whole event of a stream.
type streamEvent struct {
	// raw are its bytes, with the empty line at its end.
	raw []byte
	// id is its number; zero if it has none.
	id int64
}

// eventReader reads whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event. A stream that ends between two events
// ends with io.EOF; one that ends within an event with io.ErrUnexpectedEOF.
func (e *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	for {
		line, err := e.r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(ev.raw)+len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}

			return ev, err
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEvent {
			return ev, errEventSize
		}
		if err != nil {
			continue
		}
		if blank(line) {
			return ev, nil
		}
		if id, ok := idOf(line); ok {
			ev.id = id
		}
	}
}

// buffered reports whether more bytes have arrived already.
func (e *eventReader) buffered() bool {
	return e.r.Buffered() > 0
}

func blank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

func idOf(line []byte) (int64, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)

	return id, err == nil
}
