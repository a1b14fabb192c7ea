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

// sink takes the tokens of an answer to the caller.
type sink interface {
	// event takes the next event; more tells that another is at hand.
	event(event jayengine.Event, more bool) error
	// fail ends an answer that cannot be made whole, and returns the
	// error unless the caller has been told of it.
	fail(err error) error
	// served names the stream, and the upstream that now serves it after a wait.
	served(prefix, upstream string, waited time.Duration)
}

func newSink(w http.ResponseWriter, c *completion, f *Front) sink {
	if c.stream {
		return &eventSink{w: w, control: http.NewResponseController(w), front: f, id: c.id}
	}
	return &wholeSink{w: w, chat: c.URL.Path == jayengine.PathChat}
}

const (
	// writeBound is how long a caller may take no bytes of a stream.
	writeBound = 30 * time.Second
	// deadlineEvery is how often the bound is set anew.
	deadlineEvery = 5 * time.Second
)

// eventSink writes server-sent events.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	front   *Front
	id      string
	prefix  string
	buf     []byte
	begun   bool
	bounded time.Time
}

func (s *eventSink) event(event jayengine.Event, more bool) error {
	if err := s.begin(); err != nil {
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
	if !s.begun {
		return err
	}
	failed := failureOf(err)
	s.front.Log.Warn("stream cut", "request", s.id, "code", failed.kind, "error", err)
	_, _ = s.w.Write([]byte("event: error\ndata: " + string(failed.json()) + "\n\n"))
	_ = s.control.Flush()
	panic(http.ErrAbortHandler)
}

func (s *eventSink) served(prefix, upstream string, waited time.Duration) {
	s.prefix = prefix
	if !s.begun {
		s.w.Header().Set(HeaderServed, upstream)
		s.w.Header().Set(HeaderWaited, waited.String())
	}
}

func (s *eventSink) begin() error {
	now := time.Now()
	if now.Sub(s.bounded) > deadlineEvery {
		s.bounded = now
		if err := s.control.SetWriteDeadline(now.Add(writeBound)); err != nil {
			return errors.Wrap(err, "bound write")
		}
	}
	if s.begun {
		return nil
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// wholeSink collects the events of an answer into one document.
type wholeSink struct {
	w      http.ResponseWriter
	chat   bool
	text   strings.Builder
	last   []byte
	finish string
}

// message is the answer's text in a chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice is the one answer of a completion.
type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  string   `json:"finish_reason"`
}

// document is a whole completion.
type document struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

func (s *wholeSink) event(event jayengine.Event, _ bool) error {
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
		s.finish = reason
	}
	s.last = append(s.last[:0], event.Data...)
	return nil
}

func (s *wholeSink) fail(err error) error {
	return err
}

func (s *wholeSink) served(_, upstream string, waited time.Duration) {
	s.w.Header().Set(HeaderWaited, waited.String())
	s.w.Header().Set(HeaderServed, upstream)
}

func (s *wholeSink) write() error {
	fields := gjson.GetManyBytes(s.last, "id", "created", "model", "usage")
	doc := document{ID: fields[0].String(), Created: fields[1].Int(), Model: fields[2].String(), Object: "text_completion"}
	if fields[3].Exists() {
		doc.Usage = json.RawMessage(fields[3].Raw)
	}
	text := s.text.String()
	only := choice{Text: &text, Finish: s.finish}
	if s.chat {
		doc.Object = "chat.completion"
		only = choice{Message: &message{Role: "assistant", Content: text}, Finish: s.finish}
	}
	doc.Choices = []choice{only}
	return writeJSON(s.w, doc)
}
