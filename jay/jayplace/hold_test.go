package jayplace_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayplace"
)

const (
	holdService = "plain"
	leavingTTL  = 5 * time.Minute
	maxBusyTime = 5 * time.Minute
)

// holdModel is a simple oracle for what upstreams state: the times until which each gets no requests.
type holdModel struct {
	table   *jayplace.Table
	now     time.Time
	listed  map[string]jayfleet.Upstream
	leaving map[jayfleet.Upstream]time.Time
	busy    map[jayfleet.Upstream]time.Time
	// returns holds when the table gives each busy upstream work again, which is up to a quarter
	// of its time later than it stated.
	returns map[jayfleet.Upstream]time.Time
}

func (m *holdModel) configure() {
	list := make([]jayfleet.Upstream, 0, len(m.listed))
	for _, u := range m.listed {
		list = append(list, u)
	}
	m.table.Configure(list)
}

// held reports whether an upstream must get no requests.
func (m *holdModel) held(u jayfleet.Upstream) bool {
	return m.now.Before(m.leaving[u]) || m.now.Before(m.busy[u])
}

// Guards against work for an upstream in the time for which it wants none, whatever else happens: failures,
// entries that lapse and return, other upstreams at its address, restarts.
func TestHeldUpstreamGetsNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &holdModel{
			table: jayplace.NewTable(jayplace.Location{Zone: "z"}, map[string]string{"z": "r"}), now: start,
			listed: make(map[string]jayfleet.Upstream), leaving: make(map[jayfleet.Upstream]time.Time), busy: make(map[jayfleet.Upstream]time.Time),
			returns: make(map[jayfleet.Upstream]time.Time),
		}
		ids := []string{"a", "b", "c"}
		for n, id := range ids {
			m.listed[id] = jayfleet.Upstream{ID: id, Service: holdService, Address: "10.0.0.1:" + string(rune('1'+n)), Zone: "z", Slots: 4}
		}
		m.configure()
		gone := make(map[string]jayfleet.Upstream)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			u, isListed := m.listed[id]
			switch step := rapid.SampledFrom([]string{"choose", "choose", "leaving", "busy", "lapse", "return", "restart", "fail", "tick"}).Draw(t, "step"); {
			case step == "leaving" && isListed:
				m.table.MarkLeaving(m.now, u)
				m.leaving[u] = m.now.Add(leavingTTL)
			case step == "busy" && isListed:
				stated := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "stated")) * time.Millisecond
				returns, _ := m.table.HoldBusy(m.now, u, stated)
				if until := m.now.Add(stated); until.After(m.busy[u]) {
					m.busy[u] = until
				}
				if latest := m.now.Add(stated + stated/4); returns.Before(m.busy[u]) && stated > 0 || returns.After(later(latest, m.returns[u])) {
					t.Fatalf("work returns at %s, stated %s", returns, stated)
				}
				m.returns[u] = later(m.returns[u], returns)
			case step == "lapse" && isListed:
				gone[id] = u
				delete(m.listed, id)
				m.configure()
			case step == "return" && !isListed:
				m.listed[id] = gone[id]
				m.configure()
			case step == "restart" && isListed:
				u.Born++
				m.listed[id] = u
				m.configure()
			case step == "fail" && isListed:
				m.table.Start(id)
				m.table.End(m.now, id, rapid.SampledFrom([]jayplace.Outcome{
					jayplace.OutcomeServed, jayplace.OutcomeRefused, jayplace.OutcomeUnreachable, jayplace.OutcomeBroken,
				}).Draw(t, "outcome"), time.Millisecond, false)
			case step == "tick":
				m.table.EndHolds(m.now)
			case step == "choose":
				m.choose(t)
			}
		}
	})
}

func (m *holdModel) choose(t *rapid.T) {
	free, earliest := 0, time.Duration(0)
	for _, u := range m.listed {
		if !m.held(u) {
			free++
		}
		wait := m.returns[u].Sub(m.now)
		if !m.now.Before(m.leaving[u]) && wait > 0 && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
	}
	choice, err := m.table.Choose(m.now, jayplace.Work{ID: "r", Service: holdService})
	if err == nil && m.held(choice.Upstream) {
		t.Fatalf("chose %s, which wants no work", choice.Upstream.ID)
	}
	var after interface{ RetryAfter() time.Duration }
	if err != nil && (!jayerror.Is(err, jayplace.KindNone) || !asRetryAfter(err, &after) || after.RetryAfter() != earliest) {
		t.Fatalf("error = %v, want to come back after %s", err, earliest)
	}
	if err != nil && free > 0 && earliest == 0 {
		t.Fatalf("error = %v with %d upstreams that want work", err, free)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func asRetryAfter(err error, target *interface{ RetryAfter() time.Duration }) bool {
	unwrapper, ok := err.(interface{ Unwrap() error })
	if !ok {
		return false
	}
	*target, ok = unwrapper.Unwrap().(interface{ RetryAfter() time.Duration })
	return ok
}

// Guards against times that make an upstream unusable for good or that are ignored without a trace.
func TestBusyTimeIsBounded(t *testing.T) {
	tests := map[string]struct {
		stated      time.Duration
		least, most time.Duration
		outOfBounds bool
	}{
		"usual":       {2 * time.Second, 2 * time.Second, 3 * time.Second, false},
		"none":        {0, 0, 0, false},
		"negative":    {-1, 0, 0, true},
		"a day":       {24 * time.Hour, maxBusyTime, maxBusyTime + time.Second, true},
		"the longest": {math.MaxInt64, maxBusyTime, maxBusyTime + time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := jayplace.NewTable(jayplace.Location{Zone: "z"}, nil)
			until, outOfBounds := table.HoldBusy(start, jayfleet.Upstream{ID: "a"}, test.stated)
			if length := until.Sub(start); length < test.least || length > test.most || outOfBounds != test.outOfBounds {
				t.Errorf("held for %s, out of bounds: %v; want %s to %s, %v", length, outOfBounds, test.least, test.most, test.outOfBounds)
			}
		})
	}
}

// Guards against all work returning to an upstream at once when its busy time has passed.
func TestWorkReturnsBySteps(t *testing.T) {
	table := jayplace.NewTable(jayplace.Location{Zone: "z"}, nil)
	a := jayfleet.Upstream{ID: "a", Service: holdService, Address: "10.0.0.1:1", Zone: "z", Slots: 1000}
	b := jayfleet.Upstream{ID: "b", Service: holdService, Address: "10.0.0.1:2", Zone: "z", Slots: 1}
	table.Configure([]jayfleet.Upstream{a, b})
	until, _ := table.HoldBusy(start, a, time.Second)
	sent := func(at time.Time) int {
		count := 0
		for range 200 {
			choice, err := table.Choose(at, jayplace.Work{ID: "r", Service: holdService})
			if err != nil {
				t.Fatal(err)
			}
			table.Start(choice.Upstream.ID)
			if choice.Upstream.ID == "a" {
				count++
			}
		}
		return count
	}
	if early := sent(until); early > 2 {
		t.Errorf("%d requests sent as soon as the time had passed", early)
	}
	if late := sent(until.Add(2 * time.Second)); late < 100 {
		t.Errorf("%d of 200 requests sent 2 s later", late)
	}
}
