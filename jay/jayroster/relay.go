package jayroster

import (
	"time"

	"jayfield.example/jay/jaymember"
)

// relay is what the first hub of a zone passes on to the second one about other zones, so that it crosses the links between
// zones once.
type relay struct {
	Zones []relayedSums `msgpack:"z,omitempty"`
	// Version is the version of the sender's ledger up to which Prefixes lead. It is acknowledged apart from that of the digest,
	// since most digests between the two hubs contain no relay.
	Version uint64 `msgpack:"v"`
	// Prefixes are those announced in other zones.
	Prefixes []jaymember.CachedPrefix `msgpack:"p,omitempty"`
}

// relayedSums are the latest sums of a zone, of some age.
type relayedSums struct {
	Zone string        `msgpack:"z"`
	Age  time.Duration `msgpack:"a"`
	Sums sums          `msgpack:"u"`
}

// prefixStream is the state of the prefixes that a receiver gets in some digests and not in others. A version that it
// acknowledged before they were resumed does not cover them.
type prefixStream struct {
	running bool
	from    uint64
}

// since returns the version after which prefixes are to be sent to a receiver that acknowledged a version.
func (p *prefixStream) since(l *ledger, acked uint64) uint64 {
	if !p.running {
		// A version of its own distinguishes the digests from now on from earlier ones.
		l.version++
		p.running, p.from = true, l.version
	}
	if acked < p.from {
		return 0
	}
	return acked
}

// stop records a digest without prefixes.
func (p *prefixStream) stop() { p.running = false }

// relayContacts returns the first hub of the own zone if this instance is the second one. It is asked between two rounds, so that
// what it passes on is reported with the next round, as soon as what the second hub of the other zone would have sent.
func (s *state) relayContacts(now time.Time) []contact {
	if !s.partialMesh() || !s.isHub {
		return nil
	}
	self := s.view.Self()
	hubs := hubsOf(self.Zone, s.candidates(now, s.view.Members()))
	if rankOf(self.Incarnation, hubs) != 1 {
		return nil
	}
	return []contact{{incarnation: hubs[0].incarnation, peer: hubs[0].peer, zone: self.Zone, wantRelay: true}}
}

// relayTo returns what the first hub passes on to the second one of its zone, which acknowledged a version of the relay.
func (s *state) relayTo(now time.Time, acked uint64) *relay {
	r := &relay{Version: s.ledger.version, Prefixes: s.ledger.prefixesSince(acked, prefixesOfOthers)}
	for zone, received := range s.zoneSums {
		if age := now.Sub(received.at); age <= zoneSumsTTL {
			passed := received.sums
			passed.Prefixes = nil
			r.Zones = append(r.Zones, relayedSums{Zone: zone, Age: age, Sums: passed})
		}
	}
	return r
}

// mergeRelay applies what the first hub of the own zone passes on.
func (s *state) mergeRelay(now time.Time, d digest) {
	if d.Relay == nil || d.Zone != s.view.Self().Zone {
		return
	}
	s.source(d.Incarnation).relayVersion = d.Relay.Version
	s.announced = append(s.announced, d.Relay.Prefixes...)
	for _, prefix := range d.Relay.Prefixes {
		s.ledger.announce(now, prefix, false)
	}
	for _, z := range d.Relay.Zones {
		if z.Age <= suspectAfter {
			s.relayedAt[z.Zone] = now
		}
		if at := now.Add(-max(0, z.Age)); z.Zone != d.Zone && at.After(s.zoneSums[z.Zone].at) {
			s.zoneSums[z.Zone] = receivedSums{at: at, sums: z.Sums}
		}
	}
}

// isRelayed reports whether the first hub of the own zone passes on the sums of another zone. After suspectAfter without,
// as when the first hub or its link has failed, the other zone is asked for them.
func (s *state) isRelayed(now time.Time, zone string) bool {
	at, ok := s.relayedAt[zone]
	return ok && now.Sub(at) <= suspectAfter
}
