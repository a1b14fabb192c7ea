package jaystore_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// silentReader is a reader whose calls get no answer while the store is cut off.
type silentReader struct {
	cut *atomic.Bool
	// readAt is when a call was last answered.
	readAt atomic.Pointer[time.Time]
}

func (r *silentReader) Newest(ctx context.Context, _ jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return r.answer(ctx)
}

func (r *silentReader) Read(ctx context.Context, _ jaystore.Topic, _ jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if interrupt != nil {
		select {
		case <-time.After(900 * time.Millisecond):
		case <-interrupt:
			return nil, 0, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
		case <-ctx.Done():
		}
	}
	return r.answer(ctx)
}

func (r *silentReader) answer(ctx context.Context) ([]jaystore.Record, jaystore.Position, error) {
	if r.cut.Load() {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return nil, 0, jayerror.New("read", jaystore.KindUnavailable, "no answer")
	}
	now := time.Now()
	r.readAt.Store(&now)
	return nil, 1, nil
}

// Guards against an instance that was removed from the list while it was cut off, and stays off it after it
// reaches the store again: of three topics that share a limit on retries, the list's may come last.
func TestListIsReadSoonAfterOutage(t *testing.T) {
	// again is the time in which the list has to be read once another topic has been: half of the
	// time in which the instance has to be listed again.
	const again = time.Second
	tests := map[string]struct {
		outage time.Duration
		limit  rate.Limit
	}{
		"an hour": {time.Hour, rate.Every(time.Second)}, "half a minute": {30 * time.Second, rate.Every(time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for run := range 20 {
				synctest.Test(t, func(t *testing.T) {
					var cut atomic.Bool
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					group, log := jaystore.NewGroup(rate.NewLimiter(test.limit, 3)), slog.New(slog.DiscardHandler)
					start := func(topic jaystore.Topic) *silentReader {
						r := &silentReader{cut: &cut}
						go jaystore.NewFollower(r, topic, &consumer{}, 0, log, jaystore.WithGroup(group)).Run(ctx)
						return r
					}
					list, policy, registry := start(jaystore.TopicMembers), start(jaystore.TopicPolicy), start(jaystore.TopicUpstreams)
					time.Sleep(5 * time.Second)
					cut.Store(true)
					time.Sleep(test.outage + time.Duration(run)*170*time.Millisecond)
					cut.Store(false)
					healed := time.Now()
					for policy.readAt.Load().Before(healed) && registry.readAt.Load().Before(healed) {
						time.Sleep(time.Millisecond)
					}
					reached := time.Now()
					time.Sleep(again)
					if at := list.readAt.Load(); at.Before(healed) {
						t.Errorf("run %d: list not read %s after the store was reached, %s after it came back", run, again, reached.Sub(healed)+again)
					}
				})
			}
		})
	}
}
