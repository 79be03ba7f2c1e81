package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
	"github.com/slatebridge/slatebridge/fleet"
)

// roomModel has 9 layers; a server with three of them has memory for 60,000 tokens there.
func roomModel() *catalog.Model {
	return &catalog.Model{
		Layers: 9, LayerMB: 1000, KVBytesPerToken: 3e6, Slots: 192,
		Accelerators: []catalog.Accelerator{{Name: "big", MemoryMB: 63000, StepTimeFactor: 1}},
	}
}

// roomServers returns n servers for each third of the layers.
func roomServers(n int) []catalog.Server {
	var out []catalog.Server
	for i := range 3 * n {
		from := 3 * (i % 3)
		out = append(out, catalog.Server{
			ID: slatebridge.ServerID(fmt.Sprintf("s%03d", i)), Service: "llm", Hall: "a", Accelerator: "big", Slots: 192,
			Layers: slatebridge.LayerRange{From: from, To: from + 3},
		})
	}

	return out
}

// newRoomHandler returns the handler of a box with the servers and a number of other boxes.
func newRoomHandler(servers []catalog.Server, peers int, now func() time.Time, f RoomFunc, opts ...fleet.Option) *Handler {
	h := &Handler{fleet: fleet.New("a", now, opts...), requestRoom: f, metrics: NewMetrics(prometheus.NewRegistry()), logger: zap.NewNop()}
	h.fleet.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: roomModel()}}, nil, false))
	h.fleet.SetPeerCounts(peers, peers)
	for _, s := range servers {
		h.fleet.Set(s)
	}

	return h
}

func roomQuery(tokens float64) fleet.Query { return fleet.Query{Service: "llm", Tokens: tokens} }

// fillTo sets the reported work of other boxes so that the share of the memory of each server is in
// use.
func fillTo(h *Handler, servers []catalog.Server, share float64) {
	loads := make(map[uint32]fleet.Load)
	for _, s := range servers {
		loads[fleet.ShortID(s.ID)] = fleet.Load{Requests: 10, TokenLayers: share * roomModel().TokenLayerCapacity(roomModel().Accelerators[0], 3)}
	}
	h.fleet.SetPeerGroupLoads("hall a", loads)
}

func TestClaimRoom(t *testing.T) {
	servers := roomServers(2)
	// find searches a path while servers are filled to the share, and returns its first server, why
	// there is none, and the number of claims.
	find := func(t *testing.T, share float64, f func(n int, c RoomClaim) (RoomAnswer, error)) (fleet.Path, fleet.Shortage, int) {
		claims := 0
		h := newRoomHandler(servers, 20, time.Now, func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
			claims++

			return f(claims, c)
		})
		fillTo(h, servers, share)
		path, reservation, shortage := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(100), nil)
		reservation.Release()

		return path, shortage, claims
	}
	check := func(t *testing.T, share float64, f func(n int, c RoomClaim) (RoomAnswer, error), found bool, wantClaims int) (path fleet.Path) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var shortage fleet.Shortage
			var claims int
			path, shortage, claims = find(t, share, f)
			if (path != nil) != found || (shortage == fleet.NoShortage) != found || claims != wantClaims {
				t.Errorf("path %s, shortage %s, %d claims; want %d", path, shortage, claims, wantClaims)
			}
		})

		return path
	}
	grant := func(int, RoomClaim) (RoomAnswer, error) { return RoomAnswer{}, nil }
	t.Run("no claim with plenty of room", func(t *testing.T) { check(t, 0.3, grant, true, 0) })
	t.Run("granted", func(t *testing.T) { check(t, 0.91, grant, true, 1) })
	t.Run("nobody answers", func(t *testing.T) {
		check(t, 0.91, func(int, RoomClaim) (RoomAnswer, error) { return RoomAnswer{}, errors.New("silence") }, true, 1)
	})
	t.Run("another path after a refusal", func(t *testing.T) {
		var refused slatebridge.ServerID
		check(t, 0.91, func(n int, c RoomClaim) (RoomAnswer, error) {
			if n > 1 {
				if c.Path.Contains(refused) {
					t.Errorf("%s was chosen again", refused)
				}

				return RoomAnswer{}, nil
			}
			refused = c.Path[1].Server.ID

			return RoomAnswer{Full: []slatebridge.ServerID{refused}}, nil
		}, true, 2)
	})
	t.Run("no path left", func(t *testing.T) {
		check(t, 0.91, func(int, RoomClaim) (RoomAnswer, error) {
			return RoomAnswer{Full: []slatebridge.ServerID{"s000", "s003"}}, nil
		}, false, 1)
	})
	t.Run("only slots are missing", func(t *testing.T) {
		check(t, 0.91, func(_ int, c RoomClaim) (RoomAnswer, error) {
			if c.Limits.Slots > 0 {
				return RoomAnswer{Full: []slatebridge.ServerID{"s000", "s003"}, OnlySlots: true}, nil
			}

			return RoomAnswer{}, nil
		}, true, 2)
	})
	t.Run("a path without full servers after the last refusal", func(t *testing.T) {
		servers = roomServers(8)
		var full []slatebridge.ServerID
		path := check(t, 0.91, func(_ int, c RoomClaim) (RoomAnswer, error) {
			full = append(full, c.Path[0].Server.ID)

			return RoomAnswer{Full: full[len(full)-1:]}, nil
		}, true, maxRoomClaims)
		for _, id := range full {
			if path.Contains(id) {
				t.Errorf("%s is full, and on %s", id, path)
			}
		}
	})
	t.Run("no such path after the last refusal", func(t *testing.T) {
		check(t, 0.91, func(n int, c RoomClaim) (RoomAnswer, error) {
			full := []slatebridge.ServerID{c.Path[0].Server.ID}
			for _, s := range servers {
				if n == maxRoomClaims && s.Layers.From == 0 {
					full = append(full, s.ID)
				}
			}

			return RoomAnswer{Full: full}, nil
		}, false, maxRoomClaims)
	})
}

