package controller

import (
	"hash/fnv"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/assign"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/engine"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/lease"
	"github.com/slatebridge/slatebridge/member"
)

// maxOrdersPerRound limits the orders sent in one round. Engines that load layers at the same time
// share the rate at which the weight store delivers them, so only few should do so at once. It also
// limits how many engines a wrong plan affects before the next plan replaces it.
const maxOrdersPerRound = 4

// maxClaimDelay is the time over which the boxes of a hall spread their claims of a free lease.
const maxClaimDelay = 2 * time.Second

// state is the control state. Only the actor's own goroutine uses it.
type state struct {
	c      *Controller
	config config.State
	// configView is the typed form of config; it is rebuilt only when config changes.
	configView config.View
	// configCaughtUp never becomes false again; see Status.ConfigCaughtUp.
	configCaughtUp bool
	logGap         bool
	logUnreachable bool
	view           member.View
	halls          []hallReport
	leaseManager   *lease.Manager
	holdsLease     bool
	sequence       int64
	// published is the last published routing snapshot.
	published slatebridge.Snapshot
	// servers and loadedRanges are those of the newest routing snapshot, published or not.
	servers      []slatebridge.BackendServer
	loadedRanges []slatebridge.LoadedRange
	// configSnapshotOffset is the offset up to which, exclusively, records are covered by the
	// newest configuration snapshot that this box has offered for writing to the log.
	configSnapshotOffset int64
}

func newState(c *Controller) *state {
	return &state{c: c, leaseManager: lease.NewManager(lease.Holder{Box: c.box, Boot: c.bootID}, claimDelay(c.box))}
}

// claimDelay spreads the lease claims of the boxes by a hash of their IDs.
func claimDelay(box slatebridge.BoxID) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(box))

	return time.Duration(h.Sum32()%1000) * maxClaimDelay / 1000
}

// receive handles one message to the actor.
func (s *state) receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case configBatch:
		s.onConfigBatch(msg)
	case configState:
		s.onConfigState(msg)
	case configReadFailed:
		s.logUnreachable = true
	case peersQueried:
		s.onPeersQueried(msg)
	case leaseBatch:
		s.leaseManager.OnBatch(msg.batch, clock.Now())
	case leaseReadFailed:
		s.leaseManager.OnReadError()
	case membershipRead:
		s.view = s.view.WithMembership(msg.membership)
	case serversProbed:
		s.view = s.view.WithProbeResults(msg.results)
	case hallsPolled:
		s.halls = msg.halls
	case tick:
		// A tick changes nothing that gateways receive.
		s.onTick()
		s.publishStatus()

		return
	default:
		return
	}
	s.publish()
}

// setConfig applies a configuration and updates what is derived from it.
func (s *state) setConfig(cfg config.State) {
	s.config = cfg
	s.configView = cfg.View()
	s.view = s.view.WithPlannedStops(s.configView.PlannedStops)
}

func (s *state) onConfigBatch(msg configBatch) {
	if msg.fromLog {
		s.logUnreachable = false
	}
	if msg.batch.OldestOffset > s.config.AppliedOffset() {
		s.onGap(msg.batch.OldestOffset)

		return
	}
	s.logGap = false
	next, outcomes := s.config.WithRecords(msg.batch.Records)
	if next.AppliedOffset() > s.config.AppliedOffset() {
		s.setConfig(next)
	}
	for _, o := range outcomes {
		s.logOutcome(o)
	}
	s.c.recentRecords.add(msg.batch.Records)
	if msg.fromLog && next.AppliedOffset() >= msg.batch.NextOffset {
		s.configCaughtUp = true
	}
}

// onGap notes that the log has dropped records that this box needs. The applied state stays in use.
// A box that has not caught up since its start becomes ready only once a configuration snapshot or
// a peer has closed the gap and the rest of the log is applied, or once the peers of its hall
// confirm that it has caught up; see onPeersQueried.
func (s *state) onGap(oldest int64) {
	if !s.logGap {
		event.Log(s.c.logger, event.LogGap,
			zap.String("stream", config.StreamName),
			zap.Int64("oldest", oldest),
			zap.Int64("applied", s.config.AppliedOffset()))
	}
	s.logGap = true
}

