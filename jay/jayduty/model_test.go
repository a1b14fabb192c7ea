package jayduty_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayduty"
	"jayfield.example/jay/jaystore"
)

const (
	ttl         = 3 * time.Second
	callTimeout = time.Second
	// liveTime is the time after the last fault within which a candidate has to hold the duties.
	liveTime = 2*ttl + ttl + 2*time.Second
	// copyAge is the age up to which the store comes back from a copy. The copy may be of a time before the last return.
	copyAge = 8 * time.Second
)

// lateAppend is an append that takes effect later, if the topic still ends where it has to.
type lateAppend struct {
	value []byte
	end   jaystore.Position
	at    time.Duration
}

// logCopy is a copy of the log.
type logCopy struct {
	log [][]byte
	at  time.Duration
}

// call is a call on its way to the receiver.
type call struct {
	machine, incarnation string
	fence                int64
	at                   time.Duration
	// thawed is set if the caller was paused between its check and the write.
	thawed bool
}

// instance is one process. Its clock runs at its own rate and has its own zero.
type instance struct {
	name, incarnation string
	machine           *jayduty.Machine
	rate              float64
	zero              time.Duration
	// stopping is set during a planned stop.
	paused, dead, stopping bool
	// cut is set while the instance does not reach the store, barred while others take it for no candidate. They
	// may be wrong.
	cut, barred bool
	// era is the highest era of the store that a response had.
	era int64
	// response processes the answer of the store that has arrived.
	response func(now time.Duration)
	// checked is a call that was checked and not written before a pause, 0 if there is none.
	checked int64
	// bar is the end of the time without claims.
	bar time.Duration
}

// model is a store with lost answers and late appends that comes back from copies, instances that pause, end and restart, and a receiver
// that gets calls up to their timeout late.
type model struct {
	now       time.Duration
	wall      time.Duration
	log       [][]byte
	first     int
	era       int64
	copies    []logCopy
	down      bool
	late      []lateAppend
	calls     []call
	instances []*instance
	created   int
	// highest, lastCaller and lastCall are the highest fencing token, the machine of the last call and the
	// time of each machine's last call, of the calls that were not delayed by a pause. Owners are the
	// incarnations of all fencing tokens.
	highest    int64
	lastCaller string
	lastCall   map[string]time.Duration
	owners     map[int64]string
	// holders are the fencing tokens of calls, to check that the test reaches calls.
	holders map[int64]bool
	faults  int
	// returns is how often the store came back from a copy while an instance held the duties.
	returns int
}

func newModel(t *rapid.T, instances int) *model {
	m := &model{owners: make(map[int64]string), holders: make(map[int64]bool), lastCall: make(map[string]time.Duration)}
	for n := range instances {
		m.instances = append(m.instances, m.start(t, fmt.Sprint("machine-", n)))
	}
	return m
}

func (m *model) start(t *rapid.T, name string) *instance {
	m.created++
	incarnation, nonces := fmt.Sprint("incarnation-", m.created), 0
	nonce := func() string {
		nonces++
		return fmt.Sprint(incarnation, "/", nonces)
	}
	return &instance{
		name: name, incarnation: incarnation,
		rate: rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "rate"),
		zero: time.Duration(rapid.IntRange(0, 1000).Draw(t, "zero")) * time.Second,
		machine: jayduty.NewMachine(jayduty.Options{
			Machine: name, Incarnation: incarnation, TTL: ttl, Nonce: nonce,
		}),
	}
}

// clock returns the time of an instance's clock.
func (m *model) clock(i *instance) time.Duration {
	return i.zero + time.Duration(math.Round(float64(m.now)*i.rate))
}

// act lets an instance process an answer of the store, or take its next step.
func (m *model) act(t *rapid.T, i *instance, faulty bool) {
	if i.paused || i.dead {
		return
	}
	if i.response != nil {
		response := i.response
		i.response = nil
		response(m.clock(i))
		return
	}
	step := i.machine.Next(m.clock(i), !i.barred)
	if step.Action == jayduty.ActionWait || m.down || i.cut {
		if step.Action == jayduty.ActionAppend {
			i.response = func(now time.Duration) { i.machine.Appended(now, jayduty.ResultUnknown) }
		}
		return
	}
	switch step.Action {
	case jayduty.ActionWait:
	case jayduty.ActionNewest:
		records, end := m.newest(t, faulty)
		i.receive(m.era, func(now time.Duration) { i.machine.ApplyNewest(now, records, end) }, nil)
	case jayduty.ActionRead:
		records, next := m.records(step.End), m.position(len(m.log))
		if step.End.Era() != m.era || step.End.Offset() < int64(m.first) {
			i.receive(m.era, func(time.Duration) { i.machine.Restart() }, nil)
			return
		}
		i.receive(m.era, func(now time.Duration) { i.machine.ApplyRead(now, records, next) }, nil)
	case jayduty.ActionAppend:
		if step.Record.Kind == jayduty.KindClaim && m.clock(i) < i.bar {
			t.Fatalf("%s claims %s before the end of its bar", i.incarnation, i.bar-m.clock(i))
		}
		result := jayduty.ResultConflict
		if i.era <= step.End.Era() {
			result = m.append(t, step, faulty)
		}
		i.receive(m.era, func(now time.Duration) { i.machine.Appended(now, result) },
			func(now time.Duration) { i.machine.Appended(now, jayduty.ResultUnknown) })
	}
}

