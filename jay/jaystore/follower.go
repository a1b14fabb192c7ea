package jaystore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayerror"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call; each failure doubles it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Consumer processes the records that a follower reads. Its methods are called one at a time.
type Consumer interface {
	// Replace processes a snapshot: the newest records of all keys, complete up to a position.
	Replace(ctx context.Context, records []Record, end Position)
	// Apply processes records in the order of their positions.
	Apply(ctx context.Context, records []Record)
	// Unavailable and Available are called when the store becomes unavailable and available again.
	Unavailable(ctx context.Context, err error)
	Available(ctx context.Context)
}

// FollowerOption configures a follower.
type FollowerOption func(*Follower)

// WithBatchDelay makes a follower wait after it received records before it reads
// again, so that more records arrive with each read.
func WithBatchDelay(batchDelay time.Duration) FollowerOption {
	return func(f *Follower) { f.batchDelay = batchDelay }
}

// WithGroup adds a follower to a group, which limits its retries.
func WithGroup(group *Group) FollowerOption {
	return func(f *Follower) {
		f.group = group
		group.add(f)
	}
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
	next        Position
	unavailable bool
	backoff     time.Duration
	// immediate makes the next read return without waiting for a record.
	immediate bool
	readNow   chan struct{}
	// group limits retries; the follower notifies it of each successful call.
	group *Group
	// failedAt is when the store last failed to answer, nil while it is available.
	failedAt atomic.Pointer[time.Time]
}

// NewFollower returns a follower that reads once per interval, or uses long polling if the interval is 0.
func NewFollower(reader Reader, topic Topic, consumer Consumer, interval time.Duration, log *slog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{group: &Group{}, reader: reader, topic: topic, consumer: consumer, log: log, interval: interval, next: -1, backoff: minBackoff, readNow: make(chan struct{}, 1)}
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
		f.pause(ctx, interval)
	}
}

// pause waits between two calls: for an interval and, while the store is unavailable, until the group allows a retry.
func (f *Follower) pause(ctx context.Context, interval time.Duration) {
	defer f.group.dequeue(f)
	for {
		select {
		case <-time.After(interval):
		case <-f.readNow:
			f.immediate = true
			return
		case <-ctx.Done():
			return
		}
		if interval = f.group.allow(f); interval <= 0 {
			return
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
func (f *Follower) read(ctx context.Context) ([]Record, Position, error) {
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
		f.log.Warn("store unavailable", "topic", f.topic, "offset", f.next, "error", err)
		f.consumer.Unavailable(ctx, err)
	}
	now := time.Now()
	f.failedAt.Store(&now)
	pause := f.backoff/2 + rand.N(f.backoff/2) //nolint:gosec // Jitter needs no secrecy.
	f.backoff = min(2*f.backoff, maxBackoff)
	f.group.enqueue(f)
	return pause
}

func (f *Follower) onSuccess(ctx context.Context) {
	f.backoff = minBackoff
	if !f.unavailable {
		f.group.retry(minRetryPause)
		return
	}
	f.unavailable = false
	f.failedAt.Store(nil)
	f.log.Info("store available again", "topic", f.topic, "offset", f.next)
	f.consumer.Available(ctx)
	f.group.retry(0)
}
