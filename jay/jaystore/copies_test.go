package jaystore_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// topicLog is a keyed topic whose older records may be trimmed, in a store that may come back from a copy.
type topicLog struct {
	records []jaystore.Record
	// first is the offset of the oldest record that can still be read.
	first, era int64
}

func (l *topicLog) put(key, value string) {
	l.records = append(l.records, jaystore.Record{Key: key, Value: []byte(value), Position: l.end()})
}

func (l *topicLog) end() jaystore.Position { return jaystore.NewPosition(l.era, int64(len(l.records))) }

// restore begins an era with the first records of the topic.
func (l *topicLog) restore(count int) {
	l.era++
	l.records = slices.Clone(l.records[:count])
	l.first = min(l.first, int64(count))
	for n := range l.records {
		l.records[n].Position = jaystore.NewPosition(l.era, int64(n))
	}
}

// newest returns the newest record of each key that has not been removed.
func (l *topicLog) newest() map[string]jaystore.Record {
	newest := make(map[string]jaystore.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(_ string, r jaystore.Record) bool { return len(r.Value) == 0 })
	return newest
}

// copyOfTopic is an instance that follows a topic: its mirror, its position and what it acts on.
type copyOfTopic struct {
	mirror *jaystore.Mirror
	acted  *latest
	next   jaystore.Position
	// apply completes a read whose records are still to be applied.
	apply func()
}

// latest is a consumer that keeps the newest value of each key.
type latest struct {
	values map[string]string
}

func (l *latest) Apply(_ context.Context, records []jaystore.Record) {
	for _, r := range records {
		if l.values[r.Key] = string(r.Value); len(r.Value) == 0 {
			delete(l.values, r.Key)
		}
	}
}

func (l *latest) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	clear(l.values)
	l.Apply(ctx, records)
}

func (*latest) Unavailable(context.Context, error) {}

func (*latest) Available(context.Context) {}

func newCopyOfTopic(maxTombstones int) *copyOfTopic {
	acted := &latest{values: make(map[string]string)}
	return &copyOfTopic{mirror: jaystore.NewMirror(acted, jaystore.WithMaxTombstones(maxTombstones)), acted: acted, next: -1}
}

// readStore reads the topic from the store.
func (c *copyOfTopic) readStore(l *topicLog, now time.Time) {
	switch {
	case c.next < 0:
		c.replace(slices.Collect(maps.Values(l.newest())), l.end(), now)
	case c.next.Era() != l.era || c.next.Offset() < l.first:
		c.next = -1
	default:
		c.extend(l.records[c.next.Offset():], l.end(), now)
	}
}

// readCopy reads the topic from another instance as a TopicReader does: by the position that it
// reports, which may say that there is nothing new.
func (c *copyOfTopic) readCopy(from *copyOfTopic, now time.Time) {
	changed, _ := from.mirror.Position()
	if changed.Era() < c.mirror.Next().Era() {
		return
	}
	if c.next >= 0 && changed <= c.next {
		if changed >= 0 {
			c.mirror.MarkRead(now, c.next)
		}
		return
	}
	records, next, err := from.mirror.From(c.next)
	switch {
	case jayerror.Is(err, jaystore.KindExpired):
		c.next = -1
	case next < 0 || next < c.mirror.Next() || next < c.next:
	case c.next < 0:
		c.replace(records, next, now)
	default:
		c.extend(records, next, now)
	}
}

func (c *copyOfTopic) replace(records []jaystore.Record, end jaystore.Position, now time.Time) {
	c.mirror.MarkPending(now, end)
	c.apply = func() { c.mirror.Replace(context.Background(), records, end) }
	c.next = end
}

func (c *copyOfTopic) extend(records []jaystore.Record, end jaystore.Position, now time.Time) {
	c.next = end
	if len(records) == 0 {
		c.mirror.MarkRead(now, end)
		return
	}
	c.mirror.MarkPending(now, end)
	c.apply = func() { c.mirror.Apply(context.Background(), records) }
}

// finish applies the records of the read in progress, if there are any.
func (c *copyOfTopic) finish() {
	if c.apply != nil {
		c.apply()
		c.apply = nil
	}
}

