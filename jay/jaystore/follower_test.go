package jaystore_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// answer is the response of a scripted reader to one call.
type answer struct {
	records []jaystore.Record
	next    jaystore.Position
	err     error
}

// reader returns scripted responses and records the calls; it cancels the test's context after the last one.
type reader struct {
	script []answer
	calls  []string
	end    context.CancelFunc
}

func (r *reader) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return r.answer("newest")
}

func (r *reader) Read(_ context.Context, _ jaystore.Topic, _ jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if interrupt != nil {
		return r.answer("wait")
	}
	return r.answer("read")
}

func (r *reader) answer(call string) ([]jaystore.Record, jaystore.Position, error) {
	r.calls = append(r.calls, call)
	a := r.script[0]
	if r.script = r.script[1:]; len(r.script) == 0 {
		r.end()
	}
	return a.records, a.next, a.err
}

// consumer records the calls that it receives.
type consumer struct {
	seen []string
}

func (c *consumer) Replace(_ context.Context, records []jaystore.Record, _ jaystore.Position) {
	c.note("replace", records)
}

func (c *consumer) Apply(_ context.Context, records []jaystore.Record) {
	c.note("apply", records)
}

func (c *consumer) Unavailable(context.Context, error) {
	c.seen = append(c.seen, "lost")
}

func (c *consumer) Available(context.Context) {
	c.seen = append(c.seen, "returned")
}

func (c *consumer) note(what string, records []jaystore.Record) {
	for _, record := range records {
		what += " " + record.Key
	}
	c.seen = append(c.seen, what)
}

func TestFollower(t *testing.T) {
	down := jayerror.New("read", jaystore.KindUnavailable, "no answer")
	expired := jayerror.New("read", jaystore.KindExpired, "gone")
	a, b := []jaystore.Record{{Key: "a"}}, []jaystore.Record{{Key: "b"}}
	tests := map[string]struct {
		script []answer
		calls  []string
		seen   []string
	}{
		"reads a snapshot, then the records after it": {
			script: []answer{{records: a, next: 1}, {records: b, next: 2}, {next: 2}},
			calls:  []string{"newest", "wait", "wait"},
			seen:   []string{"replace a", "apply b"},
		},
		"reads an unavailable store without long polling": {
			script: []answer{{records: a, next: 1}, {err: down}, {err: down}, {records: b, next: 2}, {next: 2}},
			calls:  []string{"newest", "wait", "read", "read", "wait"},
			seen:   []string{"replace a", "lost", "apply b", "returned"},
		},
		"reads a new snapshot once the offset has expired": {
			script: []answer{{records: a, next: 1}, {err: expired}, {records: b, next: 9}},
			calls:  []string{"newest", "wait", "newest"},
			seen:   []string{"replace a", "replace b"},
		},
		"applies records of another instance that come with an error": {
			script: []answer{{records: a, next: 1}, {records: b, next: 2, err: down}, {next: 2}},
			calls:  []string{"newest", "wait", "read"},
			seen:   []string{"replace a", "apply b", "lost", "returned"},
		},
		"retries the snapshot if the store is unavailable at the start": {
			script: []answer{{err: down}, {records: a, next: 1}},
			calls:  []string{"newest", "newest"},
			seen:   []string{"lost", "replace a", "returned"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			r, c := &reader{script: test.script, end: cancel}, &consumer{}
			jaystore.NewFollower(r, jaystore.TopicPolicy, c, 0, slog.New(slog.DiscardHandler)).Run(ctx)
			if !slices.Equal(r.calls, test.calls) {
				t.Errorf("calls = %q, want %q", r.calls, test.calls)
			}
			if !slices.Equal(c.seen, test.seen) {
				t.Errorf("seen = %q, want %q", c.seen, test.seen)
			}
		})
	}
}

// countingLimiter counts the calls that followers reserve.
type countingLimiter struct {
	calls int
}

func (l *countingLimiter) Allow() bool {
	l.calls++
	return true
}

func (*countingLimiter) Tokens() float64 { return 1 }

func (*countingLimiter) Limit() rate.Limit { return 1 }

// Guards against retries that bypass the limit shared by all followers of an
// instance, and against reads of an available store that use it up.
func TestFollowerSharesRetryLimiter(t *testing.T) {
	down := jayerror.New("read", jaystore.KindUnavailable, "no answer")
	tests := map[string]struct {
		script []answer
		calls  int
	}{
		"sound":                         {[]answer{{next: 1}, {next: 1}, {next: 1}}, 0},
		"each retry needs a permission": {[]answer{{next: 1}, {err: down}, {err: down}, {next: 1}}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			r, limiter := &reader{script: test.script, end: cancel}, &countingLimiter{}
			jaystore.NewFollower(r, jaystore.TopicPolicy, &consumer{}, 0, slog.New(slog.DiscardHandler),
				jaystore.WithGroup(jaystore.NewGroup(limiter))).Run(ctx)
			if limiter.calls != test.calls {
				t.Errorf("%d retries allowed, want %d", limiter.calls, test.calls)
			}
		})
	}
}

// blockingReader is a reader whose first read blocks until it is interrupted or, if it is in a transfer, until
// that has ended.
type blockingReader struct {
	started chan struct{}
	// transferred is nil if the first read only waits for records.
	transferred chan struct{}
	reads       int
	end         context.CancelFunc
}

func (*blockingReader) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return nil, 0, nil
}

func (b *blockingReader) Read(ctx context.Context, _ jaystore.Topic, _ jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if b.reads++; b.reads == 1 {
		close(b.started)
		if b.transferred == nil {
			<-interrupt
			return nil, 0, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
		}
		select {
		case <-b.transferred:
			return []jaystore.Record{{Key: "large"}}, 1, nil
		case <-ctx.Done():
			return nil, 0, jayerror.Wrap("read", jaystore.KindUnavailable, ctx.Err())
		}
	}
	b.end()
	if interrupt != nil {
		return nil, 0, jayerror.New("read", jaystore.KindFormat, "read after ReadNow uses long polling")
	}
	return []jaystore.Record{{Key: "news"}}, 2, nil
}

// Guards against a follower that stays in a long poll to which the store may never
// respond, and against one that gives up records in transfer: ReadNow must interrupt
// only the wait, and read without long polling.
func TestFollowerReadNowInterruptsWaitOnly(t *testing.T) {
	tests := map[string]struct {
		transfer bool
		want     []string
	}{
		"long poll": {false, []string{"replace", "apply news"}},
		"transfer":  {true, []string{"replace", "apply large", "apply news"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				b, c := &blockingReader{started: make(chan struct{}), end: cancel}, &consumer{}
				if test.transfer {
					b.transferred = make(chan struct{})
				}
				follower := jaystore.NewFollower(b, jaystore.TopicPolicy, c, 0, slog.New(slog.DiscardHandler))
				go func() {
					<-b.started
					follower.ReadNow()
					synctest.Wait()
					if test.transfer {
						close(b.transferred)
					}
				}()
				follower.Run(ctx)
				if !slices.Equal(c.seen, test.want) {
					t.Errorf("seen = %q, want %q", c.seen, test.want)
				}
			})
		})
	}
}
