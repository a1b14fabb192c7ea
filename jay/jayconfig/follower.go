package jayconfig

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaytask"
)

const (
	// readWait is how long a read waits at the end of the stream.
	readWait = 10 * time.Second
	// retryDelay is the pause after a read that failed.
	retryDelay = 250 * time.Millisecond
	// DefaultCheckpointEvery is the number of records after which a checkpoint is due.
	DefaultCheckpointEvery = 200
	// checkpointJitter spreads the checkpoints of the instances, so that one is mostly enough.
	checkpointJitter = 5 * time.Second
	// checkpointTimeout bounds the append of a checkpoint.
	checkpointTimeout = 10 * time.Second
)

// Reader reads the stream.
type Reader interface {
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Appender appends to the stream.
type Appender interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
}

// Peers gives the snapshots of other instances.
type Peers interface {
	// Snapshot returns a snapshot above a position, false where no peer has one.
	Snapshot(ctx context.Context, above int64) (Snapshot, bool)
}

// FollowerOptions are what a follower is made of.
type FollowerOptions struct {
	Reader   Reader
	Appender Appender
	Writer   *jaylog.Writer
	Peers    Peers
	Metrics  *jaymetric.Set
	Log      *slog.Logger
	// CheckpointEvery is the number of records after which a checkpoint is due.
	CheckpointEvery int64
	// CheckpointAge is the time after which a checkpoint is due; it must be well below the log's retention.
	CheckpointAge time.Duration
	// Prepare is called with each new view, in order, before View returns it:
	// whoever acts by a view finds the parts that Prepare configured.
	Prepare func(*View)
	// Apply is called with each new view, in order, once View returns it.
	Apply func()
}

// Follower is the task that keeps the configuration in force on an instance.
type Follower struct {
	FollowerOptions
	group   *jaytask.Group
	view    atomic.Pointer[View]
	replica Replica
	// due is when the next checkpoint is written unless another instance does.
	due time.Time
	// seen is when the newest checkpoint was seen.
	seen      time.Time
	available atomic.Bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{FollowerOptions: options, group: jaytask.NewGroup(), seen: time.Now()}
}

// Available reports whether the last read of the log succeeded.
func (f *Follower) Available() bool {
	return f.available.Load()
}

// Done is closed when the follower has stopped.
func (f *Follower) Done() <-chan struct{} {
	return f.group.Done()
}

// Next returns the offset of the first record that is not in force, -1 while no state is known.
func (f *Follower) Next() int64 {
	view := f.view.Load()
	if view == nil {
		return -1
	}
	return view.State().Next()
}

// Start begins to follow the stream; what Prepare and Apply use must be ready by then.
func (f *Follower) Start() {
	f.group.Go(f.run)
}

// Stop ends the follower.
func (f *Follower) Stop() {
	f.group.Stop()
}

// View returns the index of the newest state, nil while none is known.
func (f *Follower) View() *View {
	return f.view.Load()
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.round(ctx)
	}
}

// round reads once and puts in force what was read.
func (f *Follower) round(ctx context.Context) {
	batch, err := f.Reader.Read(ctx, jaylog.StreamConfig, f.replica.From(), f.wait())
	f.available.Store(err == nil || jayerror.Is(err, jaylog.KindExpired))
	switch {
	case jayerror.Is(err, jaylog.KindExpired):
		f.Log.Warn("configuration expired", "from", f.replica.From(), "oldest", batch.Oldest)
		f.replica.Expired(batch.Oldest)
		f.ask(ctx)
	case err != nil:
		f.Metrics.Add(jaymetric.LogUnavailable, 1)
		f.ask(ctx)
		pause(ctx, retryDelay)
	default:
		f.read(ctx, batch)
	}
	f.publish()
	f.checkpoint(ctx)
}

// read takes in a batch. A record that this program cannot read stops it there.
func (f *Follower) read(ctx context.Context, batch jaylog.Batch) {
	before := f.replica.Checkpoint()
	if err := f.replica.Read(batch.Entries); err != nil {
		f.Log.Error("configuration not readable; the last state stays in force", "error", err)
		pause(ctx, readWait)
	}
	if f.replica.Checkpoint() != before {
		f.seen = time.Now()
		f.due = time.Time{}
	}
	if f.replica.State() == nil && f.replica.From() == 0 && batch.End == 0 {
		f.replica.Begin()
	}
	if f.replica.State() == nil && f.replica.From() >= batch.End {
		f.ask(ctx)
		pause(ctx, retryDelay)
	}
}

// ask takes a peer's snapshot if one is ahead.
func (f *Follower) ask(ctx context.Context) {
	above := int64(-1)
	if state := f.replica.State(); state != nil {
		above = state.Next()
	}
	snapshot, ok := f.Peers.Snapshot(ctx, above)
	if !ok {
		return
	}
	restored, err := f.replica.Restore(snapshot)
	if err != nil {
		f.Log.Error("snapshot of a peer not usable", "error", err)
		return
	}
	if restored {
		f.Metrics.Add(jaymetric.ConfigRestored, 1)
		f.Log.Info("configuration restored from a peer", "next", snapshot.Position)
	}
}

// publish puts the replica's state in force.
func (f *Follower) publish() {
	state := f.replica.State()
	if state == nil || state.Next() == f.Next() {
		return
	}
	if state.Next() < f.Next() {
		f.Metrics.Breach("config: state went to a lower offset")
		return
	}
	view := NewView(state)
	f.Prepare(view)
	f.view.Store(view)
	f.Metrics.Add(jaymetric.ConfigApplied, 1)
	f.Log.Info("configuration in force", "next", state.Next(), "objects", len(state.Objects()))
	f.Apply()
}

// checkpoint appends a checkpoint if one is due and no other instance was faster.
func (f *Follower) checkpoint(ctx context.Context) {
	state := f.replica.State()
	if state == nil || state.Next() <= f.replica.Checkpoint()+1 {
		return
	}
	records := state.Next() - f.replica.Checkpoint()
	if records < f.CheckpointEvery && time.Since(f.seen) < f.CheckpointAge {
		return
	}
	if f.due.IsZero() {
		f.due = time.Now().Add(rand.N(checkpointJitter)) //nolint:gosec // A delay needs no secrets.
	}
	if time.Now().Before(f.due) {
		return
	}
	f.due = time.Time{}
	body, err := state.Snapshot().Encode()
	if err != nil {
		f.Log.Error("checkpoint not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if _, err := f.Appender.Append(ctx, jaylog.StreamConfig, f.Writer.Record(RecordCheckpoint, body)); err != nil {
		f.Log.Warn("checkpoint not written", "error", err)
		return
	}
	f.Metrics.Add(jaymetric.Checkpoints, 1)
	f.Log.Info("checkpoint written", "position", state.Next())
}

// wait returns how long the next read may wait.
func (f *Follower) wait() time.Duration {
	if f.replica.State() == nil {
		return 0
	}
	if f.due.IsZero() {
		return readWait
	}
	return max(0, min(readWait, time.Until(f.due)))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
