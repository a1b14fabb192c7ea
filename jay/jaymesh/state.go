package jaymesh

import (
	"slices"
	"time"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// state is what the mesh's task owns.
type state struct {
	view    *jaymember.View
	clients map[string]*client
	running map[string]counted
	loads   map[string]heardLoad
	ticks   int
	// urgent has the next exchanges go to all contacts at once.
	urgent  bool
	members []jaymember.Status
}

// client is the connection to one contact.
type client struct {
	*jaypeer.Client
	busy bool
	// again is set when there was more to tell while an exchange was under way.
	again bool
}

// counted is the work that one member said it runs.
type counted struct {
	heard time.Time
	list  []Running
}

type heardLoad struct {
	measured time.Time
	load     jayengine.Load
	// own is set for reports that this instance fetched itself.
	own bool
}

// digest returns what a contact is told.
func (s *state) digest(now time.Time, own []Running, near bool) Digest {
	d := Digest{From: s.view.Self(), Running: own}
	for name, heard := range s.loads {
		if near && !heard.own {
			continue
		}
		if !near && len(s.loads) > loadsPassed {
			break
		}
		load := heard.load
		load.Age = now.Sub(heard.measured).Milliseconds()
		d.Loads = append(d.Loads, EngineLoad{Upstream: name, Load: load})
	}
	if near && len(s.members) > 0 {
		d.Members = s.farMembers()
		return d
	}
	for _, member := range s.members {
		if member.Zone == d.From.Zone && !member.Silent {
			d.Members = append(d.Members, member.Member)
		}
	}
	return d
}

// farMembers returns the statements heard from other zones, which only the
// instances with links to them hear first.
func (s *state) farMembers() []jaymember.Member {
	var list []jaymember.Member
	for _, member := range s.members {
		if member.Zone != s.view.Self().Zone && !member.Silent {
			list = append(list, member.Member)
		}
	}
	return list
}

// forget drops what was heard too long ago.
func (s *state) forget(now time.Time) {
	for name, heard := range s.loads {
		if now.Sub(heard.measured) > loadTrust {
			delete(s.loads, name)
		}
	}
	for incarnation, told := range s.running {
		if now.Sub(told.heard) > loadTrust {
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
		if !slices.Contains(known, address) && !c.busy {
			c.Close()
			delete(s.clients, address)
		}
	}
}

func (s *state) hearLoad(now time.Time, name string, load jayengine.Load, own bool) {
	measured := load.Measured(now)
	if known, ok := s.loads[name]; ok && !measured.After(known.measured) {
		return
	}
	s.loads[name] = heardLoad{measured: measured, load: load, own: own}
}
