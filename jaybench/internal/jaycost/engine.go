// Package jaycost measures what the path through an instance costs against a
// caller that goes straight to the same stand-in engine.
package jaycost

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"jayfield.example/jay/jayengine"
)

// instantEngine streams a fixed number of tokens, each after a pause.
type instantEngine struct {
	tokens int
	pause  time.Duration
}

// ServeHTTP answers load reports and generations.
func (e *instantEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == jayengine.PathLoad {
		_, _ = io.WriteString(w, `{"ageMs":0,"running":0,"waiting":0,"prefill":0,"pieces":4096}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(jayengine.HeaderRequest)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	var buf []byte
	for n := range e.tokens {
		buf = append(buf[:0], "id: "...)
		buf = append(buf, id...)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, int64(n), 10)
		buf = append(buf, "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"...)
		if _, err := w.Write(buf); err != nil || //nolint:gosec // The reader is the bench itself.
			control.Flush() != nil {
			return
		}
		if !e.wait(r) {
			return
		}
	}
	_, _ = io.WriteString(w, "id: "+id+":"+strconv.Itoa(e.tokens)+"\ndata: [DONE]\n\n") //nolint:gosec // The reader is the bench itself.
}

// wait pauses between two tokens and reports whether the caller is still there.
func (e *instantEngine) wait(r *http.Request) bool {
	if e.pause == 0 {
		return true
	}
	select {
	case <-time.After(e.pause):
		return true
	case <-r.Context().Done():
		return false
	}
}