// Guards against a removal that is lost and a record that stays: whatever the order of restarts, snapshots, reads from the store
// and from each other, writes, removals and returns of the store from a copy, all copies equal the store's once everything is quiet.
func TestCopiesEqualStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		log, copies, now := &topicLog{}, make([]*copyOfTopic, instances), time.Unix(1000, 0)
		tombstones := rapid.SampledFrom([]int{0, 1, 2, 100}).Draw(t, "tombstones")
		for n := range copies {
			copies[n] = newCopyOfTopic(tombstones)
		}
		pick := func(label string) *copyOfTopic { return copies[rapid.IntRange(0, instances-1).Draw(t, label)] }
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		read := func(c *copyOfTopic, source func(c *copyOfTopic)) {
			if now = now.Add(time.Second); c.apply == nil {
				source(c)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { log.put(key.Draw(t, "key"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")) },
			"remove": func(t *rapid.T) { log.put(key.Draw(t, "key"), "") },
			"trim": func(t *rapid.T) {
				log.first = rapid.Int64Range(log.first, int64(len(log.records))).Draw(t, "first")
			},
			"restore":    func(t *rapid.T) { log.restore(rapid.IntRange(0, len(log.records)).Draw(t, "records")) },
			"read store": func(*rapid.T) { read(pick("reader"), func(c *copyOfTopic) { c.readStore(log, now) }) },
			"read copy":  func(*rapid.T) { read(pick("reader"), func(c *copyOfTopic) { c.readCopy(pick("supplier"), now) }) },
			"apply":      func(*rapid.T) { pick("reader").finish() },
			"restart": func(t *rapid.T) {
				copies[rapid.IntRange(0, instances-1).Draw(t, "restarted")] = newCopyOfTopic(tombstones)
			},
		})
		// One instance reads the store, the others read each other.
		watcher := rapid.IntRange(0, instances-1).Draw(t, "watcher")
		for range 3 {
			for n := range instances {
				c := copies[(watcher+n)%instances]
				for range 3 {
					c.finish()
					if n == 0 {
						read(c, func(c *copyOfTopic) { c.readStore(log, now) })
					} else {
						read(c, func(c *copyOfTopic) {
							c.readCopy(copies[(watcher+rapid.IntRange(0, n-1).Draw(t, "supplier"))%instances], now)
						})
					}
					c.finish()
				}
			}
		}
		want := make(map[string]string)
		for key, r := range log.newest() {
			want[key] = string(r.Value)
		}
		for n, c := range copies {
			if !maps.Equal(c.acted.values, want) {
				t.Fatalf("instance %d acts on %v, the store has %v", n, c.acted.values, want)
			}
		}
	})
}

// Guards against a key that stays for good, since a copy of all keys has a tombstone of an earlier removal.
func TestEarlierTombstoneDoesNotKeepKey(t *testing.T) {
	supplier, m := jaystore.NewMirror(&consumer{}), jaystore.NewMirror(&consumer{})
	supplier.Apply(t.Context(), []jaystore.Record{{Key: "a", Position: 0}})
	supplier.MarkRead(time.Unix(1000, 0), 3)
	if records, _, err := supplier.From(-1); err != nil || len(records) != 0 {
		t.Errorf("records of all keys = %v, %v, want none", records, err)
	}
	m.MarkPending(time.Unix(1000, 0), 2)
	m.Replace(t.Context(), []jaystore.Record{{Key: "a", Value: []byte("1"), Position: 1}}, 2)
	m.MarkPending(time.Unix(1001, 0), 3)
	m.Replace(t.Context(), []jaystore.Record{{Key: "a", Position: 0}}, 3)
	if records, _, err := m.From(-1); err != nil || len(records) != 0 {
		t.Errorf("records of all keys = %v, %v, want none", records, err)
	}
}

// Guards against a mirror that grows with each key that was ever removed.
func TestMirrorForgetsOldRemovals(t *testing.T) {
	const keys, kept = 1000, 10
	m := jaystore.NewMirror(&consumer{}, jaystore.WithMaxTombstones(kept))
	for n := range jaystore.Position(keys) {
		m.Apply(t.Context(), []jaystore.Record{{Key: n.String(), Position: n}})
		m.MarkRead(time.Unix(1000, 0), n+1)
	}
	if records, _, err := m.From(keys - 1); err != nil || len(records) != 1 {
		t.Errorf("the latest removal: records = %v, %v", records, err)
	}
	first := jaystore.Position(0)
	for ; first < keys; first++ {
		if _, _, err := m.From(first); err == nil {
			break
		}
	}
	if records, _, err := m.From(first); err != nil || len(records) > kept || first < keys-kept-1 {
		t.Errorf("%d removals since offset %d are kept, %v", len(records), first, err)
	}
}

// Guards against the removals that a snapshot lacks: who has read less than the snapshot has to take it as
// a whole, unless the mirror has held all keys before it.
func TestMirrorSuppliesNothingBeforeItsHistory(t *testing.T) {
	a, b := jaystore.Record{Key: "a", Value: []byte("1"), Position: 4}, jaystore.Record{Key: "b", Value: []byte("1"), Position: 12}
	tests := map[string]struct {
		steps   func(m *jaystore.Mirror)
		from    jaystore.Position
		expired bool
	}{
		"before the first snapshot": {func(*jaystore.Mirror) {}, 5, true},
		"at its end":                {func(*jaystore.Mirror) {}, 10, false},
		"all keys":                  {func(*jaystore.Mirror) {}, -1, false},
		"before a later snapshot": {func(m *jaystore.Mirror) {
			m.MarkPending(time.Unix(1001, 0), 20)
			m.Replace(t.Context(), []jaystore.Record{a, b}, 20)
		}, 15, true},
		"after a later snapshot": {func(m *jaystore.Mirror) {
			m.MarkPending(time.Unix(1001, 0), 20)
			m.Replace(t.Context(), []jaystore.Record{a, b}, 20)
		}, 20, false},
		"a snapshot that skips nothing": {func(m *jaystore.Mirror) {
			m.Apply(t.Context(), []jaystore.Record{b})
			m.MarkRead(time.Unix(1001, 0), 13)
			m.MarkPending(time.Unix(1002, 0), 13)
			m.Replace(t.Context(), []jaystore.Record{a}, 13)
		}, 10, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := jaystore.NewMirror(&consumer{})
			m.MarkPending(time.Unix(1000, 0), 10)
			m.Replace(t.Context(), []jaystore.Record{a}, 10)
			test.steps(m)
			if _, _, err := m.From(test.from); jayerror.Is(err, jaystore.KindExpired) != test.expired {
				t.Errorf("error = %v, want expired = %v", err, test.expired)
			}
		})
	}
}
