// Package jaycontrol runs the controller of an instance, which competes for the
// lease of the instance's cell and sends orders to the cell's engines while it
// holds the lease. A cell is the engines of one availability zone. Every
// instance reads the orders, so that it sends no new requests to an engine from
// before a change until the change is settled.
package jaycontrol

import (
	"context"
	"log/slog"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaylease"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayorder"
	"jayfield.example/jay/jaytask"
)

const (
	// tickPeriod is the interval at which the lease and the orders are processed.
	tickPeriod = 250 * time.Millisecond
	// readWait is how long a read waits at the end of a stream, and the longest wait until an
	// appended order has been read back.
	readWait = 2 * time.Second
	// minLeaseToSend is how long the lease must remain valid when an order is sent: it
	// covers the longest time that sending may take.
	minLeaseToSend = 1500 * time.Millisecond
)

// Log reads and appends records.
type Log interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Engines is a client for the engines.
type Engines interface {
	Load(ctx context.Context, address string) (jayengine.Load, error)
	Send(ctx context.Context, address string, order jayengine.Order) error
	Status(ctx context.Context, address string) (jayengine.Status, error)
}

// Configs provides the configuration in force.
type Configs interface {
	View() *jayconfig.View
}

// Members provides the status of the known instances.
type Members interface {
	Members() []jaymember.Status
}

// Planner decides which engine is to change.
type Planner interface {
	// Plan returns the next order of a cell, without ID and fencing number, and the name of its engine.
	Plan(now time.Time, input PlanInput) (engine string, order jayengine.Order, ok bool)
}

// PlanInput is the input of a planner.
type PlanInput struct {
	View *jayconfig.View
	// Engines are the engines of the cell.
	Engines []jayconfig.NamedUpstream
	// Status holds the status of each engine that answered, by name.
	Status map[string]jayengine.Status
}

// OrderObserver is notified of the engines that have outstanding orders.
type OrderObserver interface {
	SetEnginesWithOrders(engines map[string]bool)
}

// Options configures a Controller.
type Options struct {
	Cell          string
	Incarnation   string
	TTL, Margin   time.Duration
	Log           Log
	Writer        *jaylog.Writer
	Engines       Engines
	Configs       Configs
	Members       Members
	Planner       Planner
	OrderObserver OrderObserver
	Metrics       *jaymetric.Set
	Logger        *slog.Logger
}

// Controller reads the streams of leases and orders, competes for the lease of
// its cell and, while it holds the lease, sends orders to the cell's engines.
type Controller struct {
	Options
	owner *jaytask.Owner[state]
	group *jaytask.Group
}

// state is the controller's state. The owner task serializes access to it.
type state struct {
	lease    *jaylease.Machine
	ledger   *jayorder.Ledger
	trackers map[string]*jayorder.Tracker
	// goneAt is when each former holder was confirmed gone.
	goneAt map[string]time.Time
	// fence is the fencing number of this instance's lease, and sequence counts the numbers given to its orders.
	fence, sequence int64
	held            bool
	// ledgerCaughtUp is set while the orders have been read to the end of the stream.
	ledgerCaughtUp bool
}

// New starts a controller.
func New(options Options) *Controller {
	now := time.Now()
	s := &state{
		lease: jaylease.NewMachine(now, 0, jaylease.Options{
			Cell: options.Cell, Incarnation: options.Incarnation, TTL: options.TTL, Margin: options.Margin,
			Writer: options.Writer, OnInvariantBroken: options.Metrics.ReportBrokenInvariant,
		}),
		ledger:   jayorder.NewLedger(0),
		trackers: make(map[string]*jayorder.Tracker),
		goneAt:   make(map[string]time.Time),
	}
	c := &Controller{Options: options, owner: jaytask.NewOwner(s, 0, nil), group: jaytask.NewGroup()}
	c.group.Go(func(ctx context.Context) { c.follow(ctx, jaylog.StreamLease, c.readLease) })
	c.group.Go(func(ctx context.Context) { c.follow(ctx, jaylog.StreamOrder, c.readOrders) })
	c.group.Every(tickPeriod, c.maintainLease)
	c.group.Every(tickPeriod, c.maintainOrders)
	return c
}

