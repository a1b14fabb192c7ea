// Package jaystore follows and mirrors the keyed topics of a log in an external
// store, whose records outlast an instance. The adapter implements the protocol
// of the store.
package jaystore

import (
	"context"

	"jayfield.example/jay/jayerror"
)

// Record is one record of a keyed topic. A record without a value is a tombstone: it deletes its key.
type Record struct {
	Key   string
	Value []byte
	// Position has the name of former releases in messages.
	Position Position `msgpack:"Offset"`
}

// Kind classifies a failed call.
type Kind string

// Kinds of failed calls.
const (
	// KindUnavailable is transient; a write may have taken effect all the same.
	KindUnavailable Kind = "unavailable"
	// KindExpired means that the records at the position are past the retention of the topic.
	KindExpired Kind = "expired"
	// KindConflict means that the condition of a write did not hold.
	KindConflict Kind = "conflict"
	// KindInterrupted means that a read was interrupted while it waited for records.
	KindInterrupted Kind = "interrupted"
	// KindFormat means that the response could not be decoded.
	KindFormat Kind = "format"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Topic names a topic of the store by its use.
type Topic string

// Topics that instances read or write.
const (
	TopicPolicy    Topic = "policy"
	TopicUpstreams Topic = "upstreams"
	TopicMembers   Topic = "members"
	// TopicDuty holds the lease of the duties at the control API, TopicUsage the usage reports and
	// TopicScale the orders of engines.
	TopicDuty  Topic = "duty"
	TopicUsage Topic = "usage"
	TopicScale Topic = "scale"
	// TopicStreams holds the versions of upstreams that began streams. It is a Log.
	TopicStreams Topic = "streams"
)

// Reader reads keyed topics.
type Reader interface {
	// Newest returns the newest record of each key and the position at which to continue reading.
	Newest(ctx context.Context, topic Topic) (records []Record, end Position, err error)
	// Read returns the records from a position on and the position after them. It blocks until there
	// is a record, unless interrupt is nil. Closing interrupt ends the wait with KindInterrupted,
	// but not a transfer of records that has begun. If the store is unavailable, Read may return,
	// along with the error, records that another instance has read.
	Read(ctx context.Context, topic Topic, from Position, interrupt <-chan struct{}) (records []Record, next Position, err error)
}

// Log is a topic without keys, whose records expire.
type Log interface {
	// Append appends records, all or none of them.
	Append(ctx context.Context, topic Topic, records [][]byte) error
	// ReadLog returns the records from a position on and the position after them, without waiting. NoPosition selects
	// the oldest record that is kept. The error is of KindExpired if the store does not have the position.
	ReadLog(ctx context.Context, topic Topic, from Position) (records [][]byte, next Position, err error)
}

// Writer writes records of keyed topics.
type Writer interface {
	// Put appends a record, which replaces the previous one of its key, and returns its position.
	Put(ctx context.Context, topic Topic, key string, value []byte) (position Position, err error)
	// PutAt is Put for a topic that ends at a position: it fails with KindConflict, without an effect, if
	// the topic has other records. A call without an answer takes effect later only if that still holds.
	PutAt(ctx context.Context, topic Topic, key string, value []byte, end Position) error
}
