package jayroster

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
)

// candidate is an instance that may be a hub of its zone.
type candidate struct {
	incarnation, peer, zone string
	// ready is set if the instance has a configuration: one that has just started has read
	// nothing yet that others could need.
	ready bool
	// suspect is set if the instance does not answer this one.
	suspect bool
}

// ranked returns the candidates of a zone in the order in which they are hubs: those that are
// ready first, by incarnation. The first one is the watcher of the zone.
func ranked(zone string, candidates []candidate) []candidate {
	list := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.zone == zone {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.ready != b.ready {
			if a.ready {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.incarnation, b.incarnation)
	})
	return list
}

// hubsOf returns the hubs of a zone: the first candidates that answer.
func hubsOf(zone string, candidates []candidate) []candidate {
	var hubs []candidate
	for _, c := range ranked(zone, candidates) {
		if !c.suspect && len(hubs) < hubsPerZone {
			hubs = append(hubs, c)
		}
	}
	return hubs
}

// passedOver returns the candidates of a zone that would be hubs by their incarnations, but do not
// answer or are not ready. They are contacted from time to time, since nobody else may notice that
// this has changed.
func passedOver(zone string, candidates, hubs []candidate) []candidate {
	var list []candidate
	for _, c := range candidates {
		before := len(hubs) < hubsPerZone
		for _, hub := range hubs {
			before = before || c.incarnation < hub.incarnation
		}
		if c.zone == zone && before && !slices.Contains(hubs, c) {
			list = append(list, c)
		}
	}
	return list
}

// rankOf returns the position of an incarnation in a list, or the length of the list.
func rankOf(incarnation string, list []candidate) int {
	for n, c := range list {
		if c.incarnation == incarnation {
			return n
		}
	}
	return len(list)
}

// candidates returns the instance itself and all members and seeds that may be hubs, in one list
// for all zones.
func (s *state) candidates(now time.Time, members []jaymember.Status) []candidate {
	self := s.view.Self()
	list := make([]candidate, 0, len(members)+1)
	if !self.Leaving {
		list = append(list, candidate{incarnation: self.Incarnation, peer: self.Peer, zone: self.Zone, ready: self.Config >= 0})
	}
	for _, m := range members {
		if m.Leaving || m.Peer == "" || m.Silent && !m.Listed {
			continue
		}
		list = append(list, candidate{incarnation: m.Incarnation, peer: m.Peer, zone: m.Zone, ready: m.Config >= 0, suspect: m.Silent || s.suspect(now, m.Peer)})
	}
	for _, seed := range s.view.Seeds() {
		// Nothing is known of a seed, so it may be ready: else each instance would be a hub to itself.
		list = append(list, candidate{incarnation: seed.Incarnation, peer: seed.Peer, zone: seed.Zone, ready: true, suspect: s.suspect(now, seed.Peer)})
	}
	return list
}

// zonesOf returns the zones of candidates other than one zone, in order.
func zonesOf(candidates []candidate, other string) []string {
	var zones []string
	for _, c := range candidates {
		if c.zone != other && !slices.Contains(zones, c.zone) {
			zones = append(zones, c.zone)
		}
	}
	slices.Sort(zones)
	return zones
}
