package forward

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/intake"
	"github.com/slatebridge/slatebridge/overload"
	"github.com/slatebridge/slatebridge/result"
)

const (
	// defaultMaxBodyBytes limits bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// discardTimeout bounds how long the rest of a refused request's body is read, so that its connection
	// can be used again. The body of a sound request has usually arrived.
	discardTimeout = 100 * time.Millisecond
)

// readBody reads the body of a request. Nothing of a request is sent to a server before that, so that each
// of its errors states that the request was not run.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *inboundRequest) *result.Error {
	limit := c.state.Catalog.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	req := intake.RequestOf(r.Context())
	c.hold = req.Hold()
	limit = min(limit, req.Largest())
	if r.ContentLength > limit {
		return result.New(result.TooLarge, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	// The read deadline keeps a slow caller from holding the request open indefinitely. It is
	// removed after the body.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(clock.Until(c.deadline)))
	body, err := req.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return bodyError(err, limit)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.body, c.bodyRead = body, true
	if !req.WasRead() {
		return result.New(result.Overloaded, "the connection was closed, as there were too many").WithRetryAfter(overload.MinRetryAfter)
	}

	return nil
}

// bodyError returns the error for a body that was not read to its end.
func bodyError(err error, limit int64) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.TooLarge, "the body is larger than the limit of %d bytes", limit)
	case errors.Is(err, intake.ErrFull):
		return result.New(result.NoMemory, "there is no memory for the body").WithRetryAfter(overload.MinRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTooSlow, "the body did not arrive in time")
	default:
		return result.New(result.Malformed, "the body could not be read: %s", err.Error())
	}
}

// limitDiscard bounds how long net/http reads the rest of a body after its request was refused. Without a
// bound, a caller that stops sending would delay the answer and keep the request open.
func limitDiscard(w http.ResponseWriter) {
	// A writer without deadlines has no connection that could be held.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}
