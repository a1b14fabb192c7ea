package jayfleet

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jaystore"
)

// Retention is how long a history remembers what has ended. A write without an answer may take effect
// six seconds after it was sent, and the store removes the entry that it leaves behind after three
// heartbeats without another.
const Retention = 15 * time.Second

// none is the offset of a record that does not exist.
const none = jaystore.NoPosition

// eraHistory is what the records of one ID in one era of the store say of its upstream.
type eraHistory struct {
	// starts are ordered by their rank and the offset of their first registration.
	starts []start
	// removal is the offset of the latest removal plus one, 0 if there is none.
	removal jaystore.Position
	// removals are the offsets of the latest removals.
	removals []jaystore.Position
}

// maxKept bounds the starts of a history, and the records that it depends on for each of them.
const maxKept = 8

// registration is a registration that was read at an offset.
type registration struct {
	upstream Upstream
	offset   jaystore.Position
}

// start is one start of an upstream.
type start struct {
	// first is the registration with the lowest offset, newest the first one with the highest sequence
	// number.
	first, newest registration
	// leaving is the latest registration after newest that states that the upstream is leaving, and late the
	// latest one that does not. Their offsets are none if there is none.
	leaving, late registration
	// marks are the offsets of the registrations with which the start began to count, held again, or ended a doubt.
	marks []jaystore.Position
	// heard is when newest was read.
	heard time.Time
	// confirmed is set once the start counts although its start time is lower than that of an earlier one.
	confirmed bool
	// rank is higher than that of the starts that are earlier although they were observed later.
	rank int
}

// Effect is what a record changes.
type Effect string

// Effects of records.
const (
	// EffectNone means that the record repeats what is known, as most heartbeats do.
	EffectNone Effect = "none"
	// EffectChanged means that the record changes what is known.
	EffectChanged Effect = "changed"
	// EffectLate means that the record is a write that took effect late: its start had ended or had registered
	// with a higher sequence number.
	EffectLate Effect = "late"
)

// With returns the history with a registration that was read at an offset and observed at a time, and what it changes.
func (h eraHistory) With(now time.Time, offset jaystore.Position, u Upstream) (eraHistory, Effect) {
	if len(h.starts) == 1 && h.starts[0].isRecord() && offset < h.starts[0].first.offset {
		// The record of a snapshot comes again after those that lead to it.
		h.starts = nil
	}
	n := slices.IndexFunc(h.starts, func(s start) bool { return s.newest.upstream.Born == u.Born })
	if n < 0 {
		return h.withStart(newStart(now, registration{u, offset})), EffectChanged
	}
	before := h.starts[n]
	changed, effect := before.with(now, registration{u, offset})
	if !h.holds(before) && h.holds(changed) {
		changed.marks = keepLatest(changed.marks, offset)
	}
	next := h.clone()
	next.starts[n] = changed
	if h.doubted() >= 0 && next.doubted() < 0 {
		next.starts[n].marks = keepLatest(changed.marks, offset)
	}
	next.sort()
	switch {
	case next.ended(u.Born):
		effect = EffectLate
	case !h.sameState(next):
		effect = EffectChanged
	}
	return next, effect
}

// withStart returns the history with another start.
func (h eraHistory) withStart(s start) eraHistory {
	next := h.clone()
	s.rank = next.maxRank()
	next.starts = append(next.starts, s)
	next.sort()
	if len(next.starts) > maxKept {
		next.starts = next.starts[1:]
	}
	return next
}

func (h eraHistory) clone() eraHistory {
	h.starts = slices.Clone(h.starts)
	return h
}

func (h eraHistory) maxRank() int {
	rank := 0
	for _, s := range h.starts {
		rank = max(rank, s.rank)
	}
	return rank
}

// sort orders the starts. If the current one counts although its start time is lower than that of a start before it, it
// does so from now on.
func (h eraHistory) sort() {
	slices.SortStableFunc(h.starts, func(a, b start) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.first.offset, b.first.offset))
	})
	n := h.current()
	current := &h.starts[n]
	lower := func(s start) bool { return current.newest.upstream.Born < s.newest.upstream.Born }
	if !current.confirmed && slices.ContainsFunc(h.starts[:n], lower) {
		current.confirm()
	}
}

// keepLatest returns the offsets with another one, without the oldest if they are too many.
func keepLatest(offsets []jaystore.Position, offset jaystore.Position) []jaystore.Position {
	return append(slices.Clone(offsets[max(0, len(offsets)+1-maxKept):]), offset)
}

