package jaymember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Contacts returns the members that an instance exchanges digests with: every
// member of its own zone and, where it is the one chosen for another zone,
// one member there. The choice is by rendezvous hashing, so each pair of zones
// has a link in both directions without any agreement.
func Contacts(self Member, members []Status) []Status {
	zones := make(map[string][]Status)
	for _, m := range members {
		if m.Peer != "" {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	contacts := slices.Clone(zones[self.Zone])
	mine := append([]Status{{Member: self}}, live(zones[self.Zone])...)
	for zone, others := range zones {
		if zone == self.Zone || !chosen(self, mine, zone) {
			continue
		}
		contacts = append(contacts, best(live(others), self.Zone)...)
	}
	slices.SortFunc(contacts, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return contacts
}

// linksPerZone is the number of members of a zone that keep a link to another zone.
const linksPerZone = 2

// chosen reports whether self is one of its zone's members that keep the link to another zone.
func chosen(self Member, mine []Status, zone string) bool {
	for _, m := range best(mine, zone) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// best returns the members with the highest rendezvous scores for a zone.
func best(members []Status, zone string) []Status {
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
