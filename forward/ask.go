package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
)

// Report is what a server says of the streams that started at it.
type Report struct {
	// Stalled gives the address of the server that a request waits for, by
	// the request's ID.
	Stalled map[string]string
	// Slowness is how many times as long as usual the server takes; 1 is usual.
	Slowness float64
}

// ServerCalls are the calls to servers beside requests.
type ServerCalls struct {
	Report func(ctx context.Context, s catalog.Server) (Report, error)
	// Move lets a running stream go on over another path with the same first
	// server.
	Move func(ctx context.Context, first catalog.Server, id string, p fleet.Path) error
}

// deadOn returns the servers of the path that are dead.
func (h *Handler) deadOn(ctx context.Context, r *run, path fleet.Path) []slatebridge.ServerID {
	var dead []slatebridge.ServerID
	known := h.fleet.Suspects()
	for _, s := range path {
		if _, listed := h.fleet.Server(s.Server.ID); !listed || slices.Contains(known, s.Server.ID) {
			dead = append(dead, s.Server.ID)
		}
	}
	if len(dead) > 0 {
		return dead
	}
	silent, stalled := h.askAll(ctx, path)
	if address, ok := stalled[r.id]; ok {
		for _, s := range path {
			if s.Server.Address == address && !slices.Contains(silent, s.Server.ID) {
				silent = append(silent, s.Server.ID)
			}
		}
	}
	if len(silent) > len(path)/2 && !h.reachesOthers(ctx, r, path) {
		// A box that reaches no server is cut off itself.
		return nil
	}
	for _, id := range silent {
		h.suspect(ctx, id, "it does not answer, or others wait for it")
	}
	h.suspectHalls(ctx, path, silent)

	return silent
}

// others is how many servers besides those of a path are asked whether the
// box itself is cut off.
const others = 3

// reachesOthers reports whether the box reaches any server of its own hall
// that is not on the path.
func (h *Handler) reachesOthers(ctx context.Context, r *run, path fleet.Path) bool {
	asked := 0
	for _, s := range h.fleet.Near(r.service) {
		if path.Uses(s.ID) {
			continue
		}
		if h.ask(ctx, s, reportAge).err == nil {
			return true
		}
		if asked++; asked == others {
			break
		}
	}

	return false
}

// hallSilent is how many silent servers of another hall, with none that
// answers, make the whole hall taken as cut off.
const hallSilent = 3

// suspectHalls takes all servers of a hall as dead of which several do not
// answer and none does.
func (h *Handler) suspectHalls(ctx context.Context, path fleet.Path, silent []slatebridge.ServerID) {
	dead := make(map[slatebridge.HallID]int)
	for _, s := range path {
		if slices.Contains(silent, s.Server.ID) {
			dead[s.Server.Hall]++
		}
	}
	for _, s := range path {
		if !slices.Contains(silent, s.Server.ID) {
			delete(dead, s.Server.Hall)
		}
	}
	for hall, n := range dead {
		if n < hallSilent {
			continue
		}
		for _, s := range h.fleet.Servers() {
			if s.Hall == hall {
				h.suspect(ctx, s.ID, "its hall is cut off")
			}
		}
	}
}

// askAll asks every server of the path for a report, and returns those that
// did not answer, and what the first said of stalled requests. Servers that are
// slow get fewer new streams; those that pass them stay, since all their tokens
// would have to be read again elsewhere.
func (h *Handler) askAll(ctx context.Context, path fleet.Path) (silent []slatebridge.ServerID, stalled map[string]string) {
	began := time.Now()
	answers := h.collect(ctx, path)
	for i, a := range answers {
		id := path[i].Server.ID
		switch {
		case (a == nil || a.err != nil) && h.fleet.AliveSince(id, began):
			// Its answer is late or lost.
		case a == nil || a.err != nil:
			silent = append(silent, id)
		case a.report.Slowness >= slowFrom:
			h.noteSlow(ctx, id, a.report.Slowness)
		}
	}
	if answers[0] != nil {
		stalled = answers[0].report.Stalled
	}

	return silent, stalled
}

const (
	// quickTime is after how long a server counts as silent if the others have
	// answered quickly. An answer takes about a millisecond.
	quickTime = 35 * time.Millisecond
	// quickAnswer is what a quick answer takes at most. Where answers take
	// longer the box itself may be slow, and waits for the whole reportTime.
	quickAnswer = 20 * time.Millisecond
)

// collect asks the servers of the path and returns their answers; nil stands
// for none in time.
func (h *Handler) collect(ctx context.Context, path fleet.Path) []*question {
	type answer struct {
		i int
		q *question
	}
	began := time.Now()
	got := make(chan answer, len(path))
	for i, s := range path {
		go func() { got <- answer{i, h.ask(ctx, s.Server, h.reportAge(s.Server.ID))} }()
	}
	answers := make([]*question, len(path))
	slowest, n := time.Duration(0), 0
	quick := time.NewTimer(quickTime)
	defer quick.Stop()
	for n < len(path) {
		select {
		case a := <-got:
			answers[a.i], slowest = a.q, time.Since(began)
			n++
		case <-quick.C:
			if n > len(path)/2 && slowest < quickAnswer && !h.stalledSince(began, quickTime) {
				return answers
			}
		}
	}

	return answers
}

// slowFrom is the slowness from which a server gets fewer new streams. Servers
// of one kind differ by less than half.
const slowFrom = 2.0

// question is a question for a report, which streams share.
type question struct {
	at     time.Time
	done   chan struct{}
	report Report
	err    error
}

