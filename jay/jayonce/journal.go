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
	// flushPeriod is the interval at which outcomes are sent to the zone's other instances.
	flushPeriod = 50 * time.Millisecond
	// intentPeriod is the interval at which batches of intents are appended.
	intentPeriod = 20 * time.Millisecond
	// minOutcomePeriod is the minimum interval between two appends of outcomes.
	// The interval is at least outcomePeriodPerInstance times the number of live instances,
	// so that all instances together stay within the budget of appends.
	minOutcomePeriod         = 500 * time.Millisecond
	outcomePeriodPerInstance = 10 * time.Millisecond
	// batchLimit bounds the number of intents or outcomes in a record.
	batchLimit = 256
	// maxRecordedBody bounds the response bodies that are recorded, in bytes.
	maxRecordedBody = 4 << 10
	// readWait is how long a read at the end of the stream waits for new records.
	readWait = 5 * time.Second
	// appendTimeout bounds the time of an append.
	appendTimeout = 5 * time.Second
	// homePollPeriod is the interval between checks whether the home of a key is decided.
	homePollPeriod = 5 * time.Millisecond
)

// Log reads and appends the records of a stream.
type Log interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Peers are the other instances of the zone.
type Peers interface {
	// SendOutcomes sends them outcomes and returns the number of instances that accepted them.
	SendOutcomes(ctx context.Context, outcomes []KeyOutcome) int
	// Count returns the number of live instances of all zones.
	Count() int
}

// JournalOptions holds the dependencies of a journal.
type JournalOptions struct {
	Log    Log
	Writer *jaylog.Writer
	Peers  Peers
	Home   *Home
	Logger *slog.Logger
}

// Journal appends intents and, on a best-effort basis, outcomes to the log, sends outcomes to the
// zone's other instances, and applies the records of all instances to the home.
type Journal struct {
	JournalOptions
	owner *jaytask.Owner[journalState]
	group *jaytask.Group
}

// journalState is owned by the journal's task.
type journalState struct {
	forPeers   []KeyOutcome
	forLog     []KeyOutcome
	intents    []Intent
	lastAppend time.Time
}

// NewJournal starts a journal.
func NewJournal(options JournalOptions) *Journal {
	j := &Journal{JournalOptions: options, owner: jaytask.NewOwner(&journalState{}, 0, nil), group: jaytask.NewGroup()}
	j.group.Go(j.follow)
	j.group.Every(flushPeriod, j.flushOutcomes)
	j.group.Every(intentPeriod, j.flushIntents)
	return j
}

// Claim proposes this incarnation as the home of a key without a ticket and
// returns the home that log order decides. An error means that no decision has been read.
func (j *Journal) Claim(ctx context.Context, key Key) (string, error) {
	if home, ok := j.Home.IntentHome(ctx, key); ok {
		return home, nil
	}
	intent := Intent{Key: key, Home: j.Home.Incarnation()}
	if err := j.owner.Send(ctx, func(s *journalState) { s.intents = append(s.intents, intent) }); err != nil {
		return "", err
	}
	ticker := time.NewTicker(homePollPeriod)
	defer ticker.Stop()
	for {
		if home, ok := j.Home.IntentHome(ctx, key); ok {
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

// Record queues an outcome for the zone's other instances and the log.
func (j *Journal) Record(keyOutcome KeyOutcome) {
	keyOutcome = keyOutcome.Recorded()
	_ = j.owner.Send(context.Background(), func(s *journalState) {
		s.forPeers = append(s.forPeers, keyOutcome)
		s.forLog = append(s.forLog, keyOutcome)
	})
}

// Stop stops the journal.
func (j *Journal) Stop() {
	j.group.Stop()
	j.owner.Stop()
}

// append appends a list of intents or outcomes as one record.
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

// flushIntents appends queued intents, at most batchLimit of them, as one record.
func (j *Journal) flushIntents(ctx context.Context) {
	var list []Intent
	_ = j.owner.Call(ctx, func(s *journalState) {
		count := min(len(s.intents), batchLimit)
		list, s.intents = s.intents[:count:count], s.intents[count:]
	})
	if len(list) > 0 {
		j.append(ctx, RecordIntents, list)
	}
}

// flushOutcomes sends queued outcomes to the zone's other instances, and appends them to the log if the
// append interval has passed.
func (j *Journal) flushOutcomes(ctx context.Context) {
	var forPeers, forLog []KeyOutcome
	period := max(minOutcomePeriod, time.Duration(j.Peers.Count())*outcomePeriodPerInstance)
	_ = j.owner.Call(ctx, func(s *journalState) {
		forPeers, s.forPeers = s.forPeers, nil
		if time.Since(s.lastAppend) < period || len(s.forLog) == 0 {
			return
		}
		s.lastAppend = time.Now()
		count := min(len(s.forLog), batchLimit)
		forLog, s.forLog = s.forLog[:count:count], s.forLog[count:]
	})
	if len(forPeers) > 0 {
		j.Peers.SendOutcomes(ctx, forPeers)
	}
	if len(forLog) > 0 {
		j.append(ctx, RecordOutcomes, forLog)
	}
}

// follow applies the records of the stream to the home. Outcomes and intents that
// expired before they were read are missing here; their keys are answered as unknown.
func (j *Journal) follow(ctx context.Context) {
	next := int64(0)
	read := func(batch jaylog.Batch, expired bool) int64 {
		if expired {
			next = batch.Oldest
			return next
		}
		j.Home.Apply(batch)
		next += int64(len(batch.Entries))
		return next
	}
	jaylog.Follow(ctx, j.Log, jaylog.StreamOnce, readWait, jaylog.Handler{Read: read, Failed: j.Home.MarkStale})
}
