package jayfleet

import (
	"jayfield.example/jay/jaystore"
	"slices"
	"time"
)

// History is what the records of one ID say of its upstream. Records that come in the order of their offsets
// give the same history even if some of them come again, and if those that Offsets leaves out do not come. So instances
// that read the registry directly, from a mirror or as a snapshot with its recent records decide alike.
//
// Each start of the upstream is identified by its start time, and its registrations are ordered by
// sequence number. A registration whose sequence number is not higher than one before it is a write
// that took effect late: it neither changes what the start registered nor brings its entry back after
// a removal.
//
// When the store comes back from a copy, its records come again at positions of another era, without the newest ones. What
// the records of the latest era say holds, except that a start that has ended, was removed or is leaving by an earlier
// era remains so until it registers with a higher sequence number.
//
// A History is immutable. The zero value has no records.
type History struct {
	// eras are the histories of the latest eras of the store, in their order.
	eras []numberedEra
}

// numberedEra is the history of an era with its number.
type numberedEra struct {
	number  int64
	history eraHistory
}

// maxEras bounds the eras of a history.
const maxEras = 3

// With returns the history with a registration that was read at an offset and observed at a time, and what it changes.
func (h History) With(now time.Time, offset jaystore.Position, u Upstream) (History, Effect) {
	history, effect := h.era(offset.Era()).With(now, offset, u)
	next := h.withEra(offset.Era(), history)
	if effect == EffectNone && !h.sameRegistered(next) {
		effect = EffectChanged
	}
	return next, effect
}

// WithRemoval returns the history with the removal of the entry.
func (h History) WithRemoval(offset jaystore.Position) History {
	// The removal of what a snapshot lacks is before its end, which may be the begin of an era.
	era := (offset + 1).Era()
	return h.withEra(era, h.era(era).WithRemoval(offset))
}

// IsEmpty reports whether the history has no registration.
func (h History) IsEmpty() bool {
	return !slices.ContainsFunc(h.eras, func(e numberedEra) bool { return !e.history.IsEmpty() })
}

// Registered returns the upstream as the current start has registered it. It reports false if the entry
// was removed.
func (h History) Registered() (Upstream, bool) {
	for n := len(h.eras) - 1; n >= 0; n-- {
		if latest := h.eras[n].history; !latest.IsEmpty() {
			u, registered := latest.Registered()
			u, registered = h.before(n).override(latest, u, registered)
			return u, registered && n == len(h.eras)-1
		}
	}
	return Upstream{}, false
}

// override returns the state of an upstream that is registered in a later era, as limited by the history. Registrations without a start time
// and a sequence number are ordered by their offsets alone.
func (h History) override(latest eraHistory, u Upstream, registered bool) (Upstream, bool) {
	if u.Born == 0 && u.Sequence == 0 {
		return u, registered
	}
	for _, e := range slices.Backward(h.eras) {
		u, registered = e.history.override(latest, u, registered)
	}
	return u, registered
}

// override returns the state of an upstream that is registered in a later era, as limited by the history of this one.
func (h eraHistory) override(latest eraHistory, u Upstream, registered bool) (Upstream, bool) {
	current, holds := h.Registered()
	known, ok := h.start(u.Born)
	switch {
	case h.mayFollow(latest, u):
	case !ok || u.Sequence > known.newest.upstream.Sequence:
		return u, registered
	case current.Born != u.Born && !h.ended(u.Born):
		current, holds = known.registered(), h.holds(known)
	}
	if u.Leaving && !known.registered().Leaving {
		// A start that is later than those of that era is leaving.
		current.Leaving, current.LeavesIn = true, u.LeavesIn
	}
	return current, registered && holds
}

// mayFollow reports whether the current start may have followed that of an upstream as it is registered in a later era, which lacks the
// records of the current start or has yet to show them.
func (h eraHistory) mayFollow(latest eraHistory, u Upstream) bool {
	current, _ := h.Registered()
	_, known := h.start(u.Born)
	_, seen := latest.start(current.Born)
	other, _ := latest.start(u.Born)
	return u.Born < current.Born && !known && !seen && !other.confirmed
}

// Since returns the offset at which the current start was first observed.
func (h History) Since() jaystore.Position {
	u, _ := h.Registered()
	for _, e := range h.eras {
		if known, ok := e.history.start(u.Born); ok {
			return known.first.offset
		}
	}
	return none
}

// Doubted returns the start time of a start that has registered after the current one did, if it does not count
// yet, and for how long it is to be held back: its start time is lower than that of a start before it, or it was
// observed before the current one, which was removed. Either a write of an earlier start took effect late, or the clock of the
// upstream was set back. The hold is 0 if there is no such start.
func (h History) Doubted() (born int64, hold time.Duration) {
	if len(h.eras) == 0 {
		return 0, 0
	}
	latest := h.latest().history
	if born, hold = latest.Doubted(); hold > 0 {
		return born, hold
	}
	u, registered := latest.Registered()
	if registered && slices.ContainsFunc(h.eras, func(e numberedEra) bool { return e.history.mayFollow(latest, u) }) {
		return u.Born, LateGrace
	}
	return 0, 0
}

// Confirmed returns the history with the start with a start time as the current one.
func (h History) Confirmed(born int64) History {
	if len(h.eras) == 0 {
		return h
	}
	return h.withEra(h.latest().number, h.latest().history.Confirmed(born))
}

// Settled returns the history without the starts that have ended. It is the history of an entry of which
// nothing but heartbeats was observed for Retention.
func (h History) Settled() History {
	if len(h.eras) == 0 {
		return h
	}
	return History{}.withEra(h.latest().number, h.latest().history.Settled())
}

// WithReturn returns the history with registrations that came late taken for those of a start that has the start
// time of the one before, if that one was not observed for Retention.
func (h History) WithReturn(now time.Time) (History, bool) {
	if len(h.eras) == 0 {
		return h, false
	}
	history, ok := h.latest().history.WithReturn(now)
	return h.withEra(h.latest().number, history), ok
}

// Offsets returns the offsets of the records that the history depends on, in their order.
func (h History) Offsets() []jaystore.Position {
	var offsets []jaystore.Position
	for _, e := range h.eras {
		offsets = append(offsets, e.history.Offsets()...)
	}
	return offsets
}

func (h History) latest() numberedEra { return h.eras[len(h.eras)-1] }

// before returns the history of the eras before one of them.
func (h History) before(n int) History { return History{h.eras[:n]} }

// era returns the history of the era with a number.
func (h History) era(number int64) eraHistory {
	for _, e := range h.eras {
		if e.number == number {
			return e.history
		}
	}
	return eraHistory{}
}

// withEra returns the history with that of the era with a number, without the earliest era if there are too many.
func (h History) withEra(number int64, history eraHistory) History {
	n, ok := slices.BinarySearchFunc(h.eras, number, func(e numberedEra, number int64) int { return int(e.number - number) })
	eras := slices.Clone(h.eras)
	if ok {
		eras[n].history = history
	} else {
		eras = slices.Insert(eras, n, numberedEra{number, history})
	}
	return History{eras[max(0, len(eras)-maxEras):]}
}

// sameRegistered reports whether two histories say the same of the upstream now.
func (h History) sameRegistered(other History) bool {
	u, registered := h.Registered()
	v, otherRegistered := other.Registered()
	return registered == otherRegistered && u.Same(v)
}
