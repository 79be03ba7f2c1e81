package lab

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/result"
)

// Timing of poison requests and crashes.
const (
	// minCrashDelay and maxCrashDelay bound the time from the start of a poison request until it
	// crashes the server.
	minCrashDelay = 40 * time.Millisecond
	maxCrashDelay = 330 * time.Millisecond
	// crashDetectionTime is how long the boxes take to detect the crash of a server.
	crashDetectionTime = 3 * time.Millisecond
	// crashRestartTime is how long a crashed server takes to return.
	crashRestartTime = 3300 * time.Millisecond
	// propagationTime is how long information from one box takes to reach all others.
	propagationTime = 110 * time.Millisecond
	// poisonInterval is the interval at which the same poison request is sent, and poisonRetryDelay
	// the delay after which its caller sends it once more.
	poisonInterval   = 3 * time.Second
	poisonRetryDelay = 1800 * time.Millisecond
	// trialRetryAfter is the retry delay for the caller of a request that may run only as a trial,
	// while another trial of it is running or none may start.
	trialRetryAfter = 3 * time.Second
)

// changeSet has the latest value of each quarantine change that boxes have published, by key.
type changeSet map[string][]byte

// propagateChanges publishes the changes in the ledger of a box to all boxes once they are due.
func (sim *simulation) propagateChanges(from *box) {
	wait := from.ledger.TimeUntilDue(sim.clock())
	if wait < 0 {
		return
	}
	sim.schedule(wait, func() {
		for _, c := range from.ledger.DueChanges(sim.clock()) {
			sim.sharedChanges[c.Key] = c.Value
			sim.schedule(propagationTime, func() { sim.forEachBox(func(b *box) { sim.applyChange(b, c) }) })
		}
	})
}

func (sim *simulation) applyChange(b *box, c quarantine.Change) {
	if err := b.ledger.Apply(c, sim.clock()); err != nil {
		panic(err) // The change was encoded by another ledger.
	}
}

// fingerprintOf returns the fingerprint of the nth request.
func fingerprintOf(n int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("", "", "", strconv.Itoa(n), nil)
}

// schedulePoisonRequests schedules the poison requests of a fault. Each of them is repeated in
// random halls until the fault ends.
func (sim *simulation) schedulePoisonRequests(fault *Fault) {
	class := &sim.scenario.RequestClasses[max(0, slices.IndexFunc(sim.scenario.RequestClasses, func(c RequestClass) bool { return c.Name == fault.RequestClass }))]
	for n := range int(fault.Magnitude) {
		fingerprint := fingerprintOf(-1 - n)
		for at := time.Duration(fault.Start); at < time.Duration(fault.Start+fault.Duration); at += poisonInterval {
			for _, delay := range []time.Duration{0, poisonRetryDelay} {
				sim.schedule(at+delay+time.Duration(n)*maxCrashDelay, func() {
					q := &request{
						sim: sim, class: class, hall: sim.halls[sim.rand.IntN(len(sim.halls))], promptTokens: class.MeanPromptTokens, answerTokens: class.MeanAnswerTokens,
						startedAt: sim.now, fingerprint: fingerprint, poison: true,
					}
					sim.result.requests = append(sim.result.requests, q)
					q.startTry()
				})
			}
		}
	}
}

// scheduleServerCrash schedules the crash of the first server of the path, if the attempt is still
// running by then.
func (q *request) scheduleServerCrash() {
	attempts, tryStartedAt, path := q.attempts, q.tryStartedAt, q.path
	delay := minCrashDelay + time.Duration(q.sim.rand.Int64N(int64(maxCrashDelay-minCrashDelay)))
	q.sim.schedule(delay, func() {
		if q.attempts == attempts && q.tryStartedAt == tryStartedAt && !q.ended && q.path != nil {
			q.sim.crashServer(path[0].Server.ID)
		}
	})
}