// usable reports whether the question can be shared, by those who want a report
// that is at most so old. A failure is only shared for a short time.
func (q *question) usable(age time.Duration) bool {
	since := time.Since(q.at)
	if since < reportAge {
		return true
	}
	select {
	case <-q.done:
		return since < age && q.err == nil
	default:
		return false
	}
}

// reportAge returns how old a server's report may be. One that just passed
// another stream on is alive, and only its pace is of interest.
func (h *Handler) reportAge(id slatebridge.ServerID) time.Duration {
	if h.fleet.AliveSince(id, time.Now().Add(-aliveAge)) {
		return aliveReportAge
	}

	return reportAge
}

// ask returns a server's report, which is at most so old.
func (h *Handler) ask(ctx context.Context, s catalog.Server, age time.Duration) *question {
	h.runs.mu.Lock()
	q, ok := h.runs.questions[s.ID]
	if ok && q.usable(age) {
		h.runs.mu.Unlock()
		<-q.done

		return q
	}
	q = &question{at: time.Now(), done: make(chan struct{})}
	h.runs.questions[s.ID] = q
	h.runs.mu.Unlock()
	for range mostAsked {
		began := time.Now()
		q.report, q.err = h.report(ctx, s)
		if q.err == nil || !h.stalledSince(began, reportTime) {
			break
		}
	}
	close(q.done)

	return q
}

func (h *Handler) report(ctx context.Context, s catalog.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()

	return h.servers.Report(ctx, s)
}

const (
	// stallLag is by how much the box may be late with its own work. A box that
	// is later can not tell whether a server was.
	stallLag = 25 * time.Millisecond
	// mostAsked is how often a server is asked, when the box itself was late.
	mostAsked = 3
)

// stalledSince reports whether the box itself stood still since the time, of
// which no more should have gone by than the given one. It may have had no
// processor, or much to do, such as to read a large configuration.
func (h *Handler) stalledSince(began time.Time, due time.Duration) bool {
	return time.Since(began) > due+stallLag || h.stalledAt.Load() > began.UnixNano()
}

// doubt has a server asked whether it is alive, which another one has named as
// the reason of a refusal. When many are waiting to be asked, one more is left
// out: the next refusal names it again.
func (h *Handler) doubt(id slatebridge.ServerID) {
	select {
	case h.doubted <- id:
	default:
	}
}

// verify asks a server that was doubted.
func (h *Handler) verify(ctx context.Context, id slatebridge.ServerID) {
	s, ok := h.fleet.Server(id)
	if !ok || h.runs.isDead(id) {
		return
	}
	if q := h.ask(ctx, s, reportAge); q.err != nil {
		h.suspect(ctx, id, "another server turned a request away for it, and it does not answer")
	}
}

// noteSlow notes how many times as long as usual a server takes, and asks it
// again until it is quick, has left or does not answer.
func (h *Handler) noteSlow(ctx context.Context, id slatebridge.ServerID, slowness float64) {
	told := h.fleet.NoteSlow(id, slowness)
	if h.runs.noteSlow(id, slowness) || told {
		return
	}
	event.Log(h.logger, event.ServerSlow, zap.String("server", string(id)), zap.Float64("slowness", slowness))
	h.onDoubt()
	go h.followSlow(ctx, id)
}

func (h *Handler) followSlow(ctx context.Context, id slatebridge.ServerID) {
	defer h.runs.noteQuick(id)
	h.follow(ctx, id, func(r Report, err error) bool {
		if err != nil || r.Slowness < slowFrom {
			return true
		}
		h.fleet.NoteSlow(id, r.Slowness)
		h.runs.noteSlow(id, r.Slowness)

		return false
	})
}

// follow asks a server again and again until settled returns true or it has
// left.
func (h *Handler) follow(ctx context.Context, id slatebridge.ServerID, settled func(Report, error) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askAgainEvery):
		}
		s, ok := h.fleet.Server(id)
		if !ok {
			return
		}
		if q := h.ask(ctx, s, reportAge); settled(q.report, q.err) {
			return
		}
	}
}

// Slow returns the servers that this box has found slow itself, with how many
// times as long as usual they take.
func (h *Handler) Slow() map[slatebridge.ServerID]float64 {
	h.runs.mu.Lock()
	defer h.runs.mu.Unlock()

	return maps.Clone(h.runs.slow)
}

// Dead returns the servers that this box has found dead itself.
func (h *Handler) Dead() []slatebridge.ServerID {
	h.runs.mu.Lock()
	defer h.runs.mu.Unlock()

	return slices.Collect(maps.Keys(h.runs.dead))
}

// suspect takes a server as dead, and asks it until it answers or has left.
func (h *Handler) suspect(ctx context.Context, id slatebridge.ServerID, why string) {
	h.fleet.Suspect(id, time.Now().Add(suspectTime))
	if h.runs.isDead(id) || !h.runs.noteDead(id) {
		return
	}
	h.onDoubt()
	event.Log(h.logger, event.ServerSuspected, zap.String("server", string(id)), zap.String("why", why))
	go h.askAgain(ctx, id)
}

func (h *Handler) askAgain(ctx context.Context, id slatebridge.ServerID) {
	defer h.runs.noteAlive(id)
	h.follow(ctx, id, func(_ Report, err error) bool {
		if err == nil {
			h.fleet.Trust(id)
			event.Log(h.logger, event.ServerTrusted, zap.String("server", string(id)))

			return true
		}
		h.runs.noteDead(id)
		h.fleet.Suspect(id, time.Now().Add(suspectTime))

		return false
	})
}
