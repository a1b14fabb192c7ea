package jayedge

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readTimeout limits a shared read, which may take several calls.
const readTimeout = 5 * time.Second

// sharedRead runs reads of which each serves all that asked before it began. It is safe for concurrent use.
type sharedRead struct {
	read func(context.Context) error
	run  func(func(context.Context))

	mu      sync.Mutex
	running bool
	// next is the result of the read that begins after the one in progress, nil if nobody has asked for it.
	next *readResult
}

// readResult is the result of a read. The error may be read once done is closed.
type readResult struct {
	done chan struct{}
	err  error
}

func newSharedRead(read func(context.Context) error, run func(func(context.Context))) *sharedRead {
	return &sharedRead{read: read, run: run}
}

// wait waits for a read that begins after the call, for at most a time.
func (r *sharedRead) wait(ctx context.Context, limit time.Duration) error {
	result := r.request()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-result.done:
		return result.err
	case <-timer.C:
		return errors.New("the read takes too long")
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// request returns the result of a read that begins after the call.
func (r *sharedRead) request() *readResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &readResult{done: make(chan struct{})}
	}
	result := r.next
	if !r.running {
		r.running = true
		r.run(r.serve)
	}
	return result
}

// serve reads until nobody waits for another read.
func (r *sharedRead) serve(ctx context.Context) {
	for {
		r.mu.Lock()
		result := r.next
		r.next = nil
		r.running = result != nil
		r.mu.Unlock()
		if result == nil {
			return
		}
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		result.err = r.read(readCtx)
		cancel()
		close(result.done)
	}
}
