package quarantine

// generationSize is the minimum number of recent entries that are remembered. Popular requests and prompt
// parts are answered again before that many others are.
const generationSize = 4096

// generations remembers the latest values by fingerprint. Entries live in two generations, so that those
// that were not set for long are forgotten.
type generations[V any] struct {
	recent, older map[Fingerprint]V
}

func newGenerations[V any]() generations[V] {
	return generations[V]{recent: make(map[Fingerprint]V), older: make(map[Fingerprint]V)}
}

// get returns the value for a fingerprint, and whether there is one.
func (g *generations[V]) get(f Fingerprint) (V, bool) {
	if v, ok := g.recent[f]; ok {
		return v, true
	}
	v, ok := g.older[f]

	return v, ok
}

func (g *generations[V]) set(f Fingerprint, v V) {
	if len(g.recent) >= generationSize {
		g.recent, g.older = g.older, g.recent
		clear(g.recent)
	}
	g.recent[f] = v
}