// Done is closed when the controller has stopped.
func (c *Controller) Done() <-chan struct{} {
	return c.group.Done()
}

// Release releases the lease before a planned stop.
func (c *Controller) Release(ctx context.Context) {
	var record jaylog.Record
	var held bool
	_ = c.owner.Call(ctx, func(s *state) { record, held = s.lease.Release(time.Now()) })
	if !held {
		return
	}
	if _, err := c.Log.Append(ctx, jaylog.StreamLease, record); err != nil {
		c.Logger.Warn("lease not released", "cell", c.Cell, "error", err)
	}
}

// Stop stops the controller.
func (c *Controller) Stop() {
	c.group.Stop()
	c.owner.Stop()
}

// follow reads a stream until the controller stops.
func (c *Controller) follow(ctx context.Context, stream jaylog.Stream, read func(jaylog.Batch, bool) int64) {
	jaylog.Follow(ctx, c.Log, stream, readWait, jaylog.Handler{Read: read})
}

func (c *Controller) readLease(batch jaylog.Batch, expired bool) (next int64) {
	_ = c.owner.Call(context.Background(), func(s *state) {
		now := time.Now()
		if expired {
			s.lease.SkipTo(now, batch.Oldest)
		} else {
			s.lease.Apply(now, batch.Entries, batch.End)
		}
		next = s.lease.Position()
	})
	return next
}

func (c *Controller) readOrders(batch jaylog.Batch, expired bool) (next int64) {
	var engines map[string]bool
	_ = c.owner.Call(context.Background(), func(s *state) {
		if expired {
			s.ledger.SkipTo(batch.Oldest)
		}
		for _, entry := range batch.Entries {
			s.ledger.Apply(entry)
		}
		s.ledgerCaughtUp = !expired && s.ledger.Position() >= batch.End
		next = s.ledger.Position()
		engines = s.ledger.EnginesWithOrders()
	})
	c.OrderObserver.SetEnginesWithOrders(engines)
	return next
}

// maintainLease appends a claim or renewal of the lease when one is due.
func (c *Controller) maintainLease(ctx context.Context) {
	var record jaylog.Record
	var due bool
	_ = c.owner.Call(ctx, func(s *state) { record, due = s.lease.Next(time.Now()) })
	if due {
		c.group.Go(func(ctx context.Context) { c.append(ctx, jaylog.StreamLease, record) })
	}
}

// maintainOrders processes orders while the lease is held and the orders have been read to the end of the stream.
func (c *Controller) maintainOrders(ctx context.Context) {
	var held bool
	var fence int64
	_ = c.owner.Call(ctx, func(s *state) {
		fence, held = s.lease.Holds(time.Now(), 0)
		c.recordLeaseChange(s, held, fence)
		held = held && s.ledgerCaughtUp
	})
	if held {
		c.processOrders(ctx, fence)
	}
}

// recordLeaseChange counts and logs when the lease is acquired and lost. A new
// fencing number resets the sequence and the trackers.
func (c *Controller) recordLeaseChange(s *state, held bool, fence int64) {
	if held && fence != s.fence {
		s.fence, s.sequence = fence, 0
		clear(s.trackers)
	}
	if held == s.held {
		return
	}
	s.held = held
	if held {
		c.Metrics.Add(jaymetric.LeaseHeld, 1)
		c.Logger.Info("lease acquired", "cell", c.Cell, "fence", fence)
		return
	}
	c.Metrics.Add(jaymetric.LeaseLost, 1)
	c.Logger.Warn("lease lost", "cell", c.Cell)
}

// append appends a record. It times out after the lease's TTL: a claim or renewal
// appended later gives no valid lease.
func (c *Controller) append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, c.TTL)
	defer cancel()
	_, err := c.Log.Append(ctx, stream, record)
	if err != nil {
		c.Logger.Warn("record not appended", "stream", stream, "kind", record.Kind, "error", err)
	}
	return err == nil
}
