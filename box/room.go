package box

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/forward"
	"github.com/slatebridge/slatebridge/mesh"
	"github.com/slatebridge/slatebridge/relay"
	"github.com/slatebridge/slatebridge/room"
)

const (
	// roomTimeout bounds the wait for the answer to a claim, which is taken from the time in which
	// the caller expects its first event. Boxes of one region answer within two milliseconds.
	roomTimeout = 30 * time.Millisecond
	// maxRoomViewAge is the age of the reports up to which the holder of a ledger decides. Reports
	// are applied once per tick.
	maxRoomViewAge = 4 * tickInterval
	// maxHallClaims is the number of claims a second that the boxes of a hall send together. It
	// bounds the bytes that the holder of the ledger sends and receives for them to about 20 KB a
	// second.
	maxHallClaims = 85
	// minClaimBurst is the number of claims that a box may send at once.
	minClaimBurst = 4
	// urgentClaimShare is the share of the claims at once that is left to the most urgent requests.
	urgentClaimShare = 0.25
	// maxFullServers is the number of full servers that an answer names.
	maxFullServers = 32
	// minLiveShare is the part of the boxes of the hall below which a ledger does not decide. A box in
	// contact with so few may itself be the one that is cut off.
	minLiveShare = 0.5
	// roomShareMemory is how long a lost box of the hall counts as using its part of the room.
	roomShareMemory = 5 * time.Second
)

// errNoLedger reports that no ledger decided on a claim.
var errNoLedger = errors.New("no ledger of the hall decides")

// errTooManyClaims reports that this box has sent its part of the claims of its hall.
var errTooManyClaims = errors.New("too many claims of room")

// rooms claims room at nearly full servers for requests of this box, and decides on the claims of
// other boxes for the services of which this box holds the ledger. It bypasses the control actor,
// because requests wait for the answer.
type rooms struct {
	box *Box
	// asked are the claims sent to other boxes.
	asked *exchanges[mesh.RoomMessage]

	mu sync.Mutex
	// ledgers are those held by this box, by service.
	ledgers map[string]*room.Ledger
	// reportedAt and liveShare are for the decisions of the ledgers, and reportsAsOf is when they
	// were set; see setReports.
	reportedAt  map[string]int64
	liveShare   float64
	reportsAsOf time.Time
	// claimTokens is the number of claims that may be sent now, as of claimTokensAt.
	claimTokens   float64
	claimTokensAt time.Time
}

func newRooms(b *Box) *rooms {
	return &rooms{box: b, asked: newExchanges[mesh.RoomMessage](roomTimeout), ledgers: make(map[string]*room.Ledger)}
}

// roomPlaceholder returns a server that stands for the room of a service in a hall, so that the
// holder of the ledger is chosen like the allocator of a rate-limited server.
func roomPlaceholder(service string, hall slatebridge.HallID) catalog.Server {
	return catalog.Server{ID: slatebridge.ServerID("room of " + service), Hall: hall}
}

// roomHolder returns the box that holds the ledger of room for the service in the hall. It is a box
// of the hall, since only these know the work at its servers without delay.
func (v *allocators) roomHolder(service string, hall slatebridge.HallID) (relay.Candidate, bool) {
	if len(v.byHall[hall]) == 0 {
		return relay.Candidate{}, false
	}

	return v.allocator(roomPlaceholder(service, hall))
}

// holdsLedger reports whether this box holds the ledger of the service in the hall.
func (r *rooms) holdsLedger(service string, hall slatebridge.HallID) bool {
	c, ok := r.box.grants.current.Load().roomHolder(service, hall)

	return ok && hall == r.box.settings.Hall && c.Box == r.box.settings.Box
}

// claim claims room for a request in each of the halls. It fails if no server was found full and
// the ledger of some hall did not decide. After one that did not answer in time no other is asked.
func (r *rooms) claim(ctx context.Context, c forward.RoomClaim) (forward.RoomAnswer, error) {
	var granted []claimedRoom
	var undecided error
	for _, hall := range c.Halls {
		a, err := r.claimInHall(ctx, c, hall)
		switch {
		case errors.Is(err, errUnanswered), err != nil && ctx.Err() != nil:
			return forward.RoomAnswer{}, err
		case err != nil:
			undecided = err
		case a.message.Granted:
			granted = append(granted, a)
		default:
			for _, a := range granted {
				r.release(a)
			}

			return forward.RoomAnswer{Full: r.box.fleet.ResolveShortIDs(a.message.Full), OnlySlots: a.message.OnlySlots}, nil
		}
	}

	return forward.RoomAnswer{}, undecided
}

// claimedRoom is the answer to a claim and the box that gave it.
type claimedRoom struct {
	holder  relay.Candidate
	claim   mesh.RoomMessage
	message mesh.RoomMessage
}

