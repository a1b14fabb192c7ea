package jayfleet

import (
	"cmp"
	"slices"
	"time"
)

// LapseGrace is how long after the store's return an entry that lapsed
// meanwhile may still come back; the users' letter promises about two seconds.
const LapseGrace = 2 * time.Second

// Fleet is the registered upstreams by id.
type Fleet struct {
	entries map[string]*entry
	// down is set while the store does not answer; grace is until when entries that
	// vanished are kept after it answers again.
	down  bool
	grace time.Time
	// changes counts the changes that concern placing.
	changes uint64
}

type entry struct {
	upstream Upstream
	offset   int64
	// vanished is set while the entry is missing and its end is not yet believed.
	vanished bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{entries: make(map[string]*entry)}
}

// Available returns the upstreams that take new work, by id. Of several at
// one address only the newest counts.
func (f *Fleet) Available() []Upstream {
	newest := make(map[string]*entry, len(f.entries))
	for _, e := range f.entries {
		if known, ok := newest[e.upstream.Address]; !ok || e.replaces(known) {
			newest[e.upstream.Address] = e
		}
	}
	list := make([]Upstream, 0, len(newest))
	for _, e := range newest {
		if !e.upstream.Leaving {
			list = append(list, e.upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Changes returns a number that differs after each change that concerns placing.
func (f *Fleet) Changes() uint64 {
	return f.changes
}

// Lost notes that the store does not answer.
func (f *Fleet) Lost() {
	f.down = true
}

// Put takes in a statement at an offset of the registry. It reports whether
// it is newer than what was known.
func (f *Fleet) Put(offset int64, u Upstream) bool {
	known, ok := f.entries[u.ID]
	if ok && (offset < known.offset || u.older(known.upstream)) {
		return false
	}
	if !ok || !known.upstream.Same(u) {
		f.changes++
	}
	f.entries[u.ID] = &entry{upstream: u, offset: offset}
	return true
}

// Remove takes in the end of an entry. While the store is away, and shortly
// after, the end may be a lapse and is believed once the grace has passed.
func (f *Fleet) Remove(now time.Time, id string, offset int64) {
	e, ok := f.entries[id]
	if !ok || offset < e.offset {
		return
	}
	e.offset = offset
	if f.down || now.Before(f.grace) {
		e.vanished = true
		return
	}
	delete(f.entries, id)
	f.changes++
}

// Replace takes in a snapshot up to an offset: entries that it lacks have ended.
func (f *Fleet) Replace(now time.Time, end int64, ids map[string]bool) {
	for id := range f.entries {
		if !ids[id] {
			f.Remove(now, id, end)
		}
	}
}

// Returned notes that the store answers again.
func (f *Fleet) Returned(now time.Time) {
	if f.down {
		f.down = false
		f.grace = now.Add(LapseGrace)
	}
}

// Tick ends the entries that are still missing after the grace. It returns their ids.
func (f *Fleet) Tick(now time.Time) []string {
	if f.down || now.Before(f.grace) {
		return nil
	}
	var gone []string
	for id, e := range f.entries {
		if e.vanished {
			delete(f.entries, id)
			gone = append(gone, id)
			f.changes++
		}
	}
	return gone
}

// replaces reports whether the entry is the present holder of an address that both name.
func (e *entry) replaces(other *entry) bool {
	if e.upstream.Born != other.upstream.Born {
		return e.upstream.Born > other.upstream.Born
	}
	return e.offset > other.offset
}
