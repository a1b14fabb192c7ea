package jayrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaylimit"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// event is one event of a stream: its bytes as received, and its ID.
type event struct {
	data []byte
	// id is -1 if the event has none.
	id int64
}

// eventReader reads the events of a stream (WHATWG HTML, server-sent events).
type eventReader struct {
	source *bufio.Reader
	memory *jaylimit.Memory
	// share is the memory of the event that is being read.
	share *jaylimit.Share
}

// newEventReader returns a reader of a stream. The memory limits the events of all streams together.
func newEventReader(source io.Reader, memory *jaylimit.Memory) *eventReader {
	return &eventReader{source: bufio.NewReader(source), memory: memory, share: memory.Share(freeBytes)}
}

// release returns the memory of the latest event.
func (r *eventReader) release() {
	r.share.Release()
}

// next returns the next complete event. It returns io.EOF if the stream ended
// between two events, and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	e := event{id: -1}
	r.share.Release()
	r.share = r.memory.Share(freeBytes)
	for {
		start := len(e.data)
		err := r.appendLine(&e)
		if errors.Is(err, io.EOF) && len(e.data) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		line := e.data[start:]
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, errors.Errorf("event id %q is not a number", value)
			}
			e.id = id
		}
	}
}

// appendLine reads a line, with its end, and appends it to the data of an event.
func (r *eventReader) appendLine(e *event) error {
	for {
		part, err := r.source.ReadSlice('\n')
		if e.data = append(e.data, part...); len(e.data) > maxEventBytes {
			return errors.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		if !r.share.Grow(int64(len(part))) {
			return errors.WithStack(errNoMemory)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // io.EOF is part of the contract.
		}
	}
}
