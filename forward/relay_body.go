package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
)

const (
	// answerSizeWindow is the time over which the sizes of whole answers are observed.
	answerSizeWindow = 10 * time.Minute
	// outgrownFactor is how many times larger than any whole answer one must be to count as without end when
	// its caller leaves.
	outgrownFactor = 2
)

// errUnending is the error of an answer that did not end.
var errUnending = errors.New("the answer does not end")

// sourceReader reads the rest of an answer. It tells an end that the server caused from one that the caller
// caused.
type sourceReader struct {
	r io.Reader
	n int64
	// waited is the time spent on reading, and err the error that ended it.
	waited time.Duration
	err    error
}

// Read reads.
func (s *sourceReader) Read(p []byte) (int, error) {
	began := clock.Now()
	n, err := s.r.Read(p)
	s.waited += clock.Since(began)
	s.n += int64(n)
	if err != nil {
		s.err = err
	}

	return n, err
}

// relayRest passes on the rest of a body that is not buffered. The attempt is over only then: until the end
// of its body an answer is neither a success of its server, nor is its place there free. A server that sends
// without end would otherwise look faster and less busy than all others, and draw ever more callers.
func (h *Handler) relayRest(w io.Writer, c *inboundRequest, o *outcome) error {
	defer o.reservation.Release()
	src := &sourceReader{r: o.remainder}
	_, err := io.Copy(w, src)
	if o.acceptable() {
		h.recordRelayed(c, o, src, err)
	}

	return err
}

// recordRelayed records how a body ended that was passed on as it came.
func (h *Handler) recordRelayed(c *inboundRequest, o *outcome, src *sourceReader, err error) {
	size, took := o.body.Size()+src.n, clock.Since(o.startedAt)
	if err == nil {
		h.answerSizes(c.service).Record(size)
		h.responseTimes(c.service).Record(took)
		h.fleet.RecordResponse(o.server.ID, true, took)

		return
	}
	failure := h.relayFailure(c, src, size, took)
	if failure == nil {
		return
	}
	h.fleet.RecordResponse(o.server.ID, false, took)
	h.logFailedAttempt(c, o.server, attemptResult{fate: answered, resp: o.resp, head: o.head, err: errors.Wrapf(failure, "%d bytes in %s", size, took)})
}

// relayFailure returns what the server is to blame for if a body was not passed on whole; nil if the caller
// left or read slowly. A caller may leave whenever it likes, so that its leaving is a word about the server
// only where the answer has outgrown all whole ones of the service.
func (h *Handler) relayFailure(c *inboundRequest, src *sourceReader, size int64, took time.Duration) error {
	if src.err != nil && !errors.IsAny(src.err, context.Canceled, context.DeadlineExceeded) {
		return src.err
	}
	if size > outgrownFactor*max(maxBufferedResponse, h.answerSizes(c.service).Value()) {
		return errUnending
	}
	if atDeadline := clock.Until(c.deadline) <= 0; atDeadline && src.waited > took/2 {
		return errUnending
	}

	return nil
}

// writeBody writes the body of a response to the caller.
func (h *Handler) writeBody(w http.ResponseWriter, c *inboundRequest, o *outcome) error {
	if o.remainder != nil {
		defer func() { _ = o.remainder.Close() }()
	}
	if _, err := io.Copy(w, o.body.Reader()); err != nil || o.remainder == nil {
		return err
	}

	return h.relayRest(w, c, o)
}
