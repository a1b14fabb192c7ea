package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jaymember"
)

const (
	// prefixTTL is how long a prefix is assumed to stay cached after its last use.
	prefixTTL = 30 * time.Second
	// reannounceAfter is the time since the last announcement of a prefix from which a use is
	// announced again. Until then, other instances are assumed to hold it.
	reannounceAfter = 5 * time.Second
	// announcePrefixFor is how long a cached prefix is announced. It spans several gossip
	// exchanges, since single ones may be lost.
	announcePrefixFor = time.Second
)

// cache is this instance's estimate of the prefixes in an engine's KV cache.
type cache struct {
	// lastUsed is when each prefix was last prefilled or used, as far as this instance has
	// observed.
	lastUsed map[uint32]time.Time
	// announced is when this instance last announced each prefix.
	announced map[uint32]time.Time
}

func newCache() cache {
	return cache{lastUsed: make(map[uint32]time.Time), announced: make(map[uint32]time.Time)}
}

// announcement is the gossip entry for a prefix that an engine has cached.
type announcement struct {
	jaymember.CachedPrefix
	at time.Time
}

// holds reports whether a prefix is assumed to be cached.
func (c *cache) holds(now time.Time, prefix uint32) bool {
	lastUsed, ok := c.lastUsed[prefix]
	return ok && now.Sub(lastUsed) < prefixTTL
}

// touch records the use of a prefix and reports whether to announce it to other instances.
func (c *cache) touch(now time.Time, prefix uint32) bool {
	c.lastUsed[prefix] = now
	if at, ok := c.announced[prefix]; ok && now.Sub(at) <= reannounceAfter {
		return false
	}
	c.announced[prefix] = now
	return true
}

// hash32 returns a short hash of a name, for announcements to other instances.
func hash32(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // Only the lower half is used.
}

// UpstreamHash returns the short hash of an upstream's ID in reports to other instances.
func UpstreamHash(id string) uint32 {
	return hash32(id)
}

// markCached records that an upstream has cached a prefix, and announces it to other
// instances.
func (t *Table) markCached(now time.Time, u *upstream, prefix string) {
	if prefix == "" {
		return
	}
	if hash := hash32(prefix); u.cache.touch(now, hash) {
		t.announcements = append(t.announcements, announcement{CachedPrefix: jaymember.CachedPrefix{Upstream: u.idHash32, Part: hash}, at: now})
	}
}

// MergePrefixes merges the cached prefixes that other instances announced.
func (t *Table) MergePrefixes(now time.Time, list []jaymember.CachedPrefix) {
	if len(list) == 0 {
		return
	}
	byHash := make(map[uint32]*upstream, len(t.upstreams))
	for _, u := range t.upstreams {
		byHash[u.idHash32] = u
	}
	for _, p := range list {
		if u, ok := byHash[p.Upstream]; ok {
			u.cache.lastUsed[p.Part] = now
		}
	}
}

// AnnouncedPrefixes returns the recently cached prefixes that this instance announces to others.
func (t *Table) AnnouncedPrefixes(now time.Time) []jaymember.CachedPrefix {
	current := t.announcements[:0]
	list := make([]jaymember.CachedPrefix, 0, len(t.announcements))
	for _, a := range t.announcements {
		if now.Sub(a.at) < announcePrefixFor {
			current = append(current, a)
			list = append(list, a.CachedPrefix)
		}
	}
	t.announcements = current
	return list
}
