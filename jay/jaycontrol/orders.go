package jaycontrol

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayorder"
)

// processOrders takes the next step for each outstanding order of the cell. If
// none is outstanding, it plans and records the next order.
func (c *Controller) processOrders(ctx context.Context, fence int64) {
	view := c.Configs.View()
	if view == nil {
		return
	}
	engines := c.cellEngines(view)
	status := c.engineStatuses(ctx, engines)
	trackers := c.outstandingTrackers(ctx, fence)
	for _, upstream := range engines {
		if tracker, ok := trackers[upstream.Name]; ok {
			c.step(ctx, fence, upstream, status, tracker)
		}
	}
	if len(trackers) > 0 {
		return
	}
	if name, order, ok := c.Planner.Plan(time.Now(), PlanInput{View: view, Engines: engines, Status: status}); ok {
		c.recordOrder(ctx, fence, name, order)
	}
}

// cellEngines returns the engines of the cell.
func (c *Controller) cellEngines(view *jayconfig.View) []jayconfig.NamedUpstream {
	var list []jayconfig.NamedUpstream
	for _, upstream := range view.Upstreams() {
		if upstream.Kind == jayconfig.UpstreamEngine && upstream.Zone == c.Cell {
			list = append(list, upstream)
		}
	}
	return list
}

// engineStatuses reads the status of all engines concurrently. Engines that do not answer are absent.
func (c *Controller) engineStatuses(ctx context.Context, engines []jayconfig.NamedUpstream) map[string]jayengine.Status {
	byName := make(map[string]jayengine.Status, len(engines))
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, upstream := range engines {
		wait.Go(func() {
			status, err := c.Engines.Status(ctx, upstream.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			byName[upstream.Name] = status
		})
	}
	wait.Wait()
	return byName
}

// outstandingTrackers returns the trackers of the cell's outstanding orders, by
// engine. It also records which writers of orders of earlier leases are gone.
func (c *Controller) outstandingTrackers(ctx context.Context, fence int64) map[string]*jayorder.Tracker {
	trackers := make(map[string]*jayorder.Tracker)
	_ = c.owner.Call(ctx, func(s *state) {
		for _, record := range s.ledger.OutstandingInCell(c.Cell) {
			tracker, ok := s.trackers[record.Engine]
			if !ok || tracker.Order.ID != record.Order.ID {
				tracker = jayorder.NewTracker(time.Now(), record)
				s.trackers[record.Engine] = tracker
			}
			trackers[record.Engine] = tracker
			if record.Fence != fence {
				c.recordIfGone(s, record.Writer)
			}
		}
	})
	return trackers
}

// recordIfGone records the time at which a former holder is first confirmed
// gone: it released the lease, the platform's list no longer has it, another
// incarnation answers at its address, or it is this instance under an earlier
// lease. A holder that is merely silent is not confirmed gone, as it may only be
// partitioned from this instance.
func (c *Controller) recordIfGone(s *state, writer string) {
	if _, known := s.goneAt[writer]; known {
		return
	}
	gone := s.lease.View().Released(writer) || writer == c.Incarnation
	var peer string
	for _, m := range c.Members.Members() {
		if m.Incarnation == writer {
			peer = m.Peer
			gone = gone || m.Unlisted
		}
	}
	for _, m := range c.Members.Members() {
		gone = gone || peer != "" && m.Peer == peer && m.Incarnation != writer && !m.Silent
	}
	if gone {
		s.goneAt[writer] = time.Now()
	}
}

// step takes the next step for one order.
func (c *Controller) step(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, statuses map[string]jayengine.Status, tracker *jayorder.Tracker) {
	status, known := statuses[upstream.Name]
	obs := jayorder.Observation{
		Now: time.Now(), Fence: fence, StatusKnown: known, Status: status,
		ChecksFence: jayorder.ChecksFence(upstream.Upstream),
		Idle:        known && c.idle(ctx, upstream.Address),
	}
	_ = c.owner.Call(ctx, func(s *state) { obs.WriterGoneAt = s.goneAt[tracker.Writer] })
	switch tracker.Next(obs) {
	case jayorder.StepRaiseFence:
		c.raiseFence(ctx, fence, upstream, tracker)
	case jayorder.StepSend:
		c.sendOrder(ctx, fence, upstream, status, tracker)
	case jayorder.StepSettle:
		c.settleOrder(ctx, tracker)
	case jayorder.StepWait:
		c.Metrics.Add(jaymetric.OrdersBlocked, 1)
	}
}

func (c *Controller) idle(ctx context.Context, address string) bool {
	load, err := c.Engines.Load(ctx, address)
	return err == nil && load.Running == 0 && load.Waiting == 0
}

// nextEngineFence returns the fencing number of the next order if the lease remains valid long enough to send it.
func (c *Controller) nextEngineFence(ctx context.Context, fence int64) (int64, bool) {
	var engineFence int64
	var held bool
	_ = c.owner.Call(ctx, func(s *state) {
		current, ok := s.lease.Holds(time.Now(), minLeaseToSend)
		held = ok && current == fence
		if held {
			s.sequence++
			engineFence = jayorder.EngineFence(fence, s.sequence)
		}
	})
	return engineFence, held
}

// raiseFence raises the engine's fencing number above those of all earlier orders.
func (c *Controller) raiseFence(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, tracker *jayorder.Tracker) {
	engineFence, ok := c.nextEngineFence(ctx, fence)
	if !ok {
		return
	}
	order := jayengine.Order{ID: uuid.NewString(), Fence: engineFence, Kind: jayengine.OrderFence}
	if err := c.Engines.Send(ctx, upstream.Address, order); err != nil {
		c.Logger.Warn("fencing number not raised", "engine", upstream.Name, "error", err)
		return
	}
	tracker.MarkFenceRaised()
}

// recordOrder appends an order to the log. It is sent only after it has been read back.
func (c *Controller) recordOrder(ctx context.Context, fence int64, engine string, order jayengine.Order) {
	order.ID = uuid.NewString()
	record := jayorder.Record{Cell: c.Cell, Engine: engine, Fence: fence, Writer: c.Incarnation, Order: order}
	if c.appendOrder(ctx, jayorder.RecordOrder, record) {
		c.Logger.Info("order recorded", "engine", engine, "order", order.ID, "kind", order.Kind, "value", order.Value)
	}
}

func (c *Controller) appendOrder(ctx context.Context, kind string, record jayorder.Record) bool {
	body, err := record.Encode()
	if err != nil {
		c.Logger.Error("order not encoded", "error", err)
		return false
	}
	before := c.ledgerPosition(ctx)
	if !c.append(ctx, jaylog.StreamOrder, c.Writer.Record(kind, body)) {
		return false
	}
	c.awaitLedger(ctx, before)
	return true
}

// awaitLedger waits until the ledger has read past an offset, so that the next
// tick does not plan from a state that lacks the record just appended.
func (c *Controller) awaitLedger(ctx context.Context, before int64) {
	deadline := time.Now().Add(readWait)
	for c.ledgerPosition(ctx) <= before && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(tickPeriod / 25)
	}
}

