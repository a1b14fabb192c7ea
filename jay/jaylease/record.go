// Package jaylease decides by log order which instance gives orders to the
// engines of a cell, the engines of one availability zone.
//
// The package is pure: a Machine is told the time and what was read, and says
// what to append. It never compares wall clocks of two instances.
package jaylease

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// Kind classifies a failure of the lease.
type Kind string

// KindRecord means that a record cannot be read.
const KindRecord Kind = "record"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Kinds of records in the lease's stream.
const (
	RecordClaim   = "claim"
	RecordRenew   = "renew"
	RecordRelease = "release"
)

// Body is the body of a lease record.
type Body struct {
	Cell string `msgpack:"c"`
	// Read is the position up to which the writer has read the stream. The record takes
	// effect only if no other record of the cell lies between it and the record itself.
	Read int64 `msgpack:"r"`
	// Fence is the fencing number of a renewal or release; a claim's is its own offset and one.
	Fence int64 `msgpack:"f"`
}

// Encode returns the body of a record.
func (b Body) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&b)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindRecord, err)
	}
	return data, nil
}

// Decode reads the body of a record.
func Decode(data []byte) (Body, error) {
	var body Body
	if err := msgpack.Unmarshal(data, &body); err != nil {
		return Body{}, jayerror.Wrap("decode", KindRecord, err)
	}
	return body, nil
}
