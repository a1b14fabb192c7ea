package jayroster

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

const (
	// minCompressBytes is the size of records from which they are compressed.
	minCompressBytes = 8 << 10
	// compressionWindow bounds the memory of a compressor in bytes.
	compressionWindow = 512 << 10
)

const (
	// formerVersion is the version of requests and replies of a release whose positions were offsets without an era. Requests of it
	// are answered in the same way, replies of it are not used.
	formerVersion = 0
	// mirrorVersion is the version of requests and replies whose positions have an era.
	mirrorVersion = 2
)

// mirrorRequest asks for the records of a topic from a position on.
type mirrorRequest struct {
	Version int               `msgpack:"v"`
	Topic   jaystore.Topic    `msgpack:"t"`
	From    jaystore.Position `msgpack:"f"`
	// Receiver is the incarnation of the requesting instance; instances that set it accept
	// compressed records and replies without records. Peer is the address at which it serves
	// the records itself once it has received them.
	Receiver string `msgpack:"q,omitempty"`
	Peer     string `msgpack:"p,omitempty"`
	// Received confirms the receipt of the latest records; the request asks for none.
	Received bool `msgpack:"d,omitempty"`
}

// mirrorReply is the reply to a mirrorRequest.
type mirrorReply struct {
	Version int               `msgpack:"v"`
	Records []jaystore.Record `msgpack:"r"`
	// Compressed holds the records if they are compressed.
	Compressed []byte `msgpack:"z,omitempty"`
	// Next is the position after all that the instance has read, -1 before its first read and
	// with Expired or Busy.
	Next jaystore.Position `msgpack:"n"`
	// Age is the time since the last answer of the store that the records reflect.
	Age time.Duration `msgpack:"a,omitempty"`
	// Expired is set if the instance may not know all removals since the position: the receiver
	// has to request the records of all keys.
	Expired bool `msgpack:"e,omitempty"`
	// Busy is set if the instance already sends as many large replies as it may. Holders are
	// then addresses of instances that have received the records.
	Busy    bool     `msgpack:"b,omitempty"`
	Holders []string `msgpack:"h,omitempty"`
}

// mirrorServer serves the records of this instance's mirrors to other instances.
type mirrorServer struct {
	mirrors   *mirrors
	transfers *transfers
	codec     *codec
	series    Series
	mu        sync.Mutex
	// latest holds the latest compressed records of each topic, since all instances of a
	// zone request the same ones.
	latest map[jaystore.Topic]compressedRecords
}

// compressedRecords are compressed records with a hash of their keys and positions, which
// identifies them.
type compressedRecords struct {
	hash uint64
	data []byte
}

func newMirrorServer(m *mirrors, c *codec, series Series) *mirrorServer {
	return &mirrorServer{mirrors: m, transfers: newTransfers(), codec: c, series: series, latest: make(map[jaystore.Topic]compressedRecords)}
}

// serve handles an encoded mirrorRequest and returns the encoded reply.
func (s *mirrorServer) serve(body []byte) ([]byte, error) {
	var req mirrorRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	if req.Version != mirrorVersion && req.Version != formerVersion {
		return nil, jayerror.Newf("mirror", KindFormat, "request of version %d, not %d", req.Version, mirrorVersion)
	}
	if req.Received {
		s.transfers.end(transfer{receiver: req.Receiver, topic: req.Topic}, holder{peer: req.Peer, next: req.From})
		return s.encode(mirrorReply{Version: mirrorVersion, Next: req.From})
	}
	mirror, ok := s.mirrors.Load(req.Topic)
	if !ok {
		return nil, jayerror.Newf("mirror", KindFormat, "topic %q is not mirrored", req.Topic)
	}
	if req.Version == formerVersion && req.From >= 0 {
		req.From = jaystore.NewPosition(max(0, mirror.Next().Era()), req.From.Offset())
	}
	records, next, err := mirror.From(req.From)
	if jayerror.Is(err, jaystore.KindExpired) {
		return s.encode(mirrorReply{Version: mirrorVersion, Next: -1, Expired: true})
	}
	if req.Version == formerVersion {
		records, next = withoutEra(records, next)
	}
	_, readAt := mirror.Position()
	data, err := s.reply(req, records, next, time.Since(readAt))
	if err != nil {
		return nil, err
	}
	label := jaymetric.Label{Name: "topic", Value: string(req.Topic)}
	s.series.Add("mirror_replies_total", 1, label)
	s.series.Add("mirror_reply_bytes_total", len(data), label)
	return data, nil
}