// claimInHall claims room at the servers of one hall from the holder of its ledger, or from the box
// that it names instead.
func (r *rooms) claimInHall(ctx context.Context, c forward.RoomClaim, hall slatebridge.HallID) (claimedRoom, error) {
	m := newRoomClaim(c, hall)
	to, ok := r.box.grants.current.Load().roomHolder(c.Service, hall)
	for range 2 {
		if !ok || r.asked.isSkipped(to.Box) {
			break
		}
		answer, err := r.ask(ctx, to, m, c.Urgent)
		switch {
		case err != nil:
			return claimedRoom{}, err
		case answer.Granted || len(answer.Full) > 0:
			m.ID = answer.ID

			return claimedRoom{holder: to, claim: m, message: answer}, nil
		case answer.Holder == nil:
			return claimedRoom{}, errors.Wrapf(errNoLedger, "box %s", to.Box)
		}
		to = *answer.Holder
	}

	return claimedRoom{}, errNoLedger
}

// newRoomClaim returns the part of the claim that concerns servers of the hall.
func newRoomClaim(c forward.RoomClaim, hall slatebridge.HallID) mesh.RoomMessage {
	memory, _ := c.Limits.MemoryShares()
	m := mesh.RoomMessage{
		Service: c.Service, Hall: hall, First: c.Path[0].Server.Hall == hall, Tokens: wireCount(math.Ceil(c.Tokens)),
		MemoryLimit: mesh.EncodeShare(memory), SlotLimit: mesh.EncodeShare(c.Limits.Slots),
	}
	for _, s := range c.Path {
		if s.Server.Hall == hall {
			m.Stages = append(m.Stages, mesh.RoomStage{ShortID: fleet.ShortID(s.Server.ID), Layers: uint16(s.Layers.Len())})
		}
	}

	return m
}

// ask sends a claim to one box, or decides on it locally.
func (r *rooms) ask(ctx context.Context, to relay.Candidate, m mesh.RoomMessage, urgent bool) (mesh.RoomMessage, error) {
	now := clock.Now()
	if to.Box == r.box.settings.Box {
		return r.decide(claimant{process: r.box.bootID, reported: true}, m, now), nil
	}
	if !r.takeClaimToken(urgent, now) {
		return mesh.RoomMessage{}, errTooManyClaims
	}
	m.SentAt, m.Hall = now.Sub(r.box.startedAt).Microseconds(), r.wireHall(m.Hall)

	return r.asked.exchange(ctx, to.Box, func(id uint64) {
		m.ID = id
		r.send(mesh.RoomRequest, m, to.Address)
	})
}

// wireHall returns the hall as messages of this box name it.
func (r *rooms) wireHall(hall slatebridge.HallID) slatebridge.HallID {
	if hall == r.box.settings.Hall {
		return ""
	}

	return hall
}

// takeClaimToken reports whether this box may send a claim within its part of maxHallClaims. Claims
// that are not urgent leave urgentClaimShare to others.
func (r *rooms) takeClaimToken(urgent bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := maxHallClaims / float64(1+r.box.hallPeers.Load())
	burst, left := max(minClaimBurst, rate), 0.0
	if !urgent {
		left = urgentClaimShare * burst
	}
	r.claimTokens = min(burst, r.claimTokens+rate*now.Sub(r.claimTokensAt).Seconds())
	r.claimTokensAt = now
	if r.claimTokens < 1+left {
		return false
	}
	r.claimTokens--

	return true
}

// claimant is a box that claims room.
type claimant struct {
	process string
	// hall is empty for boxes of this hall.
	hall slatebridge.HallID
	// reported says that the work that this box knows of contains the request.
	reported bool
}

// decide decides on a claim, or names the holder of the ledger if it is another box. The answer is
// neither granted nor refused if this box cannot decide.
func (r *rooms) decide(from claimant, m mesh.RoomMessage, now time.Time) mesh.RoomMessage {
	out := mesh.RoomMessage{ID: m.ID}
	if !r.holdsLedger(m.Service, m.Hall) {
		if other, ok := r.box.grants.current.Load().roomHolder(m.Service, m.Hall); ok && other.Box != r.box.settings.Box {
			out.Holder = &other
		}

		return out
	}
	if !r.box.fleet.SharesRoom(m.Service) || r.box.grants.handoverRemaining(roomPlaceholder(m.Service, m.Hall), handoverDelay, now) > 0 {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.reportsAsOf) > maxRoomViewAge || r.liveShare < minLiveShare {
		return out
	}
	l, claim, view := r.ledger(m.Service, now), r.ledgerClaim(from, m), room.View{Server: r.serverRoom, LiveShare: r.liveShare}
	d := l.Decide(claim, view, now)
	r.box.metrics.roomAnswered(m.Service, d)
	if out.Granted, out.Full, out.OnlySlots = d.Granted, d.Full, d.OnlySlots; len(d.Full) > 0 {
		out.Full = append(out.Full, l.Full(r.otherStages(m), claim.Limits, d.OnlySlots, view)...)
		out.Full = out.Full[:min(len(out.Full), maxFullServers)]
	}

	return out
}

