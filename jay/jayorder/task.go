package jayorder

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
)

// Step is what the holder of a lease does next for an order that is not settled.
type Step string

// Steps.
const (
	// StepWait does nothing yet.
	StepWait Step = "wait"
	// StepRaise raises the engine's fencing number, after which no earlier order can take effect.
	StepRaise Step = "raise"
	// StepSend sends the order.
	StepSend Step = "send"
	// StepSettle records the order's result.
	StepSettle Step = "settle"
)

const (
	// SpreadTime is how long an order is known before the engine counts as drained:
	// by then every instance gives the engine nothing new.
	SpreadTime = 2 * time.Second
	// DrainBound is how long an engine may take to end its work before the order is given up.
	DrainBound = 60 * time.Second
	// QuietTime is how long after its sender is gone an order may still arrive.
	QuietTime = 5 * time.Second
)

// Facts are what the holder knows of an order that is not settled.
type Facts struct {
	Now time.Time
	// Fence is the holder's own fencing number.
	Fence int64
	// Checks is set for engines that refuse old fencing numbers.
	Checks bool
	// Known is set when the engine's status was read.
	Known  bool
	Status jayengine.Status
	// Idle is set when the engine runs nothing.
	Idle bool
	// Gone is when the former holder was proved gone, zero while it is not.
	Gone time.Time
}

// Task is the progress of an order at one holder.
type Task struct {
	Record
	// began is when the holder first saw the order.
	began time.Time
	// Sent is set once the order may have left, and Unknown while its effect is not known.
	sent, unknown bool
	// boot is the engine's boot when the order was sent.
	boot string
	// raised is set once the engine's fencing number is above all earlier orders.
	raised bool
	result Result
}

// NewTask returns the task of an order that a holder sees for the first time.
func NewTask(now time.Time, record Record) *Task {
	return &Task{Record: record, began: now}
}

// Next decides what to do next.
func (t *Task) Next(f Facts) Step {
	if !f.Known {
		return StepWait
	}
	if f.Status.Order == t.Order.ID {
		return t.taken(f)
	}
	if t.Fence != f.Fence {
		return t.inherited(f)
	}
	if t.unknown {
		return t.unsettled(f)
	}
	return t.own(f)
}

// Raised records that the engine's fencing number is above all earlier orders.
func (t *Task) Raised() {
	t.raised = true
}

// Result returns the result to record with StepSettle.
func (t *Task) Result() Result {
	return t.result
}

// Sending records that the order is about to leave.
func (t *Task) Sending(boot string) {
	t.sent, t.unknown, t.boot, t.raised = true, true, boot, false
}

// Unsent records that the order did not reach the engine.
func (t *Task) Unsent() {
	t.unknown = false
}

// taken follows an order that the engine has taken.
func (t *Task) taken(f Facts) Step {
	if f.Status.Busy {
		return StepWait
	}
	t.result = ResultFailed
	if fulfilled(t.Order, f.Status) {
		t.result = ResultDone
	}
	return StepSettle
}

// inherited settles an order of a former holder, which may still be on its way.
func (t *Task) inherited(f Facts) Step {
	if f.Checks && !t.raised {
		return StepRaise
	}
	if !f.Checks && (f.Gone.IsZero() || f.Now.Sub(f.Gone) < QuietTime) {
		return StepWait
	}
	t.result = ResultVoid
	return StepSettle
}

// unsettled settles an own order whose reply was lost.
func (t *Task) unsettled(f Facts) Step {
	if f.Status.Boot != t.boot {
		t.result = ResultFailed
		return StepSettle
	}
	if !f.Checks {
		return StepWait
	}
	if !t.raised {
		return StepRaise
	}
	t.result = ResultVoid
	return StepSettle
}

// own sends an order once the engine is drained.
func (t *Task) own(f Facts) Step {
	waited := f.Now.Sub(t.began)
	switch {
	case t.sent, waited > DrainBound:
		t.result = ResultVoid
		return StepSettle
	case waited < SpreadTime, !f.Idle, f.Status.Busy:
		return StepWait
	case f.Checks && !t.raised:
		return StepRaise
	default:
		return StepSend
	}
}

// fulfilled reports whether an engine is as an order asked.
func fulfilled(order jayengine.Order, status jayengine.Status) bool {
	switch order.Kind {
	case jayengine.OrderRole:
		return status.Role == order.Value
	case jayengine.OrderLoad:
		return status.Model == order.Value
	case jayengine.OrderUnload:
		return status.Model == ""
	case jayengine.OrderDrain, jayengine.OrderFence:
		return true
	}
	return false
}

// ChecksFence reports whether an engine refuses old fencing numbers by its configuration.
func ChecksFence(upstream *jayconfig.Upstream) bool {
	return upstream.Fence == jayconfig.FenceChecks
}
