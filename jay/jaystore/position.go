package jaystore

import (
	"fmt"
	"strconv"
)

// Position is the place of a record in a topic: its offset, within an era of the store. An era ends when
// the store comes back from an older copy of itself. It then lacks the newest records, and gives their offsets
// to others. Positions compare as numbers: all positions of an era are before those of the next one.
//
// The zero value is the begin of a topic in the first era. Adding a number of records to a position that is not
// negative is valid.
type Position int64

const (
	// NoPosition stands for the position of a record that does not exist.
	NoPosition Position = -1
	// offsetBits is the number of bits of the offset, which suffice for a million records per second over twelve days.
	offsetBits = 40
	// MaxEra is the highest era of a position.
	MaxEra = 1<<(63-offsetBits) - 1
	// MaxOffset is the highest offset of a position.
	MaxOffset = 1<<offsetBits - 1
)

// NewPosition returns the position of an offset in an era. Both have to be from 0 to MaxOffset and MaxEra.
func NewPosition(era, offset int64) Position {
	return Position(era<<offsetBits | offset)
}

// Era returns the number of times that the store had come back from a copy, -1 for NoPosition.
func (p Position) Era() int64 {
	return int64(p >> offsetBits)
}

// Offset returns the offset within the era.
func (p Position) Offset() int64 {
	return int64(p & MaxOffset)
}

// Before returns the position a number of records earlier, at most the begin of the topic in the same era.
func (p Position) Before(records int) Position {
	return max(p-Position(records), NewPosition(p.Era(), 0))
}

// String returns the offset, with the era before it unless that is the first.
func (p Position) String() string {
	if p.Era() <= 0 {
		return strconv.FormatInt(int64(p), 10)
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
