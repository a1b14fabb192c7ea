// Package jaystore follows what outlasts an instance: keyed topics of a log
// that an outside store holds. The adapter speaks the store's protocol.
package jaystore

import (
	"context"

	"jayfield.example/jay/jayerror"
)

// Record is one record of a keyed topic. A record without a value ends its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Kind classifies a failed call.
type Kind string

// Kinds of failed calls.
const (
	// KindUnavailable may pass; the call may have taken effect where it writes.
	KindUnavailable Kind = "unavailable"
	// KindExpired says that records at the offset are no longer kept.
	KindExpired Kind = "expired"
	// KindConflict says that the condition of a write did not hold.
	KindConflict Kind = "conflict"
	// KindFormat says that the answer could not be read.
	KindFormat Kind = "format"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Topic names a topic of the store by its use.
type Topic string

// Topics that instances follow or write.
const (
	TopicPolicy    Topic = "policy"
	TopicUpstreams Topic = "upstreams"
	TopicMembers   Topic = "members"
)

// Reader reads keyed topics.
type Reader interface {
	// Newest returns the newest record of each key and the offset to go on reading at.
	Newest(ctx context.Context, topic Topic) (records []Record, end int64, err error)
	// Read returns records from an offset on and the offset after them. It waits for a
	// record where wait is set. Where the store cannot be read, records that are known from
	// elsewhere may come with the error.
	Read(ctx context.Context, topic Topic, from int64, wait bool) (records []Record, next int64, err error)
}

// Writer writes records of keyed topics.
type Writer interface {
	// Put appends a record that replaces the newest of its key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
}
