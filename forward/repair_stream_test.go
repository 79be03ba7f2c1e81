package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/clock"
	"github.com/slatebridge/slatebridge/event"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/retry"
)

func TestRepairOfOneStream(t *testing.T) {
	const noRetries, retries = 0, 100
	t.Run("a server without room is passed over", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2")
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s3")
			wantEventCount(rt, event.StreamWaits, 0)
			if lost := rt.h.fleet.RecentLosses(); lost != nil {
				rt.Errorf("room is still kept for streams of %v", lost)
			}
		})
	})
	t.Run("a server without room that is not named is passed over", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(_ string, p fleet.Path) error {
				if p.Contains("s2") {
					return &MoveRefusedError{Err: errors.New("no room")}
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s3")
		})
	})
	t.Run("all refuse, and there is no retry: the stream waits and keeps its place", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2", "s3", "s4", "s5")
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, lostServer)
			wantEventCount(rt, event.MoveRefused, maxMoves)
			wantEventCount(rt, event.StreamWaits, 1)
		})
	})
	t.Run("all refuse, and there is a retry: the stream is restarted elsewhere", func(t *testing.T) {
		withRepairs(t, retries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = refusedBy("s2", "s3", "s4")
			rt.lose(a)
			rt.settle()
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.nextPath.Contains("s5") || len(rt.moves) > maxMoves {
				rt.Errorf("next path %s after moves %v", a.nextPath, rt.moves)
			}
		})
	})
	t.Run("the answer to a move is lost: the same move is repeated", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				if len(rt.moves) == 1 {
					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantMoves(rt, rt.moves[0], rt.moves[0])
			path, _, _ := a.state()
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("the stream ends during the move: no reservation is left behind", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				rt.h.monitor.remove(a)

				return nil
			}
			rt.lose(a)
			rt.settle()
			wantRepairs(rt, map[string]float64{repairNotNeeded: 1})
			for id, l := range rt.h.fleet.OwnLoads() {
				if l.Requests > 0 {
					rt.Errorf("%s has %v", id, l)
				}
			}
		})
	})
	t.Run("a second server is lost during the repair", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var second slatebridge.ServerID
			rt.answer = func(_ string, p fleet.Path) error {
				if second == "" {
					second = p[1].Server.ID
					rt.h.fleet.RetireIncarnation(second)
					go rt.h.queueRepair(rt.Context(), a, p, []slatebridge.ServerID{second})
					time.Sleep(50 * time.Millisecond)
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			path, _, _ := a.state()
			if path.Contains(lostServer) || path.Contains(second) || len(rt.moves) != 2 {
				rt.Errorf("the stream is on %s after moves %v", path, rt.moves)
			}
		})
	})
	t.Run("the server is trusted again before its turn", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.lose(a)
			time.Sleep(repairGatherTime / 2)
			rt.h.fleet.Trust(lostServer)
			rt.settle()
			wantMoves(rt)
			wantServer(rt, a, lostServer)
		})
	})
	t.Run("the box is suspended before its turn", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			rt.h.httpClient = &http.Client{}
			a := rt.stream("r", 0)
			rt.lose(a)
			time.Sleep(repairGatherTime / 2)
			rt.h.resumeFromSuspend(clock.Now())
			rt.settle()
			wantMoves(rt)
			rt.lose(a)
			rt.settle()
			wantServer(rt, a, "s2")
		})
	})
}