// TestClaimDeadline checks that all claims for one choice of a path take at most maxRoomWait, and that
// the box then decides by its own view.
func TestClaimDeadline(t *testing.T) {
	slowly := func(d time.Duration, refuse bool) RoomFunc {
		return func(ctx context.Context, c RoomClaim) (RoomAnswer, error) {
			select {
			case <-ctx.Done():
				return RoomAnswer{}, context.Cause(ctx)
			case <-time.After(d):
			}
			if refuse {
				return RoomAnswer{Full: []slatebridge.ServerID{c.Path[0].Server.ID}}, nil
			}

			return RoomAnswer{}, errors.New("silence")
		}
	}
	for name, f := range map[string]RoomFunc{
		"slow refusals": slowly(25*time.Millisecond, true),
		"silence":       slowly(30*time.Millisecond, false),
		"very slow":     slowly(time.Second, true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := roomServers(8)
				h := newRoomHandler(servers, 20, time.Now, f)
				fillTo(h, servers, 0.91)
				began, choice := time.Now(), &pathChoice{claims: maxRoomClaims}
				for range 2 {
					if path, reservation, _ := h.findPathWithRoom(t.Context(), choice, roomQuery(100), nil); path == nil {
						t.Error("no path")
					} else {
						reservation.Release()
					}
				}
				if took := time.Since(began); took > maxRoomWait {
					t.Errorf("%s, want at most %s", took, maxRoomWait)
				}
			})
		})
	}
}

// TestRoomNotShared checks that decisions are the same without a ledger, in a hall with one box, and
// for a model whose limits are unknown.
func TestRoomNotShared(t *testing.T) {
	servers := roomServers(3)
	now := time.Unix(1000, 0)
	refuse := func(_ context.Context, c RoomClaim) (RoomAnswer, error) {
		t.Errorf("room claimed for %s", c.Path)

		return RoomAnswer{Full: []slatebridge.ServerID{c.Path[0].Server.ID}}, errors.New("unexpected claim")
	}
	// paths returns the paths of requests of different sizes until no room is left.
	paths := func(h *Handler) []string {
		var out []string
		for i := range 1200 {
			path, _, shortage := h.findPathWithRoom(t.Context(), &pathChoice{claims: maxRoomClaims}, roomQuery(float64(100+37*(i%11))), nil)
			out = append(out, path.String()+" "+shortage.String())
		}

		return out
	}
	random := func() fleet.Option { return fleet.WithRandom(rand.New(rand.NewPCG(1, 2)).Float64) }
	newHandler := func(peers int, f RoomFunc) *Handler {
		return newRoomHandler(servers, peers, func() time.Time { return now }, f, random())
	}
	withoutSlots := func(peers int) *Handler {
		h := newHandler(peers, refuse)
		m := roomModel()
		m.Slots = 0
		h.fleet.SetCatalog(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", Model: m}}, nil, false))

		return h
	}
	for _, peers := range []int{0, 20} {
		want := paths(newHandler(peers, nil))
		if !slices.ContainsFunc(want, func(s string) bool { return s == " "+fleet.NoCapacity.String() }) {
			t.Fatal("the servers were never full")
		}
		if diff := cmp.Diff(want, paths(withoutSlots(peers))); diff != "" {
			t.Errorf("%d peers, a model without slots: %s", peers, diff)
		}
		if peers > 0 {
			continue
		}
		if diff := cmp.Diff(want, paths(newHandler(peers, refuse))); diff != "" {
			t.Errorf("the only box: %s", diff)
		}
	}
}
