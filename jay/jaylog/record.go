// Package jaylog is the client of the platform's append-only log.
//
// The log keeps records of named streams for a limited time. An append whose
// reply is lost is sent again with the same record ID, so a reducer sees a
// repeat as such.
package jaylog

import (
	"sync/atomic"

	"github.com/google/uuid"
)

// Stream names a stream of the log.
type Stream string

// Streams that the system writes.
const (
	StreamConfig Stream = "config"
	StreamLease  Stream = "lease"
	StreamOrder  Stream = "order"
	StreamOnce   Stream = "once"
)

// ID identifies a record; a record appended twice has the same ID.
type ID struct {
	// Incarnation identifies the process that wrote the record.
	Incarnation string `msgpack:"i"`
	// Sequence counts the records of the incarnation.
	Sequence uint64 `msgpack:"s"`
}

// Record is what a writer appends.
type Record struct {
	ID   ID     `msgpack:"id"`
	Kind string `msgpack:"k"`
	Body []byte `msgpack:"b"`
}

// Entry is a record with the offset that the log gave it.
type Entry struct {
	Offset int64  `msgpack:"o"`
	Record Record `msgpack:"r"`
}

// Batch is the answer to a read.
type Batch struct {
	// Oldest is the offset of the oldest record kept, or End where none is.
	Oldest int64 `msgpack:"old"`
	// End is the offset that the next append will get.
	End int64 `msgpack:"end"`
	// Entries are in offset order, without gaps.
	Entries []Entry `msgpack:"e"`
}

// Writer gives out record IDs of one incarnation.
type Writer struct {
	incarnation string
	sequence    atomic.Uint64
}

// NewWriter returns the source of record IDs of an incarnation.
func NewWriter(incarnation string) *Writer {
	return &Writer{incarnation: incarnation}
}

// NewIncarnation returns an identity for a process that has just started.
func NewIncarnation() string {
	return uuid.NewString()
}

// Record returns a record with a fresh ID.
func (w *Writer) Record(kind string, body []byte) Record {
	id := ID{Incarnation: w.incarnation, Sequence: w.sequence.Add(1)}
	return Record{ID: id, Kind: kind, Body: body}
}
