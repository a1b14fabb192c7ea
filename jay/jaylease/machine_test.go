package jaylease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaylease"
	"jayfield.example/jay/jaylog"
)

const (
	ttl    = 10 * time.Second
	margin = 2 * time.Second
	cell   = "amman-1"
)

// pendingAppend is an append that has not reached the log yet.
type pendingAppend struct {
	record jaylog.Record
	writer int
}

// member is one instance of the simulation. Time passes for a paused member
// too; it only takes no step.
type member struct {
	machine      *jaylease.Machine
	paused       bool
	disconnected bool
	lastAppend   *jaylog.Record
}

// simulation is the model of the stateful test: a log with late, repeated and
// lost appends, expired records and outages, and members that are paused,
// disconnected and replaced.
type simulation struct {
	now     time.Time
	members []*member
	created int
	oldest  int64
	log     []jaylog.Entry
	pending []pendingAppend
	logDown bool
	// maxFence is the highest fencing number with which a member could have sent orders.
	maxFence int64
	// leases holds the fencing numbers of the leases acquired, to check that the test reaches claims that take effect.
	leases map[int64]bool
	faults int
	// oracle has read every record; effective holds the offsets of those that took effect.
	oracle    jaylease.View
	effective map[int64]bool
}

func newSimulation(members int) *simulation {
	s := &simulation{now: time.Unix(0, 0), leases: make(map[int64]bool), effective: make(map[int64]bool), oracle: jaylease.NewView(cell, 0)}
	for range members {
		s.members = append(s.members, s.newMember(nil))
	}
	return s
}

func (s *simulation) newMember(onBroken func(string)) *member {
	s.created++
	name := fmt.Sprintf("i-%d", s.created)
	if onBroken == nil {
		onBroken = func(invariant string) { panic(invariant) }
	}
	return &member{machine: jaylease.NewMachine(s.now, s.oldest, jaylease.Options{
		Cell: cell, Incarnation: name, TTL: ttl, Margin: margin, Writer: jaylog.NewWriter(name), OnInvariantBroken: onBroken,
	})}
}

func (s *simulation) end() int64 { return s.oldest + int64(len(s.log)) }

// act makes a member read the log and start the append that is due.
func (s *simulation) act(n int) {
	m := s.members[n]
	if m.paused || m.disconnected || s.logDown {
		return
	}
	if m.machine.Position() < s.oldest {
		m.machine.SkipTo(s.now, s.oldest)
	}
	m.machine.Apply(s.now, s.log[m.machine.Position()-s.oldest:], s.end())
	if record, ok := m.machine.Next(s.now); ok {
		m.lastAppend = &record
		s.pending = append(s.pending, pendingAppend{record: record, writer: n})
	}
}

// deliver appends the record of a pending append to the log.
func (s *simulation) deliver(n int) {
	p := s.pending[n]
	s.pending = append(s.pending[:n], s.pending[n+1:]...)
	entry := jaylog.Entry{Offset: s.end(), Record: p.record}
	s.log = append(s.log, entry)
	if _, effective := s.oracle.Apply(entry); effective {
		s.effective[entry.Offset] = true
	}
}

// check asserts that at most one member holds a valid lease, and that fencing
// numbers of orders never decrease.
func (s *simulation) check(t *rapid.T) {
	holders := 0
	for n, m := range s.members {
		if h := m.machine.View().Holder(); h.Incarnation != "" && !s.effective[h.Offset] {
			t.Fatalf("member %d derives the holder from record %d, which took no effect", n, h.Offset)
		}
		if fence, ok := m.machine.Holds(s.now, 0); ok {
			holders++
			s.leases[fence] = true
			if fence < s.maxFence {
				t.Fatalf("holder with fencing number %d after %d", fence, s.maxFence)
			}
			s.maxFence = fence
		}
	}
	if holders > 1 {
		t.Fatalf("%d members hold a valid lease", holders)
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(s.members)-1).Draw(t, "member") }
	return map[string]func(*rapid.T){
		"":     s.check,
		"act":  func(t *rapid.T) { s.act(pick(t)) },
		"act2": func(t *rapid.T) { s.act(pick(t)) },
		"all":  func(*rapid.T) { s.actAll() },
		"short": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		},
		"long": func(t *rapid.T) { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 14).Draw(t, "s")) * time.Second) },
		"land": func(t *rapid.T) {
			if len(s.pending) > 0 && !s.logDown {
				s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(t, "flight"))
			}
		},
		"repeat": func(t *rapid.T) {
			n := pick(t)
			if m := s.members[n]; m.lastAppend != nil && !m.paused {
				s.faults++
				s.pending = append(s.pending, pendingAppend{record: *m.lastAppend, writer: n})
			}
		},
		"pause":  func(t *rapid.T) { s.fault(t, func(m *member) { m.paused = !m.paused }) },
		"cut":    func(t *rapid.T) { s.fault(t, func(m *member) { m.disconnected = !m.disconnected }) },
		"outage": func(*rapid.T) { s.faults++; s.logDown = !s.logDown },
		"kill": func(t *rapid.T) {
			s.faults++
			s.members[pick(t)] = s.newMember(nil)
		},
		"release": func(t *rapid.T) {
			n := pick(t)
			if m := s.members[n]; !m.paused {
				if record, ok := m.machine.Release(s.now); ok {
					s.pending = append(s.pending, pendingAppend{record: record, writer: n})
				}
				s.members[n] = s.newMember(nil)
			}
		},
		"expire": func(t *rapid.T) {
			s.faults++
			drop := rapid.IntRange(0, len(s.log)).Draw(t, "records")
			s.log, s.oldest = s.log[drop:], s.oldest+int64(drop)
		},
	}
}

func (s *simulation) fault(t *rapid.T, change func(*member)) {
	s.faults++
	change(s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")])
}

// actAll makes all reachable members act and delivers all pending appends.
func (s *simulation) actAll() {
	for range 2 {
		for n := range s.members {
			s.act(n)
		}
		for len(s.pending) > 0 && !s.logDown {
			s.deliver(0)
		}
	}
	for n := range s.members {
		s.act(n)
	}
}

// TestAtMostOneHolder guards against two instances that hold a valid lease at
// once, which late, repeated and lost appends, pauses, outages and expired
// records may bring about.
func TestAtMostOneHolder(t *testing.T) {
	leases, faults := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(4)
		t.Repeat(s.actions())
		leases += len(s.leases)
		faults += s.faults
	})
	t.Logf("leases acquired: %d, faults: %d", leases, faults)
	if leases == 0 {
		t.Error("no run acquired a lease")
	}
}

// TestLeaseIsAcquiredKeptAndTakenOver checks that without faults a cell gets a
// holder and keeps it, and that another member takes the lease over once the
// holder is disconnected.
func TestLeaseIsAcquiredKeptAndTakenOver(t *testing.T) {
	s := newSimulation(3)
	holder := func() int {
		for n, m := range s.members {
			if _, ok := m.machine.Holds(s.now, time.Second); ok {
				return n
			}
		}
		return -1
	}
	run := func(d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(250 * time.Millisecond) {
			s.actAll()
		}
	}
	run(ttl + 2*margin)
	first := holder()
	if first < 0 {
		t.Fatal("no member acquired the lease")
	}
	run(5 * ttl)
	if holder() != first {
		t.Fatal("holder changed without a fault")
	}
	s.members[first].disconnected = true
	run(2*ttl + 2*margin)
	if second := holder(); second < 0 || second == first {
		t.Fatalf("holder after the first was disconnected: %d, first %d", second, first)
	}
}
