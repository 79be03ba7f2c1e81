package tunnel

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/slatebridge/slatebridge"
)

// newTestHelpers returns the helpers of box "self" in hall "a", and a time.
func newTestHelpers(known ...Helper) (*helperSet, time.Time) {
	s := newHelperSet("self", "a", rand.New(rand.NewPCG(1, 2)).Float64)
	s.setKnown(known)

	return s, time.Unix(1000, 0)
}

func helper(box string, hall slatebridge.HallID, isolated bool) Helper {
	return Helper{Box: slatebridge.BoxID(box), Address: box + ":1", Hall: hall, Isolated: isolated}
}

// wantPicked fails the test unless the boxes are always picked, in groups of a fixed order.
func wantPicked(t *testing.T, s *helperSet, now time.Time, groups ...[]string) {
	t.Helper()
	for range 50 {
		picked := s.pick(100, now)
		for _, group := range groups {
			got, want := make(map[string]bool), make(map[string]bool)
			for i, box := range group {
				want[box] = true
				if i < len(picked) {
					got[string(picked[i].Box)] = true
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("picked (-want +got):\n%s", diff)
			}
			picked = picked[len(group):]
		}
		if len(picked) > 0 {
			t.Fatalf("also picked: %v", picked)
		}
	}
}

func TestPickHelpers(t *testing.T) {
	t.Run("the own hall first, isolated boxes last", func(t *testing.T) {
		s, now := newTestHelpers(helper("a1", "a", false), helper("a2", "a", false), helper("a3", "a", true), helper("b1", "b", false))
		wantPicked(t, s, now, []string{"a1", "a2"}, []string{"b1"}, []string{"a3"})
	})
	t.Run("all halls alike if most of the own hall is isolated", func(t *testing.T) {
		s, now := newTestHelpers(helper("a1", "a", false), helper("a2", "a", true), helper("a3", "a", true), helper("b1", "b", false))
		wantPicked(t, s, now, []string{"a1", "b1"}, []string{"a2", "a3"})
	})
	t.Run("boxes that were not available are avoided for a while", func(t *testing.T) {
		s, now := newTestHelpers(helper("a1", "a", false), helper("a2", "a", false))
		s.avoid("a1:1", now)
		wantPicked(t, s, now, []string{"a2"}, []string{"a1"})
		wantPicked(t, s, now.Add(avoidTime+1), []string{"a1", "a2"})
	})
	t.Run("boxes that helpers name are used for a while, but not this box itself", func(t *testing.T) {
		s, now := newTestHelpers(helper("a1", "a", false))
		s.learn([]Helper{helper("a1", "a", false), helper("a2", "a", false), helper("self", "a", false)}, now)
		wantPicked(t, s, now, []string{"a1", "a2"})
		wantPicked(t, s, now.Add(learnedRetention+1), []string{"a1"})
	})
	t.Run("the number of named boxes is bounded", func(t *testing.T) {
		s, now := newTestHelpers()
		for i := range 2 * maxLearned {
			s.learn([]Helper{helper(string(rune('A'+i)), "b", false)}, now)
		}
		if n := len(s.pick(1000, now)); n != maxLearned {
			t.Errorf("%d boxes", n)
		}
	})
}

// TestLoadOfHelpers checks that the connections of a hall that is cut off are divided among the other
// boxes.
func TestLoadOfHelpers(t *testing.T) {
	const helpers, dials = 20, 10000
	var known []Helper
	for i := range helpers {
		known = append(known, helper(string(rune('a'+i)), "b", false))
	}
	s, now := newTestHelpers(known...)
	first := make(map[slatebridge.BoxID]int)
	for range dials {
		first[s.pick(maxHelpers, now)[0].Box]++
	}
	for box, n := range first {
		if n < dials/helpers/2 || n > 2*dials/helpers {
			t.Errorf("%s was asked %d times of %d", box, n, dials)
		}
	}
}

func TestSampleHelpers(t *testing.T) {
	s, _ := newTestHelpers(helper("a1", "a", false), helper("a2", "a", false), helper("a3", "a", true), helper("b1", "b", false))
	seen := make(map[slatebridge.BoxID]bool)
	for range 50 {
		list := s.sample(1)
		if len(list) != 1 {
			t.Fatalf("%d boxes", len(list))
		}
		seen[list[0].Box] = true
	}
	if diff := cmp.Diff(map[slatebridge.BoxID]bool{"a1": true, "a2": true}, seen); diff != "" {
		t.Errorf("sampled (-want +got):\n%s", diff)
	}
}

// FuzzAlternates feeds arbitrary values of the header that names other boxes.
func FuzzAlternates(f *testing.F) {
	f.Add(formatAlternates([]Helper{helper("a1", "a", false), helper("b1", "b", false)}))
	f.Add(";;,x;;y,;1:2;")
	f.Fuzz(func(t *testing.T, value string) {
		list := parseAlternates(value)
		if len(list) > maxAlternates {
			t.Errorf("%d boxes", len(list))
		}
		if diff := cmp.Diff(list, parseAlternates(formatAlternates(list))); diff != "" {
			t.Errorf("read again (-first +second):\n%s", diff)
		}
	})
}
