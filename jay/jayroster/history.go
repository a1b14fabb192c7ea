package jayroster

import (
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// minHistory is the least number of records that are read after a snapshot: keys that were removed
// wrote records too.
const minHistory = 100

// history is the part of a topic before the end of a snapshot that is read again after it.
type history struct {
	// perKey is the number of records for each key of the snapshot, 0 for none.
	perKey int
	// from is where the history after the latest snapshot begins. The store keeps records for a time; the
	// history was too long for that as often as halvings states.
	from     jaystore.Position
	halvings int
}

// begin returns where to continue after a snapshot of a number of keys up to an offset.
func (h *history) begin(keys int, end jaystore.Position) jaystore.Position {
	if h.perKey == 0 {
		return end
	}
	h.from = end.Before(max(minHistory, h.perKey*keys) >> h.halvings)
	return h.from
}

// observe processes the result of a read of the store.
func (h *history) observe(from jaystore.Position, err error) {
	switch {
	case err == nil:
		h.halvings = 0
	case from == h.from && jayerror.Is(err, jaystore.KindExpired):
		h.halvings++
	}
}
