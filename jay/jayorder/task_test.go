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

// message is an order on its way to the engine.
type message struct {
	order  jayengine.Order
	sender string
	// by is when it has arrived at the latest, zero while its sender may still be slow.
	by time.Time
}

// engine is the model of an engine that takes orders.
type engine struct {
	checks bool
	fence  int64
	status jayengine.Status
	until  time.Time
	boots  int
}

// holder is an instance that holds the lease, or believed so once.
type holder struct {
	name  string
	fence int64
	task  *jayorder.Task
}

// world is the stateful test: successive holders, late messages, lost replies
// and an engine that crashes.
type world struct {
	now     time.Time
	engine  *engine
	ledger  *jayorder.Ledger
	offset  int64
	holders []*holder
	gone    map[string]time.Time
	network []message
	orders  int
	taken   int
	faults  int
}

func newWorld(checks bool) *world {
	w := &world{
		now: time.Unix(0, 0), engine: &engine{checks: checks, status: jayengine.Status{Boot: "b-0", Role: "mixed"}},
		ledger: jayorder.NewLedger(0), gone: make(map[string]time.Time),
	}
	w.succeed()
	return w
}

func (w *world) succeed() {
	n := len(w.holders) + 1
	w.holders = append(w.holders, &holder{name: fmt.Sprintf("i-%d", n), fence: int64(n)})
}

func (w *world) current() *holder { return w.holders[len(w.holders)-1] }

func (w *world) append(t *rapid.T, kind string, record jayorder.Record) {
	body, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.ledger.Apply(jaylog.Entry{Offset: w.offset, Record: jaylog.Record{Kind: kind, Body: body}})
	w.offset++
}

// arrive lets the engine handle a message. It is the oracle: an engine may
// take only the order that the log shows as recorded and not settled.
func (w *world) arrive(t *rapid.T, m message) {
	e := w.engine
	if e.checks {
		if m.order.Fence < e.fence {
			return
		}
		e.fence = m.order.Fence
	}
	if m.order.Kind == jayengine.OrderFence || e.status.Busy || e.status.Order == m.order.ID {
		return
	}
	outstanding, ok := w.ledger.Outstanding(engineName)
	if !ok || outstanding.Order.ID != m.order.ID {
		t.Fatalf("engine took order %s of %s, outstanding is %q", m.order.ID, m.sender, outstanding.Order.ID)
	}
	w.taken++
	e.status.Order, e.status.Busy = m.order.ID, true
	e.until = w.now.Add(2 * time.Second)
}

// step lets a holder do what is next, as far as its authority reaches.
func (w *world) step(t *rapid.T, h *holder) {
	record, ok := w.ledger.Outstanding(engineName)
	if !ok {
		return
	}
	if h.task == nil || h.task.Order.ID != record.Order.ID {
		h.task = jayorder.NewTask(w.now, record)
	}
	facts := jayorder.Facts{
		Now: w.now, Fence: h.fence, Checks: w.engine.checks, Known: true, Status: w.engine.status,
		Idle: true, Gone: w.gone[record.Writer],
	}
	w.orders++
	number := jayorder.Number(h.fence, int64(w.orders))
	switch h.task.Next(facts) {
	case jayorder.StepRaise:
		if rapid.IntRange(0, 3).Draw(t, "raise lost") > 0 {
			w.arrive(t, message{order: jayengine.Order{ID: "raise", Kind: jayengine.OrderFence, Fence: number}})
			if !w.engine.checks || w.engine.fence == number {
				h.task.Raised()
			}
		}
	case jayorder.StepSend:
		order := record.Order
		order.Fence = number
		h.task.Sending(w.engine.status.Boot)
		w.network = append(w.network, message{order: order, sender: h.name})
	case jayorder.StepSettle:
		record.Result = h.task.Result()
		w.append(t, jayorder.RecordSettled, record)
	case jayorder.StepWait:
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	e := w.engine
	if e.status.Busy && !w.now.Before(e.until) {
		e.status.Busy = false
		e.status.Role = "prefill"
	}
	// What a sender that is gone left on its way arrives soon or never.
	var left []message
	for _, m := range w.network {
		if m.by.IsZero() || w.now.Before(m.by) {
			left = append(left, m)
		}
	}
	w.network = left
}

func (w *world) actions() map[string]func(*rapid.T) {
	step := func(t *rapid.T) { w.step(t, w.current()) }
	return map[string]func(*rapid.T){
		"step": step, "step2": step, "step3": step,
		"record": func(t *rapid.T) {
			w.orders++
			h := w.current()
			w.append(t, jayorder.RecordOrder, jayorder.Record{
				Cell: "c", Engine: engineName, Fence: h.fence, Writer: h.name,
				Order: jayengine.Order{ID: fmt.Sprintf("o-%d", w.orders), Kind: jayengine.OrderRole, Value: "prefill"},
			})
		},
		"deliver": func(t *rapid.T) {
			if len(w.network) > 0 {
				n := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
				m := w.network[n]
				w.network = append(w.network[:n:n], w.network[n+1:]...)
				w.arrive(t, m)
			}
		},
		"time": func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"successor": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "lapse") == 0 {
				w.faults++
				w.succeed()
			}
		},
		"proof": func(t *rapid.T) {
			if len(w.holders) < 2 {
				return
			}
			h := w.holders[rapid.IntRange(0, len(w.holders)-2).Draw(t, "holder")]
			if _, known := w.gone[h.name]; known {
				return
			}
			w.gone[h.name] = w.now
			for n := range w.network {
				if w.network[n].sender == h.name {
					w.network[n].by = w.now.Add(jayorder.QuietTime)
				}
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "crash") > 0 {
				return
			}
			w.faults++
			w.engine.boots++
			w.engine.status = jayengine.Status{Boot: fmt.Sprintf("b-%d", w.engine.boots), Role: "mixed"}
			// Connections end with the engine, and with them what was on its way,
			// but for a former holder that may not have connected yet.
			w.network = slices.DeleteFunc(w.network, func(m message) bool { return m.sender == w.current().name })
		},
	}
}

func TestEngineTakesOnlyTheRecordedOrder(t *testing.T) {
	tests := map[string]bool{"engine checks": true, "engine ignores": false}
	for name, checks := range tests {
		t.Run(name, func(t *testing.T) {
			taken, faults := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(checks)
				t.Repeat(w.actions())
				taken += w.taken
				faults += w.faults
			})
			t.Logf("orders taken: %d, faults: %d", taken, faults)
			if taken == 0 {
				t.Error("no run reached an order")
			}
		})
	}
}
