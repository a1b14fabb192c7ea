package jayedge

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaystore"
)

// registryHistory is the history of an entry of the registry along with its records.
type registryHistory struct {
	adapter Adapter
	history jayfleet.History
	// records are those that the history depends on, in the order of their offsets.
	records []jaystore.Record
}

// newRegistryHistory returns a function that returns the empty history of an entry.
func newRegistryHistory(adapter Adapter) func(key string) jaystore.History {
	return func(string) jaystore.History { return registryHistory{adapter: adapter} }
}

// With returns the history with another record. A malformed record changes nothing.
func (h registryHistory) With(now time.Time, r jaystore.Record) (jaystore.History, bool) {
	if len(r.Value) == 0 {
		return h.next(h.history.WithRemoval(r.Position), r), true
	}
	u, err := h.adapter.ReadUpstream(r.Key, r.Value)
	if err != nil {
		// The consumer logs it.
		return h, false
	}
	history, effect := h.history.With(now, r.Position, u)
	return h.next(history, r), effect == jayfleet.EffectChanged
}

// Settled returns the history of what is registered now.
func (h registryHistory) Settled() jaystore.History {
	return h.next(h.history.Settled(), jaystore.Record{Position: -1})
}

// Records returns the records that the history depends on.
func (h registryHistory) Records() []jaystore.Record { return h.records }

// Removed reports whether the upstream is not registered.
func (h registryHistory) Removed() bool {
	_, registered := h.history.Registered()
	return !registered
}

// next returns the records that another history depends on, of the own ones and one that is added.
func (h registryHistory) next(history jayfleet.History, added jaystore.Record) registryHistory {
	offsets := history.Offsets()
	var records []jaystore.Record
	for _, r := range append(slices.Clone(h.records), added) {
		if slices.Contains(offsets, r.Position) && !slices.ContainsFunc(records, func(other jaystore.Record) bool { return other.Position == r.Position }) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b jaystore.Record) int { return cmp.Compare(a.Position, b.Position) })
	h.history, h.records = history, records
	return h
}
