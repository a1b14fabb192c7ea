package jayconfig_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymetric"
)

// memoryLog is the stream of a log in memory, whose appends take some time to arrive.
type memoryLog struct {
	delay   time.Duration
	mu      sync.Mutex
	entries []jaylog.Entry
	grown   chan struct{}
}

func (l *memoryLog) Read(ctx context.Context, _ jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		batch, grown := jaylog.Batch{End: int64(len(l.entries)), Entries: append([]jaylog.Entry{}, l.entries[from:]...)}, l.grown
		l.mu.Unlock()
		if len(batch.Entries) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *memoryLog) Append(_ context.Context, _ jaylog.Stream, record jaylog.Record) (int64, error) {
	return l.append(record, -1)
}

func (l *memoryLog) AppendAt(_ context.Context, _ jaylog.Stream, record jaylog.Record, end int64) (int64, error) {
	return l.append(record, end)
}

func (l *memoryLog) append(record jaylog.Record, end int64) (int64, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.entries))
	if end >= 0 && end != offset {
		return 0, jayerror.Newf("append", jaylog.KindConflict, "stream ends at %d, not at %d", offset, end)
	}
	l.entries = append(l.entries, jaylog.Entry{Offset: offset, Record: record})
	close(l.grown)
	l.grown = make(chan struct{})
	return offset, nil
}

// Guards against a checkpoint that covers less than all records before it, since another record was appended between the
// read and the append: a log may expire up to it, and a new instance without a peer then has no configuration for good.
func TestNewestCheckpointCoversAllBeforeIt(t *testing.T) {
	tests := map[string]struct {
		instances int
		// delay is how long an append takes to arrive; all instances append before they read of each
		// other's checkpoints if it is longer than the delays that spread them out.
		delay time.Duration
		// publishes is set if operators publish all the while.
		publishes bool
	}{
		"one instance":                  {1, 6 * time.Second, false},
		"two that write at once":        {2, 6 * time.Second, false},
		"many that write at once":       {40, 6 * time.Second, false},
		"appends that arrive early":     {40, 10 * time.Millisecond, false},
		"while operators publish":       {2, 10 * time.Millisecond, true},
		"while operators publish, many": {40, 100 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, writer := &memoryLog{delay: test.delay, grown: make(chan struct{})}, jaylog.NewWriter("operator")
				publish := func(n int) {
					document, err := jayconfig.ParsePublish("f.ini", fmt.Sprintf("[caller c%d]\nkey = sha256:%064d\n", n, n))
					if err != nil {
						t.Fatal(err)
					}
					body, err := document.Encode()
					if err != nil {
						t.Fatal(err)
					}
					if _, err := log.Append(t.Context(), jaylog.StreamConfig, writer.Record(jayconfig.RecordPublish, body)); err != nil {
						t.Fatal(err)
					}
				}
				for n := range 5 {
					publish(n)
				}
				for n := range test.instances {
					f := jayconfig.NewFollower(jayconfig.FollowerOptions{
						Reader: log, Appender: log, Writer: jaylog.NewWriter(fmt.Sprint("i", n)), Peers: noPeers{},
						Metrics: jaymetric.NewSet(slog.New(slog.DiscardHandler)), Log: slog.New(slog.DiscardHandler),
						CheckpointEvery: 3, CheckpointAge: time.Hour, Prepare: func(*jayconfig.View) {}, Apply: func() {},
					})
					f.Start()
					defer f.Stop()
				}
				for n := range 60 {
					time.Sleep(500 * time.Millisecond)
					if test.publishes {
						publish(5 + n)
					}
				}
				checkNewestCheckpoint(t, log)
			})
		})
	}
}

// checkNewestCheckpoint checks that a replica which reads a log from its newest checkpoint on has a state.
func checkNewestCheckpoint(t *testing.T, log *memoryLog) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	newest, checkpoints := int64(-1), 0
	for _, entry := range log.entries {
		if entry.Record.Kind == jayconfig.RecordCheckpoint {
			newest = entry.Offset
			checkpoints++
		}
	}
	if newest < 0 {
		t.Fatal("no checkpoint was written")
	}
	var replica jayconfig.Replica
	replica.SkipTo(newest)
	if err := replica.Consume(log.entries[newest:]); err != nil {
		t.Fatal(err)
	}
	if replica.State() == nil {
		t.Errorf("newest of %d checkpoints, at offset %d of %d, gives no state", checkpoints, newest, len(log.entries))
	}
}
