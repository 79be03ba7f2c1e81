package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/quarantine"
	"github.com/slatebridge/slatebridge/repair"
	"github.com/slatebridge/slatebridge/retry"
)

// maxMoves bounds the moves of a stream that are tried in one repair if servers refuse them. Each takes
// a round trip to the first server.
const maxMoves = 3

// moveSilence is the time without a response to a move after which the first server counts as
// silent, so that its streams hold up fewer others.
const moveSilence = 25 * time.Millisecond

// MoveRefusedError says that the first server of a stream refused to move it, as a server of the new
// path has no room or does not hold its layers. The stream continues on its path.
type MoveRefusedError struct {
	// FaultAddress is the address of the server at fault; empty if it is not stated.
	FaultAddress string
	// Err is what the first server stated.
	Err error
}

// Error returns what the first server stated.
func (e *MoveRefusedError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *MoveRefusedError) Unwrap() error { return e.Err }

// leaveServers continues a stream without the failed servers of its path. If that is not possible
// now, the stream waits.
func (h *Handler) leaveServers(ctx context.Context, a *streamAttempt, path fleet.Path, started bool, failed []slatebridge.ServerID) {
	if started && !slices.Contains(failed, path[0].Server.ID) {
		h.replaceServers(ctx, a, path, failed)

		return
	}
	if !h.restartElsewhere(ctx, a, path, failed) {
		h.metrics.repairDone(repairWaits)
		a.setWaits(repairedInOrder(a.request.route) && a.replaceable())
	}
}

// moveOffServers moves a stream off servers of its path, other than the first, that still run it but will
// end. If no other server takes it, it stays: it is not restarted elsewhere, which would end an attempt that
// works in favor of one that no server has accepted.
func (h *Handler) moveOffServers(ctx context.Context, a *streamAttempt, path fleet.Path, leave []slatebridge.ServerID) {
	if _, trialOnly := h.trialState(a.request); trialOnly {
		return
	}
	r := &streamRepair{h: h, a: a, path: path, exclude: slices.Clone(leave)}
	if r.repeat(ctx) || (r.next == nil && r.immovable == nil && r.move(ctx)) {
		return
	}
	if r.claimRepeat() && r.send(ctx) == nil {
		return
	}
	r.leavePath()
	h.logWaiting(a, r)
}

// replaceServers moves a stream off failed servers of its path, other than the first. Instead,
// it restarts a random part of the streams elsewhere (see moveShare), and any stream whose move fails,
// or for which there is no other path or only one with more hops between halls. A path with more hops is used if no
// restart is possible. Without any path, the stream waits. If the quarantine restricts the request
// (trialState), the attempt is ended and nothing is moved.
func (h *Handler) replaceServers(ctx context.Context, a *streamAttempt, path fleet.Path, exclude []slatebridge.ServerID) {
	if _, trialOnly := h.trialState(a.request); trialOnly {
		// Moving it would crash the replacement; the next attempt is a trial.
		a.cancel(errStalled)

		return
	}
	r := &streamRepair{h: h, a: a, path: path, exclude: slices.Clone(exclude)}
	if t, share := h.moveShare(a, path, exclude); !a.mayHaveMoved() && h.random() > share && h.restartElsewhere(ctx, a, path, exclude) {
		event.Log(h.logger, event.RestartPreferred, zap.String("request", a.requestID), zap.Float64("streams", t.Streams),
			zap.Duration("move_ms", t.MoveQueue), zap.Duration("restart_ms", t.RestartQueue), zap.Float64("move_share", share))

		return
	}
	if r.repeat(ctx) || (r.next == nil && r.immovable == nil && r.move(ctx)) {
		return
	}
	if h.restart(ctx, a, path, r.exclude, r.urgency()) {
		r.reservation.Release()

		return
	}
	if r.claimRepeat() && r.send(ctx) == nil {
		return
	}
	r.leavePath()
	h.logWaiting(a, r)
}

// moveShare returns the share of the streams of lost servers that should be moved rather than
// restarted, and the work from which it follows.
func (h *Handler) moveShare(a *streamAttempt, path fleet.Path, exclude []slatebridge.ServerID) (repair.Takeover, float64) {
	t := h.fleet.Takeover(path, exclude, a.kvTokens)
	lost := h.fleet.RecentLosses()
	if !repairedInOrder(a.request.route) || !slices.ContainsFunc(exclude, func(id slatebridge.ServerID) bool { return slices.Contains(lost, id) }) {
		t = t.WithoutSpeeds()
	}

	return t, t.MoveShare(clock.Until(a.pauseEnds()))
}

// logWaiting logs that a stream stays on its path although servers of it have failed.
func (h *Handler) logWaiting(a *streamAttempt, r *streamRepair) {
	h.metrics.repairDone(repairWaits)
	a.setWaits(repairedInOrder(a.request.route))
	finding := r.shortage.String()
	if r.immovable != nil {
		finding = r.immovable.Error()
	}
	if !a.waitLog.due(finding) {
		return
	}
	event.Log(h.logger, event.StreamWaits, zap.String("request", a.requestID), zap.Any("without", r.exclude), event.Error(r.immovable),
		zap.Stringer("repair", r.shortage), zap.Int("servers", len(a.ranOn)), zap.Int("most_servers", a.maxRuns), zap.Bool("last_attempt", a.mustNotReplace))
}

