package jaystandin

import (
	"io"
	"net/http"

	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayengine"
)

// prefillPrefix begins the ids of prompts that are read for another engine.
const prefillPrefix = "prefill "

// prefill reads a prompt and keeps its KV cache for another engine.
func (e *Engine) prefill(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil || e.refuses(w) {
		return err
	}
	id := prefillPrefix + r.Header.Get(jayengine.HeaderRequest)
	s, a := e.join(id, promptOf(body), r.Header.Get(jayengine.HeaderPriority), 0, 0, false)
	defer e.leave(s, a)
	for {
		e.mu.Lock()
		done := s.left == 0
		if done {
			e.batch.remove(s)
			delete(e.sequences, id)
		}
		e.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-a.wake:
		case <-a.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return r.Context().Err()
		case <-e.group.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
