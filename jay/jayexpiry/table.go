// Package jayexpiry decides which entries of the store's list of instances an instance removes, since
// those who wrote them are gone: killed, replaced or lost with their machine. The load is that of a large
// fleet: an instance is replaced every 40 s, and a zone is lost as a whole now and then.
package jayexpiry

import (
	"time"
)

const (
	// Delay is how long an instance has to be absent until the first in line removes its entry. Each
	// further one in line waits as much longer, in case that those before it cannot.
	Delay = 15 * time.Second
	// isolatedDelays is the number of delays that an instance waits that observes no other one: it
	// may be cut off itself.
	isolatedDelays = 4
	// minPause and maxPause bound the time between two removals by one instance. Each failure doubles it.
	minPause = time.Second
	maxPause = 30 * time.Second
	// maxGap is the time between two observations above which this instance has been paused itself, so
	// that all others seem to be absent.
	maxGap = 2 * time.Second
	// maxBackoff bounds the delay for an instance that registers again each time its entry is removed.
	maxBackoff = time.Hour
)

// Instance is an instance by its entry or by its heartbeats.
type Instance struct {
	Name, Incarnation, Zone string
	// Leaving is set if the instance is in a planned stop; it removes no entries but its own.
	Leaving bool
}

// Observation is what an instance observes at a point in time.
type Observation struct {
	Self Instance
	// Live holds the other instances whose heartbeats arrive, Entries the store's list.
	Live, Entries []Instance
}

// removal counts how often an entry of an incarnation was removed.
type removal struct {
	at    time.Time
	count int
}

// Table holds since when instances have been absent. Only one goroutine at a time uses it.
type Table struct {
	observedAt time.Time
	// absent holds since when each listed incarnation has been absent.
	absent  map[string]time.Time
	removed map[string]removal
	// next is when the next removal may take place at the earliest.
	next  time.Time
	pause time.Duration
}

// NewTable returns a table without observations.
func NewTable() *Table {
	return &Table{absent: make(map[string]time.Time), removed: make(map[string]removal), pause: minPause}
}

// Observe applies an observation and returns the entry to remove now, if there is one: that of the
// instance which has been absent for the longest time.
func (t *Table) Observe(now time.Time, o Observation) (Instance, bool) {
	t.update(now, o)
	if o.Self.Leaving || now.Before(t.next) {
		return Instance{}, false
	}
	var due Instance
	found := false
	for _, entry := range o.Entries {
		since, ok := t.absent[entry.Incarnation]
		if !ok || now.Sub(since) < Delay || now.Sub(since) < t.delay(o, entry) {
			continue
		}
		if !found || since.Before(t.absent[due.Incarnation]) {
			due, found = entry, true
		}
	}
	if found {
		t.next = now.Add(t.pause)
	}
	return due, found
}

// Removed records that an entry has been removed.
func (t *Table) Removed(now time.Time, entry Instance) {
	t.removed[entry.Incarnation] = removal{at: now, count: t.removed[entry.Incarnation].count + 1}
	t.pause = minPause
}

// Failed records that an entry could not be removed.
func (t *Table) Failed(now time.Time) {
	t.pause = min(2*t.pause, maxPause)
	t.next = now.Add(t.pause)
}

// update records which listed instances are absent.
func (t *Table) update(now time.Time, o Observation) {
	if now.Sub(t.observedAt) > maxGap {
		clear(t.absent)
	}
	t.observedAt = now
	present := map[string]bool{o.Self.Incarnation: true}
	for _, i := range o.Live {
		present[i.Incarnation] = true
	}
	listed := make(map[string]bool, len(o.Entries))
	for _, entry := range o.Entries {
		listed[entry.Incarnation] = true
		if _, known := t.absent[entry.Incarnation]; !known && entry.Name != o.Self.Name {
			t.absent[entry.Incarnation] = now
		}
	}
	for incarnation := range t.absent {
		if present[incarnation] || !listed[incarnation] {
			delete(t.absent, incarnation)
		}
	}
	for incarnation, r := range t.removed {
		if now.Sub(r.at) > 2*maxBackoff {
			delete(t.removed, incarnation)
		}
	}
}

// delay returns how long an instance has to be absent until this one removes its entry.
func (t *Table) delay(o Observation, entry Instance) time.Duration {
	delays := 1 + position(o, entry.Zone)
	if len(o.Live) == 0 {
		delays = isolatedDelays
	}
	delay := time.Duration(delays) * Delay
	for range t.removed[entry.Incarnation].count {
		delay = min(2*delay, maxBackoff)
	}
	return delay
}

// position returns the number of instances that are before this one in line for the entries of a zone:
// those of the zone come first, by incarnation, then those of the other zones in order.
func position(o Observation, zone string) int {
	n := 0
	for _, i := range o.Live {
		if !i.Leaving && before(i, o.Self, zone) {
			n++
		}
	}
	return n
}

func before(a, b Instance, zone string) bool {
	if local := a.Zone == zone; local != (b.Zone == zone) {
		return local
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Incarnation < b.Incarnation
}
