package jayroster

import (
	"context"
	"jayfield.example/jay/jaystore"
	"time"
)

const (
	// zonePollInterval is the time after which an instance that waits for records of its zone
	// checks again, if no reply has arrived before.
	zonePollInterval = 500 * time.Millisecond
	// busyPollInterval is the time between two requests while all suppliers are busy.
	busyPollInterval = 100 * time.Millisecond
	// maxBusyWait is how long an instance waits while all instances that have the records it needs
	// are busy with other transfers, before it reads the store itself; it waits no longer than half
	// of the age limit.
	maxBusyWait = 1500 * time.Millisecond
)

// readZone returns records from an instance of the zone that has some; it waits until there are,
// unless interrupt is nil. Its result is pollRead, pollExpired or the reason for which the store is to
// be read.
func (t *TopicReader) readZone(ctx context.Context, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, pollResult) {
	wait, busySince := interrupt != nil, time.Time{}
	for ctx.Err() == nil {
		changed := t.roster.positions.onChange()
		list, next, result := t.pollZone(ctx, from, wait)
		if result != pollEmpty && result != pollBusy {
			return list, next, result
		}
		pause := t.pollPause()
		if result == pollBusy {
			// The records that an interrupt would be about are about to be transferred.
			changed, interrupt, pause = nil, nil, busyPollInterval
			if busySince.IsZero() {
				busySince = time.Now()
			}
		}
		if !busySince.IsZero() && time.Since(busySince) > min(maxBusyWait, t.maxAge/2) {
			return nil, 0, pollBusy
		}
		select {
		case <-time.After(pause):
		case <-changed:
		case <-interrupt:
			return nil, 0, pollNewer
		case <-ctx.Done():
		}
	}
	return nil, 0, pollOwn
}

// pollPause returns the time until the next check for records in the zone: until the zone's freshest
// copy reaches the age limit, at the latest.
func (t *TopicReader) pollPause() time.Duration {
	p, ok := t.zonePosition()
	if !ok {
		return zonePollInterval
	}
	// A copy that is exactly as old as the limit is still used.
	return min(zonePollInterval, time.Until(p.at.Add(t.ageLimit()))+time.Millisecond)
}

// pollResult is the result of one check for records in the zone.
type pollResult string

const (
	pollRead pollResult = "read"
	// pollEmpty means that there are no records yet.
	pollEmpty pollResult = "empty"
	// pollBusy means that an instance has records but too many transfers in progress.
	pollBusy pollResult = "busy"
	// pollExpired means that the records of all keys are to be read, since the instance may not
	// know all removals.
	pollExpired pollResult = "expired"
	// pollOwn means that this instance is the watcher, or that no copy of the zone is fresh enough.
	pollOwn pollResult = "own"
	// pollNewer means that another instance has a record that the watcher does not have.
	pollNewer pollResult = "newer"
	// pollFailed means that the other instance did not supply its records.
	pollFailed pollResult = "failed"
)

// pollZone returns the records from a position on that another instance of the zone has.
func (t *TopicReader) pollZone(ctx context.Context, from jaystore.Position, wait bool) ([]jaystore.Record, jaystore.Position, pollResult) {
	p, ok := t.zonePosition()
	switch {
	case !ok && t.roster.starting():
		// The newest records have just been read, and the first replies will identify the watcher.
		return nil, from, pollEmpty
	case !ok:
		return nil, 0, pollOwn
	case p.next > from:
		return t.fetchFrom(ctx, t.supplier(p, from), from)
	}
	t.mirror.MarkRead(p.at, from)
	if wait {
		return nil, from, pollEmpty
	}
	// A read without waiting was triggered by a record that the watcher does not have: the watcher
	// may be cut off from the store.
	return nil, 0, pollNewer
}

// fetchFrom requests the records of an instance.
func (t *TopicReader) fetchFrom(ctx context.Context, address string, from jaystore.Position) ([]jaystore.Record, jaystore.Position, pollResult) {
	f := t.fetch(ctx, address, from, fetchBound)
	switch f.result {
	case resultFetched:
		if len(f.records) > 0 {
			t.roster.log.Info("records read from an instance of the zone", "topic", t.topic, "address", address, "from", from, "next", f.next,
				"records", len(f.records), "age", time.Since(f.at))
		}
		t.markRead(f.at, f.next, f.records)
		return f.records, f.next, pollRead
	case resultBusy:
		t.holders, t.holdersFrom = f.holders, from
		return nil, from, pollBusy
	case resultExpired:
		return nil, from, pollExpired
	default:
		return nil, 0, pollFailed
	}
}
