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

// emptyLog is a log whose stream has no records.
type emptyLog struct{}

func (emptyLog) Read(ctx context.Context, _ jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error) {
	if from > 0 || wait > 0 {
		<-ctx.Done()
	}
	return jaylog.Batch{}, ctx.Err()
}

// noPeers implements Peers for an instance without peers.
type noPeers struct{}

func (noPeers) Snapshot(context.Context, int64) (jayconfig.Snapshot, bool) {
	return jayconfig.Snapshot{}, false
}

// Prepare configures the components that requests use, such as the routing table. A view that is
// visible before Prepare has run would let requests use components that are not configured for it.
func TestFollowerCallsPrepareBeforeViewIsVisible(t *testing.T) {
	t.Parallel()
	var follower *jayconfig.Follower
	var atApply, atPrepare *jayconfig.View
	prepared := false
	applied := make(chan struct{})
	follower = jayconfig.NewFollower(jayconfig.FollowerOptions{
		Reader:  emptyLog{},
		Peers:   noPeers{},
		Writer:  jaylog.NewWriter("follower"),
		Metrics: jaymetric.NewSet(slog.New(slog.DiscardHandler)),
		Log:     slog.New(slog.DiscardHandler),
		Prepare: func(*jayconfig.View) { prepared, atPrepare = true, follower.View() },
		Apply: func() {
			atApply = follower.View()
			close(applied)
		},
	})
	follower.Start()
	<-applied
	follower.Stop()
	if !prepared || atPrepare != nil {
		t.Error("view was visible before Prepare was called")
	}
	if atApply == nil {
		t.Error("view was not visible when Apply was called")
	}
}