// withoutEra returns records and the position after them as offsets of that position's era. Records of earlier eras come first.
func withoutEra(records []jaystore.Record, next jaystore.Position) ([]jaystore.Record, jaystore.Position) {
	if next < 0 {
		return records, next
	}
	records = slices.Clone(records)
	for n, r := range records {
		records[n].Position = max(0, r.Position-jaystore.NewPosition(next.Era(), 0))
	}
	return records, jaystore.Position(next.Offset())
}

// reply returns an encoded reply with records, or without if the receiver has to wait for its transfer.
func (s *mirrorServer) reply(req mirrorRequest, records []jaystore.Record, next jaystore.Position, age time.Duration) ([]byte, error) {
	reply := mirrorReply{Version: mirrorVersion, Records: records, Next: next, Age: age}
	if req.Receiver == "" {
		return s.encode(reply)
	}
	if valueBytes(records) >= minCompressBytes {
		data, err := s.compress(req.Topic, records)
		if err != nil {
			return nil, err
		}
		reply.Records, reply.Compressed = nil, data
	}
	if len(reply.Compressed) >= largeReplyBytes && !s.transfers.begin(time.Now(), transfer{receiver: req.Receiver, topic: req.Topic}) {
		return s.encode(mirrorReply{Version: mirrorVersion, Next: -1, Busy: true, Holders: s.transfers.holdersOf(req.Topic, next)})
	}
	return s.encode(reply)
}

// compress returns records compressed, from the cache if they are the latest ones.
func (s *mirrorServer) compress(topic jaystore.Topic, records []jaystore.Record) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := hashRecords(records)
	if latest, ok := s.latest[topic]; ok && latest.hash == hash {
		return latest.data, nil
	}
	data, err := s.codec.compress(records)
	if err != nil {
		return nil, err
	}
	s.latest[topic] = compressedRecords{hash: hash, data: data}
	return data, nil
}

// hashRecords returns a hash of the keys and positions of records. A tombstone of a snapshot has
// the position of its end, so several records may have the same one.
func hashRecords(records []jaystore.Record) uint64 {
	digest := xxhash.New()
	for _, r := range records {
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte(r.Key), uint64(r.Position))) //nolint:gosec // Any bits will do.
		_, _ = digest.Write([]byte{byte(min(len(r.Value), 1))})
	}
	return digest.Sum64()
}

func (*mirrorServer) encode(reply mirrorReply) ([]byte, error) {
	data, err := msgpack.Marshal(reply)
	if err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	return data, nil
}

func valueBytes(records []jaystore.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	return size
}

// codec compresses and decompresses records. It is safe for concurrent use.
type codec struct {
	encoder func() (*zstd.Encoder, error)
	decoder func() (*zstd.Decoder, error)
}

// newCodec returns a codec that allocates its buffers on first use.
func newCodec() *codec {
	return &codec{
		encoder: sync.OnceValues(func() (*zstd.Encoder, error) {
			return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
				zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressionWindow))
		}),
		decoder: sync.OnceValues(func() (*zstd.Decoder, error) {
			return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(jaypeer.MaxFrame))
		}),
	}
}

func (c *codec) compress(records []jaystore.Record) ([]byte, error) {
	data, err := msgpack.Marshal(records)
	if err != nil {
		return nil, jayerror.Wrap("compress", KindFormat, err)
	}
	encoder, err := c.encoder()
	if err != nil {
		return nil, jayerror.Wrap("compress", KindFormat, err)
	}
	return encoder.EncodeAll(data, nil), nil
}

func (c *codec) decompress(data []byte) ([]jaystore.Record, error) {
	decoder, err := c.decoder()
	if err != nil {
		return nil, jayerror.Wrap("decompress", KindFormat, err)
	}
	content, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, jayerror.Wrap("decompress", KindFormat, err)
	}
	var records []jaystore.Record
	if err := msgpack.Unmarshal(content, &records); err != nil {
		return nil, jayerror.Wrap("decompress", KindFormat, err)
	}
	return records, nil
}
