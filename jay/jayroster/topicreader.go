package jayroster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

const (
	// zonePollInterval is the time after which an instance that waits for records of its zone
	// checks again, if no reply has arrived before.
	zonePollInterval = 500 * time.Millisecond
	// busyPollInterval is the time between two requests while all suppliers are busy.
	busyPollInterval = 100 * time.Millisecond
	// startupGrace is how long an instance that has just started waits for the first replies of
	// other instances before it reads the store itself.
	startupGrace = 1500 * time.Millisecond
	// maxBusyWait is how long an instance waits while all instances that have the records it needs
	// are busy with other transfers, before it reads the store itself; it waits no longer than half
	// of the age limit.
	maxBusyWait = 1500 * time.Millisecond
	// fetchBound is how long a request for records may go without any byte of a reply, and
	// polledFetchBound how long for a topic that is polled, whose records are few.
	fetchBound       = 500 * time.Millisecond
	polledFetchBound = 300 * time.Millisecond
	// storeHedgeDelay is how long the store may take to answer before another instance is asked
	// too. The store answers in 4 ms, or 60 times as late when it is slow.
	storeHedgeDelay = 250 * time.Millisecond
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
	// holders are the addresses of instances to which a busy supplier referred for the records from
	// holdersFrom on.
	holders     []string
	holdersFrom int64
}

// TopicReader returns the reader of a topic and serves the topic's mirror to other instances.
// The store is read at most once each minInterval, or by long polling if that is 0.
func (r *Roster) TopicReader(store jaystore.Reader, topic jaystore.Topic, mirror *jaystore.Mirror, maxAge, minInterval time.Duration) *TopicReader {
	r.mirrors.Store(topic, mirror)
	return &TopicReader{roster: r, store: store, topic: topic, mirror: mirror, maxAge: maxAge, minInterval: minInterval}
}

