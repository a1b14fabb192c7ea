package jayedge

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// readTimeout limits a shared read, which may take several calls.
	readTimeout = 5 * time.Second
	// readBurst is the number of reads that may begin at once after a time with few of them.
	readBurst = 3
)

// sharedRead runs reads of which each serves all that asked before it began. It is safe for concurrent use.
type sharedRead struct {
	read func(context.Context) error
	// interval returns the time between the begins of reads that follow each other.
	interval func() time.Duration
	run      func(func(context.Context))
	begins   *rate.Limiter

	mu      sync.Mutex
	running bool
	// beginsAt is when the latest read may begin.
	beginsAt time.Time
	// next is the result of the read that begins after the one in progress, nil if nobody has asked for it.
	next *readResult
}

// readResult is the result of a read. The error may be read once done is closed.
type readResult struct {
	done chan struct{}
	err  error
}

func newSharedRead(read func(context.Context) error, interval func() time.Duration, run func(func(context.Context))) *sharedRead {
	return &sharedRead{read: read, interval: interval, run: run, begins: rate.NewLimiter(rate.Every(interval()), readBurst)}
}

// wait waits for a read that begins after the call, for at most a time. If the read begins later so that reads do not follow each
// other too fast, the time counts from then on.
func (r *sharedRead) wait(ctx context.Context, limit time.Duration) error {
	result := r.request()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-result.done:
			return result.err
		case <-timer.C:
			pause := r.pause()
			if pause <= 0 {
				return errors.New("the read takes too long")
			}
			timer.Reset(pause + limit)
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// pause returns the time until the next read may begin.
func (r *sharedRead) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.beginsAt)
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
		if r.running = r.next != nil; !r.running {
			r.mu.Unlock()
			return
		}
		r.begins.SetLimit(rate.Every(r.interval()))
		r.beginsAt = time.Now().Add(r.begins.Reserve().Delay())
		beginsAt := r.beginsAt
		r.mu.Unlock()
		waitUntil(ctx, beginsAt)
		r.mu.Lock()
		result := r.next
		r.next = nil
		r.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		result.err = r.read(readCtx)
		cancel()
		close(result.done)
	}
}
