package jaylease

import (
	"time"

	"jayfield.example/jay/jaylog"
)

const (
	// DefaultTTL is how long a claim or renewal is valid, counted from before it was first sent.
	DefaultTTL = 10 * time.Second
	// DefaultMargin is added to the wait before a claim, to allow for clocks that run at different rates.
	DefaultMargin = 2 * time.Second
	// renewDivisor sets when a renewal is due: after 1/renewDivisor of the TTL.
	renewDivisor = 3
	// maxCaughtUpAge is how recently the stream must have been read to its end for a claim to be made.
	maxCaughtUpAge = time.Second
)

// Options configures a Machine.
type Options struct {
	Cell        string
	Incarnation string
	TTL, Margin time.Duration
	Writer      *jaylog.Writer
	// OnInvariantBroken is called with a description when an invariant of the package is broken.
	OnInvariantBroken func(invariant string)
}

// Machine is the lease state machine of one instance and cell: it decides when
// to append records and whether the instance holds a valid lease. It is not
// safe for concurrent use.
type Machine struct {
	Options
	view View
	// lastRecordAt is when the newest record of the cell was read, or when reading began.
	lastRecordAt time.Time
	// caughtUpAt is when the stream was last read to its end.
	caughtUpAt time.Time
	// expiresAt is when the instance's lease expires, by its own monotonic clock.
	expiresAt time.Time
	fence     int64
	// pending is the record passed to the log whose effect is not known yet.
	pending *pendingRecord
	// stopping is set once Release is called; no claims or renewals are made afterwards.
	stopping bool
}

// pendingRecord is a record that was passed to the log for appending.
type pendingRecord struct {
	id          jaylog.ID
	kind        string
	firstSentAt time.Time
}

// NewMachine returns the machine of an instance that starts reading at the given offset.
func NewMachine(now time.Time, start int64, options Options) *Machine {
	return &Machine{Options: options, view: NewView(options.Cell, start), lastRecordAt: now}
}

// SkipTo continues at the offset of the oldest retained record and discards
// all state, as the records before it have expired. It does nothing where they
// have been read already.
func (m *Machine) SkipTo(now time.Time, oldest int64) {
	if oldest <= m.view.position {
		return
	}
	m.view = NewView(m.Cell, oldest)
	m.lastRecordAt = now
	m.caughtUpAt = time.Time{}
	m.expiresAt = time.Time{}
	m.pending = nil
}

// Holds returns the fencing number of the instance's lease, and whether the
// lease remains valid for longer than minRemaining.
func (m *Machine) Holds(now time.Time, minRemaining time.Duration) (int64, bool) {
	if m.view.holder.Incarnation != m.Incarnation {
		return 0, false
	}
	return m.fence, now.Add(minRemaining).Before(m.expiresAt)
}

// Next returns the record to append now, if any. The append must be retried
// under the same ID while its effect is unknown; the TTL runs from the
// first attempt.
func (m *Machine) Next(now time.Time) (jaylog.Record, bool) {
	if m.pending != nil && now.Sub(m.pending.firstSentAt) < m.TTL {
		return jaylog.Record{}, false
	}
	m.pending = nil
	switch {
	case m.stopping:
		return jaylog.Record{}, false
	case m.held(now):
		if m.expiresAt.Sub(now) > m.TTL-m.TTL/renewDivisor {
			return jaylog.Record{}, false
		}
		return m.newRecord(now, RecordRenew)
	case now.Sub(m.lastRecordAt) > m.TTL+m.Margin && now.Sub(m.caughtUpAt) < maxCaughtUpAge:
		return m.newRecord(now, RecordClaim)
	}
	return jaylog.Record{}, false
}

// Position returns the offset to read next.
func (m *Machine) Position() int64 {
	return m.view.position
}

// Apply applies entries read from Position on. End is the offset after the
// stream's last record at the time of reading.
func (m *Machine) Apply(now time.Time, entries []jaylog.Entry, end int64) {
	for _, entry := range entries {
		if entry.Offset == m.view.position {
			m.applyEntry(now, entry)
		}
	}
	if m.view.position >= end {
		m.caughtUpAt = now
	}
}

// Release returns the record that releases the lease, if the instance holds it.
// The instance sends no orders afterwards.
func (m *Machine) Release(now time.Time) (jaylog.Record, bool) {
	m.stopping = true
	held := m.held(now)
	m.expiresAt = time.Time{}
	if !held {
		return jaylog.Record{}, false
	}
	m.pending = nil
	return m.newRecord(now, RecordRelease)
}

// View returns the state of the cell's lease as read from the log.
func (m *Machine) View() *View {
	return &m.view
}

func (m *Machine) held(now time.Time) bool {
	_, ok := m.Holds(now, 0)
	return ok
}

func (m *Machine) applyEntry(now time.Time, entry jaylog.Entry) {
	heldBefore := m.held(now)
	ofCell, effective := m.view.Apply(entry)
	if !ofCell {
		return
	}
	m.lastRecordAt = now
	isPending := m.pending != nil && entry.Record.ID == m.pending.id
	if !effective {
		return
	}
	if entry.Record.ID.Incarnation != m.Incarnation {
		if heldBefore && !m.stopping {
			m.OnInvariantBroken("lease: another instance acquired the cell's lease before the local lease expired")
		}
		m.expiresAt = time.Time{}
		return
	}
	if isPending && entry.Record.Kind != RecordRelease {
		m.expiresAt = m.pending.firstSentAt.Add(m.TTL)
		m.fence = m.view.holder.Fence
	}
	if isPending {
		m.pending = nil
	}
}

func (m *Machine) newRecord(now time.Time, kind string) (jaylog.Record, bool) {
	body, err := Body{Cell: m.Cell, Read: m.view.position, Fence: m.fence}.Encode()
	if err != nil {
		return jaylog.Record{}, false
	}
	record := m.Writer.Record(kind, body)
	m.pending = &pendingRecord{id: record.ID, kind: kind, firstSentAt: now}
	return record, true
}
