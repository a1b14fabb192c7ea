package jaystore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"jayfield.example/jay/jayerror"
)

// History is the records of one key of a topic that other instances need. It is immutable.
type History interface {
	// With returns the history with another record of the key that was read at a time, and whether
	// that record changes what the others know. Records may come again.
	With(now time.Time, r Record) (next History, changed bool)
	// Settled returns the history without records that serve only to recognise those that come late.
	Settled() History
	// Records returns the records in the order of their positions.
	Records() []Record
	// Removed reports whether the key does not exist.
	Removed() bool
}

// Mirror forwards records to a consumer and keeps the history of each key
// of the topic, so that other instances need not read the store. It is safe for
// concurrent use.
type Mirror struct {
	Consumer
	// newHistory returns the empty history of a key.
	newHistory func(key string) History
	mu         sync.Mutex
	histories  map[string]History
	// changedAt is when the histories changed that are to be settled after retention.
	changedAt map[string]time.Time
	retention time.Duration
	// begin is the position from which on the mirror knows all removals: a snapshot does not contain
	// those before its end.
	begin Position
	// next is the position after all records that were read, changed the position after the last
	// record that was kept or the last snapshot.
	next, changed Position
	readAt        time.Time
	// tombstones is the number of tombstones, of which at most maxTombstones are kept.
	tombstones, maxTombstones int
	// pending is the read whose records are still to be applied, nil if there is none.
	pending *readMark
}

// readMark is the position up to which a read was complete as of a point in time.
type readMark struct {
	at   time.Time
	next Position
}

// MirrorOption configures a mirror.
type MirrorOption func(*Mirror)

// WithHistory makes a mirror keep the records that a history of each key selects, in place of the newest one. A
// record that changes nothing, such as most heartbeats, does not advance the position of the mirror. The
// consumer still receives all. Histories are settled once they have not changed for the retention.
func WithHistory(newHistory func(key string) History, retention time.Duration) MirrorOption {
	return func(m *Mirror) { m.newHistory, m.retention = newHistory, retention }
}

// newest is a history of the newest record only.
type newest []Record

// With returns the newer one of the records.
func (n newest) With(_ time.Time, r Record) (History, bool) {
	if len(n) > 0 && r.Position < n[0].Position {
		return n, false
	}
	return newest{r}, true
}

// Settled returns the history itself.
func (n newest) Settled() History { return n }

// Records returns the newest record.
func (n newest) Records() []Record { return n }

// Removed reports whether the newest record is a tombstone.
func (n newest) Removed() bool { return len(n) > 0 && len(n[0].Value) == 0 }

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
	m := &Mirror{
		Consumer: consumer, histories: make(map[string]History), changedAt: make(map[string]time.Time),
		newHistory: func(string) History { return newest{} }, next: -1, maxTombstones: defaultMaxTombstones,
	}
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

// MarkRead records that the mirror was complete up to a position as of a point in time.
func (m *Mirror) MarkRead(at time.Time, next Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(at, next)
}

// MarkPending records that the mirror will be complete up to a position, as of a point in time,
// once the records of the read have been applied. Until then other instances that read the
// mirror must not skip them.
func (m *Mirror) MarkPending(at time.Time, next Position) {
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

func (m *Mirror) advance(at time.Time, next Position) {
	m.next = max(m.next, next)
	if at.After(m.readAt) {
		m.readAt = at
	}
}

// From returns the records of the histories from a position on, in the order of their positions, and the
// position after all records that were read. A negative position selects the histories of all keys, without
// those of removed keys that are settled. The error is of KindExpired if the mirror may not know all
// removals since the position: the reader has to replace its copy by that of all keys.
func (m *Mirror) From(from Position) ([]Record, Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from >= 0 && m.next >= 0 && from < m.begin {
		return nil, m.next, jayerror.Newf("mirror", KindExpired, "removals since offset %s are not known", from)
	}
	var records []Record
	for _, h := range m.histories {
		list := h.Records()
		if from < 0 && len(list) == 1 && h.Removed() {
			continue
		}
		for _, r := range list {
			if r.Position >= from {
				records = append(records, r)
			}
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Position, b.Position) })
	return records, m.next, nil
}

// Next returns the position after all records that were read, -1 before the first read.
func (m *Mirror) Next() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next
}

// Position returns the position after the last record that other instances need, -1
// before anything was read, and the time as of which the mirror is complete.
func (m *Mirror) Position() (changed Position, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(m.changed, m.next), m.readAt
}

// Replace stores a snapshot and forwards it.
func (m *Mirror) Replace(ctx context.Context, records []Record, end Position) {
	m.mu.Lock()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		// The copy of another instance contains tombstones too.
		present[r.Key] = len(r.Value) > 0
	}
	now := time.Now()
	for key, h := range m.histories {
		if !present[key] && !h.Removed() && lastPosition(h) < end {
			// The tombstone is kept for instances that have read less of the topic.
			m.add(now, Record{Key: key, Position: end - 1})
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
	now := time.Now()
	for _, r := range records {
		if m.add(now, r) {
			m.changed = max(m.changed, r.Position+1)
		}
	}
	m.settle(now)
	m.dropTombstones()
}

// add adds a record to the history of its key and reports whether that changes what other instances know.
func (m *Mirror) add(now time.Time, r Record) bool {
	h, ok := m.histories[r.Key]
	if !ok {
		h = m.newHistory(r.Key)
	}
	next, changed := h.With(now, r)
	m.set(r.Key, next)
	if changed && m.retention > 0 {
		m.changedAt[r.Key] = now
	}
	return changed
}

// settle settles the histories that have not changed for the retention.
func (m *Mirror) settle(now time.Time) {
	for key, at := range m.changedAt {
		if now.Sub(at) >= m.retention {
			delete(m.changedAt, key)
			m.set(key, m.histories[key].Settled())
		}
	}
}

// set sets the history of a key.
func (m *Mirror) set(key string, h History) {
	if known, ok := m.histories[key]; ok && known.Removed() {
		m.tombstones--
	}
	if len(h.Records()) == 0 {
		delete(m.histories, key)
		return
	}
	if h.Removed() {
		m.tombstones++
	}
	m.histories[key] = h
}

// lastPosition returns the position of the last record of a history that has one.
func lastPosition(h History) Position {
	list := h.Records()
	return list[len(list)-1].Position
}

// dropTombstones drops the older half of the tombstones, with what is remembered of their keys, if there are too many.
// The history of the mirror begins after them.
func (m *Mirror) dropTombstones() {
	if m.tombstones <= m.maxTombstones {
		return
	}
	positions := make([]Position, 0, m.tombstones)
	for _, h := range m.histories {
		if h.Removed() {
			positions = append(positions, lastPosition(h))
		}
	}
	slices.Sort(positions)
	last := positions[len(positions)/2]
	for key, h := range m.histories {
		if h.Removed() && lastPosition(h) <= last {
			delete(m.histories, key)
			delete(m.changedAt, key)
			m.tombstones--
		}
	}
	m.begin = max(m.begin, last+1)
}
