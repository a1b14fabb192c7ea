package jaylease

import (
	"time"

	"jayfield.example/jay/jaylog"
)

const (
	// DefaultTTL is how long a record gives authority, counted from before it was first sent.
	DefaultTTL = 10 * time.Second
	// DefaultMargin is added to the wait before a claim, for clocks that run at different rates.
	DefaultMargin = 2 * time.Second
	// renewParts is the part of the TTL after which a renewal is due.
	renewParts = 3
	// endFresh is how recent a reading to the stream's end must be for a claim.
	endFresh = time.Second
)

// Options are what a machine is made of.
type Options struct {
	Cell        string
	Incarnation string
	TTL, Margin time.Duration
	Writer      *jaylog.Writer
	// Breach is called where a rule of the package would be broken.
	Breach func(rule string)
}

// Machine decides for one instance and cell when to append and whether the
// instance has authority. One task calls its methods.
type Machine struct {
	Options
	view View
	// quiet is when the newest record of the cell was read, or reading began.
	quiet time.Time
	// end is when the stream was last read to its end.
	end time.Time
	// until is when the instance's authority ends, by its own monotonic clock.
	until time.Time
	fence int64
	// sent is the record whose effect is not known yet.
	sent *sentRecord
	// stopping forbids claims and renewals.
	stopping bool
}

// sentRecord is a record that was handed to the log.
type sentRecord struct {
	id    jaylog.ID
	kind  string
	first time.Time
}

// NewMachine returns the machine of an instance that begins to read at an offset.
func NewMachine(now time.Time, start int64, options Options) *Machine {
	return &Machine{Options: options, view: NewView(options.Cell, start), quiet: now}
}

// Gap tells the machine that records before an offset are gone. It starts again empty.
func (m *Machine) Gap(now time.Time, oldest int64) {
	if oldest <= m.view.next {
		return
	}
	m.view = NewView(m.Cell, oldest)
	m.quiet = now
	m.end = time.Time{}
	m.until = time.Time{}
	m.sent = nil
}

// Holds returns the fencing number if the instance has authority for at least a time more.
func (m *Machine) Holds(now time.Time, room time.Duration) (int64, bool) {
	if m.view.holder.Incarnation != m.Incarnation {
		return 0, false
	}
	return m.fence, now.Add(room).Before(m.until)
}

// Next returns the record to append now, if any. Its append must be repeated
// under the same ID while its effect is unknown; the time of the first send counts.
func (m *Machine) Next(now time.Time) (jaylog.Record, bool) {
	if m.sent != nil && now.Sub(m.sent.first) < m.TTL {
		return jaylog.Record{}, false
	}
	m.sent = nil
	switch {
	case m.stopping:
		return jaylog.Record{}, false
	case m.held(now):
		if m.until.Sub(now) > m.TTL-m.TTL/renewParts {
			return jaylog.Record{}, false
		}
		return m.record(now, RecordRenew)
	case now.Sub(m.quiet) > m.TTL+m.Margin && now.Sub(m.end) < endFresh:
		return m.record(now, RecordClaim)
	}
	return jaylog.Record{}, false
}

// Position returns the offset to read next.
func (m *Machine) Position() int64 {
	return m.view.next
}

// Read takes in entries read from Position on. End is the offset after the
// stream's last record at the time of reading.
func (m *Machine) Read(now time.Time, entries []jaylog.Entry, end int64) {
	for _, entry := range entries {
		if entry.Offset == m.view.next {
			m.readOne(now, entry)
		}
	}
	if m.view.next >= end {
		m.end = now
	}
}

// Release returns the record that gives the lease up, if the instance holds it.
// The instance gives no order afterwards.
func (m *Machine) Release(now time.Time) (jaylog.Record, bool) {
	m.stopping = true
	held := m.held(now)
	m.until = time.Time{}
	if !held {
		return jaylog.Record{}, false
	}
	m.sent = nil
	return m.record(now, RecordRelease)
}

// View returns what the machine concludes about the cell.
func (m *Machine) View() *View {
	return &m.view
}

func (m *Machine) held(now time.Time) bool {
	_, ok := m.Holds(now, 0)
	return ok
}

func (m *Machine) readOne(now time.Time, entry jaylog.Entry) {
	heldBefore := m.held(now)
	own, effective := m.view.Apply(entry)
	if !own {
		return
	}
	m.quiet = now
	mine := m.sent != nil && entry.Record.ID == m.sent.id
	if !effective {
		return
	}
	if entry.Record.ID.Incarnation != m.Incarnation {
		if heldBefore && !m.stopping {
			m.Breach("lease: another instance took the cell while the own lease runs")
		}
		m.until = time.Time{}
		return
	}
	if mine && entry.Record.Kind != RecordRelease {
		m.until = m.sent.first.Add(m.TTL)
		m.fence = m.view.holder.Fence
	}
	if mine {
		m.sent = nil
	}
}

func (m *Machine) record(now time.Time, kind string) (jaylog.Record, bool) {
	body, err := Body{Cell: m.Cell, Read: m.view.next, Fence: m.fence}.Encode()
	if err != nil {
		return jaylog.Record{}, false
	}
	record := m.Writer.Record(kind, body)
	m.sent = &sentRecord{id: record.ID, kind: kind, first: now}
	return record, true
}
