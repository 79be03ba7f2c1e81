package allowance

import (
	"math"
	"slices"
	"time"
)

// NoLimit is the rate of a server that announces no limit.
const NoLimit = math.MaxFloat64

// maxObservations is the number of observations to keep while it is unknown which one is the
// newest. It is the number of responses that one box has in flight from a server with a low limit.
const maxObservations = 8

// Observation is the limit announced in one response of a server.
type Observation struct {
	// Rate is in requests a second; NoLimit if the response announces no limit.
	Rate float64
	// SentAt is when the request was sent, and ReadAt when the response header was read; the server
	// wrote the header between the two. A zero SentAt means that it may have been written at any
	// time before ReadAt.
	SentAt time.Time
	ReadAt time.Time
}

// Observations holds the observations of one server incarnation that may each be the newest.
type Observations struct {
	list []Observation
}

// Add adds an observation. It replaces those that were read before its request was sent. Responses
// that were in flight together arrive in any order, so all of them are kept.
func (o *Observations) Add(v Observation) {
	known := slices.ContainsFunc(o.list, func(u Observation) bool { return !v.ReadAt.After(u.SentAt) })
	if known || (v.Rate == NoLimit && v.SentAt.IsZero()) {
		// A newer observation is known, or this one carries no information.
		return
	}
	o.list = slices.DeleteFunc(o.list, func(u Observation) bool { return !u.ReadAt.After(v.SentAt) })
	if len(o.list) == maxObservations {
		// Merge the two oldest: the lower rate may be in force, and the merged times cover both.
		o.list[1] = Observation{
			Rate:   min(o.list[0].Rate, o.list[1].Rate),
			SentAt: earlier(o.list[0].SentAt, o.list[1].SentAt), ReadAt: later(o.list[0].ReadAt, o.list[1].ReadAt),
		}
		o.list = o.list[1:]
	}
	o.list = append(o.list, v)
}

// Rate returns the lowest rate that may be in force; NoLimit if there is none.
func (o *Observations) Rate() float64 {
	rate := NoLimit
	if o == nil {
		return rate
	}
	for _, v := range o.list {
		rate = min(rate, v.Rate)
	}

	return rate
}

// Limited reports whether a limit may be in force.
func (o *Observations) Limited() bool { return o.Rate() < NoLimit }

// LastRead returns the observation that was read last. Another one may be the newest.
func (o *Observations) LastRead() (Observation, bool) {
	if o == nil || len(o.list) == 0 {
		return Observation{}, false
	}

	return slices.MaxFunc(o.list, func(a, b Observation) int { return a.ReadAt.Compare(b.ReadAt) }), true
}

// All returns a copy of the observations.
func (o *Observations) All() []Observation {
	if o == nil {
		return nil
	}

	return slices.Clone(o.list)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
