package jayroster

import (
	"context"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

const (
	// startupGrace is how long an instance that has just started waits for the first replies of
	// other instances before it reads the store itself.
	startupGrace = 1500 * time.Millisecond
	// standbyFraction is the fraction of the age limit at which the second in line reads the store
	// in place of the watcher, so that the others find its copy when theirs reaches the limit.
	standbyFraction = 0.85
)

// TopicReader reads a topic of the store through the watcher of the zone: the one
// instance that reads the store itself and serves the records to the others. An
// instance that finds no copy in its zone that is fresh enough reads the store itself, and one
// that gets no answer from the store fetches the records from any other instance. This limits
// the load on the store, since each call has a cost and there are many instances.
type TopicReader struct {
	roster *Roster
	store  jaystore.Reader
	topic  jaystore.Topic
	mirror *jaystore.Mirror
	// maxAge is the age of the store's last answer up to which another instance's copy is used.
	maxAge time.Duration
	// minInterval is the least time between two reads of the store, 0 if the store holds
	// reads until there is a record (long polling); lastRead is when the store was last read.
	minInterval time.Duration
	lastRead    time.Time
	// pollWait is how long a long poll waits at the store, 0 if unknown.
	pollWait time.Duration
	// history is the part of the topic that is read again after a snapshot of the store.
	history history
	// refused is set if the store does not have the records at the own position.
	refused bool
	// holders are the addresses of instances to which a busy supplier referred for the records from
	// holdersFrom on.
	holders     []string
	holdersFrom jaystore.Position
}

// TopicReader returns the reader of a topic and serves the topic's mirror to other instances.
// The store is read at most once each minInterval, or by long polling if that is 0.
func (r *Roster) TopicReader(store jaystore.Reader, topic jaystore.Topic, mirror *jaystore.Mirror, maxAge, minInterval time.Duration) *TopicReader {
	r.mirrors.Store(topic, mirror)
	return &TopicReader{roster: r, store: store, topic: topic, mirror: mirror, maxAge: maxAge, minInterval: minInterval}
}

// WithPollWait returns the reader with the time that a long poll waits at the store. It is called before the first read.
func (t *TopicReader) WithPollWait(wait time.Duration) *TopicReader {
	t.pollWait = wait
	return t
}

// WithHistory returns the reader with the number of records for each key that it reads after a snapshot of
// the store, for a topic whose newest records alone do not tell what holds. It is called before the first read.
func (t *TopicReader) WithHistory(perKey int) *TopicReader {
	t.history.perKey = perKey
	return t
}

// leastNext returns the position that a copy of another instance has to have reached to replace the own one. An older copy
// would bring back what has been removed, and one that is not newer would be refused by the store as the own one was.
func (t *TopicReader) leastNext() jaystore.Position {
	if t.refused {
		return t.mirror.Next() + 1
	}
	return t.mirror.Next()
}

// Newest returns the newest record of each key. Of a topic with a history, the position at which to continue lies
// before those of the newest records.
func (t *TopicReader) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	own, least := t.mirror.Next(), t.leastNext()
	if p, ok := t.zonePosition(); ok {
		if f := t.fetch(ctx, p.peer, -1, fetchBound); f.result == resultFetched && f.next >= least {
			t.useCopy(p.peer, own, f)
			return f.records, f.next, nil
		}
	}
	list, end, err := t.store.Newest(ctx, topic)
	if err == nil {
		t.refused = false
		t.logNewest("store", own, end, len(list))
		end = t.history.begin(len(list), end)
		t.mirror.MarkPending(time.Now(), end)
		return list, end, nil
	}
	if f, ok := t.fetchFallback(ctx, -1); ok && f.next > -1 && f.next >= least {
		t.useCopy("another instance", own, f)
		return f.records, f.next, nil
	}
	return nil, 0, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// useCopy records that the copy of another instance replaces the own one, whose position is no longer the one that the store refused.
func (t *TopicReader) useCopy(source string, own jaystore.Position, f fetched) {
	t.refused = false
	t.logNewest(source, own, f.next, len(f.records))
	t.mirror.MarkPending(f.at, f.next)
}

// logNewest logs from where the newest records came, and the own position before.
func (t *TopicReader) logNewest(source string, own, next jaystore.Position, records int) {
	t.roster.log.Info("newest records read", "topic", t.topic, "source", source, "own", own, "next", next, "records", records)
}

// Read returns records from a position on, from another instance of the zone as soon as one
// has some, or from the store.
func (t *TopicReader) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if t.minInterval > 0 {
		return t.readPolled(ctx, from)
	}
	start := time.Now()
	list, next, result := t.readZone(ctx, from, interrupt)
	switch result {
	case pollRead:
		return list, next, nil
	case pollExpired:
		return nil, from, errExpired(from)
	default:
	}
	called := time.Now()
	list, next, err := t.store.Read(ctx, topic, from, interrupt)
	if len(list) > 0 {
		t.roster.log.Info("records read from the store", "topic", topic, "reason", result, "from", from, "next", next, "records", len(list),
			"waited", called.Sub(start), "took", time.Since(called))
	}
	return t.useStored(ctx, from, pollTime(called, time.Now(), t.pollWait), stored{list, next, err})
}

