package jayroster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

const (
	// watcherPollInterval is the time between two checks of the position in the watcher's heartbeat.
	watcherPollInterval = 100 * time.Millisecond
	// startupGrace is how long an instance that has just started and has no other member in its view
	// waits before it becomes the watcher of its zone.
	startupGrace = 1500 * time.Millisecond
	// maxBusyWait is how long an instance waits while all instances that have the records it needs
	// are busy with other transfers, before it reads the store itself.
	maxBusyWait = 1500 * time.Millisecond
)

// TopicReader reads a topic of the store through the watcher of the zone: the one
// instance that reads the store itself and serves the records to the others. An
// instance whose watcher is silent or out of date reads the store itself, and one that
// gets no answer from the store fetches the records from any other instance. This limits
// the load on the store, since each call has a cost and there are many instances.
type TopicReader struct {
	roster *Roster
	store  jaystore.Reader
	topic  jaystore.Topic
	mirror *jaystore.Mirror
	// maxAge is the age of the store's last answer to the watcher up to which the watcher is used.
	maxAge time.Duration
	// minInterval is the least time between two reads of the store, 0 if the store holds
	// reads until there is a record (long polling); lastRead is when the store was last read.
	minInterval time.Duration
	lastRead    time.Time
}

// TopicReader returns the reader of a topic and serves the topic's mirror to other instances.
// The store is read at most once each minInterval, or by long polling if that is 0.
func (r *Roster) TopicReader(store jaystore.Reader, topic jaystore.Topic, mirror *jaystore.Mirror, maxAge, minInterval time.Duration) *TopicReader {
	r.mirrors.Store(topic, mirror)
	return &TopicReader{roster: r, store: store, topic: topic, mirror: mirror, maxAge: maxAge, minInterval: minInterval}
}

