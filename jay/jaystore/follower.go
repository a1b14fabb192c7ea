package jaystore

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
)

const (
	// firstRetry and lastRetry bound the pause after a failed call; each failure doubles it.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// Consumer takes in what a follower reads. Calls come one after the other.
type Consumer interface {
	// Replace takes in the newest records of all keys, complete up to an offset.
	Replace(ctx context.Context, records []Record, end int64)
	// Apply takes in records in their order.
	Apply(ctx context.Context, records []Record)
	// Lost and Returned tell that the store stopped answering and answers again.
	Lost(ctx context.Context, err error)
	Returned(ctx context.Context)
}

// Answers is told of each answer, also of those without records.
type Answers interface {
	// Answered notes that the reader answered with what is known at a time, up to an offset.
	Answered(at time.Time, next int64)
}

// Retries bounds the calls that followers make to a store that does not answer.
type Retries interface {
	// Reserve takes a call and tells how long to wait before it is made.
	Reserve() *rate.Reservation
}

// FollowerOption is an option of a follower.
type FollowerOption func(*Follower)

// WithRetries has a follower share the bound of retries with others.
func WithRetries(retries Retries) FollowerOption {
	return func(f *Follower) { f.retries = retries }
}

// WithRest has a follower rest after records before it reads again.
func WithRest(rest time.Duration) FollowerOption {
	return func(f *Follower) { f.rest = rest }
}

// Follower reads a topic from its newest records on.
type Follower struct {
	reader   Reader
	topic    Topic
	consumer Consumer
	log      *slog.Logger
	// pause is the time between two reads; 0 has the store hold each read until there is a record.
	pause time.Duration
	// rest is the time between records and the next read.
	rest  time.Duration
	next  int64
	lost  bool
	retry time.Duration
	// retries is nil where only the follower's own back-off counts.
	retries Retries
	// hurried has the next read not wait.
	hurried bool
	hurry   chan struct{}
}

// NewFollower returns a follower that reads each pause, or waits at the store where pause is 0.
func NewFollower(reader Reader, topic Topic, consumer Consumer, pause time.Duration, log *slog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{reader: reader, topic: topic, consumer: consumer, log: log, pause: pause, next: -1, retry: firstRetry, hurry: make(chan struct{}, 1)}
	for _, option := range options {
		option(f)
	}
	return f
}

// Hurry ends a read that waits and asks at once, since there is news.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		before, pause := f.next, f.pause
		if err := f.step(ctx); err != nil {
			pause = f.failed(ctx, err)
		} else {
			f.succeeded(ctx)
			if f.next != before {
				pause = max(pause, f.rest)
			}
		}
		select {
		case <-time.After(pause):
		case <-f.hurry:
			f.hurried = true
		case <-ctx.Done():
		}
	}
}

// step reads the newest records where the position is not known, and else what follows it.
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

// read reads what follows. A store that was lost is asked without waiting: a
// read that it held before may never be answered.
func (f *Follower) read(ctx context.Context) ([]Record, int64, error) {
	wait := f.pause == 0 && !f.lost && !f.hurried
	f.hurried = false
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer func() { <-ended }()
	reading := make(chan struct{})
	defer close(reading)
	go func() {
		defer close(ended)
		select {
		case <-f.hurry:
			f.hurried = true
			cancel()
		case <-reading:
		}
	}()
	return f.reader.Read(ctx, f.topic, f.next, wait) //nolint:wrapcheck // The adapter returns errors of this package.
}

// failed takes in a failed call and returns the pause before the next.
func (f *Follower) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil || f.hurried {
		return 0
	}
	if jayerror.Is(err, KindExpired) {
		f.log.Warn("store history expired; reading the newest records", "topic", f.topic, "offset", f.next)
		f.next = -1
		return 0
	}
	if !f.lost {
		f.lost = true
		f.log.Warn("store lost", "topic", f.topic, "offset", f.next, "error", err)
		f.consumer.Lost(ctx, err)
	}
	pause := f.retry/2 + rand.N(f.retry/2) //nolint:gosec // Jitter needs no secrecy.
	f.retry = min(2*f.retry, lastRetry)
	if f.retries != nil {
		pause = max(pause, f.retries.Reserve().Delay())
	}
	return pause
}

func (f *Follower) succeeded(ctx context.Context) {
	f.retry = firstRetry
	if !f.lost {
		return
	}
	f.lost = false
	f.log.Info("store regained", "topic", f.topic, "offset", f.next)
	f.consumer.Returned(ctx)
}