// crashServer simulates the crash of a server and its later return. The boxes record the crash for
// all requests that ran on it.
func (sim *simulation) crashServer(id slatebridge.ServerID) {
	s := sim.cluster.servers[id]
	if s.lost {
		return
	}
	sim.result.PoisonCrashes++
	// The ledger counts crashes by incarnation, so each run of the server needs its own ID.
	incarnation := slatebridge.ServerID(fmt.Sprint(id, "+", sim.result.PoisonCrashes))
	s.lost, s.Layers = true, slatebridge.LayerRange{}
	sim.schedule(crashDetectionTime, func() {
		onServer := func(q *request) bool { return q.runsOnAny([]slatebridge.ServerID{id}) }
		sim.forEachBox(func(b *box) { b.fleet.Remove(id, sim.clock()) })
		for _, q := range sim.activeRequests() {
			if q.path != nil && onServer(q) {
				q.box.ledger.RecordCrash(q.fingerprint, q.attempt, incarnation, sim.clock())
				sim.propagateChanges(q.box)
			}
		}
		sim.rerouteRequests(onServer)
	})
	sim.schedule(crashRestartTime, func() {
		s.lost, s.usedTokenLayers, s.usedSlots = false, 0, 0
		sim.forEachBox(func(b *box) { b.fleet.Set(s.Server) })
	})
}

// passQuarantine applies the quarantine to the attempt. If the request may be submitted, it starts
// a trial if one is needed, and returns true. If not, it releases the reservation, refuses the
// request and returns false.
func (q *request) passQuarantine() bool {
	if q.sim.scenario.DisableQuarantine {
		return true
	}
	l, now := q.box.ledger, q.sim.clock()
	verdict, crashStreak := l.Verdict(q.fingerprint, now)
	q.attempt = quarantine.Attempt{ID: q.sim.rand.Uint32(), CrashStreak: crashStreak, StartedAt: now}
	switch {
	case verdict == quarantine.Allowed:
		return true
	case verdict == quarantine.TrialOnly && q.trialAllowed(now) && q.sim.allBoxesAllowTrial(q.fingerprint):
		trial := quarantine.Trial{ID: q.sim.rand.Uint32() | 1}
		q.attempt.TrialID = trial.ID
		q.sim.forEachBox(func(b *box) { b.ledger.RecordTrial(q.fingerprint, trial, now) })

		return true
	}
	if !q.poison {
		q.sim.result.FalseQuarantines++
	}
	q.reservation.Release()
	q.path = nil
	if verdict == quarantine.Held {
		q.callerRetriesLeft = 0
		q.refuse(result.HeldBack, 0)
	} else {
		q.refuse(result.OnTrial, trialRetryAfter)
	}

	return false
}

// trialAllowed reports whether a trial of the request may start on its path.
func (q *request) trialAllowed(now time.Time) bool {
	return quarantine.TrialAllowed(q.box.fleet.DirectRequests(q.path[0].Server.ID)-1, q.box.ledger.SinceLastCrash(q.fingerprint, now))
}

// allBoxesAllowTrial reports whether no running box knows of a trial of the request or holds it in
// quarantine. It reads their ledgers directly, in place of the conditional write to the store with
// which a real box starts a trial: the store orders all writes, so the latest state is known.
func (sim *simulation) allBoxesAllowTrial(f quarantine.Fingerprint) bool {
	for _, b := range sim.boxes {
		if v, _ := b.ledger.Verdict(f, sim.clock()); !b.down && (v == quarantine.TrialRunning || v == quarantine.Held) {
			return false
		}
	}

	return true
}

// recordOutcome records in the quarantine ledger of the box whether the request succeeded.
func (q *request) recordOutcome(succeeded bool) {
	if q.box == nil {
		return
	}
	if succeeded {
		q.box.ledger.RecordSuccess(q.fingerprint, q.sim.clock())
	} else {
		if q.attempt.TrialID != 0 {
			q.box.ledger.FinishTrial(q.fingerprint, q.attempt.TrialID, q.sim.clock())
		}
		q.box.ledger.RecordFailure(q.fingerprint, q.sim.clock())
	}
	if !q.box.ledger.Empty() {
		q.sim.propagateChanges(q.box)
	}
}