// receive has the instance process a response of an era next, unless it knows of a later one by then.
func (i *instance) receive(era int64, process, late func(now time.Duration)) {
	i.response = func(now time.Duration) {
		if era < i.era {
			process = late
		}
		if i.era = max(i.era, era); process != nil {
			process(now)
		}
	}
}

// restore has the store come back from a copy.
func (m *model) restore(t *rapid.T) {
	m.faults++
	if m.holder() != 0 {
		m.returns++
	}
	m.copies = append(m.copies, logCopy{m.log, m.now})
	copies := slices.DeleteFunc(slices.Clone(m.copies), func(c logCopy) bool { return m.now-c.at > copyAge })
	m.log = copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")].log
	m.first = min(m.first, len(m.log))
	m.era++
	m.copies = append(m.copies, logCopy{m.log, m.now})
}

// position returns the position of an offset in the current era.
func (m *model) position(offset int) jaystore.Position {
	return jaystore.NewPosition(m.era, int64(offset))
}

// newest returns the newest record and the end of the log, which a store with pages may read at two times.
func (m *model) newest(t *rapid.T, faulty bool) ([]jaystore.Record, jaystore.Position) {
	end := len(m.log)
	at := end - 1
	if faulty && end > 0 && rapid.IntRange(0, 3).Draw(t, "end is read later") == 0 {
		at--
	}
	if at < 0 {
		return nil, m.position(end)
	}
	return []jaystore.Record{{Key: jayduty.Key, Value: m.log[at], Position: m.position(at)}}, m.position(end)
}

func (m *model) records(from jaystore.Position) []jaystore.Record {
	var records []jaystore.Record
	for n := int(from.Offset()); n < len(m.log); n++ {
		records = append(records, jaystore.Record{Key: jayduty.Key, Value: m.log[n], Position: m.position(n)})
	}
	return records
}

// append executes an append now, later or never, and returns what its writer learns.
func (m *model) append(t *rapid.T, step jayduty.Step, faulty bool) jayduty.Result {
	value, err := step.Record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fate := 0
	if faulty {
		fate = rapid.IntRange(0, 6).Draw(t, "fate of the append")
	}
	switch fate {
	case 4:
		m.faults++
		m.execute(value, step.End)
		return jayduty.ResultUnknown
	case 5:
		m.faults++
		delay := time.Duration(rapid.IntRange(1, 6000).Draw(t, "append late by ms")) * time.Millisecond
		m.late = append(m.late, lateAppend{value: value, end: step.End, at: m.now + delay})
		return jayduty.ResultUnknown
	case 6:
		m.faults++
		return jayduty.ResultUnknown
	}
	switch {
	case !m.execute(value, step.End):
		return jayduty.ResultConflict
	case step.End.Era() != m.era:
		return jayduty.ResultUnknown
	}
	return jayduty.ResultDone
}

// execute appends a record if the log ends at the offset, in whichever era.
func (m *model) execute(value []byte, end jaystore.Position) bool {
	if end.Offset() != int64(len(m.log)) {
		return false
	}
	m.copies = append(m.copies, logCopy{m.log, m.now})
	m.log = append(slices.Clone(m.log), value)
	return true
}

// advance lets time pass, in which late appends and calls arrive in order.
func (m *model) advance(t *rapid.T, by time.Duration) {
	for end := m.now + by; m.now < end; {
		next := end
		for _, a := range m.late {
			next = min(next, max(a.at, m.now))
		}
		for _, c := range m.calls {
			next = min(next, max(c.at, m.now))
		}
		m.now = next
		m.deliver(t)
		m.check(t)
	}
}

