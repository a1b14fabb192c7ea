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
	// feedLook is the time between two looks at the watcher's statement.
	feedLook = 100 * time.Millisecond
	// firstLook is how long an instance that has just started knows of no other one before it
	// takes itself for the watcher of its zone.
	firstLook = 1500 * time.Millisecond
)

// Feed reads a topic of the store for all instances of a zone but one: the
// watcher of the zone, which reads the store itself and passes on what it read.
// An instance whose watcher is silent or behind reads the store itself, and one
// that the store does not answer asks any other instance. The load
// that it answers is that of many instances, each call of which costs.
type Feed struct {
	roster *Roster
	store  jaystore.Reader
	topic  jaystore.Topic
	mirror *jaystore.Mirror
	// fresh is the age of the watcher's last answer up to which it is believed.
	fresh time.Duration
	// every is the least time between two reads of the store, 0 where the store holds
	// reads until there is a record; last is when the store was read.
	every time.Duration
	last  time.Time
}

// records is the answer to a request for records.
type records struct {
	Records []jaystore.Record `msgpack:"r"`
	// Next is the offset after all that the instance has read, -1 before anything was.
	Next int64 `msgpack:"n"`
}

// request asks for records from an offset on.
type request struct {
	Topic jaystore.Topic `msgpack:"t"`
	From  int64          `msgpack:"f"`
}

// Feed returns the reader of a topic, whose consumer is mirrored for the others.
// The store is read each time that has passed, or held reads are made where it is 0.
func (r *Roster) Feed(store jaystore.Reader, topic jaystore.Topic, mirror *jaystore.Mirror, fresh, every time.Duration) *Feed {
	r.mirrors.Store(topic, mirror)
	return &Feed{roster: r, store: store, topic: topic, mirror: mirror, fresh: fresh, every: every}
}

