package jaystore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Mirror keeps the newest record of each key of a topic as it passes a
// consumer on, so that other instances need not read the store. It is safe for
// concurrent use.
type Mirror struct {
	Consumer
	// same reports whether a record only repeats an earlier one of its key, nil where none does.
	same    func(known, repeat Record) bool
	mu      sync.Mutex
	records map[string]Record
	// next is the offset after all that was read, changed that after the last record that was kept.
	next, changed int64
	read          time.Time
}

// MirrorOption is an option of a mirror.
type MirrorOption func(*Mirror)

// WithoutRepeats has a mirror not pass on records that only repeat what it has
// of their key, such as those of writers that state the same again.
func WithoutRepeats(same func(known, repeat Record) bool) MirrorOption {
	return func(m *Mirror) { m.same = same }
}

// NewMirror returns an empty mirror before a consumer.
func NewMirror(consumer Consumer, options ...MirrorOption) *Mirror {
	m := &Mirror{Consumer: consumer, records: make(map[string]Record), next: -1}
	for _, option := range options {
		option(m)
	}
	return m
}

// Apply takes in records and passes them on.
func (m *Mirror) Apply(ctx context.Context, records []Record) {
	m.mu.Lock()
	m.put(records)
	m.mu.Unlock()
	m.Consumer.Apply(ctx, records)
}

// Answered notes that the store answered at a time, up to an offset.
func (m *Mirror) Answered(at time.Time, next int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next = max(m.next, next)
	if at.After(m.read) {
		m.read = at
	}
}

// From returns the newest records of keys that changed from an offset on, in
// their order, and the offset after all that was read.
func (m *Mirror) From(offset int64) ([]Record, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []Record
	for _, r := range m.records {
		if r.Offset >= offset {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return records, m.next
}

// Position returns the offset after the last record that others need, -1 before
// anything was read, and when the store last answered.
func (m *Mirror) Position() (changed int64, read time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(m.changed, m.next), m.read
}

// Replace takes in a snapshot and passes it on.
func (m *Mirror) Replace(ctx context.Context, records []Record, end int64) {
	m.mu.Lock()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range m.records {
		if !present[key] && r.Offset < end {
			// The end of a key is kept for instances that have read less.
			m.records[key] = Record{Key: key, Offset: end - 1}
			m.changed = max(m.changed, end)
		}
	}
	m.put(records)
	m.mu.Unlock()
	m.Consumer.Replace(ctx, records, end)
}

func (m *Mirror) put(records []Record) {
	for _, r := range records {
		known, ok := m.records[r.Key]
		if ok && (r.Offset < known.Offset || m.same != nil && m.same(known, r)) {
			continue
		}
		m.records[r.Key] = r
		m.changed = max(m.changed, r.Offset+1)
	}
}
