package jayduty

import "time"

// Lease is the right of one instance to call the control API. Times are of a clock that also counts the
// suspension of the machine. The zero lease is never held.
type Lease struct {
	// Fence is the fencing token, 0 if there is no lease.
	Fence int64
	// ActsFrom is when the waiting time after the claim ends, ExpiresAt when the lease does.
	ActsFrom, ExpiresAt time.Duration
}

// Holds reports whether calls may be made at a time and the lease then lasts longer than minRemaining.
func (l Lease) Holds(now, minRemaining time.Duration) bool {
	return l.Fence != 0 && now >= l.ActsFrom && now+minRemaining < l.ExpiresAt
}

// Remaining returns how long the lease still lasts.
func (l Lease) Remaining(now time.Duration) time.Duration {
	if l.Fence == 0 {
		return 0
	}
	return max(0, l.ExpiresAt-now)
}
