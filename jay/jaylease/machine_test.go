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

// flight is an append on its way to the log.
type flight struct {
	record jaylog.Record
	writer int
}

// member is one instance of the model. Its clock stands still for nobody:
// a paused member just does not act.
type member struct {
	machine *jaylease.Machine
	paused  bool
	cut     bool
	again   *jaylog.Record
}

// world is the stateful test: a log with late, repeated and lost appends,
// expiry and outages, and members that are paused, cut off and replaced.
type world struct {
	now     time.Time
	members []*member
	names   int
	oldest  int64
	log     []jaylog.Entry
	flights []flight
	down    bool
	// taken is the highest fencing number of an order that an engine took.
	taken int64
	// leases counts the claims that gave authority, so that the test is known to reach them.
	leases map[int64]bool
	faults int
	// truth has read every record, and effective are those that took effect.
	truth     jaylease.View
	effective map[int64]bool
}

func newWorld(members int) *world {
	w := &world{now: time.Unix(0, 0), leases: make(map[int64]bool), effective: make(map[int64]bool), truth: jaylease.NewView(cell, 0)}
	for range members {
		w.members = append(w.members, w.newMember(nil))
	}
	return w
}

func (w *world) newMember(breach func(string)) *member {
	w.names++
	name := fmt.Sprintf("i-%d", w.names)
	if breach == nil {
		breach = func(rule string) { panic(rule) }
	}
	return &member{machine: jaylease.NewMachine(w.now, w.oldest, jaylease.Options{
		Cell: cell, Incarnation: name, TTL: ttl, Margin: margin, Writer: jaylog.NewWriter(name), Breach: breach,
	})}
}

func (w *world) end() int64 { return w.oldest + int64(len(w.log)) }

// act lets a member read, and append what it wants to.
func (w *world) act(n int) {
	m := w.members[n]
	if m.paused || m.cut || w.down {
		return
	}
	if m.machine.Position() < w.oldest {
		m.machine.Gap(w.now, w.oldest)
	}
	m.machine.Read(w.now, w.log[m.machine.Position()-w.oldest:], w.end())
	if record, ok := m.machine.Next(w.now); ok {
		m.again = &record
		w.flights = append(w.flights, flight{record: record, writer: n})
	}
}

// land appends a record that is on its way.
func (w *world) land(n int) {
	f := w.flights[n]
	w.flights = append(w.flights[:n], w.flights[n+1:]...)
	entry := jaylog.Entry{Offset: w.end(), Record: f.record}
	w.log = append(w.log, entry)
	if _, effective := w.truth.Apply(entry); effective {
		w.effective[entry.Offset] = true
	}
}

// check asserts that at most one member has authority, and that fencing
// numbers of orders never fall.
func (w *world) check(t *rapid.T) {
	holders := 0
	for n, m := range w.members {
		if h := m.machine.View().Holder(); h.Incarnation != "" && !w.effective[h.Offset] {
			t.Fatalf("member %d believes in record %d, which took no effect", n, h.Offset)
		}
		if fence, ok := m.machine.Holds(w.now, 0); ok {
			holders++
			w.leases[fence] = true
			if fence < w.taken {
				t.Fatalf("order with fencing number %d after %d", fence, w.taken)
			}
			w.taken = fence
		}
	}
	if holders > 1 {
		t.Fatalf("%d members have authority", holders)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(w.members)-1).Draw(t, "member") }
	return map[string]func(*rapid.T){
		"":     w.check,
		"act":  func(t *rapid.T) { w.act(pick(t)) },
		"act2": func(t *rapid.T) { w.act(pick(t)) },
		"all":  func(*rapid.T) { w.settle() },
		"short": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		},
		"long": func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 14).Draw(t, "s")) * time.Second) },
		"land": func(t *rapid.T) {
			if len(w.flights) > 0 && !w.down {
				w.land(rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight"))
			}
		},
		"repeat": func(t *rapid.T) {
			n := pick(t)
			if m := w.members[n]; m.again != nil && !m.paused {
				w.faults++
				w.flights = append(w.flights, flight{record: *m.again, writer: n})
			}
		},
		"pause":  func(t *rapid.T) { w.fault(t, func(m *member) { m.paused = !m.paused }) },
		"cut":    func(t *rapid.T) { w.fault(t, func(m *member) { m.cut = !m.cut }) },
		"outage": func(*rapid.T) { w.faults++; w.down = !w.down },
		"kill": func(t *rapid.T) {
			w.faults++
			w.members[pick(t)] = w.newMember(nil)
		},
		"release": func(t *rapid.T) {
			n := pick(t)
			if m := w.members[n]; !m.paused {
				if record, ok := m.machine.Release(w.now); ok {
					w.flights = append(w.flights, flight{record: record, writer: n})
				}
				w.members[n] = w.newMember(nil)
			}
		},
		"expire": func(t *rapid.T) {
			w.faults++
			drop := rapid.IntRange(0, len(w.log)).Draw(t, "records")
			w.log, w.oldest = w.log[drop:], w.oldest+int64(drop)
		},
	}
}

func (w *world) fault(t *rapid.T, change func(*member)) {
	w.faults++
	change(w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")])
}

// settle lets everything that is reachable proceed.
func (w *world) settle() {
	for range 2 {
		for n := range w.members {
			w.act(n)
		}
		for len(w.flights) > 0 && !w.down {
			w.land(0)
		}
	}
	for n := range w.members {
		w.act(n)
	}
}

func TestOneHolder(t *testing.T) {
	leases, faults := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(4)
		t.Repeat(w.actions())
		leases += len(w.leases)
		faults += w.faults
	})
	t.Logf("leases taken: %d, faults: %d", leases, faults)
	if leases == 0 {
		t.Error("no run reached a lease")
	}
}

// TestLeaseIsTaken shows that without faults a cell gets a holder, keeps it,
// and gets another one after the holder is gone.
func TestLeaseIsTaken(t *testing.T) {
	w := newWorld(3)
	holder := func() int {
		for n, m := range w.members {
			if _, ok := m.machine.Holds(w.now, time.Second); ok {
				return n
			}
		}
		return -1
	}
	run := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
			w.settle()
		}
	}
	run(ttl + 2*margin)
	first := holder()
	if first < 0 {
		t.Fatal("nobody took the lease")
	}
	run(5 * ttl)
	if holder() != first {
		t.Fatal("holder changed without a cause")
	}
	w.members[first].cut = true
	run(2*ttl + 2*margin)
	if second := holder(); second < 0 || second == first {
		t.Fatalf("holder after the first was cut off: %d, first %d", second, first)
	}
}
