package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a result other than OK, with the details that the caller receives.
type Error struct {
	Code Code
	// Execution is whether the request was executed.
	Execution ExecutionStatus
	// RetryAfter is how long the caller should wait before a retry; zero omits the header.
	RetryAfter time.Duration
	// KeyScoped extends Execution to earlier requests with the same Idempotency-Key. Without it,
	// NotExecuted refers to this attempt only.
	KeyScoped bool
	// Detail is a human-readable explanation of this error.
	Detail string
}

// New returns an error with the code's default execution status and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Execution: code.Definition().Execution, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code and the detail.
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Detail
}

// WithRetryAfter returns a copy of e with the given retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d

	return &c
}

// WithExecution returns a copy of e with the given execution status.
func (e *Error) WithExecution(status ExecutionStatus) *Error {
	c := *e
	c.Execution = status

	return &c
}

// WithKeyScope returns a copy of e whose execution status also covers earlier requests with the
// same Idempotency-Key.
func (e *Error) WithKeyScope() *Error {
	c := *e
	c.KeyScoped = true

	return &c
}

// FromError returns the Error in the chain of err. If there is none, it returns MayHaveRun, because
// nothing is known about the execution of the request.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return New(MayHaveRun, "%s", err.Error())
}
