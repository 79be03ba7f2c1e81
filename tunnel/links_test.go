package tunnel

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// linkTest is the links of a box at a time that the test moves.
type linkTest struct {
	*links
	t   *testing.T
	now time.Time
}

func newLinkTest(t *testing.T) *linkTest {
	t.Helper()

	return &linkTest{links: newLinks(), t: t, now: time.Unix(1000, 0)}
}

func (l *linkTest) pass(d time.Duration) { l.now = l.now.Add(d) }

func (l *linkTest) want(address string, isolated bool, want plan) {
	l.t.Helper()
	if diff := cmp.Diff(want, l.plan(address, isolated, l.now), cmp.AllowUnexported(plan{})); diff != "" {
		l.t.Errorf("plan (-want +got):\n%s", diff)
	}
}

func TestPlan(t *testing.T) {
	directFirst := plan{direct: true, tunnel: true}
	tunnelOnly := plan{tunnel: true, tunnelFirst: true}
	both := plan{direct: true, tunnel: true, tunnelFirst: true}
	t.Run("the direct way comes first", func(t *testing.T) {
		newLinkTest(t).want("a", false, directFirst)
	})
	t.Run("after a detour the tunnel comes first, with a probe now and then", func(t *testing.T) {
		l := newLinkTest(t)
		l.tunnelConnected("a", l.now)
		l.want("a", false, tunnelOnly)
		l.want("b", false, directFirst)
		l.pass(probeInterval)
		l.want("a", false, both)
		l.want("a", false, tunnelOnly)
	})
	t.Run("an isolated box uses tunnels for all servers", func(t *testing.T) {
		l := newLinkTest(t)
		l.want("a", true, both)
		l.want("a", true, tunnelOnly)
		l.want("b", true, both)
	})
	t.Run("a direct connection in place of a tunnel ends all detours", func(t *testing.T) {
		l := newLinkTest(t)
		l.tunnelConnected("a", l.now)
		l.tunnelConnected("b", l.now)
		if !l.directConnected("a", time.Millisecond) {
			t.Error("no recovery was reported")
		}
		l.want("a", false, directFirst)
		l.want("b", false, directFirst)
	})
	t.Run("a direct connection to a server without tunnels ends none", func(t *testing.T) {
		l := newLinkTest(t)
		l.tunnelConnected("a", l.now)
		if l.directConnected("b", time.Millisecond) {
			t.Error("a recovery was reported")
		}
		l.want("a", false, tunnelOnly)
	})
	t.Run("a server that helpers do not reach either gets no tunnels for longer and longer", func(t *testing.T) {
		l := newLinkTest(t)
		for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
			l.unreached("a", l.now)
			l.pass(pause - time.Millisecond)
			l.want("a", false, plan{direct: true})
			l.pass(time.Millisecond)
			l.want("a", false, directFirst)
		}
		l.unreached("a", l.now)
		l.want("a", true, both)
	})
	t.Run("links that are not used are forgotten", func(t *testing.T) {
		l := newLinkTest(t)
		l.tunnelConnected("a", l.now)
		l.pass(linkRetention)
		l.want("b", false, directFirst)
		if n := l.detourCount(); n != 0 {
			t.Errorf("%d detours are left", n)
		}
	})
}

// TestDueProbe checks that one server at a time is probed, each in turn, and none without a detour.
func TestDueProbe(t *testing.T) {
	l := newLinkTest(t)
	probe := func(want string) {
		t.Helper()
		if got := l.dueProbe(l.now); got != want {
			t.Errorf("probed %q, want %q", got, want)
		}
	}
	l.unreached("c", l.now)
	probe("")
	l.tunnelConnected("a", l.now)
	l.pass(time.Millisecond)
	l.tunnelConnected("b", l.now)
	l.pass(probeInterval)
	probe("a")
	probe("")
	l.pass(probeInterval)
	probe("b")
	l.pass(probeInterval)
	probe("a")
}

// TestHedgeDelay checks that the time after which a dial counts as late follows the usual dials.
func TestHedgeDelay(t *testing.T) {
	for name, v := range map[string]struct{ usual, want time.Duration }{
		"quick dials": {time.Millisecond, minHedgeDelay},
		"slow dials":  {20 * time.Millisecond, 80 * time.Millisecond},
		"slow box":    {time.Second, maxHedgeDelay},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLinkTest(t)
			for range 100 {
				l.directConnected("a", v.usual)
			}
			if got := l.hedgeDelay(minHedgeDelay, maxHedgeDelay); (got - v.want).Abs() > time.Millisecond {
				t.Errorf("%s, want %s", got, v.want)
			}
		})
	}
}
