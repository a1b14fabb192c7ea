package jayprefix

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is how long a prefix counts as in use after a request.
	Window = 10 * time.Second
	// maxRecent bounds the prefixes that are kept. It is several times the size of a sample, which stays the same as
	// without the bound while most of those with the highest priority are used again within Window.
	maxRecent = 256
)

// Recent holds the prefixes that one instance has used lately. One goroutine at a time uses it.
type Recent struct {
	used map[uint32]use
}

// use is the last use of a prefix.
type use struct {
	units uint16
	at    time.Duration
}

// Add records the use of a prefix with a number of tokens.
func (r *Recent) Add(now time.Duration, prefix string, tokens int) {
	if tokens <= 0 {
		return
	}
	if r.used == nil {
		r.used = make(map[uint32]use)
	}
	hash := uint32(xxhash.Sum64String(prefix)) //nolint:gosec // Only the lower half is used.
	r.used[hash] = use{max(r.used[hash].units, toUnits(tokens)), now}
	if len(r.used) <= maxRecent {
		return
	}
	if r.prune(now); len(r.used) <= maxRecent {
		return
	}
	least, first := entry{}, true
	for hash, u := range r.used {
		if e := (entry{hash, u.units}); first || compare(e, least) > 0 {
			least, first = e, false
		}
	}
	delete(r.used, least.hash)
}

// Sample returns the sample of the prefixes in use.
func (r *Recent) Sample(now time.Duration) Sample {
	r.prune(now)
	units := make(map[uint32]uint16, len(r.used))
	for hash, u := range r.used {
		units[hash] = u.units
	}
	return encode(units)
}

// prune drops the prefixes that are no longer in use.
func (r *Recent) prune(now time.Duration) {
	maps.DeleteFunc(r.used, func(_ uint32, u use) bool { return now-u.at > Window })
}