// Newest returns the newest record of each key.
func (f *Feed) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, int64, error) {
	if watcher, _, _, ok := f.roster.watched(f.topic, f.fresh); ok {
		if list, next, ok := f.ask(ctx, watcher, -1); ok {
			return list, next, nil
		}
	}
	list, end, err := f.store.Newest(ctx, topic)
	if err == nil {
		f.mirror.Answered(time.Now(), end)
		return list, end, nil
	}
	if list, end, ok := f.askOther(ctx, -1); ok {
		return list, end, nil
	}
	return nil, 0, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Read returns records from an offset on, from the watcher as soon as it has
// some, or from the store.
func (f *Feed) Read(ctx context.Context, topic jaystore.Topic, from int64, wait bool) ([]jaystore.Record, int64, error) {
	if list, next, ok := f.readWatcher(ctx, from, wait); ok {
		return list, next, nil
	}
	if f.every > 0 {
		if time.Since(f.last) < f.every {
			return nil, from, nil
		}
		f.last = time.Now()
	}
	list, next, err := f.store.Read(ctx, topic, from, wait)
	if err == nil {
		// A read that was held tells what holds at its end.
		f.mirror.Answered(time.Now(), next)
		return list, next, nil
	}
	if jayerror.Is(err, jaystore.KindUnavailable) {
		list, next, _ = f.askOther(ctx, from)
	}
	return list, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// readWatcher returns records from the watcher, waiting for some where wait is
// set. It reports false where the store is to be read.
func (f *Feed) readWatcher(ctx context.Context, from int64, wait bool) ([]jaystore.Record, int64, bool) {
	for ctx.Err() == nil {
		watcher, next, at, ok := f.roster.watched(f.topic, f.fresh)
		switch {
		case !ok && !f.roster.young():
			return nil, 0, false
		case !ok:
			// The newest records have just been read, and the watcher is about to be known.
		case next > from:
			list, next, ok := f.ask(ctx, watcher, from)
			if ok {
				f.mirror.Answered(at, next)
			}
			return list, next, ok
		case !wait:
			f.mirror.Answered(at, from)
			// A hurried read of a held topic follows news that the watcher does not have: it
			// may be cut off from the store.
			return nil, from, f.every > 0
		default:
			f.mirror.Answered(at, from)
		}
		select {
		case <-time.After(feedLook):
		case <-ctx.Done():
		}
	}
	return nil, 0, false
}

// ask asks a watcher at an address for records. It reports false where it does not answer.
func (f *Feed) ask(ctx context.Context, address string, from int64) ([]jaystore.Record, int64, bool) {
	body, err := msgpack.Marshal(request{Topic: f.topic, From: from})
	if err == nil {
		body, err = f.roster.client(address).Ask(ctx, jaypeer.TopicMirror, body, jaypeer.SilentBound)
	}
	var reply records
	if err == nil {
		err = msgpack.Unmarshal(body, &reply)
	}
	if err != nil || reply.Next < from {
		f.roster.log.Info("watcher not used", "topic", f.topic, "address", address, "next", reply.Next, "error", err)
		return nil, 0, false
	}
	return reply.Records, reply.Next, true
}

// askOther asks another instance for records while the store does not answer
// this one: the store may turn single instances away. It reports false where
// the other one knows no more.
func (f *Feed) askOther(ctx context.Context, from int64) ([]jaystore.Record, int64, bool) {
	other, ok := f.roster.other()
	if !ok || ctx.Err() != nil {
		return nil, 0, false
	}
	list, next, ok := f.ask(ctx, other.Peer, from)
	if !ok || next <= from {
		return nil, 0, false
	}
	f.roster.log.Info("records from another instance", "topic", f.topic, "instance", other.Name, "from", from, "next", next, "records", len(list))
	f.mirror.Answered(time.Time{}, next)
	return list, next, true
}

// serveMirror answers a request for records.
func (r *Roster) serveMirror(body []byte) ([]byte, error) {
	var asked request
	if err := msgpack.Unmarshal(body, &asked); err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	mirror, ok := r.mirrors.Load(asked.Topic)
	if !ok {
		return nil, jayerror.Newf("mirror", KindFormat, "topic %q is not mirrored", asked.Topic)
	}
	list, next := mirror.From(asked.From)
	reply, err := msgpack.Marshal(records{Records: list, Next: next})
	if err != nil {
		return nil, jayerror.Wrap("mirror", KindFormat, err)
	}
	return reply, nil
}

// young reports whether the instance has just started and does not watch.
func (r *Roster) young() bool {
	return time.Since(r.started) < firstLook && !r.watching.Load()
}

// watched returns the address of the zone's watcher, how far it has read a topic and
// when the store last answered it. It reports false where the instance itself is to read.
func (r *Roster) watched(topic jaystore.Topic, fresh time.Duration) (address string, next int64, at time.Time, ok bool) {
	watcher := r.watcher.Load()
	if watcher == nil {
		return "", 0, time.Time{}, false
	}
	mirror, ok := watcher.Mirrors[string(topic)]
	at = watcher.Heard.Add(-mirror.Age)
	if !ok || mirror.Next < 0 || time.Since(at) > fresh || time.Since(watcher.Heard) > jaymember.SilenceBound/2 {
		return "", 0, time.Time{}, false
	}
	return watcher.Peer, mirror.Next, at, true
}

// other returns an instance that is likely to have read the store lately: one
// of those with the newest policy, in the own region where there is one.
func (r *Roster) other() (jaymember.Status, bool) {
	var best []jaymember.Status
	config, near := int64(-1), false
	for _, m := range *r.others.Load() {
		if m.Silent || m.Leaving || m.Peer == "" || m.Config < config {
			continue
		}
		inRegion := m.Region == r.self.Region
		if m.Config > config || inRegion && !near {
			best, config, near = nil, m.Config, inRegion
		}
		if inRegion == near {
			best = append(best, m)
		}
	}
	if len(best) == 0 {
		return jaymember.Status{}, false
	}
	return best[rand.IntN(len(best))], true //nolint:gosec // A draw needs no secrecy.
}

// watch chooses the watcher of the zone: the instance with the least
// incarnation among those that neither leave nor are silent.
func (r *Roster) watch(self jaymember.Member, members []jaymember.Status) {
	least := leastOf(self.Zone, members)
	watching := least == nil || self.Incarnation < least.Incarnation && !self.Leaving
	if watching {
		least = nil
	}
	r.watcher.Store(least)
	// Before the others are known, an instance does not take itself for the watcher.
	watching = watching && (len(members) > 0 || time.Since(r.started) > firstLook)
	if r.watching.Swap(watching) != watching {
		r.log.Info("watcher of the zone", "zone", self.Zone, "self", watching)
	}
}

// leastOf returns the member of a zone with the least incarnation that neither
// leaves nor is silent, nil where there is none.
func leastOf(zone string, members []jaymember.Status) *jaymember.Status {
	var least *jaymember.Status
	for i := range members {
		m := &members[i]
		if m.Zone != zone || m.Silent || m.Leaving {
			continue
		}
		if least == nil || m.Incarnation < least.Incarnation {
			least = m
		}
	}
	return least
}
