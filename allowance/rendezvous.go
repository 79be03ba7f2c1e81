package allowance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/slatebridge/slatebridge"
)

// RendezvousOwner returns the name that owns a server by rendezvous hashing. Every box that knows
// the same names computes the same owner, each server ranks the names differently, and adding or
// removing a name moves only few servers.
func RendezvousOwner[T ~string](server slatebridge.ServerID, names []T) (T, bool) {
	if len(names) == 0 {
		return "", false
	}

	return slices.MinFunc(names, func(a, b T) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(server, a), rendezvousWeight(server, b)), cmp.Compare(a, b))
	}), true
}

func rendezvousWeight[T ~string](server slatebridge.ServerID, name T) uint64 {
	return xxhash.Sum64String(string(server) + "\x00" + string(name))
}
