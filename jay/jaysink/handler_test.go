package jaysink_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jaysink"
)

// output collects lines; while it is held it takes none.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen: ", what)
		}
	}
}

// An output that takes nothing holds up nobody; what is lost is told afterwards.
func TestBlockedOutput(t *testing.T) {
	var out output
	out.mu.Lock()
	h := jaysink.New(&out, nil)
	log := slog.New(h)
	const lines = 10_000
	for i := range lines {
		log.Info("belief", "number", i)
	}
	if dropped := h.Dropped(); dropped < lines/2 {
		t.Errorf("dropped = %d of %d; the queue is not bounded", dropped, lines)
	}
	out.mu.Unlock()
	until(t, "a line on dropped ones", func() bool { return strings.Contains(out.String(), `msg="log lines dropped"`) })
	h.Close()
	<-h.Done()
}

// Under load a request's routine lines are kept or left out together, and failures are kept.
func TestSampling(t *testing.T) {
	var out output
	h := jaysink.New(&out, &slog.HandlerOptions{Level: jaysink.LevelRoutine})
	defer h.Close()
	log := slog.New(h)
	for i := range 2000 {
		log.Log(t.Context(), jaysink.LevelRoutine, "placed", jaysink.KeyRequest, i)
	}
	until(t, "sampling", func() bool { return strings.Contains(out.String(), "routine lines sampled") })
	for _, id := range strings.Split("a b c d e f g h i j k l m n o p q r s t u v w x y z", " ") {
		log.Log(t.Context(), jaysink.LevelRoutine, "first", jaysink.KeyRequest, id)
		slog.New(h.WithAttrs([]slog.Attr{slog.String(jaysink.KeyRequest, id)})).Log(t.Context(), jaysink.LevelRoutine, "second")
		log.Info("failed", jaysink.KeyRequest, id)
	}
	until(t, "all failures", func() bool { return strings.Count(out.String(), "msg=failed") == 26 })
	text := out.String()
	firsts, seconds := strings.Count(text, "msg=first"), strings.Count(text, "msg=second")
	if firsts != seconds || firsts == 0 || firsts == 26 {
		t.Errorf("kept %d first and %d second lines of 26 requests", firsts, seconds)
	}
}
