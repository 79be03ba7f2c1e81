package overload

import (
	"slices"
	"time"
)

const (
	// maxTurns bounds the turns that a schedule keeps.
	maxTurns = 256
	// turnShare is the share of the rate at which requests find room that is given to callers that
	// return. Most of the room is left to new requests, since only those can still be served in
	// time.
	turnShare = 0.3
	// honoredShare is the share of the time left to a caller that it waits at most before it
	// returns, so that time is left for the answer.
	honoredShare = 1.0 / 3
)

// ReturnPlan is how the time was chosen after which a refused caller should return.
type ReturnPlan int

const (
	// ReturnUnplanned means that there is no forecast: the time follows the usual duration of a
	// stream.
	ReturnUnplanned ReturnPlan = iota
	// ReturnInTurn means that the caller has a turn of its own.
	ReturnInTurn
	// ReturnLate means that all turns are taken for as long as the caller waits. It returns as late
	// as it can.
	ReturnLate
)

// String returns the plan as in logs and metrics.
func (p ReturnPlan) String() string { return [...]string{"unplanned", "turn", "late"}[p] }

// Returns decides when the callers should return that one box refused for lack of room for one
// service. The zero value is ready for use.
//
// Load pattern: all memory or slots are in use for seconds, and more callers are refused than find
// room. If they return after about the duration of a stream, most of them are refused again, since
// more return than there is room for besides the new requests. Therefore the turns follow the rate
// at which requests find room, and many fall into the time after the overload.
type Returns struct {
	shortage Shortage
	// turns has the times of the turns that were given, in ascending order.
	turns []time.Time
}

// Refusal describes a request that is refused for lack of room.
type Refusal struct {
	// TimeLeft is the time until the caller gives up.
	TimeLeft time.Duration
	// UsualDuration is the usual duration of a stream; zero if it is not known.
	UsualDuration time.Duration
	// Random is a random number from 0 to 1.
	Random float64
}

// RecordAdmitted records that a request found room.
func (r *Returns) RecordAdmitted(now time.Time) { r.shortage.RecordAdmitted(now) }

// Refuse records the refusal and returns after which time the caller should return. begins is set
// if it is the first refusal of a shortage.
func (r *Returns) Refuse(f Refusal, now time.Time) (delay time.Duration, plan ReturnPlan, begins bool) {
	begins = r.shortage.RecordRefused(now)
	perSecond, ok := r.shortage.AdmissionRate(now)
	if !ok {
		return CapacityRetryAfter(f.UsualDuration, f.Random), ReturnUnplanned, begins
	}
	longest := time.Duration(honoredShare * float64(f.TimeLeft))
	if at, ok := r.takeTurn(perSecond, now.Add(MinRetryAfter), now.Add(longest), now); ok {
		return at.Sub(now), ReturnInTurn, begins
	}
	// The times are spread over the second half of the longest wait.
	const earliest = 0.5

	return max(MinRetryAfter, time.Duration((earliest+(1-earliest)*f.Random)*float64(longest))), ReturnLate, begins
}

// takeTurn takes the first free turn between earliest and latest. Turns are apart by the time in
// which turnShare of a request finds room.
func (r *Returns) takeTurn(perSecond float64, earliest, latest, now time.Time) (time.Time, bool) {
	r.turns = slices.DeleteFunc(r.turns, func(t time.Time) bool { return t.Before(now) })
	if perSecond <= 0 || len(r.turns) >= maxTurns {
		return time.Time{}, false
	}
	// The conversion of a longer time would overflow.
	spacing := time.Duration(min(float64(time.Second)/(turnShare*perSecond), float64(time.Hour)))
	at, i := earliest, 0
	for ; i < len(r.turns) && r.turns[i].Before(at.Add(spacing)); i++ {
		at = later(at, r.turns[i].Add(spacing))
	}
	if at.After(latest) {
		return time.Time{}, false
	}
	r.turns = slices.Insert(r.turns, i, at)

	return at, true
}
