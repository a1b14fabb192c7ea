package jayonce

import "time"

// Recorded is a settled key in the form that the log and peers carry.
type Recorded struct {
	Key     Key     `msgpack:"k"`
	Outcome Outcome `msgpack:"o"`
}

// Archive keeps outcomes of keys whose home is another incarnation. It is
// filled from the log and by instances that stop, and only answers questions:
// nothing runs by it. Its methods are called by one task.
type Archive struct {
	entries map[Key]archived
	limit   int
	life    time.Duration
}

type archived struct {
	outcome Outcome
	expires time.Time
}

// NewArchive returns an archive of at most limit outcomes, each kept for life.
func NewArchive(limit int, life time.Duration) *Archive {
	return &Archive{entries: make(map[Key]archived), limit: limit, life: life}
}

// Add keeps an outcome; the first outcome of a key stays.
func (a *Archive) Add(now time.Time, recorded Recorded) {
	if _, ok := a.entries[recorded.Key]; ok || len(a.entries) >= a.limit {
		return
	}
	a.entries[recorded.Key] = archived{outcome: recorded.Outcome, expires: now.Add(a.life)}
}

// Expire forgets outcomes whose tickets can no longer be used.
func (a *Archive) Expire(now time.Time) {
	for key, entry := range a.entries {
		if now.After(entry.expires) {
			delete(a.entries, key)
		}
	}
}

// Lookup returns the outcome of a key and whether it is known.
func (a *Archive) Lookup(key Key) (Outcome, bool) {
	entry, ok := a.entries[key]
	return entry.outcome, ok
}

// Size returns the number of outcomes kept.
func (a *Archive) Size() int {
	return len(a.entries)
}