// streamRepair is the repair of one stream.
type streamRepair struct {
	h    *Handler
	a    *streamAttempt
	path fleet.Path
	// exclude lists the servers that the stream has to leave, and those that refused it meanwhile.
	exclude []slatebridge.ServerID
	// next and reservation are a path that was found but not used yet: it has more hops between
	// halls, or the response to the move there was lost. Without one, shortage says why.
	next        fleet.Path
	reservation *fleet.Reservation
	shortage    fleet.Shortage
	// unanswered is set if the stream may have been moved to the next path, and repeated if that
	// was so before this repair.
	unanswered, repeated bool
	// immovable is why the stream cannot be moved on any path, if that is so.
	immovable error
}

// claimRepeat reports whether the move to the next path may be sent once more in this repair, after no
// restart was possible. If not, because other streams of its first server are under repair, the repair
// has ended.
func (r *streamRepair) claimRepeat() bool {
	return r.next != nil && !r.repeated && r.immovable == nil && r.h.repairs.keep(r.a)
}

// urgency returns how urgently the stream needs a retry.
func (r *streamRepair) urgency() retry.Urgency {
	if r.immovable != nil || slices.Contains(r.exclude, r.path[0].Server.ID) {
		return retry.Required
	}

	return retry.Optional
}

// repeat repeats the last move of the stream if the response to it was lost, and reports whether it
// succeeded.
func (r *streamRepair) repeat(ctx context.Context) bool {
	next, reservation := r.a.takeUnanswered()
	if next == nil {
		return false
	}
	if slices.ContainsFunc(r.exclude, next.Contains) || len(r.h.stillFailed(next, nil)) > 0 {
		r.a.keepUnanswered(next, reservation)

		return false
	}
	r.next, r.reservation, r.unanswered, r.repeated = next, reservation, true, true
	err := r.send(ctx)
	if err != nil {
		r.excludeRefusing(err)
	}

	return err == nil
}

// move moves the stream to other servers, and reports whether it succeeded. If a server of the new
// path refuses, another path without it is tried at once.
//
// Load pattern: the servers that replace a lost one are nearly full. What a box knows of their
// memory is older than the moves of other boxes, so that some refuse while others have room.
func (r *streamRepair) move(ctx context.Context) bool {
	for range maxMoves {
		r.next, r.reservation, r.shortage = r.h.fleet.Repair(r.h.repairQuery(r.a, r.exclude), r.path)
		// A path with more hops between halls transfers all tokens of the stream over slow links; a
		// restart within one hall is faster.
		if r.next == nil || r.next.HallCrossings() > r.path.HallCrossings() {
			return false
		}
		err := r.send(ctx)
		if err == nil {
			return true
		}
		if !r.excludeRefusing(err) {
			return false
		}
	}

	return false
}

// excludeRefusing excludes the server that refused the stream, and reports whether another path may
// be tried. If it is not known whether the stream was moved, the path is kept for a repetition of
// the same move.
func (r *streamRepair) excludeRefusing(err error) bool {
	if !repairedInOrder(r.a.request.route) {
		r.dropPath()

		return false
	}
	if errors.Is(err, ErrNoSuchStream) || errors.Is(err, ErrServerNotAccepting) {
		r.immovable = err
		r.leavePath()

		return false
	}
	var refused *MoveRefusedError
	if !errors.As(err, &refused) {
		return false
	}
	faulty := r.refusingServers(refused.FaultAddress)
	r.dropPath()
	if len(faulty) == 0 {
		return false
	}
	if len(faulty) == 1 && r.h.refusals.add(faulty[0], r.a.requestID, clock.Now()) {
		r.h.fleet.RecordRejection(faulty[0])
	}
	r.exclude = append(r.exclude, faulty...)
	event.Log(r.h.logger, event.MoveRefused, zap.String("request", r.a.requestID), zap.Any("refused_by", faulty), event.Error(err))
	r.h.metrics.repairDone(repairRefused)

	return true
}

// dropPath drops the next path, which has no room for the stream.
func (r *streamRepair) dropPath() {
	r.reservation.Release()
	r.next, r.reservation, r.shortage, r.unanswered, r.repeated = nil, nil, fleet.NoCapacity, false, false
}

// leavePath leaves the next path to a later repair if the stream may have been moved there, and else
// drops it.
func (r *streamRepair) leavePath() {
	if r.next == nil {
		return
	}
	if r.unanswered && repairedInOrder(r.a.request.route) {
		r.a.keepUnanswered(r.next, r.reservation)
		r.reservation = nil
	}
	r.dropPath()
}

