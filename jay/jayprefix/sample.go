// Package jayprefix estimates the size of the distinct prompt prefixes that are in use at many instances. Each
// instance keeps a small sample of its own, and samples are merged without counting a prefix twice. It does no I/O
// and reads no clock.
package jayprefix

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// size is the number of prefixes of a sample. The relative standard error of the estimate is 1/sqrt(size-1),
	// 0.18, whatever the sizes of the prefixes.
	size = 32
	// entryBytes is the length of an encoded prefix: four bytes of its hash and two of its size in units.
	entryBytes, hashBytes = 6, 4
	// unit is the number of tokens in which sizes are stated.
	unit = 16
)

// Sample is a priority sample (Duffield, Lund, Thorup: "Priority sampling for estimation of arbitrary subset sums",
// 2007) of distinct prefixes, encoded: those with the highest ratio of the size to a uniform number that is derived
// from the hash, and one more. The number is the same at each instance, so that samples can be merged. The
// empty sample is that of no prefixes.
type Sample string

// entry is a sampled prefix.
type entry struct {
	hash  uint32
	units uint16
}

// priority returns the rank of a prefix in a sample.
func (e entry) priority() float64 {
	return float64(e.units) * unit / ((float64(e.hash) + 0.5) / (1 << (8 * hashBytes))) //nolint:mnd // Bits of a byte.
}

// compare orders prefixes from the highest priority.
func compare(a, b entry) int {
	return cmp.Or(cmp.Compare(b.priority(), a.priority()), cmp.Compare(a.hash, b.hash))
}

// toUnits returns the size of a prefix in units.
func toUnits(tokens int) uint16 {
	return uint16(min(max(1, (tokens+unit-1)/unit), math.MaxUint16))
}

// Merge returns the sample of the prefixes of both. If they differ in the size of a prefix, the larger one counts.
func (s Sample) Merge(other Sample) Sample {
	switch {
	case s == other, other == "":
		return s
	case s == "":
		return other
	}
	units := make(map[uint32]uint16, 2*size)
	for _, e := range append(s.entries(), other.entries()...) {
		units[e.hash] = max(units[e.hash], e.units)
	}
	return encode(units)
}

// Tokens returns the estimated size of all prefixes. It is exact to the unit if there are no more than the sample holds.
func (s Sample) Tokens() int {
	entries, least := s.entries(), 0.0
	if len(entries) > size {
		least, entries = entries[size].priority(), entries[:size]
	}
	total := 0.0
	for _, e := range entries {
		total += max(least, float64(e.units)*unit)
	}
	return int(total)
}

// entries returns the prefixes of a sample, at most one more than size.
func (s Sample) entries() []entry {
	data := []byte(s)
	entries := make([]entry, 0, 2*(size+1))
	for ; len(data) >= entryBytes && len(entries) <= size; data = data[entryBytes:] {
		entries = append(entries, entry{binary.BigEndian.Uint32(data), binary.BigEndian.Uint16(data[hashBytes:])})
	}
	return entries
}

// encode returns the sample of prefixes, given by their hashes and sizes.
func encode(units map[uint32]uint16) Sample {
	entries := make([]entry, 0, len(units))
	for hash, n := range units {
		entries = append(entries, entry{hash, n})
	}
	slices.SortFunc(entries, compare)
	entries = entries[:min(len(entries), size+1)]
	data := make([]byte, 0, len(entries)*entryBytes)
	for _, e := range entries {
		data = binary.BigEndian.AppendUint32(data, e.hash)
		data = binary.BigEndian.AppendUint16(data, e.units)
	}
	return Sample(data)
}
