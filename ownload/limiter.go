// Package ownload bounds what a box takes from callers by what it can carry itself.
//
// A box that gets more than its processor can do does all of it late: streams pause, requests expire
// while they wait, and what it finds out about servers and other boxes is wrong. The measure is its
// lag: how late it does what is due. While the lag is too long, the requests in flight are limited, and
// new connections beyond the limit are closed before anything is read from them, so that their callers
// reach another box at once.
//
// The limit follows the requests that were in flight when the box was late, and rises while it is in
// time. Nothing here reads a clock or a connection, but for Listener.
package ownload

import (
	"math"
	"sync"
	"time"
)

const (
	// maxLag is the lag from which the box is late. Each event of a stream is late by it as well, and
	// routes allow pauses of a few times as long.
	maxLag = 60 * time.Millisecond
	// A single late observation may be a garbage collection. It takes lateObservations in a row, or one
	// of longLag.
	lateObservations = 3
	longLag          = 3 * maxLag
	// adjustInterval is the time between two changes of the limit.
	adjustInterval = 200 * time.Millisecond
	// lateShare is the share of the requests in flight that is allowed while the box is late.
	lateShare = 0.85
	// raiseShare is the share by which the limit rises with each change while the box is in time, up to
	// lateShare of the requests with which it was last late. Above that it rises by one.
	raiseShare = 0.04
	// usedShare is the share of the limit that has to be used for it to rise.
	usedShare = 0.8
	// liftAfter is how long less than half of the limit must have been in use until it is lifted.
	liftAfter = 3 * time.Second
	// minLimit is the least limit. A box that is ready always takes some requests, and one whose process
	// was stopped while it had few takes more at once.
	minLimit = 16
	// healthyWindow is how long a box must have been in time for its findings about others to count as
	// they are.
	healthyWindow = 500 * time.Millisecond
)

// Change is a change of the limit: it began, or was lifted.
type Change struct {
	// Limit is the limit on requests in flight, or zero if there is none.
	Limit int
	// InFlight is the number of requests in flight.
	InFlight int
	Lag      time.Duration
}

