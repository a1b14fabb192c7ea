// Package jaycontrol is the part of an instance that may hold the lease of its
// cell, the engines of its availability zone, and then gives them orders.
// Every instance follows the orders, so that it gives an engine no new work
// from before a change until the change is settled.
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
	// tickPeriod is the time between two looks at leases and orders.
	tickPeriod = 250 * time.Millisecond
	// readWait is how long a read waits at the end of a stream.
	readWait = 2 * time.Second
	// sendRoom is the authority that must be left when an order is sent: it
	// covers the longest time that sending may take.
	sendRoom = 1500 * time.Millisecond
)

// Log reads and appends records.
type Log interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
	Read(ctx context.Context, stream jaylog.Stream, from int64, wait time.Duration) (jaylog.Batch, error)
}

// Engines reaches the engines.
type Engines interface {
	Load(ctx context.Context, address string) (jayengine.Load, error)
	Send(ctx context.Context, address string, order jayengine.Order) error
	Status(ctx context.Context, address string) (jayengine.Status, error)
}

// Configs gives the configuration in force.
type Configs interface {
	View() *jayconfig.View
}

// Members gives the instances that are known.
type Members interface {
	Members() []jaymember.Status
}

// Planner decides which engine should change.
type Planner interface {
	// Plan returns the next order of a cell, without ID and fence, for an engine by name.
	Plan(now time.Time, scene Scene) (engine string, order jayengine.Order, ok bool)
}

// Scene is what a planner decides by.
type Scene struct {
	View *jayconfig.View
	// Engines are those of the cell.
	Engines []jayconfig.NamedUpstream
	// Status is what the engines that answer say of themselves, by name.
	Status map[string]jayengine.Status
}

// Ordered takes in which engines have orders that are not settled.
type Ordered interface {
	Ordered(engines map[string]bool)
}

// Options are what a controller is made of.
type Options struct {
	Cell        string
	Incarnation string
	TTL, Margin time.Duration
	Log         Log
	Writer      *jaylog.Writer
	Engines     Engines
	Configs     Configs
	Members     Members
	Planner     Planner
	Ordered     Ordered
	Metrics     *jaymetric.Set
	Logger      *slog.Logger
}

// Controller is the part that follows leases and orders.
type Controller struct {
	Options
	owner *jaytask.Owner[state]
	group *jaytask.Group
}

// state is what the controller's task owns.
type state struct {
	lease  *jaylease.Machine
	ledger *jayorder.Ledger
	tasks  map[string]*jayorder.Tracker
	// gone is when each former holder was proved gone.
	gone map[string]time.Time
	// fence is the own lease's fencing number, and sequence counts its orders.
	fence, sequence int64
	held            bool
	// ledgerEnd is set while the orders have been read to the stream's end.
	ledgerEnd bool
}

// New starts a controller.
func New(options Options) *Controller {
	now := time.Now()
	s := &state{
		lease: jaylease.NewMachine(now, 0, jaylease.Options{
			Cell: options.Cell, Incarnation: options.Incarnation, TTL: options.TTL, Margin: options.Margin,
			Writer: options.Writer, OnInvariantBroken: options.Metrics.Breach,
		}),
		ledger: jayorder.NewLedger(0),
		tasks:  make(map[string]*jayorder.Tracker),
		gone:   make(map[string]time.Time),
	}
	c := &Controller{Options: options, owner: jaytask.NewOwner(s, 0, nil), group: jaytask.NewGroup()}
	c.group.Go(func(ctx context.Context) { c.follow(ctx, jaylog.StreamLease, c.readLease) })
	c.group.Go(func(ctx context.Context) { c.follow(ctx, jaylog.StreamOrder, c.readOrders) })
	c.group.Every(tickPeriod, c.keepLease)
	c.group.Every(tickPeriod, c.keepOrders)
	return c
}

// Done is closed when the controller has stopped.
func (c *Controller) Done() <-chan struct{} {
	return c.group.Done()
}

// Release gives the lease up before a planned stop.
func (c *Controller) Release(ctx context.Context) {
	var record jaylog.Record
	var held bool
	_ = c.owner.Ask(ctx, func(s *state) { record, held = s.lease.Release(time.Now()) })
	if !held {
		return
	}
	if _, err := c.Log.Append(ctx, jaylog.StreamLease, record); err != nil {
		c.Logger.Warn("lease not given up", "cell", c.Cell, "error", err)
	}
}

// Stop ends the controller.
func (c *Controller) Stop() {
	c.group.Stop()
	c.owner.Stop()
}

// follow reads a stream until the controller stops.
func (c *Controller) follow(ctx context.Context, stream jaylog.Stream, read func(jaylog.Batch, bool) int64) {
	jaylog.Follow(ctx, c.Log, stream, readWait, jaylog.Handler{Read: read})
}

func (c *Controller) readLease(batch jaylog.Batch, expired bool) (next int64) {
	_ = c.owner.Ask(context.Background(), func(s *state) {
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
	_ = c.owner.Ask(context.Background(), func(s *state) {
		if expired {
			s.ledger.SkipTo(batch.Oldest)
		}
		for _, entry := range batch.Entries {
			s.ledger.Apply(entry)
		}
		s.ledgerEnd = !expired && s.ledger.Position() >= batch.End
		next = s.ledger.Position()
		engines = s.ledger.EnginesWithOrders()
	})
	c.Ordered.Ordered(engines)
	return next
}

// keepLease claims and renews the lease.
func (c *Controller) keepLease(ctx context.Context) {
	var record jaylog.Record
	var due bool
	_ = c.owner.Ask(ctx, func(s *state) { record, due = s.lease.Next(time.Now()) })
	if due {
		c.group.Go(func(ctx context.Context) { c.append(ctx, jaylog.StreamLease, record) })
	}
}

// keepOrders carries orders on while the lease is held.
func (c *Controller) keepOrders(ctx context.Context) {
	var held bool
	var fence int64
	_ = c.owner.Ask(ctx, func(s *state) {
		fence, held = s.lease.Holds(time.Now(), 0)
		c.noteHolder(s, held, fence)
		held = held && s.ledgerEnd
	})
	if held {
		c.carryOn(ctx, fence)
	}
}

// noteHolder counts and logs when the lease is taken and lost.
func (c *Controller) noteHolder(s *state, held bool, fence int64) {
	if held && fence != s.fence {
		s.fence, s.sequence = fence, 0
		clear(s.tasks)
	}
	if held == s.held {
		return
	}
	s.held = held
	if held {
		c.Metrics.Add(jaymetric.LeaseHeld, 1)
		c.Logger.Info("lease taken", "cell", c.Cell, "fence", fence)
		return
	}
	c.Metrics.Add(jaymetric.LeaseLost, 1)
	c.Logger.Warn("lease lost", "cell", c.Cell)
}

// append appends a record for as long as its lease could run.
func (c *Controller) append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, c.TTL)
	defer cancel()
	_, err := c.Log.Append(ctx, stream, record)
	if err != nil {
		c.Logger.Warn("record not appended", "stream", stream, "kind", record.Kind, "error", err)
	}
	return err == nil
}
