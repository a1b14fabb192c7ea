package jaystore_test

import (
	"context"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// model is a keyed topic whose older records may be trimmed, and whose calls fail at random.
type model struct {
	t       *rapid.T
	records []jaystore.Record
	first   jaystore.Position
	calls   int
	end     context.CancelFunc
}

func (m *model) write() {
	for range rapid.IntRange(0, 3).Draw(m.t, "writes") {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "key")
		value := rapid.SampledFrom([]string{"", "1", "2"}).Draw(m.t, "value")
		m.records = append(m.records, jaystore.Record{Key: key, Value: []byte(value), Position: jaystore.Position(len(m.records))})
	}
	if rapid.IntRange(0, 3).Draw(m.t, "trim") == 0 {
		m.first = jaystore.Position(rapid.Int64Range(int64(m.first), int64(len(m.records))).Draw(m.t, "first"))
	}
}

// fail reports whether a call fails; the last calls of a run always succeed.
func (m *model) fail() bool {
	const faulty, last = 30, 34
	if m.calls++; m.calls == last {
		m.end()
	}
	if m.calls >= faulty {
		return false
	}
	m.write()
	return rapid.IntRange(0, 2).Draw(m.t, "fail") == 0
}

func (m *model) newest() map[string]jaystore.Record {
	newest := make(map[string]jaystore.Record)
	for _, r := range m.records {
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(_ string, r jaystore.Record) bool { return len(r.Value) == 0 })
	return newest
}

func (m *model) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if m.fail() {
		return nil, 0, jayerror.New("newest", jaystore.KindUnavailable, "drawn")
	}
	var list []jaystore.Record
	for _, r := range m.newest() {
		list = append(list, r)
	}
	return list, jaystore.Position(len(m.records)), nil
}

func (m *model) Read(_ context.Context, _ jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	failed := m.fail()
	end := jaystore.Position(len(m.records))
	if !failed && from < m.first {
		return nil, 0, jayerror.New("read", jaystore.KindExpired, "drawn")
	}
	if !failed {
		return m.records[from:], end, nil
	}
	err := jayerror.New("read", jaystore.KindUnavailable, "drawn")
	if from >= m.first && rapid.Bool().Draw(m.t, "records of another instance") {
		to := jaystore.Position(rapid.Int64Range(int64(from), int64(end)).Draw(m.t, "to"))
		return m.records[from:to], to, err
	}
	return nil, 0, err
}

// cache is a consumer that keeps the newest record of each key.
type cache struct {
	t      *rapid.T
	newest map[string]jaystore.Record
}

func (c *cache) Apply(_ context.Context, records []jaystore.Record) {
	for _, r := range records {
		if prev, ok := c.newest[r.Key]; ok && r.Position <= prev.Position {
			c.t.Fatalf("key %s went back from offset %d to %d", r.Key, prev.Position, r.Position)
		}
		c.newest[r.Key] = r
	}
}

func (c *cache) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	clear(c.newest)
	c.Apply(ctx, records)
}

func (*cache) Unavailable(context.Context, error) {}

func (*cache) Available(context.Context) {}

// Guards against a follower that misses a record or applies an older one after a
// newer: calls fail, records are trimmed, and another instance's records come with
// errors, all at random. At the end the newest record of each key must have been
// applied. Time is virtual.
func TestFollowerAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtual{t}, follow)
	})
}

// virtual hides the test's deadline, which is in real time, not in virtual time.
type virtual struct {
	rapid.TB
}

func follow(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m, b := &model{t: t, end: cancel}, &cache{t: t, newest: make(map[string]jaystore.Record)}
	jaystore.NewFollower(m, jaystore.TopicPolicy, b, 0, slog.New(slog.DiscardHandler)).Run(ctx)
	maps.DeleteFunc(b.newest, func(_ string, r jaystore.Record) bool { return len(r.Value) == 0 })
	if want := m.newest(); !maps.EqualFunc(b.newest, want, func(a, b jaystore.Record) bool { return a.Position == b.Position }) {
		t.Fatalf("newest = %v, want %v", b.newest, want)
	}
}