// Limiter limits the requests in flight of a box while it is late. It is safe for concurrent use.
type Limiter struct {
	inFlight func() int
	onChange func(Change)

	mu sync.Mutex
	// limit is the limit on requests in flight; zero if there is none.
	limit float64
	// unread is the number of accepted connections from which no request has been read.
	unread int
	// dueAt is when the next observation is due, if that is known, and lag the last one. longestLag is the longest one
	// within healthyWindow of longestAt.
	dueAt      time.Time
	lag        time.Duration
	longestLag time.Duration
	longestAt  time.Time
	// lateInRow is the number of late observations in a row.
	lateInRow int
	// lateWith is the number of requests in flight when the box was last late.
	lateWith float64
	// adjustedAt is when the limit last changed, and halfUsedAt when at least half of it was last in
	// use.
	adjustedAt, halfUsedAt time.Time
	// full is set from when the limit is reached until there is room again.
	full bool
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithOnChange sets a function that is called when a limit begins or is lifted.
func WithOnChange(f func(Change)) Option {
	return func(l *Limiter) { l.onChange = f }
}

// New returns a Limiter for the requests that inFlight counts.
func New(inFlight func() int, opts ...Option) *Limiter {
	l := &Limiter{inFlight: inFlight, onChange: func(Change) {}}
	for _, o := range opts {
		o(l)
	}

	return l
}

// Observe records how late something was done that was due. Expect says when the next observation is
// due.
func (l *Limiter) Observe(lag time.Duration, now time.Time) {
	l.mu.Lock()
	before := l.limit > 0
	l.observe(lag, now)
	l.dueAt = time.Time{}
	change := Change{Limit: int(l.limit), InFlight: l.inFlight(), Lag: lag}
	changed := before != (l.limit > 0)
	l.mu.Unlock()
	if changed {
		l.onChange(change)
	}
}

// Expect records when the next observation is due.
func (l *Limiter) Expect(due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dueAt = due
}

func (l *Limiter) observe(lag time.Duration, now time.Time) {
	l.lag = lag
	if lag >= l.longestLag || now.Sub(l.longestAt) >= healthyWindow {
		l.longestLag, l.longestAt = lag, now
	}
	if lag <= maxLag {
		l.lateInRow = 0
	} else {
		l.lateInRow++
	}
	inFlight := float64(l.inFlight())
	if lag >= longLag || l.lateInRow >= lateObservations {
		l.lower(inFlight, now)

		return
	}
	if l.limit > 0 {
		l.raise(inFlight, now)
	}
}

// lower lowers the limit below what is in flight. It does not fall any further until some of these
// requests have ended: they are what makes the box late.
func (l *Limiter) lower(inFlight float64, now time.Time) {
	limit := max(minLimit, math.Floor(lateShare*inFlight))
	if l.limit > 0 {
		limit = min(l.limit, limit)
	}
	l.lateWith = inFlight
	l.limit, l.adjustedAt, l.halfUsedAt = limit, now, now
}

// raise raises the limit if it is in use, and lifts it if it has not been for long.
func (l *Limiter) raise(inFlight float64, now time.Time) {
	if inFlight >= l.limit/2 {
		l.halfUsedAt = now
	}
	if now.Sub(l.halfUsedAt) >= liftAfter {
		l.limit, l.full = 0, false

		return
	}
	if now.Sub(l.adjustedAt) < adjustInterval || l.lag > maxLag/2 || inFlight < usedShare*l.limit {
		return
	}
	step := 1.0
	if l.limit < lateShare*l.lateWith {
		step = max(step, raiseShare*l.limit)
	}
	// Open connections may bring more than the limit, which the box then carries.
	l.limit, l.adjustedAt = max(l.limit, inFlight)+step, now
}

// Accept reports whether a new connection may be read. If so, Read or Closed must follow.
func (l *Limiter) Accept(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late(now) || (l.limit > 0 && float64(l.inFlight()+l.unread) >= l.limit) {
		l.full = true

		return false
	}
	l.unread++

	return true
}

// Read records that a request has been read from a connection that Accept allowed, or that it was
// closed before.
func (l *Limiter) Read() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread--
}

// AcceptRequest reports whether a request that was read from an open connection may be served: if it is
// within the limit, or the box is in time nevertheless.
func (l *Limiter) AcceptRequest(now time.Time) bool {
	recent := l.RecentLag(now)
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.limit == 0 || recent <= maxLag || float64(l.inFlight()) <= l.limit
}

// late reports whether the next observation is overdue by longLag. It is made in turn with all
// else, but connections are accepted before that.
func (l *Limiter) late(now time.Time) bool {
	return !l.dueAt.IsZero() && now.Sub(l.dueAt) >= longLag
}

// Full reports whether the box has no room for new connections.
func (l *Limiter) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full && (l.limit == 0 || float64(l.inFlight()+l.unread) < usedShare*l.limit) {
		l.full = false
	}

	return l.full
}

// RecentLag returns the longest lag within healthyWindow before the time. Others may seem to be silent
// for that much longer than they are.
func (l *Limiter) RecentLag(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var overdue, lag time.Duration
	if !l.dueAt.IsZero() {
		overdue = max(0, now.Sub(l.dueAt))
	}
	if now.Sub(l.longestAt) < healthyWindow {
		lag = l.longestLag
	}

	return max(overdue, lag)
}

// Late reports whether the box was late within healthyWindow before the time.
func (l *Limiter) Late(now time.Time) bool { return l.RecentLag(now) > maxLag }

// State is the state of a Limiter, for metrics and the status.
type State struct {
	// Limit is the limit on requests in flight, or zero if there is none.
	Limit int `json:"limit"`
	// Lag is the last observed lag, in nanoseconds in JSON.
	Lag time.Duration `json:"lag"`
	// Unread is the number of connections from which no request has been read yet.
	Unread int `json:"unread"`
}

// State returns the state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()

	return State{Limit: int(l.limit), Lag: l.lag, Unread: l.unread}
}
