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

// grower adds bytes to the memory of a message. It reports false, and adds nothing, if there is no room.
type grower func(share *jaylimit.Share, n int64) bool

// eventReader reads the events of a stream (WHATWG HTML, server-sent events).
type eventReader struct {
	source *bufio.Reader
}

// newEventReader returns a reader of a stream.
func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReader(source)}
}

// next returns the next complete event, which uses the memory of the share by the grower. It returns io.EOF if the stream
// ended between two events, and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next(share *jaylimit.Share, grow grower) (event, error) {
	e := event{id: -1}
	for {
		start := len(e.data)
		err := r.appendLine(&e, share, grow)
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
func (r *eventReader) appendLine(e *event, share *jaylimit.Share, grow grower) error {
	for {
		part, err := r.source.ReadSlice('\n')
		if e.data = append(e.data, part...); len(e.data) > maxEventBytes {
			return errors.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		if !grow(share, int64(len(part))) {
			return errors.WithStack(errNoMemory)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // io.EOF is part of the contract.
		}
	}
}
