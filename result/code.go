// Package result defines the numbered result codes that callers receive, and the error type that
// carries them.
//
// The text, HTTP status and execution status of each code are in codes.toml.
package result

import (
	_ "embed"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Code is the number of a result.
type Code int

// The result codes. See codes.toml for their meanings. Names that start or end with Key refer to
// the Idempotency-Key of a request, except UnknownKey.
const (
	OK             Code = 0
	Malformed      Code = 1001
	UnknownAccount Code = 1002
	UnknownService Code = 1003
	// KeyRequired means that the Idempotency-Key is missing or not a version 7 UUID.
	KeyRequired Code = 1004
	// KeyReused means that the Idempotency-Key was used before with another body.
	KeyReused Code = 1005
	// KeyTooOld means that the Idempotency-Key was issued before the time from which claims are
	// known.
	KeyTooOld Code = 1006
	// KeyFromFuture means that the issue time of the Idempotency-Key is ahead of the box's clock by
	// more than the allowed skew.
	KeyFromFuture Code = 1007
	// UnknownKey means that the API key is not in the configuration in force, or is missing.
	UnknownKey   Code = 1008
	UnknownRoute Code = 1009
	TooLarge     Code = 1010
	// BodyTooSlow means that the body of the request did not arrive in time.
	BodyTooSlow        Code = 1011
	RateLimited        Code = 2001
	ConcurrencyLimited Code = 2002
	Overloaded         Code = 2003
	Draining           Code = 2004
	// NoMemory means that the box has no memory left for the body of the request.
	NoMemory       Code = 2005
	NoPipeline     Code = 3001
	NoServer       Code = 3002
	LogUnavailable Code = 3003
	NotReady       Code = 3004
	// NotCurrent means that the configuration was not confirmed to be current recently enough, so
	// that the API key may have been revoked, or the route or key may have been added since.
	NotCurrent Code = 3005
	// HeldBack means that the request is quarantined.
	HeldBack Code = 3006
	// OnTrial means that the request may only be sent as a quarantine trial, and another trial of
	// it is running or no trial of it may start now.
	OnTrial Code = 3007
	// Resting means that all usable servers are in a cooldown.
	Resting Code = 3008
	// Limited means that usable servers have announced rate limits, and none of them had a grant
	// for the request in time.
	Limited Code = 3009
	// PartHeldBack means that a part of the request's prompt is quarantined.
	PartHeldBack Code = 3010
	MayHaveRun   Code = 4001
	// AnswerDropped means that the request was executed earlier and its response is no longer kept.
	AnswerDropped     Code = 4002
	AttemptsExhausted Code = 4003
	DeadlineExceeded  Code = 4004
	// StreamMoved means, despite its name, that a token could not be delivered to the caller, for
	// example because the caller has disconnected. There is no code for this cause; this one is
	// used because it says that the box stopped before the answer was complete, and that the
	// request may have run and may be retried.
	StreamMoved Code = 4005
	// BrokenAnswer means that every response was incomplete or belonged to another request.
	BrokenAnswer Code = 4006
)

// ExecutionStatus tells the caller whether a request was executed.
type ExecutionStatus string

// The execution statuses of a request.
const (
	NotExecuted     ExecutionStatus = "no"
	Executed        ExecutionStatus = "yes"
	MayHaveExecuted ExecutionStatus = "maybe"
)

// Definition describes one code, as in codes.toml.
type Definition struct {
	Number Code   `toml:"number"`
	Name   string `toml:"name"`
	// Status is the HTTP status of responses with this code.
	Status int `toml:"status"`
	// Execution is the default status; an Error may carry another one for its request.
	Execution ExecutionStatus `toml:"ran"`
	// Retryable is whether the caller can expect a later retry to succeed.
	Retryable bool   `toml:"retry"`
	Text      string `toml:"text"`
}

//go:embed codes.toml
var codesFile []byte

var (
	definitions       = mustLoad()
	definitionsByCode = indexByCode(definitions)
)

// Definitions returns the definitions of all codes, ordered by number.
func Definitions() []Definition {
	return definitions
}

// Definition returns the definition of the code, or a zero Definition for an unknown code.
func (c Code) Definition() Definition {
	return definitionsByCode[c]
}

// String returns the number and the name of the code, such as "2001 RateLimited".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Definition().Name)
}

func mustLoad() []Definition {
	var file struct {
		Code []Definition `toml:"code"`
	}
	if err := toml.Unmarshal(codesFile, &file); err != nil {
		panic("result: codes.toml: " + err.Error())
	}

	return file.Code
}

func indexByCode(list []Definition) map[Code]Definition {
	m := make(map[Code]Definition, len(list))
	for _, e := range list {
		m[e.Number] = e
	}

	return m
}