// deliver executes the late appends and calls that are due.
func (m *model) deliver(t *rapid.T) {
	m.late = slices.DeleteFunc(m.late, func(a lateAppend) bool {
		if a.at > m.now || m.down {
			return a.at <= m.now
		}
		m.execute(a.value, a.end)
		return true
	})
	var due []call
	m.calls = slices.DeleteFunc(m.calls, func(c call) bool {
		if c.at > m.now {
			return false
		}
		due = append(due, c)
		return true
	})
	for _, c := range due {
		m.receive(t, c)
	}
}

// receive checks the rules at the receiver.
func (m *model) receive(t *rapid.T, c call) {
	if owner, ok := m.owners[c.fence]; ok && owner != c.incarnation {
		t.Fatalf("%s and %s use the fencing token %d", owner, c.incarnation, c.fence)
	}
	m.owners[c.fence] = c.incarnation
	if c.thawed {
		return
	}
	m.holders[c.fence] = true
	if c.fence < m.highest {
		t.Fatalf("call with fencing token %d after one with %d", c.fence, m.highest)
	}
	if earlier, ok := m.lastCall[c.machine]; ok && m.lastCaller != c.machine && c.at-earlier <= ttl {
		t.Fatalf("%s calls again %s after its last call, and %s did in between", c.machine, c.at-earlier, m.lastCaller)
	}
	m.highest, m.lastCaller, m.lastCall[c.machine] = c.fence, c.machine, c.at
}

// call makes an instance call the receiver if it holds the duties. A pause may begin after the check.
func (m *model) call(t *rapid.T, i *instance, faulty bool) {
	lease := i.machine.Lease()
	if i.paused || i.dead || i.checked != 0 || !lease.Holds(m.clock(i), callTimeout) {
		return
	}
	if faulty && rapid.IntRange(0, 9).Draw(t, "pause after the check") == 0 {
		m.faults++
		i.paused, i.checked = true, lease.Fence
		return
	}
	delay := time.Duration(rapid.IntRange(0, 940).Draw(t, "call late by ms")) * time.Millisecond
	// The caller closes the connection at the timeout by its own clock, before the end of the lease.
	if end := m.clock(i) + time.Duration(float64(delay)*i.rate); end >= lease.ExpiresAt {
		t.Fatalf("call of %s with fencing token %d may take effect %s after the end of the lease", i.incarnation, lease.Fence, end-lease.ExpiresAt)
	}
	m.calls = append(m.calls, call{machine: i.name, incarnation: i.incarnation, fence: lease.Fence, at: m.now + delay})
}

// resume ends a pause. A call that was checked before it is written at once.
func (m *model) resume(i *instance) {
	i.paused = false
	if i.checked != 0 {
		m.calls = append(m.calls, call{machine: i.name, incarnation: i.incarnation, fence: i.checked, at: m.now, thawed: true})
		i.checked = 0
	}
}

// check asserts that at most one instance has a lease that has not ended, and none that gave it up.
func (m *model) check(t *rapid.T) {
	var holders []string
	for _, i := range m.instances {
		if (i.stopping || m.clock(i) < i.bar) && i.machine.Lease().Fence != 0 {
			t.Fatalf("%s has a lease although it gave it up", i.incarnation)
		}
		if i.machine.Lease().Remaining(m.clock(i)) > 0 {
			holders = append(holders, fmt.Sprint(i.incarnation, "/", i.machine.Lease().Fence))
		}
	}
	if len(holders) > 1 {
		t.Fatalf("leases of %v at the same time", holders)
	}
}

// round lets all instances take steps and calls, and some time pass.
func (m *model) round(t *rapid.T, by time.Duration, faulty bool) {
	for range 2 {
		for _, i := range m.instances {
			m.act(t, i, faulty)
		}
	}
	for _, i := range m.instances {
		m.call(t, i, faulty)
	}
	m.advance(t, by)
}

