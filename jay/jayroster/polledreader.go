package jayroster

import (
	"context"
	"jayfield.example/jay/jaystore"
	"time"
)

const (
	// storeHedgeDelay is how long the store may take to answer before another instance is asked
	// too. The store answers in 4 ms, or 60 times as late when it is slow.
	storeHedgeDelay = 250 * time.Millisecond
)

// readPolled returns records of a topic that is polled, or none once the copy of this instance
// has been confirmed for some time. The age of the copy is bounded, whoever does not answer: it is
// that of the zone's freshest copy as long as this is below the limit, and above it the store is read.
func (t *TopicReader) readPolled(ctx context.Context, from jaystore.Position) ([]jaystore.Record, jaystore.Position, error) {
	changed := t.roster.positions.onChange()
	p, ok := t.zonePosition()
	switch {
	case ok && p.next > from:
		switch f := t.fetch(ctx, t.supplier(p, from), from, polledFetchBound); f.result {
		case resultFetched:
			t.markRead(f.at, f.next, f.records)
			return f.records, f.next, nil
		case resultExpired:
			return nil, from, errExpired(from)
		case resultBusy:
			t.holders, t.holdersFrom = f.holders, from
		case resultFailed:
		}
	case ok:
		t.mirror.MarkRead(p.at, from)
		sleep(ctx, changed, time.Until(p.at.Add(t.ageLimit())))
		return nil, from, nil
	case t.roster.starting():
		// The newest records have just been read, and the first replies will identify the watcher.
		sleep(ctx, changed, zonePollInterval)
		return nil, from, nil
	default:
		if wait := t.minInterval - time.Since(t.lastRead); wait > 0 {
			sleep(ctx, changed, wait)
			return nil, from, nil
		}
	}
	start := time.Now()
	records, next, err := t.readStore(ctx, from)
	t.history.observe(from, err)
	if err == nil {
		// The follower limits the rate of reads that fail.
		t.lastRead = start
	}
	return records, next, err
}

// readStore reads the store. If it does not answer soon, another instance is asked too, and what
// arrives first is returned.
func (t *TopicReader) readStore(ctx context.Context, from jaystore.Position) ([]jaystore.Record, jaystore.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start, answers := time.Now(), make(chan stored, 1)
	go func() {
		records, next, err := t.store.Read(ctx, t.topic, from, nil)
		answers <- stored{records, next, err}
	}()
	select {
	case a := <-answers:
		return t.useStored(ctx, from, start, a)
	case <-time.After(storeHedgeDelay):
	}
	hedged := make(chan fetched, 1)
	go func() {
		if f, ok := t.fetchFallback(ctx, from); ok {
			hedged <- f
		}
	}()
	select {
	case a := <-answers:
		return t.useStored(ctx, from, start, a)
	case f := <-hedged:
		if f.next > from || time.Since(f.at) <= t.ageLimit() {
			t.markRead(f.at, f.next, f.records)
			return f.records, f.next, nil
		}
	}
	// The store has not answered the other instance either.
	return t.useStored(ctx, from, start, <-answers)
}

// sleep waits until a channel is closed, a time has passed or ctx ends.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
