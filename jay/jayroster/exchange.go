package jayroster

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// tick updates this instance's heartbeat, starts an exchange with each contact that is due
// and passes the members to the changed callback.
func (r *Roster) tick(s *state, now time.Time) {
	s.ticks++
	s.view.UpdateSelf(func(self *jaymember.Member) {
		r.source.FillHeartbeat(self)
		self.Mirrors = r.mirrors.Positions(now)
	})
	s.view.Tick(now)
	members := s.view.Members()
	r.others.Store(&members)
	for address, zone := range s.contacts(members) {
		r.exchange(s, address, zone)
	}
	r.electWatcher(s.view.Self(), members)
	r.changed(members)
}

// contacts returns the addresses of the instances to exchange with in this tick, with
// their zones. Of two instances that are members of each other's view, only the one with
// the lower incarnation sends requests, since the reply carries a digest too. A silent
// member is contacted whatever its incarnation, unless it has been removed from the list.
func (s *state) contacts(members []jaymember.Status) map[string]string {
	self := s.view.Self()
	chosen, fullMesh := members, !s.partialMesh(members)
	if !fullMesh {
		chosen = jaymember.Contacts(self, members)
	}
	contacts := make(map[string]string)
	for _, m := range chosen {
		interval := interZoneTicks
		if m.Zone == self.Zone {
			interval = intraZoneTicks
		}
		if m.Peer == "" || m.Unlisted && m.Silent || !fullMesh && s.ticks%interval != 0 {
			continue
		}
		if self.Incarnation < m.Incarnation || m.Silent {
			contacts[m.Peer] = m.Zone
		}
	}
	for _, seed := range s.seeds(members) {
		contacts[seed.Peer] = seed.Zone
	}
	return contacts
}

// partialMesh reports whether there are too many instances for a full mesh, so that
// heartbeats are forwarded. It also counts the store's list, which is the same for all
// instances, because their views of the members differ at first.
func (s *state) partialMesh(members []jaymember.Status) bool {
	return max(len(members), len(s.listed)-1) > maxFullMesh
}

// seeds returns the listed instances to contact that have sent no heartbeat yet: in a
// full mesh all of them, since heartbeats are not forwarded there; in a partial mesh
// those of this instance's zone, and up to seedsPerZone of each other zone without a
// known live member.
func (s *state) seeds(members []jaymember.Status) []jaylist.Instance {
	known, zones, partialMesh := make(map[string]bool), make(map[string]int), s.partialMesh(members)
	for _, m := range members {
		known[m.Incarnation] = true
		if !m.Silent {
			zones[m.Zone] = seedsPerZone
		}
	}
	var seeds []jaylist.Instance
	for _, seed := range s.view.Seeds() {
		sameZone := seed.Zone == s.view.Self().Zone
		if known[seed.Incarnation] || partialMesh && !sameZone && zones[seed.Zone] >= seedsPerZone {
			continue
		}
		zones[seed.Zone]++
		seeds = append(seeds, seed)
	}
	return seeds
}

// seedsPerZone is the number of listed instances of another zone that are contacted
// in one tick while no live member of that zone is known.
const seedsPerZone = 2

// exchange sends a digest to one instance and merges its reply, in a separate goroutine,
// unless an exchange with it is in flight.
func (r *Roster) exchange(s *state, address, zone string) {
	if s.inFlight[address] {
		return
	}
	body, err := s.encodeDigest(zone)
	if err != nil {
		r.log.Error("digest not encoded", "error", err)
		return
	}
	client := r.client(address, noTopic)
	s.inFlight[address] = true
	r.group.Go(func(ctx context.Context) {
		reply, err := client.Ask(ctx, jaypeer.TopicRoster, body, jaypeer.SilentBound)
		if err != nil {
			r.log.Debug("instance does not answer", "address", address, "error", err)
		}
		sendErr := r.owner.Send(ctx, func(s *state) {
			delete(s.inFlight, address)
			if err == nil {
				r.mergeReply(s, address, reply)
			}
		})
		if sendErr != nil {
			r.log.Debug("reply not merged", "address", address, "error", sendErr)
		}
	})
}

func (r *Roster) mergeReply(s *state, address string, reply []byte) {
	var received digest
	if err := msgpack.Unmarshal(reply, &received); err != nil {
		r.log.Warn("digest not decoded", "address", address, "error", err)
		return
	}
	s.merge(received)
}

// merge applies the heartbeats of a digest and records which of them came directly from
// another zone.
func (s *state) merge(d digest) {
	now := time.Now()
	for _, m := range d.Heartbeats {
		s.view.Merge(now, m)
		if d.Zone != s.view.Self().Zone {
			s.direct[m.Incarnation] = true
		} else {
			delete(s.direct, m.Incarnation)
		}
	}
}

// encodeDigest returns the encoded digest for an instance of a zone. It holds this
// instance's heartbeat. In a partial mesh it also holds, for this instance's zone, the
// heartbeats that came directly from other zones and, for other zones, the heartbeats of
// this instance's zone; forwarded heartbeats and, for other zones, this instance's own are
// then sent without zone data.
func (s *state) encodeDigest(zone string) ([]byte, error) {
	self := s.view.Self()
	d := digest{Zone: self.Zone, Heartbeats: []jaymember.Member{self}}
	members := s.view.Members()
	if s.partialMesh(members) {
		sameZone := zone == self.Zone
		if !sameZone {
			d.Heartbeats[0] = withoutZoneData(self)
		}
		for _, m := range members {
			if !m.Silent && (sameZone && s.direct[m.Incarnation] || !sameZone && m.Zone == self.Zone) {
				d.Heartbeats = append(d.Heartbeats, withoutZoneData(m.Member))
			}
		}
	}
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return data, nil
}

// withoutZoneData returns a heartbeat without the fields that are used only within a zone.
func withoutZoneData(m jaymember.Member) jaymember.Member {
	m.Work, m.Mirrors = nil, nil
	return m
}

// Work returns the sum of the work that other instances report, by upstream.
func Work(now time.Time, members []jaymember.Status) map[string]jaymember.Work {
	sum := make(map[string]jaymember.Work)
	for _, m := range members {
		if m.Silent || now.Sub(m.ReceivedAt) > heartbeatTTL {
			continue
		}
		for id, w := range m.Work {
			sum[id] = sum[id].Plus(w)
		}
	}
	return sum
}

// Tallies returns the sums of the tallies that other instances report, by the hash of the
// upstream's ID.
func Tallies(now time.Time, members []jaymember.Status) map[uint32]jaymember.Tally {
	sums := make(map[uint32]jaymember.Tally)
	for _, m := range members {
		if m.Silent || now.Sub(m.ReceivedAt) > heartbeatTTL {
			continue
		}
		for _, t := range m.Tallies {
			sums[t.Upstream] = t.Plus(sums[t.Upstream])
		}
	}
	return sums
}

// CachedPrefixes returns the prompt prefixes that other instances announce as cached by an
// engine.
func CachedPrefixes(members []jaymember.Status) []jaymember.CachedPrefix {
	var prefixes []jaymember.CachedPrefix
	for _, m := range members {
		if !m.Silent {
			prefixes = append(prefixes, m.CachedPrefixes...)
		}
	}
	return prefixes
}
