package lab

import (
	"fmt"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/place"
)

func serverID(n int) slatebridge.ServerID { return slatebridge.ServerID(fmt.Sprintf("s%04d", n)) }

// server is the actual state of a simulated backend server, which boxes know only in part.
type server struct {
	catalog.Server
	accelerator catalog.Accelerator
	// usedTokenLayers is the KV cache in use, in tokens times layers.
	usedTokenLayers float64
	// usedSlots counts the streams that use this server as their first pipeline stage.
	usedSlots int
	// prefillBusyUntil is when the queued prefill work will be complete.
	prefillBusyUntil time.Duration
	// lost is set while the server is unreachable to everyone.
	lost bool
	// slowdown multiplies the time of all work on this server.
	slowdown float64
	// loadedAt is when nextLayers, the last layer range ordered, will have been loaded.
	loadedAt   time.Duration
	nextLayers slatebridge.LayerRange
	// cooldown is the pause that the server requests when it rejects requests for which it is the
	// first server; zero means that it accepts them.
	cooldown time.Duration
	// notices records what the server has announced to each box.
	notices map[*box]serverNotice
	// rateLimit is the limit that the server announces for all boxes together.
	rateLimit rateLimit
}

// cluster holds the servers and the links between halls.
type cluster struct {
	model   *catalog.Model
	servers map[slatebridge.ServerID]*server
	// serverIDs fixes the iteration order.
	serverIDs []slatebridge.ServerID
	// linkBusyUntil is when a link between two halls will have sent all queued transfers.
	linkBusyUntil map[[2]slatebridge.HallID]*time.Duration
	// linkSlowdown multiplies the duration of transfers between halls.
	linkSlowdown float64
	// memoryPressure is the fraction of all KV cache memory that is unavailable.
	memoryPressure float64
	// partitionedHall is the hall cut off from the others, if any.
	partitionedHall slatebridge.HallID
}

func newCluster(m *catalog.Model, placement []place.Server) *cluster {
	c := &cluster{
		model: m, servers: make(map[slatebridge.ServerID]*server), linkBusyUntil: make(map[[2]slatebridge.HallID]*time.Duration), linkSlowdown: 1,
	}
	for _, srv := range placement {
		accelerator, _ := m.Accelerator(srv.Accelerator)
		c.servers[srv.ID] = &server{
			Server:      catalog.Server{ID: srv.ID, Service: service, Hall: srv.Hall, Accelerator: srv.Accelerator, Layers: srv.Layers, Slots: m.Slots},
			accelerator: accelerator, slowdown: 1,
		}
		c.serverIDs = append(c.serverIDs, srv.ID)
	}

	return c
}

// forEachServer calls f for each server in a fixed order.
func (c *cluster) forEachServer(f func(s *server)) {
	for _, id := range c.serverIDs {
		f(c.servers[id])
	}
}

// placement returns the servers that are neither lost nor leaving, with their layers.
func (c *cluster) placement() []place.Server {
	var out []place.Server
	c.forEachServer(func(s *server) {
		if !s.lost && !s.Leaving {
			out = append(out, place.Server{ID: s.ID, Hall: s.Hall, Accelerator: s.Accelerator, Layers: s.Layers})
		}
	})

	return out
}

// rejection is the reason why a server rejected a request.
type rejection int

const (
	notRejected rejection = iota
	// rejectedCapacity means that the server has no free memory or slot.
	rejectedCapacity
	// rejectedUnreachable means that the server is lost or in another network partition.
	rejectedUnreachable
	// rejectedMissingLayers means that the server no longer holds the layers.
	rejectedMissingLayers
	// rejectedCooldown means that the server rejects the requests for which it is the first server,
	// and asks for a cooldown.
	rejectedCooldown
)

// admit reserves memory for a request of the given size on all servers of a path, and a slot on the
// first of them, or nothing at all. If a server rejects the request, it returns that server and the
// reason.
func (c *cluster) admit(p fleet.Path, tokens float64) (slatebridge.ServerID, rejection) {
	for i, stage := range p {
		s := c.servers[stage.Server.ID]
		layers := float64(stage.Layers.Len())
		free := (1-c.memoryPressure)*c.model.TokenLayerCapacity(s.accelerator, s.Layers.Len()) - s.usedTokenLayers
		switch {
		case s.lost || c.partitioned(p, i):
			return s.ID, rejectedUnreachable
		case i == 0 && s.cooldown > 0:
			return s.ID, rejectedCooldown
		case stage.Layers.From < s.Layers.From || stage.Layers.To > s.Layers.To:
			return s.ID, rejectedMissingLayers
		case tokens*layers > free, i == 0 && s.Slots > 0 && s.usedSlots >= s.Slots:
			return s.ID, rejectedCapacity
		}
	}
	for i, stage := range p {
		s := c.servers[stage.Server.ID]
		s.usedTokenLayers += tokens * float64(stage.Layers.Len())
		if i == 0 {
			s.usedSlots++
		}
	}

	return "", notRejected
}

