package tunnel

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/reach"
)

// race opens one connection by the first way that works. Ways are tried one after the other, and
// beside each other if they are late.
type race struct {
	d       *Dialer
	network string
	address string
	plan    plan
	// helpers are those not asked yet. They are picked when the first one is needed, which is rare.
	helpers []Helper
	picked  bool
	results chan raceResult
	// pending counts the ways without a result.
	pending int
	// triedDirect is set once the direct way was tried. directErr is its error, and tunnelErrs are
	// those of helpers.
	triedDirect bool
	// settled fires when no further way is waited for; nil until a helper has found that it does not
	// reach the server either.
	settled    <-chan time.Time
	directErr  error
	tunnelErrs []error
}

// raceResult is how one way ended.
type raceResult struct {
	conn net.Conn
	err  error
	// helper is empty for the direct way.
	helper string
	took   time.Duration
}

func (d *Dialer) newRace(network, address string, p plan) *race {
	return &race{d: d, network: network, address: address, plan: p, results: make(chan raceResult, 1+maxHelpers)}
}

func (r *race) run(parent context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, maxDialTime)
	defer cancel()
	if r.plan.direct {
		r.tryDirect(ctx)
	}
	if r.plan.tunnelFirst {
		r.askNext(ctx)
	}
	delay := r.d.links.hedgeDelay(minHedgeDelay, maxHedgeDelay)
	due := clock.Now().Add(delay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case res := <-r.results:
			r.pending--
			if res.err == nil {
				cancel()
				r.won(res)
				go r.collectLosers()

				return res.conn, nil
			}
			r.lost(ctx, res)
		case <-timer.C:
			if clock.Since(due) <= maxLateTimer {
				r.askNext(ctx)
			}
			due = clock.Now().Add(delay)
			timer.Reset(delay)
		case <-r.settled:
			go r.collectLosers()

			return nil, r.failure(nil)
		case <-ctx.Done():
			go r.collectLosers()

			return nil, r.failure(ctx.Err())
		}
	}

	return nil, r.failure(nil)
}

// start tries one way.
func (r *race) start(ctx context.Context, helper string, dial reach.DialFunc) {
	r.pending++
	began := clock.Now()
	go func() {
		c, err := dial(ctx, r.network, r.address)
		r.results <- raceResult{conn: c, err: err, helper: helper, took: clock.Since(began)}
	}()
}

// tryDirect tries the direct way. It is not given up when another one is faster: how it ends shows
// whether the box reaches the server.
func (r *race) tryDirect(ctx context.Context) {
	r.triedDirect = true
	r.start(context.WithoutCancel(ctx), "", r.d.observer.DialContext)
}

// askNext asks the next helper, if there is one.
func (r *race) askNext(ctx context.Context) {
	if !r.picked {
		r.helpers, r.picked = r.d.helpers.pick(maxHelpers, clock.Now()), true
	}
	if len(r.helpers) == 0 {
		return
	}
	h := r.helpers[0]
	r.helpers = r.helpers[1:]
	r.start(ctx, h.Address, func(ctx context.Context, _, address string) (net.Conn, error) {
		return r.d.dialThrough(ctx, h, address)
	})
}

// won records the way that led to a connection.
func (r *race) won(res raceResult) {
	if res.helper != "" {
		if r.d.links.tunnelConnected(r.address, clock.Now()) {
			r.d.onDetour(r.address, res.helper)
		}

		return
	}
	r.directWorked(res.took)
}

func (r *race) directWorked(took time.Duration) {
	if r.d.links.directConnected(r.address, took) {
		r.d.onReturn()
	}
}

// lost records a way that failed, and tries what is left. Once the server has neither accepted a
// connection of this box nor of a helper, the others are asked at the same time and have little time
// left: most likely the server has failed, and requests wait to be told.
func (r *race) lost(ctx context.Context, res raceResult) {
	if res.helper == "" {
		r.directErr = res.err
	} else {
		r.tunnelErrs = append(r.tunnelErrs, res.err)
	}
	switch {
	case r.directErr != nil && slices.ContainsFunc(r.tunnelErrs, isFinding):
		for len(r.helpers) > 0 {
			r.askNext(ctx)
		}
		if r.settled == nil {
			r.settled = time.After(minHedgeDelay)
		}
	case res.helper != "" || !r.plan.tunnelFirst:
		// The end of a direct attempt beside a tunnel is no reason to ask another helper.
		r.askNext(ctx)
	}
	if r.pending == 0 && !r.triedDirect {
		r.tryDirect(ctx)
	}
}

// collectLosers waits for the ways that are still being tried, and closes what they open.
func (r *race) collectLosers() {
	for ; r.pending > 0; r.pending-- {
		res := <-r.results
		if res.err != nil {
			continue
		}
		_ = res.conn.Close()
		if res.helper == "" {
			r.directWorked(res.took)
		}
	}
}

// failure returns the error of a race that no way has won. cause is not nil if time ran out.
func (r *race) failure(cause error) error {
	findings, refusals := 0, 0
	for _, err := range r.tunnelErrs {
		if isFinding(err) {
			findings++
		}
		if errors.Is(err, errServerRefused) {
			refusals++
		}
	}
	if findings > 0 {
		r.d.links.unreached(r.address, clock.Now())
		r.d.observer.Dismiss(r.address)
	}
	directRefused := isRefused(r.directErr)
	switch {
	case refusals > 0 && (directRefused || r.directErr == nil):
		return refused(r.address, true)
	case directRefused:
		return refused(r.address, false)
	case r.directErr != nil:
		return r.directErr
	case len(r.tunnelErrs) > 0:
		return r.tunnelErrs[len(r.tunnelErrs)-1]
	default:
		return cause
	}
}