// TestLostAnswersToMoves checks the repair of a stream that may have been moved.
func TestLostAnswersToMoves(t *testing.T) {
	const noRetries = 0
	t.Run("all answers are lost: the reservation is kept until the stream ends", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error { return context.DeadlineExceeded }
			rt.lose(a)
			rt.settle()
			wantEventCount(rt, event.StreamWaits, 1)
			for range 3 {
				wantReserved(rt, map[slatebridge.ServerID]float64{"first": 2, lostServer: 1, "s2": 1})
				rt.lose(a)
				rt.settle()
			}
			rt.h.monitor.remove(a)
			wantReserved(rt, map[slatebridge.ServerID]float64{})
		})
	})
	t.Run("an answer is lost: the next repair repeats that move first", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3", "s4", "s5"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			rt.answer = func(string, fleet.Path) error {
				if len(rt.moves) <= 2 {
					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			// Another server is the cheaper one meanwhile.
			var others []slatebridge.ServerID
			for _, id := range []slatebridge.ServerID{"s2", "s3", "s4", "s5"} {
				if !strings.Contains(rt.moves[0], string(id)) {
					others = append(others, id)
				}
			}
			_, load, _ := rt.h.fleet.FindPath(fleet.Query{Service: "llm", Tokens: 700, Exclude: others})
			rt.lose(a)
			rt.settle()
			wantMoves(rt, rt.moves[0], rt.moves[0], rt.moves[0])
			load.Release()
			path, _ := a.current()
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("an answer is lost, and the repeated move is refused: another path is tried", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var refusing slatebridge.ServerID
			rt.answer = func(id string, p fleet.Path) error {
				if len(rt.moves) <= 2 {
					refusing = p[1].Server.ID

					return context.DeadlineExceeded
				}

				return refusedBy(refusing)(id, p)
			}
			rt.lose(a)
			rt.settle()
			rt.lose(a)
			rt.settle()
			path, _ := a.current()
			if path.Contains(refusing) || path.Contains(lostServer) {
				rt.Errorf("the stream is on %s", path)
			}
			wantServer(rt, a, path[1].Server.ID)
		})
	})
	t.Run("an answer is lost, and then the server itself: another path is tried", func(t *testing.T) {
		withRepairs(t, noRetries, []string{"s1", "s2", "s3"}, func(rt *repairTest) {
			a := rt.stream("r", 0)
			var second slatebridge.ServerID
			rt.answer = func(_ string, p fleet.Path) error {
				if len(rt.moves) <= 2 {
					second = p[1].Server.ID

					return context.DeadlineExceeded
				}

				return nil
			}
			rt.lose(a)
			rt.settle()
			rt.h.fleet.Suspect(second, clock.Now().Add(time.Minute))
			rt.lose(a)
			rt.settle()
			path, _ := a.current()
			if path.Contains(second) || path.Contains(lostServer) {
				rt.Errorf("the stream is on %s", path)
			}
			wantServer(rt, a, path[1].Server.ID)
		})
	})
}

// TestStreamThatCannotBeMoved checks that a stream whose first server does not have it any more, or is
// not to be called, is restarted with a required retry, and that the cause is logged if there is none.
func TestStreamThatCannotBeMoved(t *testing.T) {
	unknown := errors.Wrap(ErrNoSuchStream, "status 404")
	for name, v := range map[string]struct {
		cooldown time.Duration
		moves    int
		want     string
	}{
		"the stream is not known": {0, 1, unknown.Error()},
		"the server cools down":   {time.Minute, 0, "move: " + ErrServerNotAccepting.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			withRepairs(t, 0, []string{"s1", "s2"}, func(rt *repairTest) {
				var asked []retry.Urgency
				rt.h.requestRetry = func(_ context.Context, _ string, u retry.Urgency) bool {
					asked = append(asked, u)

					return false
				}
				a := rt.stream("r", 0)
				rt.answer = func(string, fleet.Path) error { return unknown }
				rt.h.fleet.Set(catalog.Server{ID: "f2", Service: "llm", Hall: "a", Accelerator: "big", Address: "f2:80", Layers: slatebridge.LayerRange{To: 4}})
				rt.h.fleet.ApplyNotice("first", fleet.Notice{Cooldown: v.cooldown})
				rt.lose(a)
				rt.settle()
				if diff := cmp.Diff([]retry.Urgency{retry.Required}, asked); diff != "" || len(rt.moves) != v.moves {
					rt.Errorf("moves %v, retries asked for: %s", rt.moves, diff)
				}
				wantServer(rt, a, lostServer)
				wantEventCount(rt, event.StreamWaits, 1)
				for _, l := range rt.logs.All() {
					if f := l.ContextMap(); f["event"] == int64(event.StreamWaits) && f["error"] != v.want {
						rt.Errorf("logged cause %v, want %s", f["error"], v.want)
					}
				}
			})
		})
	}
}
