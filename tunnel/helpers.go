package tunnel

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/slatebridge/slatebridge"
)

const (
	// avoidTime is how long a helper that was not available is the last choice.
	avoidTime = time.Second
	// learnedRetention is how long a box that a helper named is remembered, and maxLearned how many.
	learnedRetention = 10 * time.Second
	maxLearned       = 64
	// minSoundShare is the share of the boxes of the own hall that must reach servers for these to be
	// preferred: a few of them could not carry the connections of all others.
	minSoundShare = 0.5
)

// helperSet holds the boxes that may help. It is safe for concurrent use.
type helperSet struct {
	self   slatebridge.BoxID
	hall   slatebridge.HallID
	random func() float64

	mu sync.Mutex
	// known are the boxes in the state of this one, and learned those that helpers named, by address.
	known   []Helper
	learned map[string]learnedHelper
	// avoidUntil is the end of the time for which a helper is avoided, by address.
	avoidUntil map[string]time.Time
}

type learnedHelper struct {
	Helper
	at time.Time
}

func newHelperSet(self slatebridge.BoxID, hall slatebridge.HallID, random func() float64) *helperSet {
	return &helperSet{self: self, hall: hall, random: random, learned: make(map[string]learnedHelper), avoidUntil: make(map[string]time.Time)}
}

// setKnown replaces the known boxes.
func (s *helperSet) setKnown(list []Helper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = list
}

// empty reports whether no box is known that may help.
func (s *helperSet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.known) == 0 && len(s.learned) == 0
}

// learn adds boxes that a helper named.
func (s *helperSet) learn(list []Helper, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, v := range s.learned {
		if now.Sub(v.at) > learnedRetention {
			delete(s.learned, address)
		}
	}
	for _, h := range list {
		if _, ok := s.learned[h.Address]; h.Box != s.self && (ok || len(s.learned) < maxLearned) {
			s.learned[h.Address] = learnedHelper{Helper: h, at: now}
		}
	}
}

// avoid makes a helper the last choice for a while.
func (s *helperSet) avoid(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, a)
		}
	}
	s.avoidUntil[address] = now.Add(avoidTime)
}

// pick returns up to n helpers in the order in which to try them: those that reach servers and are
// available first, of these the ones of the own hall if most of it reaches servers, and at random
// otherwise.
func (s *helperSet) pick(n int, now time.Time) []Helper {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(now)
	preferHall := s.hallIsSound(list)
	ranked := make([]rankedHelper, len(list))
	for i, h := range list {
		ranked[i] = rankedHelper{index: i, rank: s.random()}
		switch {
		case h.Isolated, now.Before(s.avoidUntil[h.Address]):
			ranked[i].rank += 2
		case h.Hall != s.hall, !preferHall:
			ranked[i].rank++
		}
	}
	slices.SortFunc(ranked, func(a, b rankedHelper) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Helper, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		out = append(out, list[r.index])
	}

	return out
}

// rankedHelper is a candidate with a lower rank the earlier it is to be tried.
type rankedHelper struct {
	index int
	rank  float64
}

// candidates returns all helpers, each once. The caller holds mu.
func (s *helperSet) candidates(now time.Time) []Helper {
	list := s.known[:len(s.known):len(s.known)]
	for address, v := range s.learned {
		isKnown := slices.ContainsFunc(s.known, func(h Helper) bool { return h.Address == address })
		if !isKnown && now.Sub(v.at) <= learnedRetention {
			list = append(list, v.Helper)
		}
	}

	return list
}

// hallIsSound reports whether most of the boxes of the own hall reach servers.
func (s *helperSet) hallIsSound(list []Helper) bool {
	sound, all := 0, 0
	for _, h := range list {
		if h.Hall != s.hall {
			continue
		}
		all++
		if !h.Isolated {
			sound++
		}
	}

	return float64(sound) >= minSoundShare*float64(all)
}

// sample returns up to n other boxes of the own hall that reach servers, chosen at random.
func (s *helperSet) sample(n int) []Helper {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Helper
	for _, h := range s.known {
		if h.Hall == s.hall && !h.Isolated {
			out = append(out, h)
		}
	}
	for i := range out[:min(n, len(out))] {
		j := i + min(int(s.random()*float64(len(out)-i)), len(out)-i-1)
		out[i], out[j] = out[j], out[i]
	}

	return out[:min(n, len(out))]
}
