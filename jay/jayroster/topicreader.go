package jayroster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

const (
	// watcherPollInterval is the time between two checks of the position in the watcher's heartbeat.
	watcherPollInterval = 100 * time.Millisecond
	// startupGrace is how long an instance that has just started and has no other member in its view
	// waits before it becomes the watcher of its zone.
	startupGrace = 1500 * time.Millisecond
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

// mirrorReply is the reply to a mirrorRequest.
type mirrorReply struct {
	Records []jaystore.Record `msgpack:"r"`
	// Next is the offset after all that the instance has read, -1 before its first read.
	Next int64 `msgpack:"n"`
}

// mirrorRequest asks for the records of a topic from an offset on.
type mirrorRequest struct {
	Topic jaystore.Topic `msgpack:"t"`
	From  int64          `msgpack:"f"`
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
		if list, next, ok := t.fetch(ctx, watcher, -1); ok {
			return list, next, nil
		}
	}
	list, end, err := t.store.Newest(ctx, topic)
	if err == nil {
		t.mirror.MarkRead(time.Now(), end)
		return list, end, nil
	}
	if list, end, ok := t.fetchFallback(ctx, -1); ok {
		return list, end, nil
	}
	return nil, 0, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Read returns records from an offset on, from the watcher as soon as it has
// some, or from the store.
func (t *TopicReader) Read(ctx context.Context, topic jaystore.Topic, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, error) {
	if list, next, ok := t.readWatcher(ctx, from, interrupt); ok {
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
		t.mirror.MarkRead(time.Now(), next)
		return list, next, nil
	}
	if jayerror.Is(err, jaystore.KindUnavailable) {
		list, next, _ = t.fetchFallback(ctx, from)
	}
	return list, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// readWatcher returns records from the watcher; it waits until there are some, unless
// interrupt is nil. It reports false if the store is to be read.
func (t *TopicReader) readWatcher(ctx context.Context, from int64, interrupt <-chan struct{}) ([]jaystore.Record, int64, bool) {
	for ctx.Err() == nil {
		watcher, next, at, ok := t.roster.watcherPosition(t.topic, t.maxAge)
		switch {
		case !ok && !t.roster.starting():
			return nil, 0, false
		case !ok:
			// The newest records have just been read, and the first heartbeats will identify the watcher.
		case next > from:
			list, next, ok := t.fetch(ctx, watcher, from)
			if ok {
				t.mirror.MarkRead(at, next)
			}
			return list, next, ok
		case interrupt == nil:
			t.mirror.MarkRead(at, from)
			// A read without waiting of a long-polled topic was triggered by a record that the
			// watcher does not have: the watcher may be cut off from the store.
			return nil, from, t.minInterval > 0
		default:
			t.mirror.MarkRead(at, from)
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

// fetch requests records from the instance at an address. It reports false if the request
// fails or the instance has read less than from.
func (t *TopicReader) fetch(ctx context.Context, address string, from int64) ([]jaystore.Record, int64, bool) {
	start := time.Now()
	body, err := msgpack.Marshal(mirrorRequest{Topic: t.topic, From: from})
	if err == nil {
		body, err = t.roster.client(address).Ask(ctx, jaypeer.TopicMirror, body, jaypeer.SilentBound)
	}
	var reply mirrorReply
	if err == nil {
		err = msgpack.Unmarshal(body, &reply)
	}
	if err != nil || reply.Next < from {
		t.roster.log.Info("watcher or other instance did not supply records", "topic", t.topic, "address", address, "next", reply.Next,
			"took", time.Since(start), "error", err)
		return nil, 0, false
	}
	return reply.Records, reply.Next, true
}

// fetchFallback requests records from another instance while the store does not answer
// this one: the store may reject single instances. It reports false if the other
// instance has no newer records.
func (t *TopicReader) fetchFallback(ctx context.Context, from int64) ([]jaystore.Record, int64, bool) {
	fallback, ok := t.roster.fallback()
	if !ok || ctx.Err() != nil {
		return nil, 0, false
	}
	list, next, ok := t.fetch(ctx, fallback.Peer, from)
	if !ok || next <= from {
		return nil, 0, false
	}
	t.roster.log.Info("records fetched from another instance", "topic", t.topic, "instance", fallback.Name, "from", from, "next", next, "records", len(list))
	t.mirror.MarkRead(time.Time{}, next)
	return list, next, true
}

// serveMirror handles a mirrorRequest.
func (r *Roster) serveMirror(body []byte) ([]byte, error) {
	var req mirrorRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	mirror, ok := r.mirrors.Load(req.Topic)
	if !ok {
		return nil, jayerror.Newf("mirror", KindFormat, "topic %q is not mirrored", req.Topic)
	}
	list, next := mirror.From(req.From)
	reply, err := msgpack.Marshal(mirrorReply{Records: list, Next: next})
	if err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	label := jaymetric.Label{Name: "topic", Value: string(req.Topic)}
	r.series.Add("mirror_replies_total", 1, label)
	r.series.Add("mirror_reply_bytes_total", len(reply), label)
	return reply, nil
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
