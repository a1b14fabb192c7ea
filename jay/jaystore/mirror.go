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
	mu      sync.Mutex
	records map[string]Record
	next    int64
	read    time.Time
}

// NewMirror returns an empty mirror before a consumer.
func NewMirror(consumer Consumer) *Mirror {
	return &Mirror{Consumer: consumer, records: make(map[string]Record), next: -1}
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

// Position returns the offset after all that was read, -1 before anything was,
// and when the store last answered.
func (m *Mirror) Position() (next int64, read time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next, m.read
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
		}
	}
	m.put(records)
	m.mu.Unlock()
	m.Consumer.Replace(ctx, records, end)
}

func (m *Mirror) put(records []Record) {
	for _, r := range records {
		if known, ok := m.records[r.Key]; !ok || r.Offset >= known.Offset {
			m.records[r.Key] = r
		}
	}
}
