package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jaymember"
)

const (
	// keepTrust is how long a part is believed to be kept after its last use.
	keepTrust = 30 * time.Second
	// restate is how long the others are taken to remember that a part is kept.
	restate = 5 * time.Second
	// stateFor is how long a reading is stated: some exchanges, as single ones are lost.
	stateFor = time.Second
)

// kept is what is believed of the parts in an engine's memory.
type kept struct {
	// used is when each part was last read or used, as far as this instance knows.
	used map[uint32]time.Time
}

// reading is a statement to the others that a part has been read.
type reading struct {
	jaymember.Read
	at time.Time
}

// holds reports whether a part is believed to be in memory.
func (k *kept) holds(now time.Time, part uint32) bool {
	used, ok := k.used[part]
	return ok && now.Sub(used) < keepTrust
}

// use notes the use of a part and reports whether the others should be told.
func (k *kept) use(now time.Time, part uint32) bool {
	before, ok := k.used[part]
	k.used[part] = now
	return !ok || now.Sub(before) > restate
}

// hash32 returns a short hash of a name, for statements to other instances.
func hash32(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // The lower half is meant.
}

// keep notes that an upstream has a part in memory, and states it to the others.
func (t *Table) keep(now time.Time, u *upstream, part string) {
	if part == "" {
		return
	}
	if hash := hash32(part); u.kept.use(now, hash) {
		t.stated = append(t.stated, reading{Read: jaymember.Read{Upstream: u.hash, Part: hash}, at: now})
	}
}

// HeardRead takes in what other instances state as read.
func (t *Table) HeardRead(now time.Time, list []jaymember.Read) {
	if len(list) == 0 {
		return
	}
	byHash := make(map[uint32]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		byHash[u.hash] = u
	}
	for _, r := range list {
		if u, ok := byHash[r.Upstream]; ok {
			u.kept.used[r.Part] = now
		}
	}
}

// Stated returns what this instance states to the others as lately read.
func (t *Table) Stated(now time.Time) []jaymember.Read {
	current := t.stated[:0]
	list := make([]jaymember.Read, 0, len(t.stated))
	for _, r := range t.stated {
		if now.Sub(r.at) < stateFor {
			current = append(current, r)
			list = append(list, r.Read)
		}
	}
	t.stated = current
	return list
}