func (s *state) onConfigState(msg configState) {
	if msg.state.AppliedOffset() <= s.config.AppliedOffset() {
		return
	}
	// Snapshots in the log are reported by the same event, with their stream as the source.
	event.Log(s.c.logger, event.StateFromPeer,
		zap.String("from", msg.source),
		zap.Int64("applied", msg.state.AppliedOffset()))
	s.setConfig(msg.state)
	s.logGap = false
}

// onPeersQueried marks the configuration as caught up if at least one peer of the hall that has
// caught up itself responded, and none of these has applied more than this box. This makes the box
// ready while the log is unreachable or has a gap.
func (s *state) onPeersQueried(msg peersQueried) {
	if msg.anyCaughtUp && msg.maxApplied <= s.config.AppliedOffset() {
		s.configCaughtUp = true
	}
}

func (s *state) logOutcome(o config.Outcome) {
	fields := []zap.Field{
		zap.String("record", o.RecordID),
		zap.Stringer("object", o.Object),
		zap.Int64("offset", o.Offset),
	}
	if o.Accepted {
		event.Log(s.c.logger, event.RecordAccepted, fields...)

		return
	}
	event.Log(s.c.logger, event.RecordRefused, append(fields, zap.String("why", o.Reason))...)
}

func (s *state) onTick() {
	now := clock.Now()
	if rec, due := s.leaseManager.NextRecord(now); due {
		s.offerLease(rec)
	}
	current, held := s.leaseManager.CurrentLease(now)
	s.updateLease(current, held)
	if !held {
		return
	}
	s.offerOrders()
	s.offerConfigSnapshot()
}

// offerLease passes a claim or renewal to the appender. If an earlier one still waits to be
// appended, this one is dropped; the lease manager returns another after its renewal or retry
// interval.
func (s *state) offerLease(rec lease.Record) {
	select {
	case s.c.pendingLeases <- rec:
	default:
	}
}

func (s *state) updateLease(current lease.Lease, held bool) {
	if held {
		s.c.currentLease.Store(&current)
	} else {
		s.c.currentLease.Store(nil)
	}
	if held == s.holdsLease {
		return
	}
	s.holdsLease = held
	if held {
		event.Log(s.c.logger, event.LeaseTaken, zap.Int64("token", current.FencingToken))

		return
	}
	event.Log(s.c.logger, event.LeaseLost, zap.String("holder", string(s.leaseManager.LoggedHolder().Box)))
}

// offerOrders plans which layers the hall's engines hold and passes the first orders to the order
// sender, unless earlier orders still wait to be sent.
func (s *state) offerOrders() {
	if !s.configCaughtUp {
		return
	}
	servers := s.ownEngines()
	plan := assign.Plan(assign.AggregateDemands(s.configView.Services), s.planServers(servers))
	orders := assign.PendingOrders(plan, servers, s.engineState)
	if len(orders) == 0 {
		return
	}
	select {
	case s.c.orders <- orders[:min(len(orders), maxOrdersPerRound)]:
	default:
	}
}

func (s *state) ownEngines() []slatebridge.BackendServer {
	var list []slatebridge.BackendServer
	for _, v := range s.view.Servers() {
		if v.Hall == s.c.hall && v.Kind == slatebridge.EngineServer && v.State == slatebridge.Live {
			list = append(list, v)
		}
	}

	return list
}

func (s *state) planServers(servers []slatebridge.BackendServer) []assign.Server {
	list := make([]assign.Server, 0, len(servers))
	for _, v := range servers {
		list = append(list, assign.Server{ID: v.ID, Speed: v.LayersPerMillisecond, MaxLayers: v.MaxLayers, Holds: s.engineState(v.ID)})
	}

	return list
}

func (s *state) engineState(id slatebridge.ServerID) engine.State {
	return s.view.ProbeResult(id).Report
}

// recordsPerConfigSnapshot is how many records are applied between two configuration snapshots in
// the log.
const recordsPerConfigSnapshot = 500

func (s *state) offerConfigSnapshot() {
	if !s.configCaughtUp || s.config.AppliedOffset() < s.configSnapshotOffset+recordsPerConfigSnapshot {
		return
	}
	select {
	case s.c.pendingConfigSnapshots <- s.config:
		s.configSnapshotOffset = s.config.AppliedOffset()
	default:
	}
}