// partitioned reports whether a network partition separates stage i of the path from the stage
// before it.
func (c *cluster) partitioned(p fleet.Path, i int) bool {
	if i == 0 || c.partitionedHall == "" {
		return false
	}
	a, b := p[i-1].Server.Hall, p[i].Server.Hall

	return a != b && (a == c.partitionedHall || b == c.partitionedHall)
}

// release frees what admit reserved.
func (c *cluster) release(p fleet.Path, tokens float64) {
	for i, stage := range p {
		s := c.servers[stage.Server.ID]
		s.usedTokenLayers = max(0, s.usedTokenLayers-tokens*float64(stage.Layers.Len()))
		if i == 0 {
			s.usedSlots = max(0, s.usedSlots-1)
		}
	}
}

// queuedWork is an interval reserved in the work queue of a server or link.
type queuedWork struct {
	busyUntil *time.Duration
	start     time.Duration
	duration  time.Duration
}

// enqueueWork appends work of the given length to a queue, to start no earlier than at.
func enqueueWork(queue *time.Duration, at time.Duration, seconds float64) queuedWork {
	work := queuedWork{busyUntil: queue, start: max(at, *queue), duration: time.Duration(seconds * float64(time.Second))}
	*queue = work.start + work.duration

	return work
}

// cancelPending removes work that has not started, as servers drop queued prompts of disconnected
// callers.
func cancelPending(list []queuedWork, now time.Duration) {
	for _, work := range list {
		if work.start > now {
			*work.busyUntil -= work.duration
		}
	}
}

// transfer queues the activations of the given number of tokens on the link between two halls. It
// returns the arrival time, and the queued work unless the transfer takes no time.
func (c *cluster) transfer(from, to slatebridge.HallID, tokens float64, at time.Duration) (time.Duration, []queuedWork) {
	queue := c.linkQueue(from, to)
	if queue == nil {
		return at, nil
	}
	work := enqueueWork(queue, at, tokens*c.model.ActivationBytesPerToken/c.model.InterHallBytesPerSecond*c.linkSlowdown)

	return work.start + work.duration, []queuedWork{work}
}

// prefill queues the prefill of the given number of tokens on the server of a stage. A server
// processes one prompt at a time.
func (c *cluster) prefill(stage fleet.Stage, tokens float64, at time.Duration) queuedWork {
	s := c.servers[stage.Server.ID]
	fraction := float64(stage.Layers.Len()) / float64(c.model.Layers)

	return enqueueWork(&s.prefillBusyUntil, at, tokens/c.model.PrefillTokensPerSecond*max(1, s.accelerator.PrefillTimeFactor)*s.slowdown*fraction)
}

// linkQueue returns the queue of the link between two halls, or nil if transfers between them take
// no time.
func (c *cluster) linkQueue(from, to slatebridge.HallID) *time.Duration {
	if from == to || c.model.InterHallBytesPerSecond <= 0 {
		return nil
	}
	link := [2]slatebridge.HallID{min(from, to), max(from, to)}
	if c.linkBusyUntil[link] == nil {
		c.linkBusyUntil[link] = new(time.Duration)
	}

	return c.linkBusyUntil[link]
}

// stepTime returns the time for one output token on the path.
func (c *cluster) stepTime(p fleet.Path) time.Duration {
	factor := 0.0
	for _, stage := range p {
		s := c.servers[stage.Server.ID]
		factor += max(1, s.accelerator.StepTimeFactor) * s.slowdown * float64(stage.Layers.Len()) / float64(c.model.Layers)
	}

	return time.Duration(factor * float64(c.model.StepTime))
}

// planPlacement orders servers to load other layers where the placement requires it, and returns
// these servers.
func (c *cluster) planPlacement(now time.Duration) []*server {
	planned := c.placement()
	for i, srv := range planned {
		if s := c.servers[srv.ID]; s.loadedAt > now {
			planned[i].Layers = s.nextLayers
		}
	}
	changes := place.AssignEmpty(c.model, planned)
	if len(changes) == 0 {
		changes = place.Repair(c.model, planned)
	}
	var out []*server
	for _, srv := range changes {
		s := c.servers[srv.ID]
		current := place.Server{ID: s.ID, Hall: s.Hall, Accelerator: s.Accelerator, Layers: s.Layers}
		s.nextLayers, s.loadedAt = srv.Layers, now+place.EstimateLoadTime(c.model, []place.Server{current}, []place.Server{srv})
		out = append(out, s)
	}

	return out
}
