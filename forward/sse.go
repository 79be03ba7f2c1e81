package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventSize is the size of the largest accepted server-sent event, in bytes.
	maxEventSize = 256 << 10
	// eventBufferSize is the size of the read buffer of a stream, in bytes. It holds some forty
	// events of the usual 100 bytes.
	eventBufferSize = 4 << 10
)

// errEventTooLarge is the error for an event larger than maxEventSize.
var errEventTooLarge = errors.New("event exceeds the maximum size")

// streamEvent is a complete server-sent event.
type streamEvent struct {
	// raw holds the bytes of the event, including the blank line at its end.
	raw []byte
	// id is the event ID; zero if there is none.
	id int64
}

// eventReader reads complete server-sent events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize)}
}

// next returns the next event. A stream that ends between two events returns io.EOF, and one that
// ends within an event io.ErrUnexpectedEOF.
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
		if len(ev.raw) > maxEventSize {
			return ev, errEventTooLarge
		}
		if err != nil {
			continue
		}
		if isBlank(line) {
			return ev, nil
		}
		if id, ok := parseEventID(line); ok {
			ev.id = id
		}
	}
}

// buffered reports whether more bytes have already arrived.
func (e *eventReader) buffered() bool {
	return e.r.Buffered() > 0
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

func parseEventID(line []byte) (int64, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)

	return id, err == nil
}