// pollTime returns as of when the reply to a long poll reflects the store: when the poll ends. A reply that is read
// later than a poll lasts was held up, for example because the process was frozen, and may be as old as the end
// of the poll. The wait is 0 if it is unknown.
func pollTime(called, read time.Time, wait time.Duration) time.Time {
	if latest := called.Add(wait); wait > 0 && read.After(latest) {
		return latest
	}
	return read
}

// stored is what the store answered.
type stored struct {
	records []jaystore.Record
	next    jaystore.Position
	err     error
}

// useStored returns what the store answered to a read that began at start or, if it is unavailable,
// what another instance supplies, along with the error.
func (t *TopicReader) useStored(ctx context.Context, from jaystore.Position, start time.Time, a stored) ([]jaystore.Record, jaystore.Position, error) {
	if a.err == nil {
		t.markRead(start, a.next, a.records)
		return a.records, a.next, nil
	}
	t.refused = t.refused || jayerror.Is(a.err, jaystore.KindExpired)
	if jayerror.Is(a.err, jaystore.KindUnavailable) {
		f, ok := t.fetchFallback(ctx, from)
		if ok && f.next > from {
			t.markRead(f.at, f.next, f.records)
			return f.records, f.next, a.err
		}
		if f.result == resultExpired {
			return nil, from, errExpired(from)
		}
	}
	return a.records, a.next, a.err
}

// markRead records a read in the mirror: at once if it returned no records, else once they
// have been applied.
func (t *TopicReader) markRead(at time.Time, next jaystore.Position, records []jaystore.Record) {
	if len(records) == 0 {
		t.mirror.MarkRead(at, next)
		return
	}
	t.mirror.MarkPending(at, next)
}

// zonePosition returns the freshest position of the zone in the topic. It reports false if this
// instance is to read the store itself: as the watcher, or since no copy is fresh enough.
func (t *TopicReader) zonePosition() (topicPosition, bool) {
	if t.roster.rank.Load() == 0 {
		return topicPosition{}, false
	}
	p, ok := t.roster.positions.freshest(time.Now(), t.topic, t.ageLimit())
	// A copy of a former era does not confirm the current content of the store.
	return p, ok && p.next.Era() >= t.mirror.Next().Era()
}

// ageLimit returns the age of the store's last answer up to which another instance's copy is used.
func (t *TopicReader) ageLimit() time.Duration {
	if t.roster.rank.Load() == 1 {
		return time.Duration(standbyFraction * float64(t.maxAge))
	}
	return t.maxAge
}

// starting reports whether the instance is within startupGrace and not the watcher.
func (r *Roster) starting() bool {
	return time.Since(r.started) < startupGrace && r.rank.Load() != 0
}
