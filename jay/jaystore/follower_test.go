package jaystore_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// answer is what a scripted reader gives for one call.
type answer struct {
	records []jaystore.Record
	next    int64
	err     error
}

// reader answers by a script and notes the calls; it ends the test's context after the last.
type reader struct {
	script []answer
	calls  []string
	end    context.CancelFunc
}

func (r *reader) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, int64, error) {
	return r.answer("newest")
}

func (r *reader) Read(_ context.Context, _ jaystore.Topic, _ int64, wait bool) ([]jaystore.Record, int64, error) {
	if wait {
		return r.answer("wait")
	}
	return r.answer("read")
}

func (r *reader) answer(call string) ([]jaystore.Record, int64, error) {
	r.calls = append(r.calls, call)
	a := r.script[0]
	if r.script = r.script[1:]; len(r.script) == 0 {
		r.end()
	}
	return a.records, a.next, a.err
}

// consumer notes what it is given.
type consumer struct {
	seen []string
}

func (c *consumer) Replace(_ context.Context, records []jaystore.Record, _ int64) {
	c.note("replace", records)
}

func (c *consumer) Apply(_ context.Context, records []jaystore.Record) {
	c.note("apply", records)
}

func (c *consumer) Lost(context.Context, error) {
	c.seen = append(c.seen, "lost")
}

func (c *consumer) Returned(context.Context) {
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
		"newest, then what follows": {
			script: []answer{{records: a, next: 1}, {records: b, next: 2}, {next: 2}},
			calls:  []string{"newest", "wait", "wait"},
			seen:   []string{"replace a", "apply b"},
		},
		"a lost store is asked without waiting": {
			script: []answer{{records: a, next: 1}, {err: down}, {err: down}, {records: b, next: 2}, {next: 2}},
			calls:  []string{"newest", "wait", "read", "read", "wait"},
			seen:   []string{"replace a", "lost", "apply b", "returned"},
		},
		"expired history is read anew": {
			script: []answer{{records: a, next: 1}, {err: expired}, {records: b, next: 9}},
			calls:  []string{"newest", "wait", "newest"},
			seen:   []string{"replace a", "replace b"},
		},
		"records known from elsewhere": {
			script: []answer{{records: a, next: 1}, {records: b, next: 2, err: down}, {next: 2}},
			calls:  []string{"newest", "wait", "read"},
			seen:   []string{"replace a", "apply b", "lost", "returned"},
		},
		"lost from the start": {
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

// asked counts the calls that followers reserve.
type asked struct {
	calls int
}

func (a *asked) Reserve() *rate.Reservation {
	a.calls++
	return rate.NewLimiter(rate.Inf, 1).Reserve()
}

// A follower asks the shared bound before each retry, and not while the store answers.
func TestFollowerSharesRetries(t *testing.T) {
	down := jayerror.New("read", jaystore.KindUnavailable, "no answer")
	tests := map[string]struct {
		script []answer
		calls  int
	}{
		"sound":          {[]answer{{next: 1}, {next: 1}, {next: 1}}, 0},
		"two calls fail": {[]answer{{next: 1}, {err: down}, {err: down}, {next: 1}}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			r, retries := &reader{script: test.script, end: cancel}, &asked{}
			jaystore.NewFollower(r, jaystore.TopicPolicy, &consumer{}, 0, slog.New(slog.DiscardHandler),
				jaystore.WithRetries(retries)).Run(ctx)
			if retries.calls != test.calls {
				t.Errorf("%d retries were bounded, want %d", retries.calls, test.calls)
			}
		})
	}
}

// held is a reader whose first read waits until it is cancelled.
type held struct {
	reading chan struct{}
	reads   int
	end     context.CancelFunc
}

func (*held) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, int64, error) {
	return nil, 0, nil
}

func (h *held) Read(ctx context.Context, _ jaystore.Topic, _ int64, wait bool) ([]jaystore.Record, int64, error) {
	if h.reads++; h.reads == 1 {
		close(h.reading)
		<-ctx.Done()
		return nil, 0, jayerror.Wrap("read", jaystore.KindUnavailable, ctx.Err())
	}
	h.end()
	if wait {
		return nil, 0, jayerror.New("read", jaystore.KindFormat, "the read after the news waits")
	}
	return []jaystore.Record{{Key: "news"}}, 1, nil
}

// News end a read that the store holds, which may never be answered.
func TestFollowerHurries(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	h, c := &held{reading: make(chan struct{}), end: cancel}, &consumer{}
	follower := jaystore.NewFollower(h, jaystore.TopicPolicy, c, 0, slog.New(slog.DiscardHandler))
	go func() {
		<-h.reading
		follower.Hurry()
	}()
	follower.Run(ctx)
	if want := []string{"replace", "apply news"}; !slices.Equal(c.seen, want) {
		t.Errorf("seen = %q, want %q", c.seen, want)
	}
}
