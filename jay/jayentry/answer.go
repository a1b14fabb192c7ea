// Package jayentry decides which instances callers should use.
package jayentry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
)

const (
	// DefaultLifetime is how long a caller may keep an answer.
	DefaultLifetime = 10 * time.Second
	// maxEntries bounds the addresses of an answer.
	maxEntries = 5
)

// Entry is an address that a caller may use.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// Answer lists addresses, the best first.
type Answer struct {
	Entries []Entry `json:"entries"`
	// Lifetime is how long the answer may be kept, in milliseconds.
	Lifetime int64 `json:"lifetimeMs"`
	// Ticket begins the idempotency keys of work that must not repeat.
	Ticket string `json:"ticket"`
	// TicketLife is how long the ticket may be used, in milliseconds.
	TicketLife int64 `json:"ticketLifeMs"`
}

// Rank returns the members that callers of a region should use: those that are
// neither leaving nor silent, near ones first, and among equally near ones in
// an order drawn at random with weights that fall with their load. Where all
// are leaving, those still serve.
func Rank(region string, members []jaymember.Status, source *rand.Rand) []Entry {
	usable := slices.DeleteFunc(slices.Clone(members), func(m jaymember.Status) bool { return !m.Usable() })
	if len(usable) == 0 {
		usable = slices.DeleteFunc(slices.Clone(members), func(m jaymember.Status) bool { return m.Silent || m.Config < 0 })
	}
	return rank(region, usable, source)
}

func rank(region string, members []jaymember.Status, source *rand.Rand) []Entry {
	type ranked struct {
		entry Entry
		far   bool
		draw  float64
	}
	var list []ranked
	for _, m := range members {
		if m.Address == "" {
			continue
		}
		weight := 1 / float64(1+m.Load)
		list = append(list, ranked{
			entry: Entry{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone},
			far:   region != "" && m.Region != region,
			draw:  source.ExpFloat64() / weight,
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.far != b.far {
			if a.far {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.draw, b.draw)
	})
	entries := make([]Entry, 0, maxEntries)
	for _, r := range list[:min(maxEntries, len(list))] {
		entries = append(entries, r.entry)
	}
	return entries
}
