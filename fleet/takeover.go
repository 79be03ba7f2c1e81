package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/repair"
)

// Takeover returns the work that falls on other servers because servers of the path were lost, for a
// stream with the given number of tokens.
func (f *Fleet) Takeover(p Path, lost []slatebridge.ServerID, tokens float64) repair.Takeover {
	f.mu.Lock()
	defer f.mu.Unlock()
	var t repair.Takeover
	for _, s := range p {
		if !slices.Contains(lost, s.Server.ID) {
			continue
		}
		m := f.lostMember(s.Server.ID)
		if m == nil || m.model == nil {
			continue
		}
		f.addMoves(&t, m, s.Layers, lost, tokens)
		if t.RestartPrefill == 0 {
			t.RestartQueue, t.RestartPrefill = f.restartTimes(m, tokens)
		}
	}

	return t
}

// lostMember returns a server that is in the fleet or was lost recently; nil if it is neither.
func (f *Fleet) lostMember(id slatebridge.ServerID) *member {
	if m, ok := f.members[id]; ok {
		return m
	}

	return f.losses[id].member
}

// addMoves adds the work of moving the streams of a lost server to its replacements. The stage is
// that of one stream.
func (f *Fleet) addMoves(t *repair.Takeover, m *member, stage slatebridge.LayerRange, lost []slatebridge.ServerID, tokens float64) {
	replacements := f.replacements(m, stage.From, lost)
	n := float64(max(1, len(replacements)))
	t.Streams = max(t.Streams, m.load().Requests/n)
	speed := f.prefillSpeed(replacements)
	if speed == 0 {
		// Servers of other halls take over.
		speed = f.prefillSpeed([]*member{m})
	}
	queue := prefillTime(m.load().TokenLayers, speed)
	if queue > t.MoveQueue {
		t.MoveQueue, t.Overlap = queue, f.overlap(m, stage.From, lost, speed)
	}
	t.RepairInterval = max(t.RepairInterval, queue/time.Duration(max(1, m.ownLoad.Requests)))
	t.MovePrefill += prefillTime(tokens*float64(stage.Len()), speed/n)
}

// overlap returns the share of restarted streams that pass the replacements of a lost server, whose
// speed is given, rather than servers of other halls with the layer.
func (f *Fleet) overlap(lost *member, layer int, exclude []slatebridge.ServerID, speed float64) float64 {
	now := f.now()
	var holders []*member
	for _, m := range f.membersOf(lost.Service) {
		if m != lost && m.hasLayer(layer) && m.available(now) && !slices.Contains(exclude, m.ID) {
			holders = append(holders, m)
		}
	}

	return min(1, speed/max(speed, f.prefillSpeed(holders)))
}

// restartTimes returns the time in which all available servers of a lost server's service prefill the
// tokens of the streams of all recently lost servers, and that for one stream. Restarted streams may
// begin in any hall.
func (f *Fleet) restartTimes(lost *member, tokens float64) (all, one time.Duration) {
	layers := float64(lost.model.Layers)
	now := f.now()
	var servers []*member
	for _, m := range f.membersOf(lost.Service) {
		if m != lost && m.Layers.Len() > 0 && m.available(now) {
			servers = append(servers, m)
		}
	}
	if len(servers) == 0 {
		return 0, 0
	}
	work, counted := 0.0, false
	for _, l := range f.recentLosses() {
		if l.member.Service == lost.Service {
			work += l.member.restartWork()
			counted = counted || l.member == lost
		}
	}
	if !counted {
		work += lost.restartWork()
	}
	speed := f.prefillSpeed(servers)

	return prefillTime(work, speed), prefillTime(tokens*layers, speed/float64(len(servers)))
}

// restartWork returns the tokens of all streams of the server, times all layers of the model.
func (m *member) restartWork() float64 {
	if m.Layers.Len() == 0 {
		return 0
	}

	return m.load().TokenLayers / float64(m.Layers.Len()) * float64(m.model.Layers)
}

// prefillSpeed returns how much the servers prefill together, in tokens times layers per second;
// zero if that is not known.
func (f *Fleet) prefillSpeed(servers []*member) float64 {
	sum, now := 0.0, f.now()
	for _, m := range servers {
		if m.model == nil {
			continue
		}
		speed := m.model.PrefillTokensPerSecond * float64(m.model.Layers) / cmp.Or(m.accelerator.PrefillTimeFactor, 1)
		if now.Before(m.slowUntil) {
			speed /= max(1, m.slowness)
		}
		sum += speed
	}

	return sum
}

// prefillTime returns the time to prefill the work at the speed; zero if the speed is not known.
func prefillTime(work, speed float64) time.Duration {
	if speed <= 0 {
		return 0
	}

	return time.Duration(work / speed * float64(time.Second))
}
