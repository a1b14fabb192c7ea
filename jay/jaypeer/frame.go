// Package jaypeer carries messages between entry instances over TCP.
//
// A frame is a length of 4 bytes, the most significant first, and a msgpack
// envelope. A connection starts with a handshake that proves to both sides
// that the other holds the shared key. Requests and replies are matched by
// number; a connection that stays silent is replaced.
package jaypeer

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
)

const (
	// Version is the version of the envelope; both sides must have the same.
	Version = 1
	// MaxFrame bounds a frame in bytes; the largest is a snapshot of the configuration.
	MaxFrame = 16 << 20
	// maxHello bounds the frames of the handshake in bytes.
	maxHello    = 1 << 10
	lengthSize  = 4
	writeBound  = 5 * time.Second
	helloBound  = 3 * time.Second
	nonceLength = 32
)

// Topic names what a request is about.
type Topic string

// Topics of requests.
const (
	// TopicDigest exchanges what both sides know of members and load.
	TopicDigest Topic = "digest"
	// TopicRoster exchanges what both sides know of instances and their work.
	TopicRoster Topic = "roster"
	// TopicMirror asks for records of the store that the other side has read.
	TopicMirror Topic = "mirror"
	// TopicCollect asks for the sums of a zone: the usage of a window and the demand.
	TopicCollect Topic = "collect"
	// TopicStreams carries records of streams to keep, or asks for them.
	TopicStreams Topic = "streams"
	// TopicSnapshot asks for the configuration above a position.
	TopicSnapshot Topic = "snapshot"
	// TopicCall forwards a call to the home of its key.
	TopicCall Topic = "call"
	// TopicSlow reports upstreams that have become slow.
	TopicSlow Topic = "slow"
	// TopicOutcomes carries the outcomes of an instance that stops.
	TopicOutcomes Topic = "outcomes"
)

// Envelope is one message of a connection.
type Envelope struct {
	Version int    `msgpack:"v"`
	Number  uint64 `msgpack:"n"`
	Reply   bool   `msgpack:"r"`
	Topic   Topic  `msgpack:"t"`
	// Refused is the reason of a reply without a body.
	Refused string `msgpack:"e"`
	Body    []byte `msgpack:"b"`
}

func readFrame(conn net.Conn, limit int, value any) error {
	length, err := readLength(conn, limit)
	if err != nil {
		return err
	}
	data, err := readContent(conn, length)
	if err != nil {
		return err
	}
	return decode(data, value)
}

// readEnvelope reads an envelope and reports it.
func readEnvelope(conn net.Conn, length uint32, traffic Traffic) (Envelope, error) {
	var envelope Envelope
	data, err := readContent(conn, length)
	if err != nil {
		return envelope, err
	}
	start := time.Now()
	if err := decode(data, &envelope); err != nil {
		return envelope, err
	}
	traffic.Received(envelope.Topic, lengthSize+len(data))
	traffic.Spent(envelope.Topic, time.Since(start))
	return envelope, nil
}

// readLength reads the length of a frame and checks that it is within a limit.
func readLength(conn net.Conn, limit int) (uint32, error) {
	var header [lengthSize]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return 0, jayerror.Wrap("read", KindFrame, err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > uint32(limit) { //nolint:gosec // Limits are small constants.
		return 0, jayerror.Newf("read", KindFrame, "length %d is not within 1 to %d", length, limit)
	}
	return length, nil
}

// readContent reads the content of a frame.
func readContent(conn net.Conn, length uint32) ([]byte, error) {
	data := make([]byte, length)
	if _, err := io.ReadFull(conn, data); err != nil {
		return nil, jayerror.Wrap("read", KindFrame, err)
	}
	return data, nil
}

func decode(data []byte, value any) error {
	if err := msgpack.Unmarshal(data, value); err != nil {
		return jayerror.Wrap("read", KindFrame, err)
	}
	return nil
}

func writeFrame(conn net.Conn, limit int, value any) error {
	frame, err := encodeFrame(limit, value)
	if err != nil {
		return err
	}
	return send(conn, frame)
}

// writeEnvelope writes an envelope and reports it.
func writeEnvelope(conn net.Conn, envelope Envelope, traffic Traffic) error {
	start := time.Now()
	frame, err := encodeFrame(MaxFrame, &envelope)
	if err != nil {
		return err
	}
	traffic.Spent(envelope.Topic, time.Since(start))
	if err := send(conn, frame); err != nil {
		return err
	}
	traffic.Sent(envelope.Topic, len(frame))
	return nil
}

// encodeFrame returns a frame with a value.
func encodeFrame(limit int, value any) ([]byte, error) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil, jayerror.Wrap("write", KindFrame, err)
	}
	if len(data) > limit {
		return nil, jayerror.Newf("write", KindFrame, "length %d is above %d", len(data), limit)
	}
	frame := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data))) //nolint:gosec // Checked against the limit.
	return append(frame, data...), nil
}

func send(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
		return jayerror.Wrap("write", KindFrame, err)
	}
	if _, err := conn.Write(frame); err != nil {
		return jayerror.Wrap("write", KindFrame, err)
	}
	return nil
}
