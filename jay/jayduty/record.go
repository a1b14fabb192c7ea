// Package jayduty decides when an instance claims, renews and releases the lease of a deployment's duties at
// the control API. The lease is a record in a topic of the store; claims, renewals and releases are
// appended on the condition that the topic has no record that their writer has not read.
package jayduty

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// Key is the key of the lease's records in the topic.
const Key = "holder"

// Kind is what a record does to the lease.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindRenew   Kind = "renew"
	KindRelease Kind = "release"
	// KindFormer stands for all records that were written under a fencing token of a former era of the store, and for none
	// in a later era. It is not written.
	KindFormer Kind = "former"
)

// ErrorKind classifies errors.
type ErrorKind string

// KindFormat means that a record is malformed.
const KindFormat ErrorKind = "format"

// Error is the error type of the package.
type Error = jayerror.Error[ErrorKind]

// Record is a record of the lease.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Kind     Kind
	// Machine is the name under which the holder calls the control API.
	Machine     string
	Incarnation string
	// Fence is the fencing token: the position of the claim plus one.
	Fence int64
	// Nonce identifies the append.
	Nonce string
}

// Encode returns the record as bytes.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindFormat, err)
	}
	return data, nil
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, jayerror.Wrap("decode", KindFormat, err)
	}
	return r, nil
}
