package jayonce

import (
	"context"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaytask"
)

const (
	// flushPeriod is the time between two hand-overs to the zone's other instances.
	flushPeriod = 50 * time.Millisecond
	// intentPeriod is the time between two batches of intents.
	intentPeriod = 20 * time.Millisecond
	// outcomeLeast is the least time between two appends of outcomes, and
	// outcomeShare the part of it for each instance, so that all together stay within the budget.
	outcomeLeast = 500 * time.Millisecond
	outcomeShare = 10 * time.Millisecond
	// batchLimit bounds the entries of a record.
	batchLimit = 256
	// keptBody bounds the part of an answer that is recorded, in bytes.
	keptBody = 4 << 10
	// readWait is how long a read waits at the end of the stream.
	readWait = 5 * time.Second
	// appendTimeout bounds an append.
	appendTimeout = 5 * time.Second
	// winnerPoll is how often the winner of a key is looked for.
	winnerPoll = 5 * time.Millisecond
)

// Log reads and appends records.
type Log interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Peers are the other instances of the zone.
type Peers interface {
	// HandOver gives them outcomes and returns how many took them.
	HandOver(ctx context.Context, outcomes []Recorded) int
	// Count returns the number of live instances of all zones.
	Count() int
}

// JournalOptions are what a journal is made of.
type JournalOptions struct {
	Log    Log
	Writer *jaylog.Writer
	Peers  Peers
	Home   *Home
	Logger *slog.Logger
}

// Journal is the part that records outcomes, best effort, and intents.
type Journal struct {
	JournalOptions
	owner *jaytask.Owner[journalState]
	group *jaytask.Group
}

// journalState is what the journal's task owns.
type journalState struct {
	handover []Recorded
	outcomes []Recorded
	intents  []Intent
	flushed  time.Time
}

// NewJournal starts a journal.
func NewJournal(options JournalOptions) *Journal {
	j := &Journal{JournalOptions: options, owner: jaytask.NewOwner(&journalState{}, 0, nil), group: jaytask.NewGroup()}
	j.group.Go(j.follow)
	j.group.Every(flushPeriod, j.flushOutcomes)
	j.group.Every(intentPeriod, j.flushIntents)
	return j
}

// Claim decides by log order which incarnation is the home of a key without a
// ticket. An error means that it is not known.
func (j *Journal) Claim(ctx context.Context, key Key) (string, error) {
	if home, ok := j.Home.Winner(ctx, key); ok {
		return home, nil
	}
	intent := Intent{Key: key, Home: j.Home.Incarnation()}
	if err := j.owner.Tell(ctx, func(s *journalState) { s.intents = append(s.intents, intent) }); err != nil {
		return "", err
	}
	ticker := time.NewTicker(winnerPoll)
	defer ticker.Stop()
	for {
		if home, ok := j.Home.Winner(ctx, key); ok {
			return home, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return "", jayerror.New("claim", KindUndecided, "log has not decided which instance runs the key")
		}
	}
}

// Done is closed when the journal has stopped.
func (j *Journal) Done() <-chan struct{} {
	return j.group.Done()
}

// Record takes in an outcome.
func (j *Journal) Record(recorded Recorded) {
	recorded.Outcome.Body = recorded.Outcome.Body[:min(len(recorded.Outcome.Body), keptBody)]
	_ = j.owner.Tell(context.Background(), func(s *journalState) {
		s.handover = append(s.handover, recorded)
		s.outcomes = append(s.outcomes, recorded)
	})
}

// Stop ends the journal.
func (j *Journal) Stop() {
	j.group.Stop()
	j.owner.Stop()
}

// append appends a list of intents or outcomes.
func (j *Journal) append(ctx context.Context, kind string, list any) {
	body, err := msgpack.Marshal(list)
	if err != nil {
		j.Logger.Error("record not encoded", "kind", kind, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := j.Log.Append(ctx, jaylog.StreamOnce, j.Writer.Record(kind, body)); err != nil {
		j.Logger.Warn("record not appended", "kind", kind, "error", err)
	}
}

// flushIntents appends the intents that wait, as one record.
func (j *Journal) flushIntents(ctx context.Context) {
	var list []Intent
	_ = j.owner.Ask(ctx, func(s *journalState) {
		count := min(len(s.intents), batchLimit)
		list, s.intents = s.intents[:count:count], s.intents[count:]
	})
	if len(list) > 0 {
		j.append(ctx, RecordIntents, list)
	}
}

// flushOutcomes hands outcomes to the zone, and appends them when it is this instance's turn.
func (j *Journal) flushOutcomes(ctx context.Context) {
	var handover, outcomes []Recorded
	period := max(outcomeLeast, time.Duration(j.Peers.Count())*outcomeShare)
	_ = j.owner.Ask(ctx, func(s *journalState) {
		handover, s.handover = s.handover, nil
		if time.Since(s.flushed) < period || len(s.outcomes) == 0 {
			return
		}
		s.flushed = time.Now()
		count := min(len(s.outcomes), batchLimit)
		outcomes, s.outcomes = s.outcomes[:count:count], s.outcomes[count:]
	})
	if len(handover) > 0 {
		j.Peers.HandOver(ctx, handover)
	}
	if len(outcomes) > 0 {
		j.append(ctx, RecordOutcomes, outcomes)
	}
}

// follow reads the stream. Outcomes and intents that expired before they were
// read are not known here; their keys are answered as unknown.
func (j *Journal) follow(ctx context.Context) {
	next := int64(0)
	read := func(batch jaylog.Batch, expired bool) int64 {
		if expired {
			next = batch.Oldest
			return next
		}
		j.Home.Read(batch)
		next += int64(len(batch.Entries))
		return next
	}
	jaylog.Follow(ctx, j.Log, jaylog.StreamOnce, readWait, jaylog.Handler{Read: read, Failed: j.Home.Behind})
}
