package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a result other than OK, with what the caller has to know of it.
type Error struct {
	Code Code
	// Ran is whether the request was run.
	Ran Ran
	// RetryAfter is when the caller may come back; zero for no advice.
	RetryAfter time.Duration
	// Firm says that the word holds for earlier requests with the same
	// Idempotency-Key too. Without it, "not run" speaks of this try alone.
	Firm bool
	// Detail is a sentence for people.
	Detail string
}

// New returns an error with the code's usual word for whether it ran.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Ran: code.Entry().Ran, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code and the detail.
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Detail
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d

	return &c
}

// WithRan returns a copy with another word for whether the request ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran

	return &c
}

// WithFirm returns a copy whose word holds for earlier tries too.
func (e *Error) WithFirm() *Error {
	c := *e
	c.Firm = true

	return &c
}

// From returns the result error in the chain of err. An error that carries
// none is told as MayHaveRun, since nothing better is known of it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return New(MayHaveRun, "%s", err.Error())
}
