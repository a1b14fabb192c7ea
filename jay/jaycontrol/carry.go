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

// carryOn carries the cell's orders on under the lease, and plans the next.
func (c *Controller) carryOn(ctx context.Context, fence int64) {
	view := c.Configs.View()
	if view == nil {
		return
	}
	engines := c.cellEngines(view)
	status := c.statuses(ctx, engines)
	open := c.openTasks(ctx, fence)
	for _, upstream := range engines {
		if task, ok := open[upstream.Name]; ok {
			c.step(ctx, fence, upstream, status, task)
		}
	}
	if len(open) > 0 {
		return
	}
	if name, order, ok := c.Planner.Plan(time.Now(), Scene{View: view, Engines: engines, Status: status}); ok {
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

// statuses asks all engines of the cell at once; those that do not answer are missing.
func (c *Controller) statuses(ctx context.Context, engines []jayconfig.NamedUpstream) map[string]jayengine.Status {
	found := make(map[string]jayengine.Status, len(engines))
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
			found[upstream.Name] = status
		})
	}
	wait.Wait()
	return found
}

// openTasks returns the tasks of the cell's orders that are not settled.
func (c *Controller) openTasks(ctx context.Context, fence int64) map[string]*jayorder.Tracker {
	open := make(map[string]*jayorder.Tracker)
	_ = c.owner.Ask(ctx, func(s *state) {
		for _, record := range s.ledger.OutstandingInCell(c.Cell) {
			task, ok := s.tasks[record.Engine]
			if !ok || task.Order.ID != record.Order.ID {
				task = jayorder.NewTracker(time.Now(), record)
				s.tasks[record.Engine] = task
			}
			open[record.Engine] = task
			if record.Fence != fence {
				c.prove(s, record.Writer)
			}
		}
	})
	return open
}

// prove notes when a former holder is known to be gone: it gave the lease up,
// the platform's list no longer shows it, or another incarnation answers at
// its address. That it is silent proves nothing: it may just be cut off.
func (c *Controller) prove(s *state, writer string) {
	if _, known := s.gone[writer]; known {
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
		s.gone[writer] = time.Now()
	}
}

// step does what is next for one order.
func (c *Controller) step(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, statuses map[string]jayengine.Status, task *jayorder.Tracker) {
	status, known := statuses[upstream.Name]
	obs := jayorder.Observation{
		Now: time.Now(), Fence: fence, StatusKnown: known, Status: status,
		ChecksFence: jayorder.ChecksFence(upstream.Upstream),
		Idle:        known && c.idle(ctx, upstream.Address),
	}
	_ = c.owner.Ask(ctx, func(s *state) { obs.WriterGoneAt = s.gone[task.Writer] })
	switch task.Next(obs) {
	case jayorder.StepRaiseFence:
		c.raise(ctx, fence, upstream, task)
	case jayorder.StepSend:
		c.send(ctx, fence, upstream, status, task)
	case jayorder.StepSettle:
		c.settle(ctx, task)
	case jayorder.StepWait:
		c.Metrics.Add(jaymetric.OrdersBlocked, 1)
	}
}

func (c *Controller) idle(ctx context.Context, address string) bool {
	load, err := c.Engines.Load(ctx, address)
	return err == nil && load.Running == 0 && load.Waiting == 0
}

// authority returns the number of the next order if the lease runs long enough to send it.
func (c *Controller) authority(ctx context.Context, fence int64) (int64, bool) {
	var number int64
	var held bool
	_ = c.owner.Ask(ctx, func(s *state) {
		current, ok := s.lease.Holds(time.Now(), sendRoom)
		held = ok && current == fence
		if held {
			s.sequence++
			number = jayorder.EngineFence(fence, s.sequence)
		}
	})
	return number, held
}

// raise raises the engine's fencing number above all earlier orders.
func (c *Controller) raise(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, task *jayorder.Tracker) {
	number, ok := c.authority(ctx, fence)
	if !ok {
		return
	}
	order := jayengine.Order{ID: uuid.NewString(), Fence: number, Kind: jayengine.OrderFence}
	if err := c.Engines.Send(ctx, upstream.Address, order); err != nil {
		c.Logger.Warn("fencing number not raised", "engine", upstream.Name, "error", err)
		return
	}
	task.MarkFenceRaised()
}

// recordOrder appends an order, which is sent only after it is read back.
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
	before := c.ledgerNext(ctx)
	if !c.append(ctx, jaylog.StreamOrder, c.Writer.Record(kind, body)) {
		return false
	}
	c.awaitLedger(ctx, before)
	return true
}

// awaitLedger waits until the ledger has read past an offset, so that the
// next tick does not plan from a state without the own record.
func (c *Controller) awaitLedger(ctx context.Context, before int64) {
	deadline := time.Now().Add(readWait)
	for c.ledgerNext(ctx) <= before && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(tickPeriod / 25)
	}
}

func (c *Controller) ledgerNext(ctx context.Context) int64 {
	var next int64
	_ = c.owner.Ask(ctx, func(s *state) { next = s.ledger.Position() })
	return next
}

// send sends an order under the lease. Its result is read from the engine's status.
func (c *Controller) send(ctx context.Context, fence int64, upstream jayconfig.NamedUpstream, status jayengine.Status, task *jayorder.Tracker) {
	number, ok := c.authority(ctx, fence)
	if !ok {
		return
	}
	if !c.open(ctx, task.Record) {
		return
	}
	order := task.Order
	order.Fence = number
	task.MarkSending(status.Boot)
	err := c.Engines.Send(ctx, upstream.Address, order)
	c.Metrics.Add(jaymetric.OrdersSent, 1)
	c.Logger.Info("order sent", "engine", upstream.Name, "order", order.ID, "fence", number, "error", err)
	if jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindFence) || jayerror.Is(err, jayengine.KindBusy) {
		task.MarkNotAccepted()
	}
}

// open reports whether the log holds an order open for its engine. That it
// holds another one instead would be a conflict between orders.
func (c *Controller) open(ctx context.Context, record jayorder.Record) bool {
	var current jayorder.Record
	var held bool
	_ = c.owner.Ask(ctx, func(s *state) { current, held = s.ledger.Outstanding(record.Engine) })
	if held && current.Order.ID != record.Order.ID {
		c.Metrics.Breach("orders: another order of the engine is open in the log")
		return false
	}
	return held
}

// settle records the result of an order.
func (c *Controller) settle(ctx context.Context, task *jayorder.Tracker) {
	record := task.Record
	record.Result = task.Result()
	if c.appendOrder(ctx, jayorder.RecordSettled, record) {
		c.Logger.Info("order settled", "engine", record.Engine, "order", record.Order.ID, "result", record.Result)
	}
}