// start returns the start with a start time.
func (h eraHistory) start(born int64) (start, bool) {
	n := slices.IndexFunc(h.starts, func(s start) bool { return s.newest.upstream.Born == born })
	if n < 0 {
		return start{}, false
	}
	return h.starts[n], true
}

// ended reports whether another start counts that was observed after the one with a start time.
func (h eraHistory) ended(born int64) bool {
	n := slices.IndexFunc(h.starts, func(s start) bool { return s.newest.upstream.Born == born })
	return n < h.current() && n != h.doubted()
}

// WithRemoval returns the history with the removal of the entry.
func (h eraHistory) WithRemoval(offset jaystore.Position) eraHistory {
	if offset < h.removal {
		return h
	}
	next := h.clone()
	if n := next.doubted(); n > 0 && next.starts[n].newest.offset < offset {
		// The start that registered last is the one that was removed.
		next.starts[n].confirm()
	}
	next.removal, next.removals = offset+1, keepLatest(h.removals, offset)
	return next
}

// IsEmpty reports whether the history has no registration.
func (h eraHistory) IsEmpty() bool {
	return len(h.starts) == 0
}

// Registered returns the upstream as the current start has registered it. It reports false if the entry
// was removed.
func (h eraHistory) Registered() (Upstream, bool) {
	if h.IsEmpty() {
		return Upstream{}, false
	}
	current := h.starts[h.current()]
	u := current.registered()
	if n := h.later(); n >= 0 && h.starts[n].registered().Leaving {
		u.Leaving, u.LeavesIn = true, h.starts[n].registered().LeavesIn
	}
	return u, h.holds(current)
}

// Doubted returns the start time of a start that has registered after the current one did, if it does not count
// yet, and for how long it is to be held back: its start time is lower than that of a start before it, or it was
// observed before the current one, which was removed. Either a write of an earlier start took effect late, or the clock of the
// upstream was set back. The hold is 0 if there is no such start.
func (h eraHistory) Doubted() (born int64, hold time.Duration) {
	n := h.doubted()
	if n < 0 {
		return 0, 0
	}
	if hold = LateGrace; n < h.current() {
		hold = ReturnGrace
	}
	return h.starts[n].newest.upstream.Born, hold
}

// doubted returns the start that Doubted describes, -1 if there is none.
func (h eraHistory) doubted() int {
	if h.IsEmpty() {
		return -1
	}
	if n := h.later(); n >= 0 && h.holds(h.starts[n]) {
		return n
	}
	if last := h.last(); !h.holds(h.starts[h.current()]) && h.holds(h.starts[last]) {
		return last
	}
	return -1
}

// later returns the start that registered last of those that were observed after the current one, -1 if the current
// one has registered since.
func (h eraHistory) later() int {
	later, offset := -1, h.starts[h.current()].newest.offset
	for n := h.current() + 1; n < len(h.starts); n++ {
		if h.starts[n].newest.offset > offset {
			later, offset = n, h.starts[n].newest.offset
		}
	}
	return later
}

// Confirmed returns the history with the start with a start time as the current one.
func (h eraHistory) Confirmed(born int64) eraHistory {
	next := h.clone()
	n := slices.IndexFunc(next.starts, func(s start) bool { return s.newest.upstream.Born == born })
	if n < 0 {
		return h
	}
	next.starts[n].rank, next.starts[n].confirmed = next.maxRank()+1, true
	next.sort()
	return next
}

// Settled returns the history without the starts that have ended. It is the history of an entry of which
// nothing but heartbeats was observed for Retention.
func (h eraHistory) Settled() eraHistory {
	switch {
	case h.IsEmpty() || !h.holds(h.starts[h.last()]):
		return eraHistory{removal: h.removal, removals: h.removals[max(0, len(h.removals)-1):]}
	case len(h.starts) == 1 && h.removal == 0:
		return h
	default:
		s := h.starts[h.last()]
		s.marks = nil
		return eraHistory{starts: []start{s}}
	}
}

// WithReturn returns the history with registrations that came late taken for those of a start that has the start
// time of the one before, if that one was not observed for Retention.
func (h eraHistory) WithReturn(now time.Time) (eraHistory, bool) {
	if h.IsEmpty() {
		return h, false
	}
	s := h.starts[h.current()]
	if s.late.offset < h.removal || s.late.offset < s.newest.offset || now.Sub(s.heard) < Retention {
		return h, false
	}
	return eraHistory{starts: []start{newStart(now, s.late)}}, true
}

