// Package jayorder keeps the orders that were recorded for engines, from
// before they are sent until they are settled.
package jayorder

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
)

// Kind classifies a failure of an order.
type Kind string

// Kinds of failures.
const (
	// KindRecord means that a record cannot be read.
	KindRecord Kind = "record"
	// KindBlocked means that another order of the engine is not settled.
	KindBlocked Kind = "blocked"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Kinds of records in the orders' stream.
const (
	RecordOrder   = "order"
	RecordSettled = "settled"
)

// Result is how an order ended.
type Result string

// Results of orders.
const (
	// ResultDone means that the engine carried the order out.
	ResultDone Result = "done"
	// ResultFailed means that the engine took the order and is not as ordered.
	ResultFailed Result = "failed"
	// ResultVoid means that the engine never took the order and never will.
	ResultVoid Result = "void"
)

// Record is the body of a record: an order before it is sent, or its end.
type Record struct {
	Cell   string `msgpack:"c"`
	Engine string `msgpack:"e"`
	// Fence is the lease's fencing number of the writer.
	Fence int64 `msgpack:"f"`
	// Writer is the incarnation that sends the order.
	Writer string          `msgpack:"w"`
	Order  jayengine.Order `msgpack:"o"`
	// Result is empty while the order is not settled.
	Result Result `msgpack:"r"`
}

// Encode returns the body of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindRecord, err)
	}
	return data, nil
}

// orderBits are the bits of an engine's fencing number that count the orders of one lease.
const orderBits = 16

// Number returns the fencing number of an order as engines see it: orders of
// a later lease are above all of an earlier one, and later ones of a lease above earlier.
func Number(fence, sequence int64) int64 {
	return fence<<orderBits + sequence
}

// Ledger is what a reader knows of a stream of orders. All readers accept the
// same orders, since only log order counts.
type Ledger struct {
	next        int64
	outstanding map[string]Record
}

// NewLedger returns the ledger of a reader that begins at an offset.
func NewLedger(start int64) *Ledger {
	return &Ledger{next: start, outstanding: make(map[string]Record)}
}

// Apply takes in the next entry. An order for an engine with an order that is not settled has no effect.
func (l *Ledger) Apply(entry jaylog.Entry) {
	if entry.Offset != l.next {
		return
	}
	l.next = entry.Offset + 1
	var record Record
	if msgpack.Unmarshal(entry.Record.Body, &record) != nil {
		return
	}
	current, busy := l.outstanding[record.Engine]
	switch entry.Record.Kind {
	case RecordOrder:
		if !busy {
			l.outstanding[record.Engine] = record
		}
	case RecordSettled:
		if busy && current.Order.ID == record.Order.ID {
			delete(l.outstanding, record.Engine)
		}
	}
}

// Gap tells the ledger that records before an offset are gone. What is outstanding stays so.
func (l *Ledger) Gap(oldest int64) {
	l.next = max(l.next, oldest)
}

// Next returns the offset to read next.
func (l *Ledger) Next() int64 {
	return l.next
}

// Outstanding returns the order of an engine that is not settled.
func (l *Ledger) Outstanding(engine string) (Record, bool) {
	record, ok := l.outstanding[engine]
	return record, ok
}

// Engines returns the engines with an order that is not settled.
func (l *Ledger) Engines() map[string]bool {
	engines := make(map[string]bool, len(l.outstanding))
	for name := range l.outstanding {
		engines[name] = true
	}
	return engines
}

// Cell returns the orders of a cell that are not settled.
func (l *Ledger) Cell(cell string) []Record {
	var list []Record
	for _, record := range l.outstanding {
		if record.Cell == cell {
			list = append(list, record)
		}
	}
	return list
}
