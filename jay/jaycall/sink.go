package jaycall

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"

	"jayfield.example/jay/jayengine"
)

// sink writes the events of a completion to the caller.
type sink interface {
	// writeEvent writes the next event; more reports that another one is already buffered.
	writeEvent(event jayengine.Event, more bool) error
	// fail ends a response that cannot be completed. It returns the error, or, if the
	// response has begun, sends it as an event and aborts the connection.
	fail(err error) error
	// setUpstream sets the event ID prefix, the upstream that now serves the stream
	// and the time that the request was queued for it.
	setUpstream(prefix, upstream string, waited time.Duration)
}

func newSink(w http.ResponseWriter, c *completion, f *Frontend) sink {
	if c.stream {
		return &eventSink{w: w, control: http.NewResponseController(w), frontend: f, id: c.id}
	}
	return &documentSink{w: w, chat: c.URL.Path == jayengine.PathChat}
}

const (
	// writeTimeout is the write deadline for a caller that reads nothing from its stream, from
	// the time when it was last extended.
	writeTimeout = 30 * time.Second
	// deadlineInterval is how often the write deadline is extended.
	deadlineInterval = 5 * time.Second
)

// eventSink writes server-sent events.
type eventSink struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	frontend      *Frontend
	id            string
	prefix        string
	buf           []byte
	headerWritten bool
	deadlineSetAt time.Time
}

func (s *eventSink) writeEvent(event jayengine.Event, more bool) error {
	if err := s.prepareWrite(); err != nil {
		return err
	}
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, s.prefix...)
	s.buf = strconv.AppendInt(s.buf, event.Offset, 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, event.Data...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.w.Write(s.buf); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if more {
		return nil
	}
	return errors.Wrap(s.control.Flush(), "write to caller")
}

func (s *eventSink) fail(err error) error {
	if !s.headerWritten {
		return err
	}
	failed := failureOf(err)
	s.frontend.Log.Warn("stream failed; connection aborted", "request", s.id, "code", failed.kind, "error", err)
	_, _ = s.w.Write([]byte("event: error\ndata: " + string(failed.json()) + "\n\n"))
	_ = s.control.Flush()
	panic(http.ErrAbortHandler)
}

func (s *eventSink) setUpstream(prefix, upstream string, waited time.Duration) {
	s.prefix = prefix
	if !s.headerWritten {
		s.w.Header().Set(HeaderServed, upstream)
		s.w.Header().Set(HeaderWaited, waited.String())
	}
}

func (s *eventSink) prepareWrite() error {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) > deadlineInterval {
		s.deadlineSetAt = now
		if err := s.control.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return errors.Wrap(err, "bound write")
		}
	}
	if s.headerWritten {
		return nil
	}
	s.headerWritten = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// documentSink collects the events of a completion into one document.
type documentSink struct {
	w            http.ResponseWriter
	chat         bool
	text         strings.Builder
	last         []byte
	finishReason string
}

// message is the generated message of a chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice is the single choice of a completion.
type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  string   `json:"finish_reason"`
}

// document is the response to a completion request without streaming.
type document struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

func (s *documentSink) writeEvent(event jayengine.Event, _ bool) error {
	if event.Done {
		return s.write()
	}
	path := "choices.0.delta.content"
	if !s.chat {
		path = "choices.0.text"
	}
	fields := gjson.GetManyBytes(event.Data, path, "choices.0.finish_reason")
	s.text.WriteString(fields[0].String())
	if reason := fields[1].String(); reason != "" {
		s.finishReason = reason
	}
	s.last = append(s.last[:0], event.Data...)
	return nil
}

func (s *documentSink) fail(err error) error {
	return err
}

func (s *documentSink) setUpstream(_, upstream string, waited time.Duration) {
	s.w.Header().Set(HeaderWaited, waited.String())
	s.w.Header().Set(HeaderServed, upstream)
}

func (s *documentSink) write() error {
	fields := gjson.GetManyBytes(s.last, "id", "created", "model", "usage")
	doc := document{ID: fields[0].String(), Created: fields[1].Int(), Model: fields[2].String(), Object: "text_completion"}
	if fields[3].Exists() {
		doc.Usage = json.RawMessage(fields[3].Raw)
	}
	text := s.text.String()
	only := choice{Text: &text, Finish: s.finishReason}
	if s.chat {
		doc.Object = "chat.completion"
		only = choice{Message: &message{Role: "assistant", Content: text}, Finish: s.finishReason}
	}
	doc.Choices = []choice{only}
	return writeJSON(s.w, doc)
}
