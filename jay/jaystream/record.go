package jaystream

import (
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

// maxBatch is the largest number of streams in a record.
const maxBatch = 4000

// Group is the part of a record that concerns one version of a service.
type Group struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // It sets the format.

	// Service is the hash of the name.
	Service uint64
	Version string
	// Streams are the keys of streams that the version began. If there are none, the version is no longer in play.
	Streams []Key
}

// EncodeRecord returns a record of the log.
func EncodeRecord(groups []Group) ([]byte, error) {
	record, err := msgpack.Marshal(groups)
	if err != nil {
		return nil, jayerror.Wrap("record", KindFormat, err)
	}
	return record, nil
}

// DecodeRecord decodes a record of the log.
func DecodeRecord(record []byte) ([]Group, error) {
	var groups []Group
	if err := msgpack.Unmarshal(record, &groups); err != nil {
		return nil, jayerror.Wrap("record", KindFormat, err)
	}
	return groups, nil
}
