// Package jaystop decides which requests an instance still takes during its planned stop. The load
// that it answers is what callers send while they learn that the instance is leaving, from addresses
// that they have cached and over connections that they keep open.
package jaystop

import "time"

const (
	// maxExitMargin is the longest part of the grace period that is left for the process to exit, and
	// exitParts the number of parts of a short one of which one is left. answerMargin is the part
	// before it in which requests still in progress are answered as failed.
	maxExitMargin = 700 * time.Millisecond
	exitParts     = 10
	answerMargin  = 150 * time.Millisecond
	// cacheLifetimes is the number of lifetimes for which some callers cache the addresses.
	cacheLifetimes = 3
	// clockMargin covers the delay of the signal and the time that requests spend on the way.
	clockMargin = 250 * time.Millisecond
)

// Plan holds the phases of a planned stop. It is immutable; the zero value is an instance that is
// not stopping.
type Plan struct {
	// open is until when callers may send requests without knowing that the instance is leaving.
	open time.Time
	// closed is when the instance accepts no more connections.
	closed time.Time
	// deadline is when requests in progress end, end is when their connections are closed, and killed is
	// the end of the grace period.
	deadline, end, killed time.Time
}

// NewPlan returns the plan of a stop that began at a point in time and has to be over within a grace
// period. Callers cache the addresses of instances for a lifetime.
func NewPlan(began time.Time, grace, lifetime time.Duration) Plan {
	left := grace - min(maxExitMargin, grace/exitParts)
	end := began.Add(left)
	cached := min(cacheLifetimes*lifetime, grace/2)
	return Plan{
		open:     began.Add(max(0, cached-clockMargin)),
		closed:   began.Add(min(cached+clockMargin, left)),
		deadline: end.Add(-answerMargin),
		end:      end,
		killed:   began.Add(grace),
	}
}

// Stopping reports whether a stop has begun.
func (p Plan) Stopping() bool {
	return !p.end.IsZero()
}

// Open returns until when callers may send requests without knowing that the instance is leaving.
func (p Plan) Open() time.Time {
	return p.open
}

// Closed returns when the instance accepts no more connections.
func (p Plan) Closed() time.Time {
	return p.closed
}

// Deadline returns when requests in progress are answered as failed.
func (p Plan) Deadline() time.Time {
	return p.deadline
}

// End returns when the remaining connections are closed.
func (p Plan) End() time.Time {
	return p.end
}

// Request describes a request that arrives during a stop.
type Request struct {
	// Deadline is when the work ends at the latest.
	Deadline time.Time
	// Repeatable is set if the request may run more than once.
	Repeatable bool
}

// Admits reports whether a request is taken. One whose deadline is after the end of the stop is
// taken only while its caller cannot know better, and not if it may run only once and another
// instance takes it: its outcome would be unknown if the work did not end in time.
func (p Plan) Admits(now time.Time, r Request, others bool) bool {
	if !p.Stopping() || !r.Deadline.After(p.deadline) {
		return true
	}
	return now.Before(p.open) && (r.Repeatable || !others)
}

// RetryAfter returns when the caller of a request that is not taken may send it again: at once if
// another instance takes it, else once this one has been replaced.
func (p Plan) RetryAfter(now time.Time, others bool) time.Duration {
	if others {
		return time.Millisecond
	}
	return max(time.Millisecond, p.killed.Sub(now))
}