func (m *model) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) (int, *instance) {
		n := rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
		return n, m.instances[n]
	}
	act := func(t *rapid.T) {
		_, i := pick(t)
		m.act(t, i, true)
	}
	rounds := func(t *rapid.T) {
		faulty := rapid.Bool().Draw(t, "faulty")
		for range rapid.IntRange(1, 50).Draw(t, "rounds") {
			m.round(t, 100*time.Millisecond, faulty)
		}
	}
	return map[string]func(*rapid.T){
		"":     m.check,
		"act":  act,
		"act2": act,
		"call": func(t *rapid.T) {
			_, i := pick(t)
			m.call(t, i, true)
		},
		"rounds":  rounds,
		"rounds2": rounds,
		"short":   func(t *rapid.T) { m.advance(t, time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond) },
		"long": func(t *rapid.T) {
			m.advance(t, time.Duration(rapid.IntRange(1000, 5000).Draw(t, "ms"))*time.Millisecond)
		},
		"pause": func(t *rapid.T) {
			m.faults++
			_, i := pick(t)
			if i.paused {
				m.resume(i)
				return
			}
			i.paused = true
		},
		"outage": func(*rapid.T) { m.faults++; m.down = !m.down },
		"cut": func(t *rapid.T) {
			m.faults++
			_, i := pick(t)
			i.cut = !i.cut
		},
		"candidates": func(t *rapid.T) {
			_, i := pick(t)
			i.barred = !i.barred
		},
		"wall": func(t *rapid.T) {
			// No step of an instance takes the time of day.
			m.wall += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s")) * time.Second
		},
		"kill": func(t *rapid.T) {
			m.faults++
			n, i := pick(t)
			i.dead = true
			m.instances[n] = m.start(t, i.name)
		},
		"handover": func(t *rapid.T) { m.handover(t) },
		"stop": func(t *rapid.T) {
			if n, i := pick(t); !i.paused {
				m.stop(t, n)
			}
		},
		"fence": func(t *rapid.T) {
			m.faults++
			_, i := pick(t)
			if lease := i.machine.Lease(); !i.paused && lease.Holds(m.clock(i), 0) {
				i.machine.Fenced(m.clock(i), lease.Fence)
				i.bar = m.clock(i) + 2*ttl
				if i.machine.Lease().Fence != 0 {
					t.Fatalf("%s keeps a lease whose fencing token was refused", i.incarnation)
				}
			}
		},
		"expire":  func(*rapid.T) { m.first = len(m.log) },
		"restore": m.restore,
		"learn": func(t *rapid.T) {
			// A response to another call has the era.
			_, i := pick(t)
			i.era = m.era
		},
	}
}

// handover stops the holder as planned and starts its machine again.
func (m *model) handover(t *rapid.T) {
	for n, i := range m.instances {
		if !i.paused && i.machine.Lease().Remaining(m.clock(i)) > 0 {
			m.stop(t, n)
			return
		}
	}
}

// stop stops an instance as planned and starts its machine again. Its calls may be abandoned.
func (m *model) stop(t *rapid.T, n int) {
	i := m.instances[n]
	i.machine.Stop()
	i.stopping = true
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		m.round(t, 20*time.Millisecond, rapid.IntRange(0, 4).Draw(t, "faulty") == 0)
	}
	if i.machine.Released() || rapid.Bool().Draw(t, "ends without a release") {
		i.dead = true
		m.instances[n] = m.start(t, i.name)
	}
}

// settle ends all faults and asserts that one instance then holds the duties in time, and keeps them.
func (m *model) settle(t *rapid.T) {
	m.down = false
	for _, a := range m.late {
		m.execute(a.value, a.end)
	}
	m.late = nil
	barred := time.Duration(math.MaxInt64)
	for n, i := range m.instances {
		m.resume(i)
		i.cut, i.barred = false, false
		if i.stopping {
			i.dead = true
			m.instances[n] = m.start(t, i.name)
			i = m.instances[n]
		}
		barred = min(barred, max(0, i.bar-m.clock(i)))
	}
	const step = 100 * time.Millisecond
	held := false
	for end := m.now + time.Duration(float64(barred)/0.95) + liveTime; m.now < end; m.round(t, step, false) {
		held = held || m.holder() != 0
	}
	holder := m.holder()
	if !held || holder == 0 {
		t.Fatalf("no instance holds the duties %s after the last fault (any in that time: %t)", liveTime, held)
	}
	for end := m.now + 10*time.Second; m.now < end; m.round(t, step, false) {
		if now := m.holder(); now != holder {
			t.Fatalf("fencing token of the holder went from %d to %d without a fault", holder, now)
		}
	}
}

// holder returns the fencing token of the instance that may call, 0 if there is none.
func (m *model) holder() int64 {
	for _, i := range m.instances {
		if lease := i.machine.Lease(); lease.Holds(m.clock(i), callTimeout) {
			return lease.Fence
		}
	}
	return 0
}

// TestDutyModel guards against calls under an older fencing token after a newer one, two holders with one
// token, holders that alternate within the lease time, leases at the same time, and duties that nobody
// takes over, also if the store comes back from copies of itself.
func TestDutyModel(t *testing.T) {
	holders, faults, returns := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3)
		t.Repeat(m.actions())
		m.settle(t)
		holders += len(m.holders)
		faults += m.faults
		returns += m.returns
	})
	t.Logf("fencing tokens used: %d, faults: %d, returns of the store while there was a holder: %d", holders, faults, returns)
	if holders == 0 {
		t.Error("no run had a holder")
	}
}
