package jaymesh

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// state is accessed only by the owner goroutine.
type state struct {
	view    *jaymember.View
	clients map[string]*client
	running map[string]peerRunning
	loads   map[string]loadReport
	ticks   int
	// urgent makes the next tick exchange with the contacts of other zones too.
	urgent  bool
	members []jaymember.Status
}

// client is the connection to one contact.
type client struct {
	*jaypeer.Client
	inFlight bool
	// repeat is set when a change was announced while an exchange was in flight.
	repeat bool
}

// peerRunning holds a member's reported number of running requests at each upstream.
type peerRunning struct {
	received time.Time
	counts   []Running
}

type loadReport struct {
	measured time.Time
	load     jayengine.Load
	// own is set for reports that this instance fetched itself.
	own bool
}

// digest returns the digest for a contact. Within the zone it holds the load reports that
// this instance fetched itself and the heartbeats of other zones; for another zone it holds
// the latest load reports, at most maxForwardedLoads, and the heartbeats of this zone.
func (s *state) digest(now time.Time, own []Running, sameZone bool) Digest {
	d := Digest{From: s.view.Self(), Running: own}
	for name, report := range s.loads {
		if sameZone && !report.own {
			continue
		}
		load := report.load
		load.Age = now.Sub(report.measured).Milliseconds()
		d.Loads = append(d.Loads, EngineLoad{Upstream: name, Load: load})
	}
	if !sameZone && len(d.Loads) > maxForwardedLoads {
		slices.SortFunc(d.Loads, func(a, b EngineLoad) int { return cmp.Compare(a.Load.Age, b.Load.Age) })
		d.Loads = d.Loads[:maxForwardedLoads]
	}
	if sameZone && len(s.members) > 0 {
		d.Members = s.otherZoneMembers()
		return d
	}
	for _, member := range s.members {
		if member.Zone == d.From.Zone && !member.Silent {
			d.Members = append(d.Members, member.Member)
		}
	}
	return d
}

// otherZoneMembers returns the heartbeats received from other zones, which only the
// instances with contacts there receive directly.
func (s *state) otherZoneMembers() []jaymember.Member {
	var list []jaymember.Member
	for _, member := range s.members {
		if member.Zone != s.view.Self().Zone && !member.Silent {
			list = append(list, member.Member)
		}
	}
	return list
}

// evictStale drops reports older than loadTTL, and closes and drops idle clients of instances
// that are neither members nor seeds.
func (s *state) evictStale(now time.Time) {
	for name, report := range s.loads {
		if now.Sub(report.measured) > loadTTL {
			delete(s.loads, name)
		}
	}
	for incarnation, peer := range s.running {
		if now.Sub(peer.received) > loadTTL {
			delete(s.running, incarnation)
		}
	}
	known := make([]string, 0, len(s.members))
	for _, member := range s.members {
		known = append(known, member.Peer)
	}
	for _, seed := range s.view.Seeds() {
		known = append(known, seed.Peer)
	}
	for address, c := range s.clients {
		if !slices.Contains(known, address) && !c.inFlight {
			c.Close()
			delete(s.clients, address)
		}
	}
}

func (s *state) recordLoad(now time.Time, name string, load jayengine.Load, own bool) {
	measured := load.Measured(now)
	if known, ok := s.loads[name]; ok && !measured.After(known.measured) {
		return
	}
	s.loads[name] = loadReport{measured: measured, load: load, own: own}
}
