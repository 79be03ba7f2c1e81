package overload

import (
	"math"
	"time"
)

const (
	// shortageWindow is the time constant with which observations of a shortage lose weight. It is
	// about the time in which streams end, so that the forecast follows a change of the load.
	shortageWindow = 2 * time.Second
	// shortageHold is how long after a refusal room counts as short. A small box refuses a few
	// requests per second, so that its refusals are some tenths of a second apart.
	shortageHold = 500 * time.Millisecond
	// minShortage is the time of shortage that must have been observed for a forecast. Streams that
	// began together end together, and a shorter time may lie between two such moments.
	minShortage = 200 * time.Millisecond
)

// Shortage observes how many requests find room per second at one box while room is short. Since
// any room that becomes free is taken at once, this is the rate at which room becomes free for
// this box, and the forecast for the next seconds. The zero value has no observations.
type Shortage struct {
	// admitted counts the requests that found room during a shortage, and short is the time of
	// shortage in seconds. Both lose weight with time.
	admitted, short float64
	// at is when the observations were last updated, and until is when the shortage ends unless
	// another request is refused.
	at, until time.Time
}

// RecordRefused records that a request found no room. It reports whether that begins a shortage.
func (s *Shortage) RecordRefused(now time.Time) bool {
	s.advance(now)
	begins := !now.Before(s.until)
	s.until = now.Add(shortageHold)

	return begins
}

// RecordAdmitted records that a request found room.
func (s *Shortage) RecordAdmitted(now time.Time) {
	if !now.Before(s.until) {
		return
	}
	s.advance(now)
	s.admitted++
}

// AdmissionRate returns how many requests find room per second. ok is false if the shortage has
// been observed for too short a time, or too long ago.
func (s *Shortage) AdmissionRate(now time.Time) (perSecond float64, ok bool) {
	s.advance(now)
	if s.short < minShortage.Seconds() {
		return 0, false
	}

	return s.admitted / s.short, true
}

// advance updates the observations to the time now.
func (s *Shortage) advance(now time.Time) {
	if s.at.IsZero() || !now.After(s.at) {
		s.at = later(s.at, now)

		return
	}
	elapsed := now.Sub(s.at)
	short := max(0, min(elapsed, s.until.Sub(s.at)))
	s.admitted *= weightAfter(elapsed)
	s.short = s.short*weightAfter(elapsed) + short.Seconds()*weightAfter(elapsed-short)
	s.at = now
}

// weightAfter returns the weight that is left to an observation after a time.
func weightAfter(d time.Duration) float64 { return math.Exp(-d.Seconds() / shortageWindow.Seconds()) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
