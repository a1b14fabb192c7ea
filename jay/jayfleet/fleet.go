package jayfleet

import (
	"cmp"
	"jayfield.example/jay/jaystore"
	"slices"
	"time"
)

// RemovalGrace is how long after the store is available again an entry that expired during
// the outage may be registered again before it is removed: about two seconds, by the service
// requirements.
const RemovalGrace = 2 * time.Second

// LateGrace is how long a start of an upstream that seems to be earlier than the known one, though it was
// observed later, is held back: if a write of it took effect late, the current start registers meanwhile, while
// an upstream that restarted with its clock set back stays with it.
const LateGrace = 4 * time.Second

// ReturnGrace is LateGrace for a start that was observed before the current one: if nothing follows, the store has
// removed its entry, and this is known, before it counts.
const ReturnGrace = 5 * time.Second

// Fleet is the set of registered upstreams, by ID.
type Fleet struct {
	entries map[string]*entry
	// storeDown is set while the store does not answer. It answers again since availableSince.
	storeDown      bool
	availableSince time.Time
	// era is that of the latest snapshot, unknownEra before the first.
	era int64
	// changes counts the changes that affect placement.
	changes uint64
}

const unknownEra = -1

type entry struct {
	history History
	// changedAt is when the registry last changed more than a sequence number.
	changedAt time.Time
	// doubted is the start time of a start that is held back for a time since doubtedSince, which is zero if there is
	// none.
	doubted      int64
	doubtedSince time.Time
	hold         time.Duration
	// kept is set while the entry is missing from the registry but still counts here, since the
	// removal may be an expiry during a store outage.
	kept bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{entries: make(map[string]*entry), era: unknownEra}
}

// Available returns the upstreams that take new requests, ordered by ID. If several have the
// same address, only the newest counts.
func (f *Fleet) Available() []Upstream {
	return slices.DeleteFunc(f.Registered(), func(u Upstream) bool { return u.Leaving })
}

// Registered returns all upstreams, also those that are leaving, ordered by ID. If several have the same
// address, only the newest counts.
func (f *Fleet) Registered() []Upstream {
	type holder struct {
		upstream Upstream
		since    jaystore.Position
	}
	newest := make(map[string]holder, len(f.entries))
	for _, e := range f.entries {
		u, ok := e.registered()
		if !ok {
			continue
		}
		if known, taken := newest[u.Address]; !taken || e.history.Since() > known.since {
			newest[u.Address] = holder{u, e.history.Since()}
		}
	}
	list := make([]Upstream, 0, len(newest))
	for _, h := range newest {
		list = append(list, h.upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Changes returns a number that differs after each change that affects placement.
func (f *Fleet) Changes() uint64 {
	return f.changes
}

// StoreUnavailable records that the store does not answer.
func (f *Fleet) StoreUnavailable() {
	f.storeDown = true
}

// StoreAvailable records that the store answers again.
func (f *Fleet) StoreAvailable(now time.Time) {
	if f.storeDown {
		f.storeDown = false
		f.availableSince = now
	}
}

// Outcome is what became of a registration.
type Outcome string

// Outcomes of registrations.
const (
	OutcomeApplied Outcome = "applied"
	// OutcomeHeldBack means that the registration counts if its start remains the one that registered last for some time.
	OutcomeHeldBack Outcome = "held back"
	// OutcomeLate means that the registration is a write that took effect late and has no effect.
	OutcomeLate Outcome = "late"
)

// Put applies a registration of an upstream, read at an offset, as History describes. The offsets order the records
// of an upstream.
func (f *Fleet) Put(now time.Time, offset jaystore.Position, u Upstream) Outcome {
	e, ok := f.entries[u.ID]
	if !ok {
		e = &entry{changedAt: now}
		f.entries[u.ID] = e
	}
	var effect Effect
	f.update(e, func() {
		e.history, effect = e.history.With(now, offset, u)
		if _, registered := e.history.Registered(); registered {
			e.kept = false
		}
	})
	if effect == EffectChanged {
		e.changedAt = now
	}
	switch {
	case e.observeDoubt(now) && e.doubted == u.Born:
		return OutcomeHeldBack
	case effect == EffectLate:
		return OutcomeLate
	default:
		return OutcomeApplied
	}
}

// Remove applies the removal of an entry. During a store outage, and for the grace period
// after it, the removal may be a mere expiry, so it takes effect only once the grace period
// has passed.
func (f *Fleet) Remove(now time.Time, id string, offset jaystore.Position) {
	e, ok := f.entries[id]
	if !ok {
		return
	}
	f.update(e, func() {
		_, before := e.history.Registered()
		e.history = e.history.WithRemoval(offset)
		if _, registered := e.history.Registered(); registered || !before {
			return
		}
		e.changedAt, e.kept = now, f.mayHaveExpired(now)
	})
	e.observeDoubt(now)
}

// observeDoubt records since when a start is held back, and reports whether one is.
func (e *entry) observeDoubt(now time.Time) bool {
	born, hold := e.history.Doubted()
	switch e.hold = hold; {
	case hold == 0:
		e.doubtedSince = time.Time{}
	case e.doubtedSince.IsZero() || born != e.doubted:
		e.doubted, e.doubtedSince = born, now
	}
	return hold > 0
}

// mayHaveExpired reports whether the removal of an entry may be due to a store outage.
func (f *Fleet) mayHaveExpired(now time.Time) bool {
	return f.storeDown || f.inGrace(now)
}

func (f *Fleet) inGrace(now time.Time) bool {
	return !f.availableSince.IsZero() && now.Before(f.availableSince.Add(RemovalGrace))
}

// Replace applies a snapshot up to a position: entries that are not in it have been removed. If the store has come back from a
// copy since the snapshot before, as after an outage, their upstreams may register again.
func (f *Fleet) Replace(now time.Time, end jaystore.Position, ids map[string]bool) {
	if f.era != unknownEra && end.Era() > f.era {
		f.availableSince = now
	}
	f.era = max(f.era, end.Era())
	for id := range f.entries {
		if !ids[id] {
			f.Remove(now, id, end-1)
		}
	}
}

// Tick deletes the entries that are still missing after the grace period, and applies the
// starts that have been held back for long enough. It returns the IDs of both. It forgets what ended before Retention.
func (f *Fleet) Tick(now time.Time) (deleted, applied []string) {
	for id, e := range f.entries {
		f.update(e, func() {
			if e.kept && !f.storeDown && !f.inGrace(now) {
				e.kept = false
				deleted = append(deleted, id)
			}
			if !e.doubtedSince.IsZero() && now.Sub(e.doubtedSince) >= e.hold {
				e.history, e.doubtedSince = e.history.Confirmed(e.doubted), time.Time{}
				applied = append(applied, id)
			}
			if !e.kept && now.Sub(e.changedAt) >= Retention {
				returned, ok := e.history.WithReturn(now)
				if ok {
					applied = append(applied, id)
				}
				e.history = returned.Settled()
			}
		})
		if !e.kept && e.history.IsEmpty() {
			delete(f.entries, id)
		}
	}
	return deleted, applied
}

// update changes an entry and counts the change if it affects placement.
func (f *Fleet) update(e *entry, change func()) {
	before, registeredBefore := e.registered()
	since := e.history.Since()
	change()
	after, registered := e.registered()
	if registered != registeredBefore || registered && (!before.Same(after) || since != e.history.Since()) {
		f.changes++
	}
}

// registered returns what counts of the entry, and false if it does not count.
func (e *entry) registered() (Upstream, bool) {
	u, ok := e.history.Registered()
	return u, ok || e.kept
}
