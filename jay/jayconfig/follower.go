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
	// readWait is how long a read waits for new records at the end of the stream, and the delay
	// after a record that cannot be applied.
	readWait = 10 * time.Second
	// retryDelay is the delay before the next read after one that failed or that reached the end of
	// the stream without giving a state.
	retryDelay = 250 * time.Millisecond
	// DefaultCheckpointEvery is the default number of records between checkpoints.
	DefaultCheckpointEvery = 200
	// checkpointJitter is the maximum random delay before an instance writes a due checkpoint.
	// It spreads the instances out, so that usually only one of them writes it.
	checkpointJitter = 5 * time.Second
	// checkpointTimeout is the timeout for appending a checkpoint.
	checkpointTimeout = 10 * time.Second
)

// Reader reads records from the stream.
type Reader interface {
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Appender appends records to the stream.
type Appender interface {
	// AppendAt appends a record if the stream ends at an offset, and fails with jaylog.KindConflict if not.
	AppendAt(ctx context.Context, stream jaylog.Stream, record jaylog.Record, end int64) (int64, error)
}

// Peers fetches snapshots from other instances.
type Peers interface {
	// Snapshot returns a snapshot with a position higher than above, and false if no peer has one.
	Snapshot(ctx context.Context, above int64) (Snapshot, bool)
}

// FollowerOptions holds the dependencies and settings of a Follower.
type FollowerOptions struct {
	Reader   Reader
	Appender Appender
	Writer   *jaylog.Writer
	Peers    Peers
	Metrics  *jaymetric.Set
	Log      *slog.Logger
	// CheckpointEvery is the number of records after which a new checkpoint is due.
	CheckpointEvery int64
	// CheckpointAge is the time after which a new checkpoint is due. It must be well below the log's retention.
	CheckpointAge time.Duration
	// Prepare is called with each new view, in order, before View returns it,
	// so that code using a view finds the components already configured for it.
	Prepare func(*View)
	// Apply is called after each new view, in order, once View returns it.
	Apply func()
}

// Follower is the background task that keeps an instance's configuration up to date with the log.
type Follower struct {
	FollowerOptions
	group   *jaytask.Group
	view    atomic.Pointer[View]
	replica Replica
	// checkpointDue is when this instance writes the next checkpoint, unless another instance
	// has written one by then. It is zero while none is scheduled.
	checkpointDue time.Time
	// checkpointSeen is when the newest checkpoint was read.
	checkpointSeen time.Time
	available      atomic.Bool
}

// NewFollower returns a follower that has read no records.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{FollowerOptions: options, group: jaytask.NewGroup(), checkpointSeen: time.Now()}
}

// Available reports whether the last read of the log succeeded or failed only because records had expired.
func (f *Follower) Available() bool {
	return f.available.Load()
}

// Done is closed when the follower has stopped.
func (f *Follower) Done() <-chan struct{} {
	return f.group.Done()
}

// Position returns the offset of the first record that is not applied, or -1 if there is no configuration yet.
func (f *Follower) Position() int64 {
	view := f.view.Load()
	if view == nil {
		return -1
	}
	return view.State().Position()
}

// Start starts following the stream. Everything that Prepare and Apply use must be ready before Start is called.
func (f *Follower) Start() {
	f.group.Go(f.run)
}

// Stop stops the follower.
func (f *Follower) Stop() {
	f.group.Stop()
}

