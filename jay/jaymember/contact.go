package jaymember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Contacts returns the members that an instance exchanges gossip digests with: every member of
// its own zone and, for each other zone to which it keeps a link, the members there that keep
// links to its zone. The links are chosen by rendezvous hashing, so each pair of zones is
// linked in both directions without coordination.
func Contacts(self Member, members []Status) []Status {
	zones := make(map[string][]Status)
	for _, m := range members {
		if m.Peer != "" {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	contacts := slices.Clone(zones[self.Zone])
	own := append([]Status{{Member: self}}, live(zones[self.Zone])...)
	for zone, others := range zones {
		if zone == self.Zone || !linksTo(self, own, zone) {
			continue
		}
		contacts = append(contacts, topRanked(live(others), self.Zone)...)
	}
	slices.SortFunc(contacts, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return contacts
}

// linksPerZone is the number of members of a zone that keep a link to a given other zone.
const linksPerZone = 2

// linksTo reports whether self is one of its zone's members that keep a link to another zone.
func linksTo(self Member, own []Status, zone string) bool {
	for _, m := range topRanked(own, zone) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// topRanked returns the members with the highest rendezvous scores for a zone.
func topRanked(members []Status, zone string) []Status {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Status) int {
		return cmp.Or(cmp.Compare(score(b.Name, zone), score(a.Name, zone)), cmp.Compare(a.Name, b.Name))
	})
	return ranked[:min(linksPerZone, len(ranked))]
}

func live(members []Status) []Status {
	var list []Status
	for _, m := range members {
		if !m.Silent {
			list = append(list, m)
		}
	}
	return list
}

func score(name, zone string) uint64 {
	return xxhash.Sum64String(name + "\x00" + zone)
}
