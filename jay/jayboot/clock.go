// Package jayboot reads a clock that also counts the time during which the machine is suspended. Steps of
// the time of day don't change it.
package jayboot

import "time"

// Clock reads the time since a fixed point in the past. It is safe for concurrent use.
type Clock struct {
	// start is the zero of the fallback, which is used if boot is not set.
	start time.Time
	boot  bool
}

// NewClock returns a clock. Where the system has no clock that counts suspension, it reads the monotonic
// clock of the process.
func NewClock() *Clock {
	_, ok := sinceBoot()
	return &Clock{start: time.Now(), boot: ok}
}

// Now returns the current time.
func (c *Clock) Now() time.Duration {
	if !c.boot {
		return time.Since(c.start)
	}
	// The call fails only on kernels that lack the clock, which NewClock has found out.
	now, _ := sinceBoot()
	return now
}

// CountsSuspension reports whether the clock also counts the time during which the machine is suspended.
func (c *Clock) CountsSuspension() bool {
	return c.boot
}
