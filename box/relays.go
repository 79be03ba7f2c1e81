package box

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/fleet"
	"github.com/slatebridge/slatebridge/relay"
)

// self returns this box as a candidate for a relay.
func (c *control) self() relay.Candidate {
	return relay.Candidate{Box: c.settings.Box, Address: c.settings.Listen.Mesh, Link: c.settings.Link, Ready: c.ready()}
}

// candidate returns the box as a candidate for a relay.
func (o *otherBox) candidate() relay.Candidate {
	return relay.Candidate{Box: o.id, Address: o.address, Link: o.link, Ready: o.ready}
}

// relays returns the boxes of the hall that this one reports to.
func (c *control) relays(now time.Time) []*otherBox {
	return c.bestIn(c.settings.Hall, now, relay.Count)
}

// farRelays returns the relays of another hall; if none answers, those that were
// heard last, since the hall may come back.
func (c *control) farRelays(hall slatebridge.HallID, now time.Time) []*otherBox {
	if out := c.bestIn(hall, now, relay.Count); len(out) > 0 {
		return out
	}
	var out []*otherBox
	for _, o := range c.peers {
		if o.near(hall) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *otherBox) int { return cmp.Or(b.heardAt.Compare(a.heardAt), cmp.Compare(a.id, b.id)) })

	return out[:min(len(out), relay.Count)]
}

// bestIn returns the n best other boxes of a hall that may be relays.
func (c *control) bestIn(hall slatebridge.HallID, now time.Time, n int) []*otherBox {
	var out []*otherBox
	for _, o := range c.peers {
		if o.near(hall) && o.answers(now) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *otherBox) int { return relay.Compare(a.candidate(), b.candidate()) })

	return out[:min(n, len(out))]
}

// candidates returns the n best boxes of a hall that this one hears, itself
// included.
func (c *control) candidates(hall slatebridge.HallID, n int) []relay.Candidate {
	var list []relay.Candidate
	if hall == c.settings.Hall && !c.leaving {
		list = append(list, c.self())
	}
	for _, o := range c.peers {
		if o.near(hall) && o.live() && !o.last.Leaving {
			list = append(list, o.candidate())
		}
	}

	return relay.Best(list, n)
}

// isRelay reports whether this box is one of the relays of its hall.
func (c *control) isRelay(now time.Time) bool {
	var list []relay.Candidate
	for _, o := range c.relays(now) {
		list = append(list, o.candidate())
	}

	return !c.leaving && relay.Rank(c.self(), list) < relay.Count
}

// farHalls returns the other halls of which anything is known.
func (c *control) farHalls() []slatebridge.HallID {
	halls := make(map[slatebridge.HallID]bool, len(c.farWork))
	for hall := range c.farWork {
		halls[hall] = true
	}
	for _, o := range c.peers {
		if o.hall != "" && !o.near(c.settings.Hall) {
			halls[o.hall] = true
		}
	}

	return slices.Sorted(maps.Keys(halls))
}

// vouch takes up boxes that another one hears.
func (c *control) vouch(hall slatebridge.HallID, list []relay.Candidate, at time.Time) {
	for _, v := range list {
		if v.Box == c.settings.Box {
			continue
		}
		o := c.peer(v.Box)
		if o.boot == "" || at.Sub(o.heardAt) > lostLeast {
			// What the box said itself goes first.
			o.address, o.hall, o.link, o.ready = v.Address, hall, v.Link, v.Ready
		}
		o.vouchedAt = later(o.vouchedAt, at)
	}
}

// chooseReader returns the box that shall read the store for the hall: the best
// relay that the store answers, or the best of all boxes that report if it
// answers no relay.
func (c *control) chooseReader(now time.Time) slatebridge.BoxID {
	var list []relay.Candidate
	if c.mayRead(now) {
		list = append(list, c.self())
	}
	for _, o := range c.peers {
		if o.near(c.settings.Hall) && o.live() && o.last.Reads && !o.last.Leaving {
			list = append(list, o.candidate())
		}
	}
	if len(list) == 0 {
		return c.settings.Box
	}

	return relay.Best(list, 1)[0].Box
}

// readsForHall reports whether this box reads the store for its hall. A box goes
// by the word of the best relay that it hears. After a start none is heard yet,
// and only the boxes that are seeds go on after their first read.
func (c *control) readsForHall(now time.Time) bool {
	relays := c.relays(now)
	alone := !slices.ContainsFunc(relays, (*otherBox).live)
	if alone && now.Sub(c.box.started) < joinTime && !slices.Contains(c.settings.Seeds, c.settings.Listen.Mesh) {
		return false
	}
	if alone || c.isRelay(now) {
		return c.chooseReader(now) == c.settings.Box
	}
	for _, o := range relays {
		if o.live() && o.reader != "" {
			return o.reader == c.settings.Box
		}
	}

	return false
}

// readAgain is how long after a failed call a box may be chosen to read the store
// again. It does not call meanwhile, so that it does not find out by itself.
const readAgain = 5 * time.Second

// mayRead reports whether the store answers this box, as far as it knows.
func (c *control) mayRead(now time.Time) bool {
	for topic, down := range c.storeDown {
		if down && (c.box.reader.Load() || now.Sub(c.storeDownAt[topic]) < readAgain) {
			return false
		}
	}

	return true
}

// patience returns how much longer than a relay this box waits without a proof
// until it reads the store itself. While the store is away for all, the boxes of a
// hall together try it twice in a second or so.
func (c *control) patience(now time.Time) time.Duration {
	if c.hallWork.live <= 1 || c.isRelay(now) {
		return 0
	}
	part := float64(fleet.Number(slatebridge.ServerID(c.settings.Box))) / math.MaxUint32

	return time.Duration(part * float64(c.hallWork.live) * float64(otherShare))
}
