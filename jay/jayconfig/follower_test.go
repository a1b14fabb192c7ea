package jayconfig_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymetric"
)

// emptyLog is a stream without records.
type emptyLog struct{}

func (emptyLog) Read(ctx context.Context, _ jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error) {
	if from > 0 || wait > 0 {
		<-ctx.Done()
	}
	return jaylog.Batch{}, ctx.Err()
}

// noPeers is an instance that knows no other.
type noPeers struct{}

func (noPeers) Snapshot(context.Context, int64) (jayconfig.Snapshot, bool) {
	return jayconfig.Snapshot{}, false
}

func TestFollowerPreparesPartsBeforeItShowsAView(t *testing.T) {
	t.Parallel()
	var follower *jayconfig.Follower
	var shown, hidden *jayconfig.View
	prepared := false
	applied := make(chan struct{})
	follower = jayconfig.NewFollower(jayconfig.FollowerOptions{
		Reader:  emptyLog{},
		Peers:   noPeers{},
		Writer:  jaylog.NewWriter("follower"),
		Metrics: jaymetric.NewSet(slog.New(slog.DiscardHandler)),
		Log:     slog.New(slog.DiscardHandler),
		Prepare: func(*jayconfig.View) { prepared, hidden = true, follower.View() },
		Apply: func() {
			shown = follower.View()
			close(applied)
		},
	})
	follower.Start()
	<-applied
	follower.Stop()
	if !prepared || hidden != nil {
		t.Error("view was shown before it was prepared")
	}
	if shown == nil {
		t.Error("view was not shown when it was applied")
	}
}
