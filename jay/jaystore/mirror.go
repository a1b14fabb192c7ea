package jaystore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"jayfield.example/jay/jayerror"
)

// Mirror forwards records to a consumer and keeps the newest record of each key
// of the topic, so that other instances need not read the store. It is safe for
// concurrent use.
type Mirror struct {
	Consumer
	// same reports whether a record duplicates the previous one of its key; nil keeps all records.
	same    func(prev, record Record) bool
	mu      sync.Mutex
	records map[string]Record
	// begin is the offset from which on the mirror knows all removals: a snapshot does not contain
	// those before its end.
	begin int64
	// next is the offset after all records that were read, changed the offset after the last
	// record that was kept or the last snapshot.
	next, changed int64
	readAt        time.Time
	// tombstones is the number of tombstones, of which at most maxTombstones are kept.
	tombstones, maxTombstones int
	// pending is the read whose records are still to be applied, nil if there is none.
	pending *readMark
}

// readMark is the offset up to which a read was complete as of a point in time.
type readMark struct {
	at   time.Time
	next int64
}

// MirrorOption configures a mirror.
type MirrorOption func(*Mirror)

// WithDeduplication makes a mirror discard records that duplicate the one it holds for
// their key, such as heartbeats of a writer whose state is unchanged. The consumer still
// receives them.
func WithDeduplication(same func(prev, record Record) bool) MirrorOption {
	return func(m *Mirror) { m.same = same }
}

// WithMaxTombstones sets how many removed keys a mirror remembers, for instances that have read less of the
// topic.
func WithMaxTombstones(n int) MirrorOption {
	return func(m *Mirror) { m.maxTombstones = n }
}

// defaultMaxTombstones is more than the upstreams that a large site replaces within the time for which
// an instance may be behind.
const defaultMaxTombstones = 2000

// NewMirror returns an empty mirror that forwards to a consumer.
func NewMirror(consumer Consumer, options ...MirrorOption) *Mirror {
	m := &Mirror{Consumer: consumer, records: make(map[string]Record), next: -1, maxTombstones: defaultMaxTombstones}
	for _, option := range options {
		option(m)
	}
	return m
}

// Apply stores records and forwards them.
func (m *Mirror) Apply(ctx context.Context, records []Record) {
	m.mu.Lock()
	m.put(records)
	m.commitRead()
	m.mu.Unlock()
	m.Consumer.Apply(ctx, records)
}

// MarkRead records that the mirror was complete up to an offset as of a point in time.
func (m *Mirror) MarkRead(at time.Time, next int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(at, next)
}

// MarkPending records that the mirror will be complete up to an offset, as of a point in time,
// once the records of the read have been applied. Until then other instances that read the
// mirror must not skip them.
func (m *Mirror) MarkPending(at time.Time, next int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = &readMark{at: at, next: next}
}

// commitRead advances the mirror to the read whose records have just been applied.
func (m *Mirror) commitRead() {
	if m.pending != nil {
		m.advance(m.pending.at, m.pending.next)
		m.pending = nil
	}
}

func (m *Mirror) advance(at time.Time, next int64) {
	m.next = max(m.next, next)
	if at.After(m.readAt) {
		m.readAt = at
	}
}

// From returns the newest records of the keys that changed from an offset on, in
// the order of their offsets, and the offset after all records that were read. A negative
// offset selects all keys that have not been removed. The error is of KindExpired if the
// mirror may not know all removals since the offset: the reader has to replace its copy by
// that of all keys.
func (m *Mirror) From(offset int64) ([]Record, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if offset >= 0 && m.next >= 0 && offset < m.begin {
		return nil, m.next, jayerror.Newf("mirror", KindExpired, "removals since offset %d are not known", offset)
	}
	var records []Record
	for _, r := range m.records {
		if offset < 0 && len(r.Value) == 0 {
			continue
		}
		if r.Offset >= offset {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return records, m.next, nil
}

// Next returns the offset after all records that were read, -1 before the first read.
func (m *Mirror) Next() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next
}

// Position returns the offset after the last record that other instances need, -1
// before anything was read, and the time as of which the mirror is complete.
func (m *Mirror) Position() (changed int64, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(m.changed, m.next), m.readAt
}

// Replace stores a snapshot and forwards it.
func (m *Mirror) Replace(ctx context.Context, records []Record, end int64) {
	m.mu.Lock()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		// The copy of an instance of an earlier release contains tombstones too.
		present[r.Key] = len(r.Value) > 0
	}
	for key, r := range m.records {
		if !present[key] && len(r.Value) > 0 && r.Offset < end {
			// The tombstone is kept for instances that have read less of the topic.
			m.store(Record{Key: key, Offset: end - 1})
		}
	}
	m.put(records)
	if end > m.next {
		m.begin = end
	}
	m.changed = max(m.changed, end)
	m.commitRead()
	m.mu.Unlock()
	m.Consumer.Replace(ctx, records, end)
}

func (m *Mirror) put(records []Record) {
	for _, r := range records {
		prev, ok := m.records[r.Key]
		if ok && (r.Offset < prev.Offset || m.same != nil && m.same(prev, r)) {
			continue
		}
		m.store(r)
		m.changed = max(m.changed, r.Offset+1)
	}
	m.dropTombstones()
}

// store sets the record of a key.
func (m *Mirror) store(r Record) {
	if prev, ok := m.records[r.Key]; ok && len(prev.Value) == 0 {
		m.tombstones--
	}
	if len(r.Value) == 0 {
		m.tombstones++
	}
	m.records[r.Key] = r
}

// dropTombstones drops the older half of the tombstones if there are too many. The history of the mirror
// begins after them.
func (m *Mirror) dropTombstones() {
	if m.tombstones <= m.maxTombstones {
		return
	}
	offsets := make([]int64, 0, m.tombstones)
	for _, r := range m.records {
		if len(r.Value) == 0 {
			offsets = append(offsets, r.Offset)
		}
	}
	slices.Sort(offsets)
	last := offsets[len(offsets)/2]
	for key, r := range m.records {
		if len(r.Value) == 0 && r.Offset <= last {
			delete(m.records, key)
			m.tombstones--
		}
	}
	m.begin = max(m.begin, last+1)
}
