package jaystore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call; each failure doubles it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Consumer processes the records that a follower reads. Its methods are called one at a time.
type Consumer interface {
	// Replace processes a snapshot: the newest records of all keys, complete up to an offset.
	Replace(ctx context.Context, records []Record, end int64)
	// Apply processes records in the order of their offsets.
	Apply(ctx context.Context, records []Record)
	// Unavailable and Available are called when the store becomes unavailable and available again.
	Unavailable(ctx context.Context, err error)
	Available(ctx context.Context)
}

// RetryLimiter limits the rate of the calls that followers make to an unavailable store.
type RetryLimiter interface {
	// Reserve reserves a call and returns how long to wait before making it.
	Reserve() *rate.Reservation
}

// FollowerOption configures a follower.
type FollowerOption func(*Follower)

// WithRetryLimiter makes a follower share the limit on retries with others.
func WithRetryLimiter(retryLimiter RetryLimiter) FollowerOption {
	return func(f *Follower) { f.retryLimiter = retryLimiter }
}

// WithBatchDelay makes a follower wait after it received records before it reads
// again, so that more records arrive with each read.
func WithBatchDelay(batchDelay time.Duration) FollowerOption {
	return func(f *Follower) { f.batchDelay = batchDelay }
}

// WithAvailable makes a follower call a function each time that the store becomes available again.
func WithAvailable(available func()) FollowerOption {
	return func(f *Follower) { f.onAvailable = available }
}

// Follower reads a topic, starting with a snapshot of its newest records.
type Follower struct {
	reader   Reader
	topic    Topic
	consumer Consumer
	log      *slog.Logger
	// interval is the time between two reads; 0 selects long polling, where the store
	// holds each read until there is a record.
	interval time.Duration
	// batchDelay is the least time between the receipt of records and the next read.
	batchDelay  time.Duration
	next        int64
	unavailable bool
	backoff     time.Duration
	// retryLimiter is nil if only the follower's own backoff limits its retries.
	retryLimiter RetryLimiter
	// immediate makes the next read return without waiting for a record.
	immediate bool
	readNow   chan struct{}
	// onAvailable is nil or called when the store becomes available again.
	onAvailable func()
	// failingSince is when the store became unavailable, nil while it is available.
	failingSince atomic.Pointer[time.Time]
}

// NewFollower returns a follower that reads once per interval, or uses long polling if the interval is 0.
func NewFollower(reader Reader, topic Topic, consumer Consumer, interval time.Duration, log *slog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{reader: reader, topic: topic, consumer: consumer, log: log, interval: interval, next: -1, backoff: minBackoff, readNow: make(chan struct{}, 1)}
	for _, option := range options {
		option(f)
	}
	return f
}

// ReadNow interrupts a wait for records and reads at once, for a caller that has
// observed that newer records exist. It does not interrupt the transfer of records.
func (f *Follower) ReadNow() {
	select {
	case f.readNow <- struct{}{}:
	default:
	}
}

// RetryNow ends the pause after a failed call if the store has been unavailable to this follower for some
// time, for a caller that has observed that the store is available again.
func (f *Follower) RetryNow(outage time.Duration) {
	if since := f.failingSince.Load(); since != nil && time.Since(*since) >= outage {
		f.ReadNow()
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		before, interval := f.next, f.interval
		if err := f.step(ctx); err != nil {
			interval = f.onFailure(ctx, err)
		} else {
			f.onSuccess(ctx)
			if f.next != before {
				interval = max(interval, f.batchDelay)
			}
		}
		select {
		case <-time.After(interval):
		case <-f.readNow:
			f.immediate = true
		case <-ctx.Done():
		}
	}
}

// step reads a snapshot if the follower has no position yet, and otherwise the records after its position.
func (f *Follower) step(ctx context.Context) error {
	if f.next < 0 {
		records, end, err := f.reader.Newest(ctx, f.topic)
		if err != nil {
			return err //nolint:wrapcheck // The adapter returns errors of this package.
		}
		f.consumer.Replace(ctx, records, end)
		f.next = end
		return nil
	}
	records, next, err := f.read(ctx)
	if len(records) > 0 {
		f.consumer.Apply(ctx, records)
		f.next = next
	}
	if err == nil {
		f.next = next
	}
	return err
}

// read reads the records after the position. While the store is unavailable it
// doesn't use long polling, since a read that the store held before may never
// get a response.
func (f *Follower) read(ctx context.Context) ([]Record, int64, error) {
	if f.interval > 0 || f.unavailable || f.immediate {
		f.immediate = false
		return f.reader.Read(ctx, f.topic, f.next, nil) //nolint:wrapcheck // The adapter returns errors of this package.
	}
	interrupt, readDone, watchDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer func() { <-watchDone }()
	defer close(readDone)
	go func() {
		defer close(watchDone)
		select {
		case <-f.readNow:
			f.immediate = true
			close(interrupt)
		case <-readDone:
		}
	}()
	return f.reader.Read(ctx, f.topic, f.next, interrupt) //nolint:wrapcheck // The adapter returns errors of this package.
}

// onFailure handles a failed call and returns the pause before the next one.
func (f *Follower) onFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil || jayerror.Is(err, KindInterrupted) {
		return 0
	}
	if jayerror.Is(err, KindExpired) {
		f.log.Warn("history expired; reading the newest records", "topic", f.topic, "offset", f.next, "error", err)
		f.next = -1
		return 0
	}
	if !f.unavailable {
		f.unavailable = true
		now := time.Now()
		f.failingSince.Store(&now)
		f.log.Warn("store unavailable", "topic", f.topic, "offset", f.next, "error", err)
		f.consumer.Unavailable(ctx, err)
	}
	pause := f.backoff/2 + rand.N(f.backoff/2) //nolint:gosec // Jitter needs no secrecy.
	f.backoff = min(2*f.backoff, maxBackoff)
	if f.retryLimiter != nil {
		pause = max(pause, f.retryLimiter.Reserve().Delay())
	}
	return pause
}

func (f *Follower) onSuccess(ctx context.Context) {
	f.backoff = minBackoff
	if !f.unavailable {
		return
	}
	f.unavailable = false
	f.failingSince.Store(nil)
	f.log.Info("store available again", "topic", f.topic, "offset", f.next)
	f.consumer.Available(ctx)
	if f.onAvailable != nil {
		f.onAvailable()
	}
}