// Newest returns the newest record of each key.
func (t *TopicReader) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, int64, error) {
	// A copy that is older than the own one would bring back what has been removed.
	own := t.mirror.Next()
	if p, ok := t.zonePosition(); ok {
		if f := t.fetch(ctx, p.peer, -1, fetchBound); f.result == resultFetched && f.next >= own {
			t.mirror.MarkPending(f.at, f.next)
			return f.records, f.next, nil
		}
	}
	list, end, err := t.store.Newest(ctx, topic)
	if err == nil {
		t.mirror.MarkPending(time.Now(), end)
		return list, end, nil
	}
	if f, ok := t.fetchFallback(ctx, -1); ok && f.next > -1 && f.next >= own {
		t.mirror.MarkPending(f.at, f.next)
		return f.records, f.next, nil
	}
	return nil, 0, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Read returns records from an offset on, from another instance of the zone as soon as one
// has some, or from the store.
func (t *TopicReader) Read(ctx context.Context, topic jaystore.Topic, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, error) {
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
	// The reply to a long poll reflects the store when the poll ends, so the time is taken now.
	return t.useStored(ctx, from, time.Now(), stored{list, next, err})
}

// readPolled returns records of a topic that is polled, or none once the copy of this instance
// has been confirmed for some time. The age of the copy is bounded, whoever does not answer: it is
// that of the zone's freshest copy as long as this is below the limit, and above it the store is read.
func (t *TopicReader) readPolled(ctx context.Context, from int64) ([]jaystore.Record, int64, error) {
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
	t.lastRead = time.Now()
	return t.readStore(ctx, from)
}

// stored is what the store answered.
type stored struct {
	records []jaystore.Record
	next    int64
	err     error
}

// readStore reads the store. If it does not answer soon, another instance is asked too, and what
// arrives first is returned.
func (t *TopicReader) readStore(ctx context.Context, from int64) ([]jaystore.Record, int64, error) {
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

// useStored returns what the store answered to a read that began at start or, if it is unavailable,
// what another instance supplies, along with the error.
func (t *TopicReader) useStored(ctx context.Context, from int64, start time.Time, a stored) ([]jaystore.Record, int64, error) {
	if a.err == nil {
		t.markRead(start, a.next, a.records)
		return a.records, a.next, nil
	}
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

// readZone returns records from an instance of the zone that has some; it waits until there are,
// unless interrupt is nil. Its result is pollRead, pollExpired or the reason for which the store is to
// be read.
func (t *TopicReader) readZone(ctx context.Context, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, pollResult) {
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

// pollZone returns the records from an offset on that another instance of the zone has.
func (t *TopicReader) pollZone(ctx context.Context, from int64, wait bool) ([]jaystore.Record, int64, pollResult) {
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
func (t *TopicReader) fetchFrom(ctx context.Context, address string, from int64) ([]jaystore.Record, int64, pollResult) {
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

// fetchResult is the result of a request for another instance's records.
type fetchResult string

const (
	resultFetched fetchResult = "fetched"
	// resultBusy means that the other instance has too many transfers in progress.
	resultBusy fetchResult = "busy"
	// resultExpired means that the other instance may not know all removals since the offset.
	resultExpired fetchResult = "expired"
	// resultFailed means that the request failed or that the instance has read less than asked for.
	resultFailed fetchResult = "failed"
)

// fetched is what another instance supplied.
type fetched struct {
	records []jaystore.Record
	next    int64
	// at is when the store last answered the other instance, at the latest.
	at     time.Time
	result fetchResult
	// holders are the addresses of instances that have the records, with resultBusy.
	holders []string
}

// errExpired returns the error that makes a follower read the records of all keys.
func errExpired(from int64) error {
	return jayerror.Newf("fetch", jaystore.KindExpired, "removals since offset %d are not known to the other instance", from)
}

// fetch requests records from the instance at an address.
func (t *TopicReader) fetch(ctx context.Context, address string, from int64, bound time.Duration) fetched {
	start := time.Now()
	request := mirrorRequest{Topic: t.topic, From: from, Receiver: t.roster.self.Incarnation, Peer: t.roster.self.Peer}
	reply, err := t.ask(ctx, address, request, bound)
	if err == nil && reply.Busy {
		return fetched{result: resultBusy, holders: reply.Holders}
	}
	if err == nil && reply.Expired {
		return fetched{result: resultExpired}
	}
	if err == nil && reply.Compressed != nil {
		reply.Records, err = t.roster.codec.decompress(reply.Compressed)
		t.confirm(address, reply.Next)
	}
	if err != nil || reply.Next < from {
		t.roster.log.Info("watcher or other instance did not supply records", "topic", t.topic, "address", address, "next", reply.Next,
			"took", time.Since(start), "error", err)
		return fetched{result: resultFailed}
	}
	return fetched{records: reply.Records, next: reply.Next, at: start.Add(-reply.Age), result: resultFetched}
}

// ask sends a request to the instance at an address, over a connection that is used only for
// the topic: a large reply delays no heartbeats and no records of other topics.
func (t *TopicReader) ask(ctx context.Context, address string, request mirrorRequest, bound time.Duration) (mirrorReply, error) {
	var reply mirrorReply
	body, err := msgpack.Marshal(request)
	if err != nil {
		return reply, jayerror.Wrap("fetch", KindFormat, err)
	}
	body, err = t.roster.client(address, t.topic).Ask(ctx, jaypeer.TopicMirror, body, bound)
	if err != nil {
		return reply, err //nolint:wrapcheck // The log line names the operation.
	}
	if err := msgpack.Unmarshal(body, &reply); err != nil {
		return reply, jayerror.Wrap("fetch", KindFormat, err)
	}
	return reply, nil
}

// confirm reports to the instance at an address that its transfer has ended.
func (t *TopicReader) confirm(address string, next int64) {
	t.roster.group.Go(func(ctx context.Context) {
		request := mirrorRequest{Topic: t.topic, From: next, Receiver: t.roster.self.Incarnation, Peer: t.roster.self.Peer, Received: true}
		if _, err := t.ask(ctx, address, request, jaypeer.SilentBound); err != nil {
			t.roster.log.Debug("transfer not confirmed", "topic", t.topic, "address", address, "error", err)
		}
	})
}

// fetchFallback requests records from another instance while the store does not answer
// this one: the store may reject single instances.
func (t *TopicReader) fetchFallback(ctx context.Context, from int64) (fetched, bool) {
	fallback, ok := t.roster.fallback()
	if !ok || ctx.Err() != nil {
		return fetched{}, false
	}
	f := t.fetch(ctx, fallback.Peer, from, fetchBound)
	if f.result != resultFetched {
		return f, false
	}
	if f.next > from {
		t.roster.log.Info("records fetched from another instance", "topic", t.topic, "instance", fallback.Name, "from", from, "next", f.next, "records", len(f.records))
	}
	return f, true
}

// markRead records a read in the mirror: at once if it returned no records, else once they
// have been applied.
func (t *TopicReader) markRead(at time.Time, next int64, records []jaystore.Record) {
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
	return t.roster.positions.freshest(time.Now(), t.topic, t.ageLimit())
}

// ageLimit returns the age of the store's last answer up to which another instance's copy is used.
func (t *TopicReader) ageLimit() time.Duration {
	if t.roster.rank.Load() == 1 {
		return time.Duration(standbyFraction * float64(t.maxAge))
	}
	return t.maxAge
}

// supplier returns the address of an instance of the zone that has read the topic as far as a
// position: a random one of those that report so and of those that a busy supplier named.
func (t *TopicReader) supplier(p topicPosition, from int64) string {
	addresses := append([]string{p.peer}, t.roster.positions.holders(t.topic, p.next)...)
	if t.holdersFrom == from {
		addresses = append(addresses, t.holders...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return addresses[rand.IntN(len(addresses))] //nolint:gosec // Load spreading needs no cryptographic randomness.
}

// starting reports whether the instance is within startupGrace and not the watcher.
func (r *Roster) starting() bool {
	return time.Since(r.started) < startupGrace && r.rank.Load() != 0
}

// fallback returns an instance that is likely to have read the store recently: a random
// one of those with the newest configuration, in the same region if there is one.
func (r *Roster) fallback() (jaymember.Status, bool) {
	var candidates []jaymember.Status
	newest, local := int64(-1), false
	for _, m := range *r.others.Load() {
		if m.Silent || m.Leaving || m.Peer == "" || m.Config < newest {
			continue
		}
		inRegion := m.Region == r.self.Region
		if m.Config > newest || inRegion && !local {
			candidates, newest, local = nil, m.Config, inRegion
		}
		if inRegion == local {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return jaymember.Status{}, false
	}
	return candidates[rand.IntN(len(candidates))], true //nolint:gosec // Load spreading needs no cryptographic randomness.
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
