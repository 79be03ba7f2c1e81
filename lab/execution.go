package lab

import (
	"slices"
	"time"
)

// execute starts the execution of the request by the servers of its path. The caller gives up if no
// token arrives within callerTokenTimeout.
func (q *request) execute() {
	if len(q.executedBy) == 0 {
		q.box.returns.RecordAdmitted(q.sim.clock())
	}
	q.recordAdmitted()
	if !slices.Contains(q.executedBy, q.path[0].Server.ID) {
		q.executedBy = append(q.executedBy, q.path[0].Server.ID)
	}
	if q.poison {
		q.scheduleServerCrash()
	}
	q.observeAcceptance()
	q.firstTokenAt = 0
	waitingSince := q.lastTokenAt
	if q.receivedTokens == 0 {
		waitingSince = q.sim.now
	}
	timeout, attempts, tryStartedAt := min(waitingSince+callerTokenTimeout, q.deadline())-q.sim.now, q.attempts, q.tryStartedAt
	q.sim.schedule(max(0, timeout), func() {
		if q.attempts == attempts && q.tryStartedAt == tryStartedAt && q.firstTokenAt == 0 && !q.ended && q.path != nil {
			q.fail()
		}
	})
	q.scheduleInTry(serverRoundTrip, func() { q.prefill(0) })
}

// prefill simulates the prefill of pipeline stage i and the transfer of its input, and then those
// of the following stages. A resumed stream also prefills the tokens that the caller has received.
func (q *request) prefill(i int) {
	if i == len(q.path) {
		q.stepTime = q.sim.cluster.stepTime(q.path)
		q.scheduleInTry(q.stepTime, q.emitFirstToken)

		return
	}
	at, work := q.sim.now, []queuedWork(nil)
	if i > 0 {
		at, work = q.sim.cluster.transfer(q.path[i-1].Server.Hall, q.path[i].Server.Hall, q.promptTokens+q.receivedTokens, at)
	}
	q.prefillWork = work
	q.scheduleInTry(at-q.sim.now, func() {
		work := q.sim.cluster.prefill(q.path[i], q.promptTokens+q.receivedTokens, q.sim.now)
		q.prefillWork = append(q.prefillWork[:0], work)
		q.scheduleInTry(work.start+work.duration-q.sim.now, func() { q.prefill(i + 1) })
	})
}

// emitFirstToken passes the first token of the attempt to the caller.
func (q *request) emitFirstToken() {
	if q.receivedTokens == 0 {
		q.firstTokenLatency = q.sim.now - q.startedAt
	} else {
		q.maxTokenGap = max(q.maxTokenGap, q.sim.now-q.lastTokenAt)
	}
	q.maxTokenGap = max(q.maxTokenGap, q.stepTime)
	q.receivedTokens++
	q.lastTokenAt, q.firstTokenAt, q.attemptsSinceToken = q.sim.now, q.sim.now, 0
	q.scheduleCompletion()
}

// scheduleCompletion schedules the end of the answer, or the failure of the request if the answer
// would exceed the deadline.
func (q *request) scheduleCompletion() {
	completedAt := q.lastTokenAt + time.Duration((q.answerTokens-q.receivedTokens)*float64(q.stepTime))
	if completedAt > q.deadline() {
		q.scheduleInTry(q.deadline()-q.sim.now, q.fail)

		return
	}
	q.scheduleInTry(completedAt-q.sim.now, func() {
		q.box.streamDurations.Record(q.sim.now - q.tryStartedAt)
		q.releaseResources()
		if q.firstTokenLatency <= time.Duration(q.class.FirstTokenObjective) && (q.class.TokenGapObjective == 0 || q.maxTokenGap <= time.Duration(q.class.TokenGapObjective)) {
			q.finish(withinObjectives)
		} else {
			q.finish(servedLate)
		}
	})
}

// updateProgress counts the tokens that the caller has received since the last update.
func (q *request) updateProgress() {
	if q.firstTokenAt > 0 && q.sim.now > q.firstTokenAt {
		tokens := float64(int((q.sim.now - q.lastTokenAt) / q.stepTime))
		q.receivedTokens = min(q.answerTokens-1, q.receivedTokens+tokens)
		q.lastTokenAt += time.Duration(tokens) * q.stepTime
	}
}

// updateStepTime adapts a running stream to the current speed of its servers.
func (q *request) updateStepTime() {
	if q.path == nil || q.firstTokenAt == 0 {
		return
	}
	q.updateProgress()
	q.stepTime = q.sim.cluster.stepTime(q.path)
	q.maxTokenGap = max(q.maxTokenGap, q.stepTime)
	q.scheduleCompletion()
}

// interrupt ends the current attempt; the caller keeps the tokens received so far.
func (q *request) interrupt() {
	q.updateProgress()
	q.releaseResources()
}

// releaseResources frees what the attempt has reserved and cancels its scheduled steps.
func (q *request) releaseResources() {
	q.generation++
	if q.path == nil {
		return
	}
	q.reservation.Release()
	q.sim.cluster.release(q.path, q.reservedTokens)
	cancelPending(q.prefillWork, q.sim.now)
	q.path, q.prefillWork, q.firstTokenAt = nil, nil, 0
}
