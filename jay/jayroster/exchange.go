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

// tick states the own work, exchanges with the contacts and passes on the result.
func (r *Roster) tick(s *state, now time.Time) {
	s.ticks++
	s.view.State(func(self *jaymember.Member) {
		r.source.State(self)
		self.Mirrors = r.mirrors.Positions(now)
	})
	s.view.Tick(now)
	members := s.view.Members()
	r.others.Store(&members)
	for address, zone := range s.contacts(members) {
		r.ask(s, address, zone)
	}
	r.watch(s.view.Self(), members)
	r.changed(members)
}

// contacts returns the addresses of the instances to exchange with now, with
// their zones. Of two that know each other only one asks, since the answer
// carries as much.
func (s *state) contacts(members []jaymember.Status) map[string]string {
	self := s.view.Self()
	chosen, few := members, !s.many(members)
	if !few {
		chosen = jaymember.Contacts(self, members)
	}
	contacts := make(map[string]string)
	for _, m := range chosen {
		every := linksEvery
		if m.Zone == self.Zone {
			every = zoneEvery
		}
		if m.Peer == "" || m.Unlisted && m.Silent || !few && s.ticks%every != 0 {
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

// many reports whether there are so many instances that statements are passed
// on. All go by the store's list, as they know different parts of each other at first.
func (s *state) many(members []jaymember.Status) bool {
	return max(len(members), len(s.listed)-1) > meshSize
}

// seeds returns listed instances that have made no statement yet and are to be
// asked now: all where there are few, since nobody passes on what it heard; else
// those of the own zone, and some of each zone of which none is known.
func (s *state) seeds(members []jaymember.Status) []jaylist.Instance {
	known, zones, many := make(map[string]bool), make(map[string]int), s.many(members)
	for _, m := range members {
		known[m.Incarnation] = true
		if !m.Silent {
			zones[m.Zone] = seedsPerZone
		}
	}
	var seeds []jaylist.Instance
	for _, seed := range s.view.Seeds() {
		near := seed.Zone == s.view.Self().Zone
		if known[seed.Incarnation] || many && !near && zones[seed.Zone] >= seedsPerZone {
			continue
		}
		zones[seed.Zone]++
		seeds = append(seeds, seed)
	}
	return seeds
}

// seedsPerZone is the number of listed instances of another zone that are asked
// at once while none of them is known.
const seedsPerZone = 2

// ask exchanges with one instance, beside the task, unless an exchange is under way.
func (r *Roster) ask(s *state, address, zone string) {
	if s.asking[address] {
		return
	}
	body, err := s.statements(zone)
	if err != nil {
		r.log.Error("statements not written", "error", err)
		return
	}
	client := r.client(address)
	s.asking[address] = true
	r.group.Go(func(ctx context.Context) {
		reply, err := client.Ask(ctx, jaypeer.TopicRoster, body, jaypeer.SilentBound)
		if err != nil {
			r.log.Debug("instance does not answer", "address", address, "error", err)
		}
		told := r.owner.Tell(ctx, func(s *state) {
			delete(s.asking, address)
			if err == nil {
				r.take(s, address, reply)
			}
		})
		if told != nil {
			r.log.Debug("answer not taken in", "address", address, "error", told)
		}
	})
}

func (r *Roster) take(s *state, address string, reply []byte) {
	var theirs digest
	if err := msgpack.Unmarshal(reply, &theirs); err != nil {
		r.log.Warn("statements not read", "address", address, "error", err)
		return
	}
	s.hear(theirs)
}

// hear takes in statements.
func (s *state) hear(d digest) {
	now := time.Now()
	for _, m := range d.Statements {
		s.view.Hear(now, m)
		if d.Zone != s.view.Self().Zone {
			s.direct[m.Incarnation] = true
		} else {
			delete(s.direct, m.Incarnation)
		}
	}
}

// statements returns what the instance tells another of a zone: of itself and,
// where there are many, to its own zone what it heard through its links, and to
// other zones what it knows of its own.
func (s *state) statements(zone string) ([]byte, error) {
	self := s.view.Self()
	all := digest{Zone: self.Zone, Statements: []jaymember.Member{self}}
	members := s.view.Members()
	if s.many(members) {
		near := zone == self.Zone
		if !near {
			all.Statements[0] = brief(self)
		}
		for _, m := range members {
			if !m.Silent && (near && s.direct[m.Incarnation] || !near && m.Zone == self.Zone) {
				all.Statements = append(all.Statements, brief(m.Member))
			}
		}
	}
	data, err := msgpack.Marshal(all)
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return data, nil
}

// brief returns a statement without what matters only within a zone.
func brief(m jaymember.Member) jaymember.Member {
	m.Work, m.Mirrors = nil, nil
	return m
}

// Work returns the sum of what other instances state of their work, by upstream.
func Work(now time.Time, members []jaymember.Status) map[string]jaymember.Work {
	sum := make(map[string]jaymember.Work)
	for _, m := range members {
		if m.Silent || now.Sub(m.Heard) > statementTrust {
			continue
		}
		for id, w := range m.Work {
			sum[id] = sum[id].Plus(w)
		}
	}
	return sum
}

// Tallies returns the sums of what other instances state of sends to upstreams.
func Tallies(now time.Time, members []jaymember.Status) map[uint32]jaymember.Tally {
	sums := make(map[uint32]jaymember.Tally)
	for _, m := range members {
		if m.Silent || now.Sub(m.Heard) > statementTrust {
			continue
		}
		for _, t := range m.Tallies {
			sums[t.Upstream] = t.Plus(sums[t.Upstream])
		}
	}
	return sums
}

// Read returns the prompt parts that other instances state as lately read.
func Read(members []jaymember.Status) []jaymember.Read {
	var read []jaymember.Read
	for _, m := range members {
		if !m.Silent {
			read = append(read, m.Read...)
		}
	}
	return read
}
