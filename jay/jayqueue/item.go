package jayqueue

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

// Item is a piece of work that waits.
type Item[T any] struct {
	// Caller is the account whose share the work takes.
	Caller   string
	Weight   int
	Priority jayconfig.Priority
	// Cost is the predicted work in seconds of one slot.
	Cost float64
	// Deadline is when the answer must be complete; zero is none.
	Deadline time.Time
	// Long marks work that may not take more than its bounded share.
	Long bool
	// Value belongs to the owner of the queue.
	Value T

	arrived time.Time
	start   float64
	removed bool
}

// Arrived returns when the item was pushed.
func (i *Item[T]) Arrived() time.Time {
	return i.arrived
}

// inTime reports whether the item can be complete by its deadline after a wait.
func (i *Item[T]) inTime(now time.Time, wait time.Duration) bool {
	if i.Deadline.IsZero() {
		return true
	}
	left := i.Deadline.Sub(now) - time.Duration(i.Cost*float64(time.Second))
	return float64(wait) <= safety*float64(left)
}

// late reports whether the item can no longer be complete by its deadline.
func (i *Item[T]) late(now time.Time) bool {
	need := time.Duration(i.Cost * float64(time.Second))
	return !i.Deadline.IsZero() && now.Add(need).After(i.Deadline)
}