// View returns the view of the newest applied state, or nil if there is none yet.
func (f *Follower) View() *View {
	return f.view.Load()
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

// poll reads one batch from the log and applies it.
func (f *Follower) poll(ctx context.Context) {
	batch, err := f.Reader.Read(ctx, jaylog.StreamConfig, f.replica.ReadOffset(), f.wait())
	f.available.Store(err == nil || jayerror.Is(err, jaylog.KindExpired))
	switch {
	case jayerror.Is(err, jaylog.KindExpired):
		f.Log.Warn("configuration records expired before they were read", "from", f.replica.ReadOffset(), "oldest", batch.Oldest)
		f.replica.SkipTo(batch.Oldest)
		f.restoreFromPeer(ctx)
	case err != nil:
		f.Metrics.Add(jaymetric.LogUnavailable, 1)
		f.restoreFromPeer(ctx)
		pause(ctx, retryDelay)
	default:
		f.consume(ctx, batch)
	}
	f.activate()
	f.checkpoint(ctx)
}

// consume applies a batch to the replica. It stops at a record that this version cannot read.
func (f *Follower) consume(ctx context.Context, batch jaylog.Batch) {
	before := f.replica.Checkpoint()
	if err := f.replica.Consume(batch.Entries); err != nil {
		f.Log.Error("cannot apply configuration record; keeping the last applied configuration", "error", err)
		pause(ctx, readWait)
	}
	if f.replica.Checkpoint() != before {
		f.checkpointSeen = time.Now()
		f.checkpointDue = time.Time{}
	}
	if f.replica.State() == nil && f.replica.ReadOffset() == 0 && batch.End == 0 {
		f.replica.InitEmpty()
	}
	if f.replica.State() == nil && f.replica.ReadOffset() >= batch.End {
		f.restoreFromPeer(ctx)
		pause(ctx, retryDelay)
	}
}

// restoreFromPeer restores the replica from a peer's snapshot if a peer has a newer one.
func (f *Follower) restoreFromPeer(ctx context.Context) {
	above := int64(-1)
	if state := f.replica.State(); state != nil {
		above = state.Position()
	}
	snapshot, ok := f.Peers.Snapshot(ctx, above)
	if !ok {
		return
	}
	restored, err := f.replica.Restore(snapshot)
	if err != nil {
		f.Log.Error("cannot restore peer snapshot", "error", err)
		return
	}
	if restored {
		f.Metrics.Add(jaymetric.ConfigRestored, 1)
		f.Log.Info("configuration restored from peer snapshot", "next", snapshot.Position)
	}
}

// activate builds a view of a new state and puts it in force: it calls Prepare, makes the view
// visible and calls Apply.
func (f *Follower) activate() {
	state := f.replica.State()
	if state == nil || state.Position() == f.Position() {
		return
	}
	if state.Position() < f.Position() {
		f.Metrics.ReportBrokenInvariant("config: state went to a lower offset")
		return
	}
	view := NewView(state)
	f.Prepare(view)
	f.view.Store(view)
	f.Metrics.Add(jaymetric.ConfigApplied, 1)
	f.Log.Info("configuration applied", "next", state.Position(), "objects", len(state.Objects()))
	f.Apply()
}

// checkpoint appends a checkpoint if one is due and no other instance has written it first.
func (f *Follower) checkpoint(ctx context.Context) {
	state := f.replica.State()
	if state == nil || state.Position() <= f.replica.Checkpoint()+1 {
		return
	}
	records := state.Position() - f.replica.Checkpoint()
	if records < f.CheckpointEvery && time.Since(f.checkpointSeen) < f.CheckpointAge {
		return
	}
	if f.checkpointDue.IsZero() {
		f.checkpointDue = time.Now().Add(rand.N(checkpointJitter)) //nolint:gosec // The jitter needs no cryptographic randomness.
	}
	if time.Now().Before(f.checkpointDue) {
		return
	}
	f.checkpointDue = time.Time{}
	body, err := state.Snapshot().Encode()
	if err != nil {
		f.Log.Error("cannot encode checkpoint", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	// The checkpoint covers all records before it, or is not written: the log may expire up to it.
	_, err = f.Appender.AppendAt(ctx, jaylog.StreamConfig, f.Writer.Record(RecordCheckpoint, body), state.Position())
	if jayerror.Is(err, jaylog.KindConflict) {
		f.Log.Info("checkpoint not written, since there are newer records", "position", state.Position())
		return
	}
	if err != nil {
		f.Log.Warn("cannot append checkpoint", "error", err)
		return
	}
	f.Metrics.Add(jaymetric.Checkpoints, 1)
	f.Log.Info("checkpoint written", "position", state.Position())
}

// wait returns how long the next read may wait for new records.
func (f *Follower) wait() time.Duration {
	if f.replica.State() == nil {
		return 0
	}
	if f.checkpointDue.IsZero() {
		return readWait
	}
	return max(0, min(readWait, time.Until(f.checkpointDue)))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