// otherStages returns what the request would need at the other servers of the hall. A refusal names
// those that are full too, if they may receive work, so that the box does not claim them next.
func (r *rooms) otherStages(m mesh.RoomMessage) []room.Stage {
	var out []room.Stage
	for _, s := range r.box.fleet.AvailableLocalServers(m.Service) {
		id := fleet.ShortID(s.ID)
		if slices.ContainsFunc(m.Stages, func(v mesh.RoomStage) bool { return v.ShortID == id }) {
			continue
		}
		need := room.Use{Memory: float64(m.Tokens) * float64(s.Layers.Len())}
		if s.Layers.From == 0 {
			need.Slots = 1
		}
		out = append(out, room.Stage{ShortID: id, Need: need})
	}

	return out
}

// ledger returns the ledger of the service. The caller holds mu.
func (r *rooms) ledger(service string, now time.Time) *room.Ledger {
	l, ok := r.ledgers[service]
	if !ok {
		l = room.NewLedger()
		l.SetReported(r.reportedAt, now)
		r.ledgers[service] = l
		event.Log(r.box.logger, event.RoomLedgerHeld, zap.String("service", service))
	}

	return l
}

// ledgerClaim converts a message to a claim.
func (r *rooms) ledgerClaim(from claimant, m mesh.RoomMessage) room.Claim {
	before, with := fleet.Limits{Memory: mesh.DecodeShare(m.MemoryLimit)}.MemoryShares()
	c := room.Claim{
		Process: from.process, ID: m.ID, SentAt: m.SentAt, Reported: from.reported,
		Limits: room.Limits{Memory: with, MemoryBefore: before, Slots: mesh.DecodeShare(m.SlotLimit)},
	}
	if from.hall != r.box.settings.Hall {
		c.Group = string(from.hall)
	}
	for i, s := range m.Stages {
		need := room.Use{Memory: float64(m.Tokens) * float64(s.Layers)}
		if m.First && i == 0 {
			need.Slots = 1
		}
		c.Stages = append(c.Stages, room.Stage{ShortID: s.ShortID, Need: need})
	}

	return c
}

// serverRoom returns what this box knows of a server.
func (r *rooms) serverRoom(shortID uint32) (room.Server, bool) {
	known, ok := r.box.fleet.Room(shortID)

	return room.Server{Capacity: roomUse(known.Capacity), InFlight: roomUse(known.InFlight)}, ok
}

func roomUse(l fleet.Load) room.Use { return room.Use{Memory: l.TokenLayers, Slots: l.FirstStage} }

// setReports sets which claims are contained in the reports that the fleet knows of, and the share
// of the boxes of the hall whose reports they are. With a nil map, which says that the reports are
// not known one by one, the ledgers do not decide. It drops the ledgers that this box no longer holds.
func (r *rooms) setReports(reportedAt map[string]int64, liveShare float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.liveShare, r.reportsAsOf = liveShare, time.Time{}
	if reportedAt != nil {
		r.reportedAt, r.reportsAsOf = reportedAt, now
	}
	for service, l := range r.ledgers {
		if !r.holdsLedger(service, r.box.settings.Hall) {
			delete(r.ledgers, service)
			event.Log(r.box.logger, event.RoomLedgerDropped, zap.String("service", service))

			continue
		}
		l.SetReported(r.reportedAt, now)
	}
}

// setRemoteReports sets when the known work of other halls was valid, by hall.
func (r *rooms) setRemoteReports(validAt map[string]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.ledgers {
		l.SetGroupsReported(validAt)
	}
}

// release ends an unused claim.
func (r *rooms) release(a claimedRoom) {
	if a.holder.Box == r.box.settings.Box {
		// Room that this box claims from itself is not counted in the ledger.
		return
	}
	r.send(mesh.RoomRelease, mesh.RoomMessage{ID: a.claim.ID, Service: a.claim.Service, Hall: r.wireHall(a.claim.Hall)}, a.holder.Address)
}

// receive handles a message about room, and reports whether the message was one.
func (r *rooms) receive(m mesh.ReceivedMessage) bool {
	if m.Kind != mesh.RoomRequest && m.Kind != mesh.RoomResponse && m.Kind != mesh.RoomRelease {
		return false
	}
	r.box.metrics.meshReceived(m.Size)
	if m.Room == nil {
		return true
	}
	m.Room.Hall = cmp.Or(m.Room.Hall, m.Hall)
	switch m.Kind {
	case mesh.RoomRequest:
		r.send(mesh.RoomResponse, r.decide(claimant{process: m.Boot, hall: m.Hall}, *m.Room, clock.Now()), m.Address)
	case mesh.RoomResponse:
		r.asked.deliver(m.Room.ID, *m.Room)
	case mesh.RoomRelease:
		r.releaseClaim(m.Boot, *m.Room)
	default:
	}

	return true
}

// releaseClaim ends a claim of another box in the ledger.
func (r *rooms) releaseClaim(process string, m mesh.RoomMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.ledgers[m.Service]; ok {
		l.Release(process, m.ID)
	}
}

func (r *rooms) send(kind mesh.Kind, m mesh.RoomMessage, to string) {
	r.box.sendDirect(mesh.Message{Kind: kind, Room: &m}, to)
}