// Newest returns the newest record of each key.
func (t *TopicReader) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, int64, error) {
	if watcher, _, _, ok := t.roster.watcherPosition(t.topic, t.maxAge); ok {
		if list, next, result := t.fetch(ctx, watcher, -1); result == resultFetched {
			return list, next, nil
		}
	}
	list, end, err := t.store.Newest(ctx, topic)
	if err == nil {
		t.mirror.MarkPending(time.Now(), end)
		return list, end, nil
	}
	if list, end, ok := t.fetchFallback(ctx, -1); ok {
		return list, end, nil
	}
	return nil, 0, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Read returns records from an offset on, from another instance of the zone as soon as one
// has some, or from the store.
func (t *TopicReader) Read(ctx context.Context, topic jaystore.Topic, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, error) {
	if list, next, ok := t.readZone(ctx, from, interrupt); ok {
		return list, next, nil
	}
	if t.minInterval > 0 {
		if time.Since(t.lastRead) < t.minInterval {
			return nil, from, nil
		}
		t.lastRead = time.Now()
	}
	list, next, err := t.store.Read(ctx, topic, from, interrupt)
	if err == nil {
		// The reply to a long poll reflects the store when the poll ends, so the time is taken now.
		t.markRead(time.Now(), next, list)
		return list, next, nil
	}
	if jayerror.Is(err, jaystore.KindUnavailable) {
		list, next, _ = t.fetchFallback(ctx, from)
	}
	return list, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// readZone returns records from the watcher of the zone or from an instance that has read as
// much; it waits until there are some, unless interrupt is nil. It reports false if the store
// is to be read.
func (t *TopicReader) readZone(ctx context.Context, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, bool) {
	wait, busySince := interrupt != nil, time.Time{}
	for ctx.Err() == nil {
		list, next, result := t.pollZone(ctx, from, wait)
		switch {
		case result == pollRead:
			return list, next, true
		case result == pollUnusable:
			return nil, 0, false
		case result == pollBusy && busySince.IsZero():
			// The records that an interrupt would be about are about to be transferred.
			busySince, interrupt = time.Now(), nil
		case result == pollBusy && time.Since(busySince) > maxBusyWait:
			return nil, 0, false
		}
		select {
		case <-time.After(watcherPollInterval):
		case <-interrupt:
			return nil, 0, false
		case <-ctx.Done():
		}
	}
	return nil, 0, false
}

// pollResult is the result of one check for records in the zone.
type pollResult string

const (
	pollRead pollResult = "read"
	// pollEmpty means that there are no records yet.
	pollEmpty pollResult = "empty"
	// pollBusy means that an instance has records but too many transfers in progress.
	pollBusy pollResult = "busy"
	// pollUnusable means that the store is to be read instead.
	pollUnusable pollResult = "unusable"
)

// pollZone returns the records from an offset on that another instance of the zone has.
func (t *TopicReader) pollZone(ctx context.Context, from int64, wait bool) ([]jaystore.Record, int64, pollResult) {
	watcher, next, at, ok := t.roster.watcherPosition(t.topic, t.maxAge)
	switch {
	case !ok && t.roster.starting():
		// The newest records have just been read, and the first heartbeats will identify the watcher.
		return nil, from, pollEmpty
	case !ok:
		return nil, 0, pollUnusable
	case next > from:
		return t.fetchFrom(ctx, t.roster.supplier(watcher, t.topic, next), from, at)
	}
	t.mirror.MarkRead(at, from)
	switch {
	case wait:
		return nil, from, pollEmpty
	case t.minInterval > 0:
		return nil, from, pollRead
	default:
		// A read without waiting of a long-polled topic was triggered by a record that the
		// watcher does not have: the watcher may be cut off from the store.
		return nil, 0, pollUnusable
	}
}

// fetchFrom requests the records of an instance whose zone has read the store at a point in time.
func (t *TopicReader) fetchFrom(ctx context.Context, address string, from int64, at time.Time) ([]jaystore.Record, int64, pollResult) {
	list, next, result := t.fetch(ctx, address, from)
	switch result {
	case resultFetched:
		t.markRead(at, next, list)
		return list, next, pollRead
	case resultBusy:
		return nil, from, pollBusy
	default:
		return nil, 0, pollUnusable
	}
}

// fetchResult is the result of a request for another instance's records.
type fetchResult string

const (
	resultFetched fetchResult = "fetched"
	// resultBusy means that the other instance has too many transfers in progress.
	resultBusy fetchResult = "busy"
	// resultFailed means that the request failed or that the instance has read less than asked for.
	resultFailed fetchResult = "failed"
)

// fetch requests records from the instance at an address.
func (t *TopicReader) fetch(ctx context.Context, address string, from int64) ([]jaystore.Record, int64, fetchResult) {
	start := time.Now()
	request := mirrorRequest{Topic: t.topic, From: from, Receiver: t.roster.self.Incarnation}
	reply, err := t.ask(ctx, address, request)
	if err == nil && reply.Busy {
		return nil, 0, resultBusy
	}
	if err == nil && reply.Compressed != nil {
		reply.Records, err = t.roster.codec.decompress(reply.Compressed)
		t.confirm(address, reply.Next)
	}
	if err != nil || reply.Next < from {
		t.roster.log.Info("watcher or other instance did not supply records", "topic", t.topic, "address", address, "next", reply.Next,
			"took", time.Since(start), "error", err)
		return nil, 0, resultFailed
	}
	return reply.Records, reply.Next, resultFetched
}

// ask sends a request to the instance at an address, over a connection that is used only for
// the topic: a large reply delays no heartbeats and no records of other topics.
func (t *TopicReader) ask(ctx context.Context, address string, request mirrorRequest) (mirrorReply, error) {
	var reply mirrorReply
	body, err := msgpack.Marshal(request)
	if err != nil {
		return reply, jayerror.Wrap("fetch", KindFormat, err)
	}
	body, err = t.roster.client(address, t.topic).Ask(ctx, jaypeer.TopicMirror, body, jaypeer.SilentBound)
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
		request := mirrorRequest{Topic: t.topic, From: next, Receiver: t.roster.self.Incarnation, Received: true}
		if _, err := t.ask(ctx, address, request); err != nil {
			t.roster.log.Debug("transfer not confirmed", "topic", t.topic, "address", address, "error", err)
		}
	})
}

