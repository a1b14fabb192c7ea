package jaylease

import (
	"slices"

	"jayfield.example/jay/jaylog"
)

const (
	// noOffset stands for the offset of a record where none has been read.
	noOffset = -1
	// maxReleased bounds the incarnations that are remembered after they released the lease.
	maxReleased = 64
)

// Holder is the incarnation that holds a cell's lease.
type Holder struct {
	// Incarnation is empty where no instance holds the lease.
	Incarnation string
	// Fence is the fencing number of the holder's orders.
	Fence int64
	// Offset is the offset of the holder's newest effective record.
	Offset int64
}

// View is the state of one cell's lease, derived from the records that a reader
// has read without a gap. Readers that start at different offsets never differ
// about which records took effect, except that the one that starts later may
// regard fewer of them as effective.
type View struct {
	cell string
	// start is the offset at which the reader started.
	start int64
	// position is the offset to read next.
	position int64
	// last is the offset of the cell's newest record, effective or not.
	last   int64
	holder Holder
	// released are the incarnations that released the lease and have not claimed it since, the
	// latest last.
	released []string
}

// NewView returns the view of a reader that starts at the given offset.
func NewView(cell string, start int64) View {
	return View{cell: cell, start: start, position: start, last: noOffset}
}

// Apply applies the next entry. It reports whether the entry is a record of
// the cell, and whether it took effect.
func (v *View) Apply(entry jaylog.Entry) (ofCell, effective bool) {
	v.position = entry.Offset + 1
	body, err := Decode(entry.Record.Body)
	if err != nil || body.Cell != v.cell {
		return false, false
	}
	upToDate := body.Read >= v.start && v.last < body.Read && body.Read <= entry.Offset
	v.last = entry.Offset
	if !upToDate {
		return true, false
	}
	writer := entry.Record.ID.Incarnation
	switch entry.Record.Kind {
	case RecordClaim:
		v.released = without(v.released, writer)
		v.holder = Holder{Incarnation: writer, Fence: entry.Offset + 1, Offset: entry.Offset}
	case RecordRenew:
		v.holder = Holder{Incarnation: writer, Fence: body.Fence, Offset: entry.Offset}
	case RecordRelease:
		v.holder = Holder{Offset: entry.Offset}
		v.released = append(without(v.released, writer), writer)
		v.released = v.released[max(0, len(v.released)-maxReleased):]
	}
	return true, true
}

// Holder returns the holder by log order. Whether the lease is still valid can
// be decided only by the holder, whose clock it runs on.
func (v *View) Holder() Holder {
	return v.holder
}

// Released reports whether an incarnation has released the lease by a record and not claimed it
// since.
func (v *View) Released(incarnation string) bool {
	return slices.Contains(v.released, incarnation)
}

// without returns a copy of a list without an incarnation.
func without(list []string, incarnation string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == incarnation })
}
