// Package jaysink writes log lines without ever holding up the work that logs.
//
// A bounded queue lies between the work and the output. Lines of requests that
// went as usual are sampled by the request's id once there are many, so that the
// lines of a sampled request are all kept; what is dropped is counted and told.
package jaysink

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jaytask"
)

const (
	// LevelRoutine is the level of lines about requests that went as usual.
	LevelRoutine = slog.Level(-2)
	// KeyRequest is the key of a request's id, by which routine lines are sampled.
	KeyRequest = "request"
	// queueSize bounds the lines that wait for the output.
	queueSize = 4096
	// routinePerSecond is the number of routine lines a second above which fewer requests are sampled.
	routinePerSecond = 200
	// maxSampling bounds the sampling to one request in so many.
	maxSampling = 1024
)

// Handler is a slog.Handler that hands lines to a writer task.
type Handler struct {
	text  slog.Handler
	queue *queue
	// request is the hash of the id that the handler's attributes name, 0 where they name none.
	request uint64
}

// queue is what all handlers of one output share.
type queue struct {
	lines    chan []byte
	dropped  atomic.Int64
	routine  atomic.Int64
	sampling atomic.Int64
	group    *jaytask.Group
}

// buffer takes the text of one line.
type buffer struct {
	queue *queue
}

// LevelName names the routine level in a line; it is a ReplaceAttr function.
func LevelName(_ []string, attr slog.Attr) slog.Attr {
	if level, ok := attr.Value.Any().(slog.Level); ok && attr.Key == slog.LevelKey && level == LevelRoutine {
		attr.Value = slog.StringValue("ROUTINE")
	}
	return attr
}

// New returns a handler that writes lines of key=value pairs to an output.
func New(output io.Writer, options *slog.HandlerOptions) *Handler {
	q := &queue{lines: make(chan []byte, queueSize), group: jaytask.NewGroup()}
	q.sampling.Store(1)
	h := &Handler{queue: q, text: slog.NewTextHandler(buffer{q}, options)}
	q.group.Go(func(ctx context.Context) { q.write(ctx, output) })
	q.group.Go(func(ctx context.Context) { h.adapt(ctx) })
	return h
}

// Close writes what waits, for a short time at most, and ends the task.
func (h *Handler) Close() {
	deadline := time.Now().Add(closeBound)
	for len(h.queue.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	h.queue.group.Stop()
}

// closeBound is how long an output that does not take lines holds up the end of the process.
const closeBound = 200 * time.Millisecond

// Done is closed when the writer task has ended.
func (h *Handler) Done() <-chan struct{} {
	return h.queue.group.Done()
}

// Dropped returns the number of lines that were dropped for a full queue.
func (h *Handler) Dropped() int64 {
	return h.queue.dropped.Load()
}

// Enabled reports whether lines of a level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle queues a line unless it is sampled out.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level <= LevelRoutine && !h.sampled(record) {
		return nil
	}
	return h.text.Handle(ctx, record) //nolint:wrapcheck // A buffer takes all.
}

// WithAttrs returns a handler with further attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := &Handler{queue: h.queue, text: h.text.WithAttrs(attrs), request: h.request}
	for _, a := range attrs {
		if a.Key == KeyRequest {
			next.request = xxhash.Sum64String(a.Value.String())
		}
	}
	return next
}

// WithGroup returns a handler whose further attributes are in a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{queue: h.queue, text: h.text.WithGroup(name), request: h.request}
}

// Write queues one line, or counts it as dropped.
func (b buffer) Write(line []byte) (int, error) {
	select {
	case b.queue.lines <- append([]byte{}, line...):
	default:
		b.queue.dropped.Add(1)
	}
	return len(line), nil
}

// sampled reports whether a routine line is kept.
func (h *Handler) sampled(record slog.Record) bool {
	h.queue.routine.Add(1)
	sampling := h.queue.sampling.Load()
	if sampling == 1 {
		return true
	}
	request := h.request
	record.Attrs(func(a slog.Attr) bool {
		if a.Key == KeyRequest {
			request = xxhash.Sum64String(a.Value.String())
		}
		return request == 0
	})
	return request%uint64(sampling) == 0 //nolint:gosec // It is 1 at least.
}

// adapt sets the sampling by the routine lines of each second, and tells what was dropped.
func (h *Handler) adapt(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	log, told := slog.New(h), int64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sampling := int64(1)
		for rate := h.queue.routine.Swap(0); rate/sampling > routinePerSecond && sampling < maxSampling; {
			sampling *= 2
		}
		if before := h.queue.sampling.Swap(sampling); before != sampling {
			log.Info("routine lines sampled", "before", before, "oneIn", sampling)
		}
		if dropped := h.queue.dropped.Load(); dropped != told {
			log.Warn("log lines dropped", "lines", dropped-told, "total", dropped)
			told = dropped
		}
	}
}

func (q *queue) write(ctx context.Context, output io.Writer) {
	for {
		select {
		case line := <-q.lines:
			// There is nowhere to tell that the log itself cannot be written.
			_, _ = output.Write(line)
		case <-ctx.Done():
			return
		}
	}
}