// refusingServers returns the server of the next path with the address. If no server of the path has
// it, any server that is new to the stream may have refused it. The result is empty if the first
// server refused it, which cannot be replaced.
func (r *streamRepair) refusingServers(address string) []slatebridge.ServerID {
	var added []slatebridge.ServerID
	for i, s := range r.next {
		switch {
		case s.Server.Address == address && i == 0:
			return nil
		case s.Server.Address == address:
			return []slatebridge.ServerID{s.Server.ID}
		case !slices.Contains(r.path, s):
			added = append(added, s.Server.ID)
		}
	}

	return added
}

// send moves the stream to the next path. If it succeeds, the reservation becomes that of the
// stream. If the response was lost, the stream may have been moved, and the same move can be sent
// again.
func (r *streamRepair) send(ctx context.Context) error {
	h, a := r.h, r.a
	err := r.sendInTime(ctx)
	event.Log(h.logger, event.StreamMoved, zap.String("request", a.requestID), zap.Stringer("from", r.path),
		zap.Stringer("to", r.next), event.Error(err))
	if err != nil {
		var refused *MoveRefusedError
		r.unanswered = !errors.As(err, &refused) && !errors.Is(err, ErrNoSuchStream) && (r.unanswered || !notQueried(err))

		return err
	}
	h.refusals.forget(r.next)
	_, previous := a.current()
	h.unanswered.add(newUnanswered(a.request, previous, serverIDs(r.path)))
	now := clock.Now()
	d := h.ledger.Decide(a.request.subject(), now)
	if !a.switchPath(r.next, quarantine.Attempt{ID: rand.Uint32(), CrashStreak: d.CrashStreak, StartedAt: now, Suspected: d.Suspected}, r.reservation) {
		h.metrics.repairDone(repairNotNeeded)

		return nil
	}
	h.metrics.streamMoved("moved")
	h.metrics.repairDone(repairMoved)

	return nil
}

// sendInTime moves the stream to the next path, and records whether its first server responds.
func (r *streamRepair) sendInTime(ctx context.Context) error {
	h, first := r.h, r.path[0].Server
	if !repairedInOrder(r.a.request.route) {
		return h.sendMove(ctx, first, r.a.requestID, r.next)
	}
	silence := time.AfterFunc(moveSilence, func() {
		h.repairs.recordMove(first.ID, false)
		h.startRepairs(ctx)
	})
	err := h.sendMove(ctx, first, r.a.requestID, r.next)
	silence.Stop()
	switch {
	case errors.Is(err, ErrServerNotAccepting), errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded):
		h.repairs.recordMove(first.ID, false)
		h.enqueueLivenessCheck(first.ID)
	default:
		h.repairs.recordMove(first.ID, true)
	}

	return err
}

// restartElsewhere ends the attempt if there is a path for another one and a retry for it in the
// budget, and reports whether it did. Otherwise it is better to wait: the server may recover or be
// wrongly suspected.
func (h *Handler) restartElsewhere(ctx context.Context, a *streamAttempt, path fleet.Path, failed []slatebridge.ServerID) bool {
	urgency := retry.Optional
	if slices.Contains(failed, path[0].Server.ID) {
		// The stream cannot continue where it is.
		urgency = retry.Required
	}

	return h.restart(ctx, a, path, failed, urgency)
}

// restart is like restartElsewhere, for a retry of the given urgency.
func (h *Handler) restart(ctx context.Context, a *streamAttempt, path fleet.Path, failed []slatebridge.ServerID, urgency retry.Urgency) bool {
	if !a.replaceable() {
		return false
	}
	exclude := failed
	if len(exclude) == 0 {
		for _, s := range path {
			exclude = append(exclude, s.Server.ID)
		}
	}
	next, reservation, _ := h.findPathWithRoom(ctx, &pathChoice{requestID: a.requestID, claims: maxRoomClaims, urgent: true}, h.repairQuery(a, exclude), h.allowedFirstServers(a.ranOn, a.maxRuns))
	if next == nil {
		return false
	}
	if !h.takeRepairRetry(ctx, a, urgency) || !a.setNextPath(next, reservation) {
		reservation.Release()

		return false
	}
	h.metrics.repairDone(repairRestarted)
	a.cancel(errStalled)

	return true
}

// takeRepairRetry takes a retry for a stream under way. While it waits for one of other boxes, its
// turn in the order of repairs is left to others.
func (h *Handler) takeRepairRetry(ctx context.Context, a *streamAttempt, u retry.Urgency) bool {
	if h.takeOwnRetry(a.service, u) {
		return true
	}
	if h.requestRetry == nil {
		return false
	}
	if h.repairs.pause(a) {
		defer h.repairs.resume(a)
		h.startRepairs(ctx)
	}

	return h.takePoolRetry(ctx, a.service, u)
}

// sendMove asks the first server of a stream to continue it over another path.
func (h *Handler) sendMove(ctx context.Context, first catalog.Server, id string, next fleet.Path) error {
	if h.fleet.Eligibility(first.ID) == fleet.IneligibleCoolingDown {
		return errors.Wrap(ErrServerNotAccepting, "move")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n, err := h.serverClient.MoveStream(ctx, first, id, next)
	h.applyNotice(first.ID, n, exchangeTimes{read: clock.Now()})

	return err
}
