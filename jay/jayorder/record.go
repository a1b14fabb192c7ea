// Package jayorder tracks the orders recorded for engines. An order is
// outstanding from the time it is recorded, before it is sent, until its result
// is recorded, which settles it.
package jayorder

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
)

// Kind classifies the errors of the package.
type Kind string

// Kinds of errors.
const (
	// KindRecord means that a record body cannot be encoded or decoded.
	KindRecord Kind = "record"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Kinds of records in the order stream.
const (
	RecordOrder   = "order"
	RecordSettled = "settled"
)

// Result is how an order ended.
type Result string

// Results of orders.
const (
	// ResultDone means that the engine carried out the order.
	ResultDone Result = "done"
	// ResultFailed means that the engine accepted the order without reaching the ordered state, or
	// restarted while the order's effect was unknown.
	ResultFailed Result = "failed"
	// ResultVoid means that the engine did not accept the order and will not accept it later.
	ResultVoid Result = "void"
)

// Record is the body of a record: an order before it is sent, or its result.
type Record struct {
	Cell   string `msgpack:"c"`
	Engine string `msgpack:"e"`
	// Fence is the fencing number of the writer's lease.
	Fence int64 `msgpack:"f"`
	// Writer is the incarnation that sends the order.
	Writer string          `msgpack:"w"`
	Order  jayengine.Order `msgpack:"o"`
	// Result is empty while the order is outstanding.
	Result Result `msgpack:"r"`
}

// Encode returns the encoded body of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindRecord, err)
	}
	return data, nil
}

// sequenceBits is the number of low bits of an engine's fencing number that count the orders of one lease.
const sequenceBits = 16

// EngineFence returns the fencing number that an order carries to the engine.
// Orders of a later lease have higher numbers than all of an earlier lease, and
// within a lease later orders have higher numbers.
func EngineFence(fence, sequence int64) int64 {
	return fence<<sequenceBits + sequence
}

// Ledger holds the outstanding orders that a reader derives from the stream of
// orders. All readers accept the same orders, since only log order counts.
type Ledger struct {
	position    int64
	outstanding map[string]Record
}

// NewLedger returns the ledger of a reader that starts at the given offset.
func NewLedger(start int64) *Ledger {
	return &Ledger{position: start, outstanding: make(map[string]Record)}
}

// Apply applies the next entry. An order has no effect while another order of its engine is outstanding.
func (l *Ledger) Apply(entry jaylog.Entry) {
	if entry.Offset != l.position {
		return
	}
	l.position = entry.Offset + 1
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

// SkipTo continues at the offset of the oldest retained record, as the records
// before it have expired. Outstanding orders stay outstanding.
func (l *Ledger) SkipTo(oldest int64) {
	l.position = max(l.position, oldest)
}

// Position returns the offset to read next.
func (l *Ledger) Position() int64 {
	return l.position
}

// Outstanding returns the outstanding order of an engine.
func (l *Ledger) Outstanding(engine string) (Record, bool) {
	record, ok := l.outstanding[engine]
	return record, ok
}

// EnginesWithOrders returns the engines with an outstanding order.
func (l *Ledger) EnginesWithOrders() map[string]bool {
	engines := make(map[string]bool, len(l.outstanding))
	for name := range l.outstanding {
		engines[name] = true
	}
	return engines
}

// OutstandingInCell returns the outstanding orders of a cell.
func (l *Ledger) OutstandingInCell(cell string) []Record {
	var list []Record
	for _, record := range l.outstanding {
		if record.Cell == cell {
			list = append(list, record)
		}
	}
	return list
}
