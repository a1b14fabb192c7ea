package jayonce

import (
	"fmt"
	"time"
)

// KeyOutcome is a settled key with its outcome, as written to the log and sent to peers.
type KeyOutcome struct {
	Key     Key     `msgpack:"k"`
	Outcome Outcome `msgpack:"o"`
}

// Recorded returns the outcome as it is written to the log and sent to peers. An outcome whose body
// is too large is recorded as unknown, with a reason: its first part must not pass for the whole.
func (o KeyOutcome) Recorded() KeyOutcome {
	if size := len(o.Outcome.Body); size > maxRecordedBody {
		reason := fmt.Sprintf("the work ran and was answered with status %d; its body of %d bytes is too large to be recorded", o.Outcome.Status, size)
		o.Outcome = Outcome{Run: RunUnknown, Reason: reason}
	}
	return o
}

// Archive holds outcomes read from the log or sent by peers, so that keys whose home is
// another incarnation can be answered here. It serves lookups only; no work runs because of
// it. Its methods are called by one task.
type Archive struct {
	entries  map[Key]archiveEntry
	limit    int
	lifetime time.Duration
}

type archiveEntry struct {
	outcome Outcome
	expires time.Time
}

// NewArchive returns an archive of at most limit outcomes, each kept for lifetime.
func NewArchive(limit int, lifetime time.Duration) *Archive {
	return &Archive{entries: make(map[Key]archiveEntry), limit: limit, lifetime: lifetime}
}

// Add stores the first outcome of a key; later ones, and any beyond the limit, are dropped.
func (a *Archive) Add(now time.Time, keyOutcome KeyOutcome) {
	if _, ok := a.entries[keyOutcome.Key]; ok || len(a.entries) >= a.limit {
		return
	}
	a.entries[keyOutcome.Key] = archiveEntry{outcome: keyOutcome.Outcome, expires: now.Add(a.lifetime)}
}

// Expire removes outcomes whose tickets can no longer be used.
func (a *Archive) Expire(now time.Time) {
	for key, entry := range a.entries {
		if now.After(entry.expires) {
			delete(a.entries, key)
		}
	}
}

// Lookup returns the outcome of a key and whether the archive holds it.
func (a *Archive) Lookup(key Key) (Outcome, bool) {
	entry, ok := a.entries[key]
	return entry.outcome, ok
}

// Size returns the number of outcomes kept.
func (a *Archive) Size() int {
	return len(a.entries)
}
