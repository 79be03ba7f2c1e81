package mesh

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/allowance"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/retry"
)

// LimitObservation is the rate limit that a server announced in a response, for the requests of all
// boxes together.
type LimitObservation struct {
	_      struct{} `cbor:",toarray"`
	Server slatebridge.ServerID
	// Rate is in requests per second; -1 if the response announced no limit.
	Rate float64
	// SentAge and ReadAge are how long ago the request was sent and its response read, in
	// microseconds. SentAge is -1 if that is unknown.
	SentAge int64
	ReadAge int64
}

// maxMessageDelay is the assumed upper bound of a message's network delay, used to order
// observations. A message delayed for longer can make a limit appear newer than it is.
const maxMessageDelay = 250 * time.Millisecond

// NewLimitObservation converts an observation to its wire form.
func NewLimitObservation(id slatebridge.ServerID, o allowance.Observation, now time.Time) LimitObservation {
	l := LimitObservation{Server: id, Rate: o.Rate, SentAge: -1, ReadAge: max(0, now.Sub(o.ReadAt).Microseconds())}
	if o.Rate == allowance.NoLimit {
		l.Rate = -1
	}
	if !o.SentAt.IsZero() {
		l.SentAge = max(0, now.Sub(o.SentAt).Microseconds())
	}

	return l
}

// Observation converts l to times on the receiver's clock. SentAt is moved back by maxMessageDelay
// so that, unless the message was delayed for longer, the request never appears sent later than it
// was.
func (l LimitObservation) Observation(now time.Time) allowance.Observation {
	o := allowance.Observation{Rate: l.Rate, ReadAt: now.Add(-time.Duration(l.ReadAge) * time.Microsecond)}
	if l.Rate < 0 {
		o.Rate = allowance.NoLimit
	}
	if l.SentAge >= 0 {
		o.SentAt = now.Add(-time.Duration(l.SentAge)*time.Microsecond - maxMessageDelay)
	}

	return o
}

// maxAgeMicros is the longest duration accepted in a message, in microseconds: one year.
const maxAgeMicros = int64(365*24*time.Hour) / int64(time.Microsecond)

func (l LimitObservation) validate() error {
	if math.IsNaN(l.Rate) || math.IsInf(l.Rate, 0) || l.SentAge < -1 || l.ReadAge < 0 || l.SentAge > maxAgeMicros || l.ReadAge > maxAgeMicros {
		return errors.New("mesh: message has a limit with an invalid rate or age")
	}

	return nil
}

// GrantMessage is the content of a grant request, of its response, or of the release of an unused
// grant. The grant is for a request to a rate-limited server, or for a retry from the retry budget
// shared by all boxes.
type GrantMessage struct {
	// ID is chosen by the requesting box.
	ID     uint64               `cbor:"1,keyasint"`
	Server slatebridge.ServerID `cbor:"2,keyasint"`
	Hall   slatebridge.HallID   `cbor:"3,keyasint,omitempty"`
	// Limits are the requesting box's observations of the server's limit. MaxWait is how long its
	// request may wait, in microseconds.
	Limits  []LimitObservation `cbor:"4,keyasint,omitempty"`
	MaxWait int64              `cbor:"5,keyasint,omitempty"`
	// Granted, Delay and RetryAfter are those of allowance.Grant, the durations in microseconds.
	Granted    bool  `cbor:"6,keyasint,omitempty"`
	Delay      int64 `cbor:"7,keyasint,omitempty"`
	RetryAfter int64 `cbor:"8,keyasint,omitempty"`
	// Slot is the time for which the grant was issued, in nanoseconds on the clock of the box that
	// issued it. It identifies the grant in a GrantRelease.
	Slot int64 `cbor:"9,keyasint,omitempty"`
	// Allocator is the box to ask instead of the one that responds.
	Allocator *relay.Candidate `cbor:"10,keyasint,omitempty"`
	// Service is set, and Server is empty, when the grant is for a retry. Optional means that
	// without the retry the request does not fail but only completes later.
	Service  string `cbor:"11,keyasint,omitempty"`
	Optional bool   `cbor:"12,keyasint,omitempty"`
	// Pool is set, and Service and Server are empty, when the requesting box has become the allocator
	// of the retry pool of that service and asks the former one to hand it over. PoolBoot is the boot
	// ID of the former one, if it is known. Handover is the answer; without it, nothing was handed
	// over.
	Pool     string            `cbor:"13,keyasint,omitempty"`
	PoolBoot string            `cbor:"14,keyasint,omitempty"`
	Handover *retry.PoolRecord `cbor:"15,keyasint,omitempty"`
}

func (g *GrantMessage) validate() error {
	if g == nil {
		return nil
	}
	if g.MaxWait < 0 || g.Delay < 0 || g.RetryAfter < 0 || g.MaxWait > maxAgeMicros || g.Delay > maxAgeMicros || g.RetryAfter > maxAgeMicros {
		return errors.New("mesh: message has a grant with an invalid duration")
	}
	if g.Handover != nil && (!g.Handover.Valid() || g.Handover.LostAge > maxAgeMicros) {
		return errors.New("mesh: message has an invalid record of a retry pool")
	}

	return validateLimits(g.Limits)
}

func validateLimits(list []LimitObservation) error {
	for _, l := range list {
		if err := l.validate(); err != nil {
			return err
		}
	}

	return nil
}
