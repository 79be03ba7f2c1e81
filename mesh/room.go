package mesh

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/relay"
)

// RoomMessage is the content of a claim of room at the servers of a hall, of its answer, or of the
// release of an unused claim.
type RoomMessage struct {
	// ID is chosen by the claiming box.
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint,omitempty"`
	// Hall is empty for the hall of the sender.
	Hall slatebridge.HallID `cbor:"3,keyasint,omitempty"`
	// SentAt is when the claim was made, like Message.SentAt.
	SentAt int64 `cbor:"4,keyasint,omitempty"`
	// Stages are the servers of the path in the hall. First says that the first of them is the
	// first server of the path.
	Stages []RoomStage `cbor:"5,keyasint,omitempty"`
	First  bool        `cbor:"6,keyasint,omitempty"`
	// Tokens is the number of tokens for which the request reserves memory.
	Tokens uint32 `cbor:"7,keyasint,omitempty"`
	// MemoryLimit and SlotLimit are those of fleet.Limits, per mille.
	MemoryLimit uint16 `cbor:"8,keyasint,omitempty"`
	SlotLimit   uint16 `cbor:"9,keyasint,omitempty"`
	// Granted, or the servers without room in Full, is the decision. Full may name servers of the
	// hall that were not claimed. If there is neither, the answering box cannot decide.
	Granted bool     `cbor:"10,keyasint,omitempty"`
	Full    []uint32 `cbor:"11,keyasint,omitempty"`
	// OnlySlots says that the servers in Full have enough memory, but no slot.
	OnlySlots bool `cbor:"13,keyasint,omitempty"`
	// Holder is the box to ask instead of the one that answers.
	Holder *relay.Candidate `cbor:"12,keyasint,omitempty"`
}

// RoomStage is one server of a claim.
type RoomStage struct {
	_       struct{} `cbor:",toarray"`
	ShortID uint32
	Layers  uint16
}

// maxRoomServers is the most servers that a message about room may name.
const maxRoomServers = 64

func (r *RoomMessage) validate() error {
	switch {
	case r == nil:
		return nil
	case len(r.Stages) > maxRoomServers, len(r.Full) > maxRoomServers, r.SentAt < 0:
		return errors.New("mesh: message has a claim of room with too many servers or a negative time")
	case r.MemoryLimit > perMille, r.SlotLimit > perMille:
		return errors.New("mesh: message has a claim of room with a limit above the whole capacity")
	}

	return nil
}

// perMille is the limit in a message that stands for the whole capacity.
const perMille = 1000

// EncodeShare converts a share of a capacity for a message, rounded down. Zero stands for no limit, so
// that the lowest other share is 1.
func EncodeShare(x float64) uint16 {
	if x <= 0 {
		return 0
	}
	// tolerance keeps shares of whole per mille, which are not exact in binary.
	const tolerance = 1e-6

	return uint16(max(1, math.Floor(min(x, 1)*perMille+tolerance)))
}

// DecodeShare is the inverse of EncodeShare.
func DecodeShare(n uint16) float64 { return float64(n) / perMille }
