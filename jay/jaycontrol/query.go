package jaycontrol

import (
	"context"
	"slices"
	"time"

	"jayfield.example/jay/jayorder"
)

// Dump is the controller's part of a state dump.
type Dump struct {
	Cell string `json:"cell"`
	// Holder is the incarnation that holds the lease by log order, and Fence its fencing number.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	// Own is set while this instance holds a valid lease.
	Own    bool              `json:"own"`
	Orders []jayorder.Record `json:"orders"`
}

// Dump returns the controller's part of a state dump.
func (c *Controller) Dump(ctx context.Context) Dump {
	dump := Dump{Cell: c.Cell}
	_ = c.owner.Call(ctx, func(s *state) {
		holder := s.lease.View().Holder()
		dump.Holder, dump.Fence = holder.Incarnation, holder.Fence
		_, dump.Own = s.lease.Holds(time.Now(), 0)
		dump.Orders = s.ledger.OutstandingInCell(c.Cell)
	})
	return dump
}

// EnginesWithOrders returns the sorted names of the engines with outstanding orders.
func (c *Controller) EnginesWithOrders(ctx context.Context) []string {
	var names []string
	_ = c.owner.Call(ctx, func(s *state) {
		for name := range s.ledger.EnginesWithOrders() {
			names = append(names, name)
		}
	})
	slices.Sort(names)
	return names
}
