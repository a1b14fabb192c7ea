// Package jayentry selects the instances that callers should connect to.
package jayentry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
)

const (
	// DefaultLifetime is how long a caller may cache an Answer.
	DefaultLifetime = 10 * time.Second
	// maxEntries is the maximum number of entries that Rank returns.
	maxEntries = 5
)

// Entry is an instance that a caller may connect to.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// Answer is the response of /v1/entries, with the preferred entries first.
type Answer struct {
	Entries []Entry `json:"entries"`
	// Lifetime is how long a caller may cache the answer, in milliseconds.
	Lifetime int64 `json:"lifetimeMs"`
	// Ticket is the prefix of idempotency keys for work that runs at most once.
	Ticket string `json:"ticket"`
	// TicketLifetime is how long the ticket is valid, in milliseconds.
	TicketLifetime int64 `json:"ticketLifeMs"`
}

// Rank returns the members that callers in a region should use. Members that are leaving,
// silent or without a configuration are left out. Members of the region come first; within
// and outside the region, the order is random, weighted inversely to load. If no member is
// usable, those that are leaving are returned, since they still serve.
func Rank(region string, members []jaymember.Status, rng *rand.Rand) []Entry {
	usable := slices.DeleteFunc(slices.Clone(members), func(m jaymember.Status) bool { return !m.Usable() })
	if len(usable) == 0 {
		usable = slices.DeleteFunc(slices.Clone(members), func(m jaymember.Status) bool { return m.Silent || m.Config < 0 })
	}
	return rank(region, usable, rng)
}

func rank(region string, members []jaymember.Status, rng *rand.Rand) []Entry {
	type ranked struct {
		entry       Entry
		otherRegion bool
		sortKey     float64
	}
	var list []ranked
	for _, m := range members {
		if m.Address == "" {
			continue
		}
		weight := 1 / float64(1+m.Load)
		list = append(list, ranked{
			entry:       Entry{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone},
			otherRegion: region != "" && m.Region != region,
			sortKey:     rng.ExpFloat64() / weight,
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.otherRegion != b.otherRegion {
			if a.otherRegion {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.sortKey, b.sortKey)
	})
	entries := make([]Entry, 0, maxEntries)
	for _, r := range list[:min(maxEntries, len(list))] {
		entries = append(entries, r.entry)
	}
	return entries
}
