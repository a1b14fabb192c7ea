package jaylease

import "jayfield.example/jay/jaylog"

// none is the offset before the first record.
const none = -1

// Holder is the incarnation that holds a cell's lease.
type Holder struct {
	// Incarnation is empty where nobody holds the lease.
	Incarnation string
	// Fence is the fencing number of the holder's orders.
	Fence int64
	// Offset is the offset of the holder's newest effective record.
	Offset int64
}

// View is what a reader concludes about one cell from the records that it has
// read without a gap. Two readers never conclude that different records took
// effect, wherever they began, except that the later one may know less.
type View struct {
	cell string
	// start is the offset where the reader began.
	start int64
	// next is the offset to read next.
	next int64
	// last is the offset of the cell's newest record, effective or not.
	last   int64
	holder Holder
	// released is the incarnation that last gave the lease up.
	released string
}

// NewView returns the view of a reader that begins at an offset.
func NewView(cell string, start int64) View {
	return View{cell: cell, start: start, next: start, last: none}
}

// Apply takes in the next entry. It reports whether the entry is a record of
// the cell, and whether it took effect.
func (v *View) Apply(entry jaylog.Entry) (own, effective bool) {
	v.next = entry.Offset + 1
	body, err := Decode(entry.Record.Body)
	if err != nil || body.Cell != v.cell {
		return false, false
	}
	alone := body.Read >= v.start && v.last < body.Read && body.Read <= entry.Offset
	v.last = entry.Offset
	if !alone {
		return true, false
	}
	writer := entry.Record.ID.Incarnation
	switch entry.Record.Kind {
	case RecordClaim:
		v.holder = Holder{Incarnation: writer, Fence: entry.Offset + 1, Offset: entry.Offset}
	case RecordRenew:
		v.holder = Holder{Incarnation: writer, Fence: body.Fence, Offset: entry.Offset}
	case RecordRelease:
		v.holder = Holder{Offset: entry.Offset}
		v.released = writer
	}
	return true, true
}

// Holder returns the holder by log order; whether its lease still runs only itself knows.
func (v *View) Holder() Holder {
	return v.holder
}

// Released reports whether an incarnation gave the lease up by a record.
func (v *View) Released(incarnation string) bool {
	return v.released == incarnation
}