func (c *Controller) ledgerPosition(ctx context.Context) int64 {
	var position int64
	_ = c.owner.Call(ctx, func(s *state) { position = s.ledger.Position() })
	return position
}

// sendOrder sends an order under the lease. The result is read later from the engine's status.
func (c *Controller) sendOrder(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, status jayengine.Status, tracker *jayorder.Tracker) {
	engineFence, ok := c.nextEngineFence(ctx, fence)
	if !ok {
		return
	}
	if !c.isOutstanding(ctx, tracker.Record) {
		return
	}
	order := tracker.Order
	order.Fence = engineFence
	tracker.MarkSending(status.Boot)
	err := c.Engines.Send(ctx, upstream.Address, order)
	c.Metrics.Add(jaymetric.OrdersSent, 1)
	c.Logger.Info("order sent", "engine", upstream.Name, "order", order.ID, "fence", engineFence, "error", err)
	if jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindFence) || jayerror.Is(err, jayengine.KindBusy) {
		tracker.MarkNotAccepted()
	}
}

// isOutstanding reports whether an order is outstanding according to the log. If another
// order of the engine is outstanding instead, the orders conflict and an
// invariant is broken.
func (c *Controller) isOutstanding(ctx context.Context, record jayorder.Record) bool {
	var current jayorder.Record
	var ok bool
	_ = c.owner.Call(ctx, func(s *state) { current, ok = s.ledger.Outstanding(record.Engine) })
	if ok && current.Order.ID != record.Order.ID {
		c.Metrics.ReportBrokenInvariant("orders: the log has another outstanding order for the engine")
		return false
	}
	return ok
}

// settleOrder appends the result of an order to the log.
func (c *Controller) settleOrder(ctx context.Context, tracker *jayorder.Tracker) {
	record := tracker.Record
	record.Result = tracker.Result()
	if c.appendOrder(ctx, jayorder.RecordSettled, record) {
		c.Logger.Info("order settled", "engine", record.Engine, "order", record.Order.ID, "result", record.Result)
	}
}
