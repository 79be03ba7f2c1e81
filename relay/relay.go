// Package relay selects the boxes of a hall that relay gossip. Each box receives the state of
// hundreds of others from a few relays, not from each of them. Traffic thus grows linearly with the
// number of boxes, not quadratically, and every box learns the state of the whole hall within one
// gossip round.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/slatebridge/slatebridge"
)

// PerHall is the number of relays per hall. With two, one may fail without a gap in gossip. The
// number of messages is proportional to the number of relays.
const PerHall = 2

// Candidate is a box that can be a relay of its hall.
type Candidate struct {
	Box     slatebridge.BoxID `cbor:"1,keyasint"`
	Address string            `cbor:"2,keyasint"`
	// LinkRate is the bandwidth of the box's own link in bytes a second. A relay sends to all boxes
	// of its hall, so boxes with the fastest links are preferred.
	LinkRate float64 `cbor:"3,keyasint"`
	// CanLead says that the box can be elected to issue placement orders to servers. Compare
	// ignores it.
	CanLead bool `cbor:"4,keyasint,omitempty"`
	// Starting says that the box started too recently to give grants. Compare ignores it.
	Starting bool `cbor:"5,keyasint,omitempty"`
}

// Compare orders candidates, best first. Boxes with equal links are ordered by hash. Otherwise a
// rolling restart in name order would hit the relays one after the other.
func Compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(b.LinkRate, a.LinkRate),
		cmp.Compare(xxhash.Sum64String(string(a.Box)), xxhash.Sum64String(string(b.Box))),
		cmp.Compare(a.Box, b.Box),
	)
}

// Select returns the n best candidates, in order.
func Select(list []Candidate, n int) []Candidate {
	out := slices.SortedFunc(slices.Values(list), Compare)

	return out[:min(n, len(out))]
}

// Rank returns the number of candidates that are better than the box. A box is a relay if that is
// less than PerHall. One with a rank of PerHall becomes a relay if one is lost. In halls of more
// than a few boxes, it also campaigns before the relays when the leader is elected, since a relay
// that leads would delay gossip (see electionRank in package box).
func Rank(box Candidate, list []Candidate) int {
	n := 0
	for _, c := range list {
		if Compare(c, box) < 0 {
			n++
		}
	}

	return n
}
