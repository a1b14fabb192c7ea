package jaystandin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayengine"
)

// writer writes the events of one stream.
type writer struct {
	w     http.ResponseWriter
	flush http.Flusher
	id    string
	model string
	chat  bool
	buf   []byte
}

// generate streams the tokens of a request from its offset on.
func (e *Engine) generate(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil || e.refuses(w) {
		return err
	}
	id := r.Header.Get(jayengine.HeaderRequest)
	offset, count := offsetOf(r.Request), countOf(body)
	kv := r.Header.Get(jayengine.HeaderKV) != ""
	s, a := e.join(id, promptOf(body), r.Header.Get(jayengine.HeaderPriority), offset, count, kv)
	defer e.leave(s, a)
	w.Header().Set("Content-Type", "text/event-stream")
	flush, _ := w.(http.Flusher)
	out := &writer{w: w, flush: flush, id: id, model: e.model, chat: r.URL.Path == jayengine.PathChat}
	faults := e.takeStreamFaults()
	if faults.Cross {
		out.event("other-request", 0, "wrong ")
	}
	return e.follow(r.Request, out, s, a, faults)
}

// follow writes tokens as the batch gives them, until the answer is whole.
func (e *Engine) follow(r *http.Request, out *writer, s *sequence, a *attachment, faults EngineFaults) error {
	for {
		e.mu.Lock()
		emitted := s.emitted
		e.mu.Unlock()
		for ; a.offset < emitted; a.offset++ {
			misbehave(r, out, s, a.offset, faults)
			out.event(out.id, a.offset, s.tokens[a.offset])
		}
		if emitted >= len(s.tokens) {
			out.finish(len(s.tokens), s.prompt)
			e.complete(s)
			return nil
		}
		out.flush.Flush()
		select {
		case <-a.wake:
		case <-a.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return nil
		case <-e.group.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// misbehave carries out the faults of a stream that are due at an offset.
func misbehave(r *http.Request, out *writer, s *sequence, offset int, faults EngineFaults) {
	if faults.BreakAfter > 0 && offset >= faults.BreakAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.MuteAfter > 0 && offset >= faults.MuteAfter {
		out.flush.Flush()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Cross && offset == 3 {
		out.event(out.id, 1, s.tokens[1])
	}
}

func (e *Engine) complete(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[s.id] == s {
		delete(e.sequences, s.id)
		e.served++
	}
	e.batch.remove(s)
}

// takeStreamFaults returns the faults of the next stream and clears them.
func (e *Engine) takeStreamFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	e.faults.MuteAfter, e.faults.BreakAfter, e.faults.Cross = 0, 0, false
	return faults
}

func (w *writer) event(id string, offset int, token string) {
	b := w.head(id, offset)
	if w.chat {
		b = append(b, `"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
		b = strconv.AppendQuote(b, token)
		b = append(b, "},\"finish_reason\":null}]}\n\n"...)
	} else {
		b = append(b, `"object":"text_completion","choices":[{"index":0,"text":`...)
		b = strconv.AppendQuote(b, token)
		b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	}
	w.buf = b
	_, _ = w.w.Write(b)
}

// finish writes the reason and the usage of a whole answer and its end.
func (w *writer) finish(count, prompt int) {
	b := w.head(w.id, count)
	if w.chat {
		b = append(b, `"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`...)
	} else {
		b = append(b, `"object":"text_completion","choices":[{"index":0,"text":"","finish_reason":"stop"}]`...)
	}
	b = append(b, `,"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(count), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(prompt+count), 10)
	b = append(b, "}}\n\nid: "...)
	b = append(b, w.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(count)+1, 10)
	b = append(b, "\ndata: [DONE]\n\n"...)
	_, _ = w.w.Write(b)
	w.flush.Flush()
}

func (w *writer) head(id string, offset int) []byte {
	b := w.buf[:0]
	b = append(b, "id: "...)
	b = append(b, id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, "\ndata: {\"id\":\"chatcmpl-"...)
	b = append(b, id...)
	b = append(b, `","created":0,"model":"`...)
	b = append(b, w.model...)
	return append(b, `",`...)
}
