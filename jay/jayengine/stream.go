package jayengine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
)

const (
	// maxLineBytes bounds a line of an event.
	maxLineBytes = 4 << 10
	// maxEventBytes bounds the payload of an event.
	maxEventBytes = 64 << 10
	doneData      = "[DONE]"
)

// Event is one token of a stream, or its end.
type Event struct {
	// Offset counts the events of the stream from 0.
	Offset int64
	// Data is the payload and is valid until the next event is read.
	Data []byte
	// Done marks the end of a whole answer.
	Done bool
}

// Stream reads the events of one generation. It checks that each belongs to
// the request and follows the one before it.
type Stream struct {
	body    io.ReadCloser
	reader  *bufio.Reader
	watch   *watchdog
	request []byte
	next    int64
	data    []byte
	long    []byte
	dropped int
}

func newStream(body io.ReadCloser, watch *watchdog, request string, offset int64) *Stream {
	return &Stream{
		body:    body,
		reader:  bufio.NewReaderSize(body, maxLineBytes),
		watch:   watch,
		request: []byte(request),
		next:    offset,
	}
}

// Close ends the stream; work that is not done is cancelled at the engine.
func (s *Stream) Close() {
	s.watch.stop()
	_ = s.body.Close()
}

// Dropped returns the number of events that were late, repeated or crossed.
func (s *Stream) Dropped() int {
	return s.dropped
}

// Next returns the next event of the request. Events of other requests and
// repeated offsets are dropped; a gap is an error of KindCrossed.
func (s *Stream) Next() (Event, error) {
	for {
		offset, own, err := s.read()
		if err != nil {
			return Event{}, err
		}
		if !own || offset < s.next {
			s.dropped++
			continue
		}
		if offset > s.next {
			return Event{}, jayerror.Newf("next", KindCrossed, "offset %d follows %d", offset, s.next-1)
		}
		s.next++
		return Event{Offset: offset, Data: s.data, Done: string(s.data) == doneData}, nil
	}
}

// SetBound changes the longest silence that is accepted.
func (s *Stream) SetBound(bound time.Duration) {
	s.watch.bound = bound
	s.watch.feed()
}

// read returns the offset of the next event and whether it is the request's own.
func (s *Stream) read() (offset int64, own bool, err error) {
	offset = -1
	s.data = s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return 0, false, jayerror.Wrap("next", s.watch.kind(KindBroken), err)
		}
		switch {
		case len(line) == 0:
			if offset >= 0 && len(s.data) > 0 {
				return offset, own, nil
			}
		case bytes.HasPrefix(line, []byte("id: ")):
			offset, own = s.parseID(line[len("id: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			s.data = append(s.data, line[len("data: "):]...)
		}
		if len(s.data) > maxEventBytes {
			return 0, false, jayerror.New("next", KindBroken, "event is too large")
		}
	}
}

// line returns the next line without its end. It is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) && len(s.long) <= maxEventBytes {
		s.long = append(s.long, line...)
		line, err = s.reader.ReadSlice('\n')
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.watch.feed()
	if len(s.long) > 0 {
		s.long = append(s.long, line...)
		line = s.long
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// parseID splits "request:offset" and compares the request with the stream's.
func (s *Stream) parseID(id []byte) (int64, bool) {
	colon := bytes.LastIndexByte(id, ':')
	if colon < 0 {
		return 0, false
	}
	offset, err := strconv.ParseInt(string(id[colon+1:]), 10, 64)
	if err != nil {
		return 0, false
	}
	return offset, bytes.Equal(id[:colon], s.request)
}

// Pending reports whether more bytes of the stream have arrived already.
func (s *Stream) Pending() bool {
	return s.reader.Buffered() > 0
}
