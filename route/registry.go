package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Policy chooses one of the candidates, of which there is at least one. It is safe for concurrent
// use.
type Policy func(candidates []Candidate) Candidate

// DefaultPolicy is the policy that is used if the settings name none.
const DefaultPolicy = "two-by-speed"

// policyConstructors is the registry of load-balancing policies: it maps the name of each policy to
// its constructor.
var policyConstructors = map[string]func(seed uint64) Policy{
	"two-choices":    newTwoChoices,
	"two-by-speed":   newTwoBySpeed,
	"cheapest":       newCheapest,
	"random":         newRandom,
	"round-robin":    newRoundRobin,
	"least-reported": newFewestStreams,
}

// Policies returns the sorted names of all policies.
func Policies() []string {
	names := make([]string, 0, len(policyConstructors))
	for name := range policyConstructors {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// NewPolicy returns the policy with the given name. The seed makes its random choices reproducible.
func NewPolicy(name string, seed uint64) (Policy, error) {
	constructor, ok := policyConstructors[name]
	if !ok {
		return nil, errors.Newf("route: unknown policy %q; known policies are %v", name, Policies())
	}

	return constructor(seed), nil
}

// lockedRand is a source of random numbers that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// intN returns a random number in [0, n).
func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rnd.IntN(n)
}

// newTwoChoices returns a policy that takes the cheaper of two random candidates. Comparing only
// two keeps boxes with the same outdated loads from all choosing the same server.
func newTwoChoices(seed uint64) Policy {
	rnd := newLockedRand(seed)

	return func(candidates []Candidate) Candidate {
		if len(candidates) == 1 {
			return candidates[0]
		}
		i := rnd.intN(len(candidates))
		j := rnd.intN(len(candidates) - 1)
		if j >= i {
			j++
		}
		if candidates[j].Cost() < candidates[i].Cost() {
			return candidates[j]
		}

		return candidates[i]
	}
}

// newTwoBySpeed returns a policy that takes the cheaper of two random candidates, drawn with
// replacement and with a probability proportional to their speed.
func newTwoBySpeed(seed uint64) Policy {
	rnd := newLockedRand(seed)

	return func(candidates []Candidate) Candidate {
		a := rnd.pickBySpeed(candidates)
		b := rnd.pickBySpeed(candidates)
		if b.Cost() < a.Cost() {
			return b
		}

		return a
	}
}

// pickBySpeed draws a candidate with a probability proportional to its speed.
func (r *lockedRand) pickBySpeed(candidates []Candidate) Candidate {
	sum := 0.0
	for _, c := range candidates {
		sum += c.speedOrDefault()
	}
	r.mu.Lock()
	remaining := r.rnd.Float64() * sum
	r.mu.Unlock()
	for _, c := range candidates {
		remaining -= c.speedOrDefault()
		if remaining < 0 {
			return c
		}
	}

	return candidates[len(candidates)-1]
}

// newCheapest returns a policy that takes the cheapest candidate. Boxes with the same outdated
// loads all choose the same one.
func newCheapest(uint64) Policy {
	return func(candidates []Candidate) Candidate {
		return slices.MinFunc(candidates, func(a, b Candidate) int {
			return cmp.Compare(a.Cost(), b.Cost())
		})
	}
}

func newRandom(seed uint64) Policy {
	rnd := newLockedRand(seed)

	return func(candidates []Candidate) Candidate {
		return candidates[rnd.intN(len(candidates))]
	}
}

// newRoundRobin returns a policy that takes turns among the candidates, separately for each first
// layer.
func newRoundRobin(uint64) Policy {
	var mu sync.Mutex
	turns := make(map[int]int)

	return func(candidates []Candidate) Candidate {
		mu.Lock()
		defer mu.Unlock()
		layer := candidates[0].Stage.Layers.From
		turns[layer]++

		return candidates[turns[layer]%len(candidates)]
	}
}

// newFewestStreams returns a policy that takes the candidate with the fewest streams, whatever its
// speed.
func newFewestStreams(uint64) Policy {
	return func(candidates []Candidate) Candidate {
		return slices.MinFunc(candidates, func(a, b Candidate) int {
			return a.Load - b.Load
		})
	}
}