// fetchFallback requests records from another instance while the store does not answer
// this one: the store may reject single instances. It reports false if the other
// instance has no newer records.
func (t *TopicReader) fetchFallback(ctx context.Context, from int64) ([]jaystore.Record, int64, bool) {
	fallback, ok := t.roster.fallback()
	if !ok || ctx.Err() != nil {
		return nil, 0, false
	}
	list, next, result := t.fetch(ctx, fallback.Peer, from)
	if result != resultFetched || next <= from {
		return nil, 0, false
	}
	t.roster.log.Info("records fetched from another instance", "topic", t.topic, "instance", fallback.Name, "from", from, "next", next, "records", len(list))
	t.markRead(time.Time{}, next, list)
	return list, next, true
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

// starting reports whether the instance is within startupGrace and not the watcher.
func (r *Roster) starting() bool {
	return time.Since(r.started) < startupGrace && !r.isWatcher.Load()
}

// watcherPosition returns the address of the zone's watcher, the offset up to which it has
// read a topic and when the store last answered it. It reports false if this instance
// is to read the store itself.
func (r *Roster) watcherPosition(topic jaystore.Topic, maxAge time.Duration) (address string, next int64, at time.Time, ok bool) {
	watcher := r.watcher.Load()
	if watcher == nil {
		return "", 0, time.Time{}, false
	}
	mirror, ok := watcher.Mirrors[string(topic)]
	at = watcher.ReceivedAt.Add(-mirror.Age)
	if !ok || mirror.Next < 0 || time.Since(at) > maxAge || time.Since(watcher.ReceivedAt) > jaymember.SilenceTimeout/2 {
		return "", 0, time.Time{}, false
	}
	return watcher.Peer, mirror.Next, at, true
}

// supplier returns the address of an instance of the zone that has read a topic at least up to
// an offset: a random one of those that report so, and of the watcher.
func (r *Roster) supplier(watcher string, topic jaystore.Topic, next int64) string {
	addresses := []string{watcher}
	for _, m := range *r.others.Load() {
		if m.Zone == r.self.Zone && m.Peer != watcher && !m.Silent && !m.Leaving && m.Mirrors[string(topic)].Next >= next {
			addresses = append(addresses, m.Peer)
		}
	}
	return addresses[rand.IntN(len(addresses))] //nolint:gosec // Load spreading needs no cryptographic randomness.
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

// electWatcher determines the watcher of the zone: the instance with the lowest
// incarnation among those that are neither leaving nor silent.
func (r *Roster) electWatcher(self jaymember.Member, members []jaymember.Status) {
	lowest := lowestIncarnation(self.Zone, members)
	isWatcher := lowest == nil || self.Incarnation < lowest.Incarnation && !self.Leaving
	if isWatcher {
		lowest = nil
	}
	r.watcher.Store(lowest)
	// Within startupGrace an instance without other members in its view does not become the watcher.
	isWatcher = isWatcher && (len(members) > 0 || time.Since(r.started) > startupGrace)
	if r.isWatcher.Swap(isWatcher) != isWatcher {
		r.log.Info("watcher role of this instance changed", "zone", self.Zone, "self", isWatcher)
	}
}

// lowestIncarnation returns the member of a zone with the lowest incarnation that is
// neither leaving nor silent, nil if there is none.
func lowestIncarnation(zone string, members []jaymember.Status) *jaymember.Status {
	var lowest *jaymember.Status
	for i := range members {
		m := &members[i]
		if m.Zone != zone || m.Silent || m.Leaving {
			continue
		}
		if lowest == nil || m.Incarnation < lowest.Incarnation {
			lowest = m
		}
	}
	return lowest
}
