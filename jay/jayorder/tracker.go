package jayorder

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
)

// Step is the next action of the lease holder for an outstanding order.
type Step string

// Steps of the lease holder.
const (
	// StepWait does nothing for now.
	StepWait Step = "wait"
	// StepRaiseFence raises the engine's fencing number, after which no earlier order can take effect.
	StepRaiseFence Step = "raise"
	// StepSend sends the order.
	StepSend Step = "send"
	// StepSettle records the order's result.
	StepSettle Step = "settle"
)

const (
	// PropagationTime is the least time from when an order is first read until its engine may
	// count as drained: by then every instance has stopped sending new requests to the engine.
	PropagationTime = 2 * time.Second
	// DrainTimeout is how long an engine may take to finish its requests before the order is settled as void.
	DrainTimeout = 60 * time.Second
	// MaxDeliveryDelay is how long after its sender is gone an order may still reach the engine.
	MaxDeliveryDelay = 5 * time.Second
)

// Observation is the input from which the holder decides the next step for an outstanding order.
type Observation struct {
	Now time.Time
	// Fence is the fencing number of the holder's lease.
	Fence int64
	// ChecksFence is set for engines that refuse old fencing numbers.
	ChecksFence bool
	// StatusKnown is set if the engine's status was read.
	StatusKnown bool
	Status      jayengine.Status
	// Idle is set if the engine has no running or waiting requests.
	Idle bool
	// WriterGoneAt is when the former holder that wrote the order was confirmed gone, zero until then.
	WriterGoneAt time.Time
}

// Tracker tracks an order at one holder of the lease.
type Tracker struct {
	Record
	// firstSeen is when the holder first read the order.
	firstSeen time.Time
	// sent is set once sending has started, and effectUnknown while the engine may have received the order.
	sent, effectUnknown bool
	// sentBoot is the engine's boot ID when the order was sent.
	sentBoot string
	// fenceRaised is set once the engine's fencing number is above those of all earlier orders.
	fenceRaised bool
	result      Result
}

// NewTracker returns the tracker of an order that a holder reads for the first time.
func NewTracker(now time.Time, record Record) *Tracker {
	return &Tracker{Record: record, firstSeen: now}
}

// Next returns the next step.
func (t *Tracker) Next(obs Observation) Step {
	if !obs.StatusKnown {
		return StepWait
	}
	if obs.Status.Order == t.Order.ID {
		return t.nextAccepted(obs)
	}
	if t.Fence != obs.Fence {
		return t.nextInherited(obs)
	}
	if t.effectUnknown {
		return t.nextUnknown(obs)
	}
	return t.nextOwn(obs)
}

// MarkFenceRaised records that the engine's fencing number is above those of all earlier orders.
func (t *Tracker) MarkFenceRaised() {
	t.fenceRaised = true
}

// Result returns the result to record with StepSettle.
func (t *Tracker) Result() Result {
	return t.result
}

// MarkSending records that the order is about to be sent to the engine with this boot ID.
func (t *Tracker) MarkSending(boot string) {
	t.sent, t.effectUnknown, t.sentBoot, t.fenceRaised = true, true, boot, false
}

// MarkNotAccepted records that the engine has not accepted the order sent.
func (t *Tracker) MarkNotAccepted() {
	t.effectUnknown = false
}

// nextAccepted returns the step for an order that the engine has accepted.
func (t *Tracker) nextAccepted(obs Observation) Step {
	if obs.Status.Busy {
		return StepWait
	}
	t.result = ResultFailed
	if fulfilled(t.Order, obs.Status) {
		t.result = ResultDone
	}
	return StepSettle
}

// nextInherited returns the step for an order of a former holder. It is settled
// only when it can no longer reach the engine and be accepted.
func (t *Tracker) nextInherited(obs Observation) Step {
	if obs.ChecksFence && !t.fenceRaised {
		return StepRaiseFence
	}
	if !obs.ChecksFence && (obs.WriterGoneAt.IsZero() || obs.Now.Sub(obs.WriterGoneAt) < MaxDeliveryDelay) {
		return StepWait
	}
	t.result = ResultVoid
	return StepSettle
}

// nextUnknown returns the step for an order that this holder has sent and whose
// effect is unknown: the engine's status does not show it, but the engine may
// have received it.
func (t *Tracker) nextUnknown(obs Observation) Step {
	if obs.Status.Boot != t.sentBoot {
		t.result = ResultFailed
		return StepSettle
	}
	if !obs.ChecksFence {
		return StepWait
	}
	if !t.fenceRaised {
		return StepRaiseFence
	}
	t.result = ResultVoid
	return StepSettle
}

// nextOwn returns the step for an order that this holder recorded: it is sent
// once the engine is drained.
func (t *Tracker) nextOwn(obs Observation) Step {
	waited := obs.Now.Sub(t.firstSeen)
	switch {
	case t.sent, waited > DrainTimeout:
		t.result = ResultVoid
		return StepSettle
	case waited < PropagationTime, !obs.Idle, obs.Status.Busy:
		return StepWait
	case obs.ChecksFence && !t.fenceRaised:
		return StepRaiseFence
	default:
		return StepSend
	}
}

// fulfilled reports whether an engine has reached the state that an order requests.
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

// ChecksFence reports whether an engine is configured as one that refuses old fencing numbers.
func ChecksFence(upstream *jayconfig.Upstream) bool {
	return upstream.Fence == jayconfig.FenceChecks
}
