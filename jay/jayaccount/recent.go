package jayaccount

import (
	"sync"
	"time"
)

const (
	// recentTime is how long an unknown key is remembered: the time between two reads of the policy.
	recentTime = time.Second
	// maxRecent limits the unknown keys that are remembered, to 250 kB.
	maxRecent = 4096
)

// Recent remembers the digests of unknown keys for a second, so that a repeated wrong key causes neither a
// read of the policy nor a wait for one. If there are too many, the oldest is forgotten. It is safe for
// concurrent use.
type Recent struct {
	mu sync.Mutex
	at map[Digest]time.Time
	// order holds the digests from the oldest on.
	order []Digest
}

// NewRecent returns an empty memory.
func NewRecent() *Recent {
	return &Recent{at: make(map[Digest]time.Time)}
}

// Contains reports whether a digest was added within the last second.
func (r *Recent) Contains(now time.Time, digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	_, ok := r.at[digest]
	return ok
}

// Add adds a digest. One that is remembered already is not remembered for longer.
func (r *Recent) Add(now time.Time, digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if _, ok := r.at[digest]; ok {
		return
	}
	if len(r.order) >= maxRecent {
		r.forgetOldest()
	}
	r.at[digest] = now
	r.order = append(r.order, digest)
}

// Len returns the number of digests held.
func (r *Recent) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

func (r *Recent) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.at[r.order[0]]) >= recentTime {
		r.forgetOldest()
	}
}

func (r *Recent) forgetOldest() {
	delete(r.at, r.order[0])
	r.order = r.order[1:]
}
