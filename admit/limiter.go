// Package admit decides whether a request is admitted: by the limits of its client account, and by
// the capacity of the box. A request that is refused is refused immediately, before any part of it
// has run.
package admit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/result"
)

// Retry delays returned with refusals.
const (
	concurrencyRetryAfter = time.Second
	overloadRetryAfter    = time.Second
	drainRetryAfter       = time.Second
)

// DefaultMaxInFlight is how many requests a box handles at the same time if the settings do not
// say.
const DefaultMaxInFlight = 2000

// Limiter admits requests. The limits of a client account apply to the whole hall and are divided
// evenly among its live boxes, because the platform's load balancer spreads requests evenly over
// them. It is safe for concurrent use.
type Limiter struct {
	maxInFlight int

	mu       sync.Mutex
	draining bool
	inFlight int
	accounts map[string]*account
	// idle is closed and replaced whenever inFlight drops to zero.
	idle chan struct{}
}

// account is the state of one client account.
type account struct {
	config      slatebridge.Account
	boxes       int
	rateLimiter *rate.Limiter
	inFlight    int
}

// New returns a Limiter for a box that handles up to maxInFlight requests at the same time.
func New(maxInFlight int) *Limiter {
	return &Limiter{
		maxInFlight: maxInFlight,
		accounts:    make(map[string]*account),
		idle:        make(chan struct{}),
	}
}

// SetAccounts sets the limits of the accounts, to be divided among the live boxes of the hall.
// Requests in flight stay counted, and token buckets keep their level. An account that is no longer
// configured is removed by the first call of SetAccounts that finds it without requests in flight;
// until then it admits requests.
func (l *Limiter) SetAccounts(configs []slatebridge.Account, liveBoxes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxes := max(liveBoxes, 1)
	configured := make(map[string]bool, len(configs))
	for _, config := range configs {
		configured[config.Name] = true
		l.setAccount(config, boxes)
	}
	for name, a := range l.accounts {
		if !configured[name] && a.inFlight == 0 {
			delete(l.accounts, name)
		}
	}
}

func (l *Limiter) setAccount(config slatebridge.Account, boxes int) {
	share := config.RequestsPerSecond / float64(boxes)
	// The burst is the number of requests that the rate allows in one second, and at least one.
	burst := max(int(share), 1)
	a := l.accounts[config.Name]
	if a == nil {
		// A new token bucket starts full, so that the first request is not refused.
		a = &account{rateLimiter: rate.NewLimiter(rate.Limit(share), burst)}
		l.accounts[config.Name] = a
	}
	a.config = config
	a.boxes = boxes
	if a.rateLimiter.Limit() != rate.Limit(share) || a.rateLimiter.Burst() != burst {
		a.rateLimiter.SetLimit(rate.Limit(share))
		a.rateLimiter.SetBurst(burst)
	}
}

// maxConcurrency returns this box's share of the account's limit of requests in flight, and at
// least one.
func (a *account) maxConcurrency() int {
	return max(a.config.MaxConcurrency/a.boxes, 1)
}

// Drain makes the limiter refuse all further requests.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Draining reports whether Drain was called.
func (l *Limiter) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.draining
}

// InFlight returns the number of admitted requests that have not been released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.inFlight
}

// Admit admits a request of the account, or refuses it with a *result.Error. The caller must call
// release when the request has its final answer; further calls of release have no effect.
func (l *Limiter) Admit(name string) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	switch {
	case l.draining:
		return nil, result.New(result.Draining, "the box is leaving").WithRetryAfter(drainRetryAfter)
	case a == nil:
		return nil, result.New(result.UnknownAccount, "account %q", name)
	case l.inFlight >= l.maxInFlight:
		return nil, result.New(result.Overloaded, "%d requests in flight", l.inFlight).WithRetryAfter(overloadRetryAfter)
	case a.inFlight >= a.maxConcurrency():
		return nil, result.New(result.ConcurrencyLimited, "%d requests in flight", a.inFlight).WithRetryAfter(concurrencyRetryAfter)
	}
	if err := a.takeRateToken(); err != nil {
		return nil, err
	}
	a.inFlight++
	l.inFlight++

	return sync.OnceFunc(func() { l.release(a) }), nil
}

// takeRateToken takes one token from the token bucket of the account, or returns an error with the
// time until one is available.
func (a *account) takeRateToken() error {
	reservation := a.rateLimiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	reservation.Cancel()

	return result.New(result.RateLimited, "%.3g requests a second in this hall", a.config.RequestsPerSecond).WithRetryAfter(delay)
}

func (l *Limiter) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
	l.inFlight--
	if l.inFlight == 0 {
		close(l.idle)
		l.idle = make(chan struct{})
	}
}

// Idle returns a channel that is closed as soon as no request is in flight.
func (l *Limiter) Idle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == 0 {
		closed := make(chan struct{})
		close(closed)

		return closed
	}

	return l.idle
}
