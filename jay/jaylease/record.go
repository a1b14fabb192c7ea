// Package jaylease decides by log order which instance holds the lease of a
// cell and may send orders to its engines. A cell is the engines of one
// availability zone.
//
// The package does no I/O and reads no clock: a Machine is passed the current
// time and the entries read, and returns the records to append. It never
// compares the wall clocks of two instances.
package jaylease

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// Kind classifies the errors of the package.
type Kind string

// KindRecord means that a record body cannot be encoded or decoded.
const KindRecord Kind = "record"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Kinds of records in the lease stream.
const (
	RecordClaim   = "claim"
	RecordRenew   = "renew"
	RecordRelease = "release"
)

// Body is the body of a lease record.
type Body struct {
	Cell string `msgpack:"c"`
	// Read is the offset up to which the writer has read the stream. The record takes
	// effect only if no other record of the cell lies between that offset and the record itself.
	Read int64 `msgpack:"r"`
	// Fence is the fencing number of a renewal or release. That of a claim is the claim's offset plus one.
	Fence int64 `msgpack:"f"`
}

// Encode returns the encoded body of a record.
func (b Body) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&b)
	if err != nil {
		return nil, jayerror.Wrap("encode", KindRecord, err)
	}
	return data, nil
}

// Decode decodes the body of a record.
func Decode(data []byte) (Body, error) {
	var body Body
	if err := msgpack.Unmarshal(data, &body); err != nil {
		return Body{}, jayerror.Wrap("decode", KindRecord, err)
	}
	return body, nil
}
