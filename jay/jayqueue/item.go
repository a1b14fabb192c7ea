package jayqueue

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

// Item is a queued piece of work.
type Item[T any] struct {
	// Caller is the account whose share the work counts against.
	Caller   string
	Weight   int
	Priority jayconfig.Priority
	// Cost is the predicted work in slot-seconds.
	Cost float64
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	// Long marks work that may take at most a bounded share of the slots.
	Long bool
	// Value is opaque to the queue.
	Value T

	arrived      time.Time
	virtualStart float64
	removed      bool
}

// Arrived returns when the item was pushed.
func (i *Item[T]) Arrived() time.Time {
	return i.arrived
}

// meetsDeadline reports whether the item can be complete by its deadline after a
// predicted wait. The wait may use at most maxWaitFraction of the slack.
func (i *Item[T]) meetsDeadline(now time.Time, wait time.Duration) bool {
	if i.Deadline.IsZero() {
		return true
	}
	slack := i.Deadline.Sub(now) - time.Duration(i.Cost*float64(time.Second))
	return float64(wait) <= maxWaitFraction*float64(slack)
}

// expired reports whether the item can no longer be complete by its deadline,
// even if it were served now.
func (i *Item[T]) expired(now time.Time) bool {
	need := time.Duration(i.Cost * float64(time.Second))
	return !i.Deadline.IsZero() && now.Add(need).After(i.Deadline)
}
