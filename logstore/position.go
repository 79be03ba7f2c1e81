package logstore

import "fmt"

// Position is a position in a topic of the store: an offset and the era in which it was assigned.
// An era begins when the store is restored from a copy that is some seconds old: records
// acknowledged since the copy are lost, and their offsets are assigned again. The greater of two
// positions is the later one. In a store that was never restored, positions equal offsets.
type Position int64

const (
	// offsetBits is the number of bits of the offset. 2^40 records last 35 years at a thousand per
	// second, and with 2^13 eras positions still fit into 53 bits, which every JSON reader
	// represents exactly.
	offsetBits = 40
	offsetMask = 1<<offsetBits - 1
)

// NewPosition returns the position of an offset in an era.
func NewPosition(era, offset int64) Position { return Position(era<<offsetBits | offset&offsetMask) }

// Era returns the era of the position.
func (p Position) Era() int64 { return int64(p >> offsetBits) }

// Offset returns the offset of the position.
func (p Position) Offset() int64 { return int64(p & offsetMask) }

// Advance returns the position n records later in the same era.
func (p Position) Advance(n int) Position { return p + Position(n) }

// String returns the position as shown in logs.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era(), p.Offset()) }
