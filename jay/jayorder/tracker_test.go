package jayorder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jayorder"
)

const engineName = "engine-1"

// message is an order that has been sent but not delivered.
type message struct {
	order  jayengine.Order
	sender string
	// deliveredBy is when it is delivered at the latest, zero while its sender may still delay it.
	deliveredBy time.Time
}

// engine is the model of an engine that accepts orders.
type engine struct {
	checks bool
	fence  int64
	status jayengine.Status
	until  time.Time
	boots  int
}

// holder is an instance that holds the lease or has held it.
type holder struct {
	name    string
	fence   int64
	tracker *jayorder.Tracker
}

// simulation is the model of the stateful test: successive holders, late
// messages, lost replies and an engine that crashes.
type simulation struct {
	now      time.Time
	engine   *engine
	ledger   *jayorder.Ledger
	offset   int64
	holders  []*holder
	goneAt   map[string]time.Time
	inFlight []message
	orders   int
	accepted int
	faults   int
}

func newSimulation(checks bool) *simulation {
	s := &simulation{
		now: time.Unix(0, 0), engine: &engine{checks: checks, status: jayengine.Status{Boot: "b-0", Role: "mixed"}},
		ledger: jayorder.NewLedger(0), goneAt: make(map[string]time.Time),
	}
	s.addHolder()
	return s
}

func (s *simulation) addHolder() {
	n := len(s.holders) + 1
	s.holders = append(s.holders, &holder{name: fmt.Sprintf("i-%d", n), fence: int64(n)})
}

func (s *simulation) current() *holder { return s.holders[len(s.holders)-1] }

func (s *simulation) append(t *rapid.T, kind string, record jayorder.Record) {
	body, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.ledger.Apply(jaylog.Entry{Offset: s.offset, Record: jaylog.Record{Kind: kind, Body: body}})
	s.offset++
}

// handle makes the engine handle a message. It is the oracle: an engine may
// accept only the order that is outstanding according to the log.
func (s *simulation) handle(t *rapid.T, m message) {
	e := s.engine
	if e.checks {
		if m.order.Fence < e.fence {
			return
		}
		e.fence = m.order.Fence
	}
	if m.order.Kind == jayengine.OrderFence || e.status.Busy || e.status.Order == m.order.ID {
		return
	}
	outstanding, ok := s.ledger.Outstanding(engineName)
	if !ok || outstanding.Order.ID != m.order.ID {
		t.Fatalf("engine accepted order %s of %s, outstanding is %q", m.order.ID, m.sender, outstanding.Order.ID)
	}
	s.accepted++
	e.status.Order, e.status.Busy = m.order.ID, true
	e.until = s.now.Add(2 * time.Second)
}

// step makes a holder take its next step for the outstanding order.
func (s *simulation) step(t *rapid.T, h *holder) {
	record, ok := s.ledger.Outstanding(engineName)
	if !ok {
		return
	}
	if h.tracker == nil || h.tracker.Order.ID != record.Order.ID {
		h.tracker = jayorder.NewTracker(s.now, record)
	}
	obs := jayorder.Observation{
		Now: s.now, Fence: h.fence, ChecksFence: s.engine.checks, StatusKnown: true, Status: s.engine.status,
		Idle: true, WriterGoneAt: s.goneAt[record.Writer],
	}
	s.orders++
	engineFence := jayorder.EngineFence(h.fence, int64(s.orders))
	switch h.tracker.Next(obs) {
	case jayorder.StepRaiseFence:
		if rapid.IntRange(0, 3).Draw(t, "raise lost") > 0 {
			s.handle(t, message{order: jayengine.Order{ID: "raise", Kind: jayengine.OrderFence, Fence: engineFence}})
			if !s.engine.checks || s.engine.fence == engineFence {
				h.tracker.MarkFenceRaised()
			}
		}
	case jayorder.StepSend:
		order := record.Order
		order.Fence = engineFence
		h.tracker.MarkSending(s.engine.status.Boot)
		s.inFlight = append(s.inFlight, message{order: order, sender: h.name})
	case jayorder.StepSettle:
		record.Result = h.tracker.Result()
		s.append(t, jayorder.RecordSettled, record)
	case jayorder.StepWait:
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	e := s.engine
	if e.status.Busy && !s.now.Before(e.until) {
		e.status.Busy = false
		e.status.Role = "prefill"
	}
	// A message of a sender that is gone is delivered within MaxDeliveryDelay or never.
	var remaining []message
	for _, m := range s.inFlight {
		if m.deliveredBy.IsZero() || s.now.Before(m.deliveredBy) {
			remaining = append(remaining, m)
		}
	}
	s.inFlight = remaining
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	step := func(t *rapid.T) { s.step(t, s.current()) }
	return map[string]func(*rapid.T){
		"step": step, "step2": step, "step3": step,
		"record": func(t *rapid.T) {
			s.orders++
			h := s.current()
			s.append(t, jayorder.RecordOrder, jayorder.Record{
				Cell: "c", Engine: engineName, Fence: h.fence, Writer: h.name,
				Order: jayengine.Order{ID: fmt.Sprintf("o-%d", s.orders), Kind: jayengine.OrderRole, Value: "prefill"},
			})
		},
		"deliver": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				n := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
				m := s.inFlight[n]
				s.inFlight = append(s.inFlight[:n:n], s.inFlight[n+1:]...)
				s.handle(t, m)
			}
		},
		"time": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"successor": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "lapse") == 0 {
				s.faults++
				s.addHolder()
			}
		},
		"proof": func(t *rapid.T) {
			if len(s.holders) < 2 {
				return
			}
			h := s.holders[rapid.IntRange(0, len(s.holders)-2).Draw(t, "holder")]
			if _, known := s.goneAt[h.name]; known {
				return
			}
			s.goneAt[h.name] = s.now
			for n := range s.inFlight {
				if s.inFlight[n].sender == h.name {
					s.inFlight[n].deliveredBy = s.now.Add(jayorder.MaxDeliveryDelay)
				}
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "crash") > 0 {
				return
			}
			s.faults++
			s.engine.boots++
			s.engine.status = jayengine.Status{Boot: fmt.Sprintf("b-%d", s.engine.boots), Role: "mixed"}
			// Connections end with the engine, so messages of the current holder in
			// flight are lost. Those of former holders stay, as their senders may not have connected yet.
			s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool { return m.sender == s.current().name })
		},
	}
}

// TestEngineAcceptsOnlyTheOutstandingOrder guards against an engine that accepts
// an order after it was settled or while another is outstanding. Late messages
// of former holders, lost replies and engine crashes may bring this about.
func TestEngineAcceptsOnlyTheOutstandingOrder(t *testing.T) {
	tests := map[string]bool{"engine checks fencing numbers": true, "engine ignores fencing numbers": false}
	for name, checks := range tests {
		t.Run(name, func(t *testing.T) {
			accepted, faults := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(checks)
				t.Repeat(s.actions())
				accepted += s.accepted
				faults += s.faults
			})
			t.Logf("orders accepted: %d, faults: %d", accepted, faults)
			if accepted == 0 {
				t.Error("no run had an order accepted")
			}
		})
	}
}
