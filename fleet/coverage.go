package fleet

// HasAllLayers reports whether available servers, including those in a cooldown, in the slow start
// after one or without a grant available now, hold every layer of the service's model and form a
// path of permitted length.
//
// Load pattern: each box asks four times a second whether it may accept callers. Usually the first
// few dozen servers, out of thousands, already hold all layers, so no path search is needed.
func (f *Fleet) HasAllLayers(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.membersOf(service)
	q, now := Query{Service: service, ignoreAdmission: true}, f.now()
	var c coverage
	for _, m := range list {
		if m.model == nil {
			continue
		}
		if c.reach == nil {
			c = newCoverage(m.model.Layers)
		}
		if m.offersLayers(q, now) && c.add(m) && c.hasPath() {
			return true
		}
	}

	return c.reach != nil && c.hasPath()
}

// coverage tracks how far a single server can carry a path onward from each layer.
type coverage struct {
	// reach holds, for each start layer, the end of the longest range any server runs from there;
	// zero if no server holds the layer.
	reach []int
	// missing counts the layers that no server holds.
	missing int
}

func newCoverage(layers int) coverage {
	return coverage{reach: make([]int, layers), missing: layers}
}

// add adds a server and reports whether it supplied the last missing layers.
func (c *coverage) add(m *member) bool {
	before := c.missing
	for layer := m.Layers.From; layer < m.Layers.To; layer++ {
		if c.reach[layer] == 0 {
			c.missing--
		}
		c.reach[layer] = max(c.reach[layer], m.Layers.To)
	}

	return before > 0 && c.missing == 0
}

// hasPath reports whether at most maxStages servers run all layers.
func (c *coverage) hasPath() bool {
	layer := 0
	for range maxStages {
		if layer == len(c.reach) {
			return true
		}
		if c.reach[layer] == 0 {
			return false
		}
		layer = c.reach[layer]
	}

	return layer == len(c.reach)
}