// Offsets returns the offsets of the records that the history depends on, in their order.
func (h eraHistory) Offsets() []jaystore.Position {
	offsets := slices.Clone(h.removals)
	for _, s := range h.starts {
		offsets = append(append(offsets, s.first.offset, s.newest.offset), s.marks...)
		if h.holds(s) && s.leaving.offset > s.newest.offset {
			offsets = append(offsets, s.leaving.offset)
		}
	}
	slices.Sort(offsets)
	return slices.Compact(offsets)
}

// current returns the start that counts. Of two starts, the one that was observed first ended when the other one began if the
// start times are in this order too, or if only the other one has registered since the entry was removed.
func (h eraHistory) current() int {
	current := 0
	for n, s := range h.starts {
		if s.confirmed || s.newest.upstream.Born >= h.starts[current].newest.upstream.Born || h.holds(s) && !h.holds(h.starts[current]) {
			current = n
		}
	}
	return current
}

// last returns the start that registered last.
func (h eraHistory) last() int {
	last := 0
	for n, s := range h.starts {
		if s.newest.offset > h.starts[last].newest.offset {
			last = n
		}
	}
	return last
}

// holds reports whether the entry of a start was not removed.
func (h eraHistory) holds(s start) bool {
	return s.newest.offset >= h.removal
}

// sameState reports whether two histories of an ID with the same removal say the same of it now.
func (h eraHistory) sameState(other eraHistory) bool {
	return len(h.starts) == len(other.starts) && h.sameStart(h.current(), other, other.current()) && h.sameStart(h.doubted(), other, other.doubted())
}

// sameStart reports whether a start of the history has the same state as one of another history.
func (h eraHistory) sameStart(n int, other eraHistory, m int) bool {
	if n < 0 || m < 0 {
		return n == m
	}
	s, t := h.starts[n], other.starts[m]
	return s.registered().Same(t.registered()) && h.holds(s) == other.holds(t)
}

func newStart(now time.Time, r registration) start {
	return start{first: r, newest: r, leaving: registration{offset: none}, late: registration{offset: none}, heard: now}
}

// with returns the start with another registration.
func (s start) with(now time.Time, r registration) (start, Effect) {
	if r.offset < s.first.offset {
		s.first = r
	}
	before := s.newest
	switch {
	case r.supersedes(before):
		s.newest, s.heard = r, now
		switch {
		case r.offset < before.offset:
			// The record before took effect after this one.
			return s.withLate(before), EffectNone
		case s.late.offset > before.offset:
			// It shows that the late write before it does not begin another start.
			return s, EffectChanged
		default:
			return s, EffectNone
		}
	case r.offset <= before.offset:
		if r.upstream.Sequence == before.upstream.Sequence && r.upstream.Same(before.upstream) {
			s.newest = r
		}
		return s, EffectNone
	case !r.upstream.Leaving && now.Sub(s.heard) >= Retention:
		return newStart(now, r), EffectChanged
	default:
		return s.withLate(r), EffectLate
	}
}

// confirm makes the start count although its start time is lower than that of a start before it.
func (s *start) confirm() {
	s.confirmed, s.marks = true, keepLatest(s.marks, s.newest.offset)
}

// withLate returns the start with a write that took effect late. One that states that the upstream is leaving counts until
// the next registration all the same.
func (s start) withLate(r registration) start {
	switch {
	case r.upstream.Leaving && r.offset > s.leaving.offset:
		s.leaving = r
	case !r.upstream.Leaving && r.offset > s.late.offset:
		s.late = r
	}
	return s
}

// isRecord reports whether the start is known by one record only.
func (s start) isRecord() bool {
	return s.newest.offset == s.first.offset && s.leaving.offset == none && s.late.offset == none
}

// supersedes reports whether the registration was written after another one of the same start. Registrations without a
// start time and a sequence number are ordered by their offsets.
func (r registration) supersedes(other registration) bool {
	switch u := r.upstream; {
	case u.Sequence != other.upstream.Sequence:
		return u.Sequence > other.upstream.Sequence
	case u.Born == 0 && u.Sequence == 0, !u.Same(other.upstream):
		return r.offset > other.offset
	default:
		return false
	}
}

// registered returns what the start registered.
func (s start) registered() Upstream {
	u := s.newest.upstream
	if s.leaving.offset > s.newest.offset {
		u.Leaving, u.LeavesIn = true, s.leaving.upstream.LeavesIn
	}
	return u
}
