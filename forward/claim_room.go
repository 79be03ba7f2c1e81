package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
)

// RoomClaim asks for room at the servers of a path.
type RoomClaim struct {
	Service string
	Path    fleet.Path
	// Tokens is the number of tokens for which the request reserves memory.
	Tokens float64
	Limits fleet.Limits
	// Halls are those with nearly full servers, whose ledgers are asked.
	Halls []slatebridge.HallID
	// Urgent says that the claim may use the share of the claims reserved for urgent requests: those of
	// the most urgent class, and restarts of streams under way.
	Urgent bool
}

// RoomAnswer is the decision on a claim, which is granted if no server is full.
type RoomAnswer struct {
	Full []slatebridge.ServerID
	// OnlySlots says that the full servers have enough memory, but no slot.
	OnlySlots bool
}

// RoomFunc claims room from the ledgers of halls. It fails if no ledger decides.
type RoomFunc func(ctx context.Context, c RoomClaim) (RoomAnswer, error)

// maxRoomClaims is the number of paths that are claimed for one choice of a path. Each claim takes
// the time of a message and its answer.
const maxRoomClaims = 3

// maxRoomWait bounds the time that all claims for one choice of a path take together, which is taken
// from the time in which the caller expects its first event.
const maxRoomWait = 40 * time.Millisecond

// errRoomWait reports that the time for claims was over before a path was claimed.
var errRoomWait = errors.New("the time for claims is over")

// pathChoice is one choice of a path for a request, which may take several searches and claims.
type pathChoice struct {
	requestID string
	// claims is the number of paths that may still be claimed.
	claims int
	// urgent is passed on as RoomClaim.Urgent.
	urgent bool
	// claimsUntil is the end of the wait for claims; zero before the first one.
	claimsUntil time.Time
}

// claimContext returns the context of the next claim, or false if the time for claims is over.
func (c *pathChoice) claimContext(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	now := clock.Now()
	if c.claimsUntil.IsZero() {
		c.claimsUntil = now.Add(maxRoomWait)
	}
	if !now.Before(c.claimsUntil) {
		return nil, nil, false
	}
	ctx, cancel := context.WithDeadline(ctx, c.claimsUntil)

	return ctx, cancel, true
}

// Outcomes of claims of room in metrics.
const (
	roomGranted    = "granted"
	roomRefused    = "refused"
	roomUnanswered = "unanswered"
)

// findPathWithRoom is like Fleet.FindPathFrom, and claims room if servers of the path are nearly full.
// If a ledger refuses, other paths are searched. If no ledger answers in time, the box decides by its
// own view. Without a limit on slots, first servers with a free slot are preferred, as at others the
// request waits.
//
// Load pattern: servers are nearly full, and the boxes of the hall choose the same ones by reports
// that are as old as several requests.
func (h *Handler) findPathWithRoom(ctx context.Context, choice *pathChoice, q fleet.Query, firsts []slatebridge.ServerID) (fleet.Path, *fleet.Reservation, fleet.Shortage) {
	q.AvoidFull = true
	if q.Limits.Slots == 0 && h.requestRoom != nil && h.fleet.SharesRoom(q.Service) {
		free := q
		free.Limits.Slots = 1
		if !h.fleet.HasFirstServer(free) {
			return h.findClaimedPath(ctx, choice, q, firsts, 0)
		}
		left := max(0, min(1, choice.claims-1))
		if path, reservation, shortage := h.findClaimedPath(ctx, choice, free, firsts, left); shortage != fleet.NoCapacity {
			return path, reservation, shortage
		}
	}

	return h.findClaimedPath(ctx, choice, q, firsts, 0)
}

// findClaimedPath is findPathWithRoom for one query; it keeps a number of claims for a later query. If
// no claim is left after a refusal, it uses a path without the servers named as full, since the ledger
// named all full servers.
func (h *Handler) findClaimedPath(ctx context.Context, choice *pathChoice, q fleet.Query, firsts []slatebridge.ServerID, left int) (fleet.Path, *fleet.Reservation, fleet.Shortage) {
	for {
		path, reservation, shortage := h.fleet.FindPathFrom(q, firsts)
		switch {
		case path == nil || choice.claims <= 0 || len(reservation.NearlyFullHalls()) == 0:
			return path, reservation, shortage
		case choice.claims > left && h.claimRoom(ctx, choice, q, path, reservation):
			return path, reservation, shortage
		}
		reservation.Withdraw()
		if choice.claims <= left && left > 0 {
			return nil, nil, fleet.NoCapacity
		}
	}
}

// claimRoom reports whether the path may be used. Servers that the ledger finds full are recorded,
// so that the next search passes them over.
func (h *Handler) claimRoom(ctx context.Context, choice *pathChoice, q fleet.Query, path fleet.Path, r *fleet.Reservation) bool {
	if h.requestRoom == nil {
		return true
	}
	choice.claims--
	claimCtx, cancel, ok := choice.claimContext(ctx)
	if !ok {
		h.recordRoomUnanswered(choice, path, errRoomWait)

		return true
	}
	defer cancel()
	answer, err := h.requestRoom(claimCtx, RoomClaim{Service: q.Service, Path: path, Tokens: q.Tokens, Limits: q.Limits, Halls: r.NearlyFullHalls(), Urgent: choice.urgent})
	switch {
	case err != nil:
		h.recordRoomUnanswered(choice, path, err)

		return true
	case len(answer.Full) == 0:
		h.metrics.roomClaimed(roomGranted)

		return true
	}
	h.metrics.roomClaimed(roomRefused)
	event.Log(h.logger, event.RoomRefused, zap.String("request", choice.requestID), zap.Stringer("path", path), zap.Any("full", answer.Full), zap.Bool("only_slots", answer.OnlySlots))
	limits := q.Limits
	if !answer.OnlySlots {
		limits.Slots = 0
	}
	h.fleet.RecordFull(answer.Full, limits, q.Tokens)

	return false
}

// recordRoomUnanswered records that no ledger decided on the path.
func (h *Handler) recordRoomUnanswered(choice *pathChoice, path fleet.Path, err error) {
	h.metrics.roomClaimed(roomUnanswered)
	if n := h.roomUnanswered.next(clock.Now()); n > 0 {
		event.Log(h.logger, event.RoomUnanswered, zap.String("request", choice.requestID), zap.Stringer("path", path), zap.Int("claims", n), event.Error(err))
	}
}
