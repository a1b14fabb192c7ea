// Package jaypace limits the requests in progress at an upstream that has just started or recovered, by how
// fast it answers. A Pace is an immutable value without I/O and clock.
package jaypace

import (
	"math"
	"time"
)

// Reason is why a pace begins.
type Reason string

// Reasons of a pace.
const (
	ReasonStarted   Reason = "started"
	ReasonRestarted Reason = "restarted"
	ReasonReturned  Reason = "returned"
	ReasonEjected   Reason = "ejection ended"
	ReasonBusy      Reason = "busy time ended"
)

const (
	// firstShare is the part of what the instance has at comparable upstreams with which a pace begins, and
	// minLimit bounds the limit below so that no upstream is starved.
	firstShare = 0.25
	minLimit   = 0.125
	// slowFactor is how many times the expected time an answer may take and still count as fast: engines of a
	// service differ in speed by a factor of up to 2.4.
	slowFactor = 3
	// spread is added to the bound, so that noise of short requests does not count as slowness.
	spread = 5 * time.Millisecond
	// doublingTime is the time in which the limit doubles without answers: one of many instances may see none
	// for seconds.
	doublingTime = time.Second
	// fallInterval is the least time between two falls: answers to requests sent before a fall show its cause too.
	fallInterval = 100 * time.Millisecond
	// maxQuiet is the time since the begin or the last fall after which a pace ends, and maxQuietBusy the same
	// after a busy time, whose end the upstream stated itself. maxTime bounds a pace in any case.
	maxQuiet     = 4 * time.Second
	maxQuietBusy = 2 * time.Second
	maxTime      = 10 * time.Second
)

// Pace is a limit on the requests in progress of one instance at one upstream. The zero value limits nothing.
type Pace struct {
	reason Reason
	begun  time.Time
	// limit is the limit as of updated.
	limit   float64
	updated time.Time
	// quietSince is the time of the begin or of the last fall.
	quietSince time.Time
}

// Begin returns the pace of an upstream that takes work from a time on. Usual is the number of requests in
// progress that the instance has at comparable upstreams.
func Begin(at time.Time, reason Reason, usual int) Pace {
	limit := min(1, max(1, float64(usual))*firstShare)
	return Pace{reason: reason, begun: at, limit: limit, updated: at, quietSince: at}
}

// IsZero reports whether there is no limit.
func (p Pace) IsZero() bool {
	return p.reason == ""
}

// Reason returns why the pace began.
func (p Pace) Reason() Reason {
	return p.reason
}

// Elapsed returns the time since the begin, negative before it.
func (p Pace) Elapsed(now time.Time) time.Duration {
	return now.Sub(p.begun)
}

// Limit returns the limit. Below one it is the share of requests of which one at a time may be in progress.
// It rises with the time since the last answer, and does not fall below a floor that rises from the begin.
func (p Pace) Limit(now time.Time) float64 {
	return max(p.limit*growth(now.Sub(p.updated)), minLimit*growth(now.Sub(p.begun)))
}

// growth returns the factor by which a limit rises in a time without answers.
func growth(elapsed time.Duration) float64 {
	return math.Exp2(min(max(0, elapsed), maxTime).Seconds() / doublingTime.Seconds())
}

// Allows reports whether a further request may be sent beside those in progress. Position, from 0 to below
// 1, decides which requests belong to the share where the limit is below one.
func (p Pace) Allows(now time.Time, running int, position float64) bool {
	if p.IsZero() || p.expired(now) {
		return true
	}
	limit := p.Limit(now)
	return position < limit && float64(running) < max(1, math.Floor(limit))
}

// Ended reports whether the limit has reached what the instance has at comparable upstreams, or has been in
// force for long enough.
func (p Pace) Ended(now time.Time, usual int) bool {
	return !now.Before(p.begun) && (p.expired(now) || p.Limit(now) >= max(1, float64(usual)))
}

// WithAnswer returns the pace after an answer: below a limit of one it doubles, above it grows by one, which
// doubles it with each round of answers. A slow answer counts as a refusal.
func (p Pace) WithAnswer(now time.Time, took, expected time.Duration) Pace {
	if p.IsZero() || now.Before(p.begun) {
		return p
	}
	if took > slowFactor*expected+spread {
		return p.WithRefusal(now)
	}
	if p.justFell(now) {
		return p
	}
	limit := p.Limit(now)
	p.limit, p.updated = limit+min(1, limit), now
	return p
}

// WithRefusal returns the pace after a request that was refused or failed.
func (p Pace) WithRefusal(now time.Time) Pace {
	if p.IsZero() || now.Before(p.begun) || p.justFell(now) {
		return p
	}
	p.limit, p.updated, p.quietSince = max(minLimit, p.Limit(now)/2), now, now
	return p
}

// justFell reports whether answers may still be to requests that were sent before the last fall.
func (p Pace) justFell(now time.Time) bool {
	return p.quietSince != p.begun && now.Sub(p.quietSince) < fallInterval
}

// expired reports whether the pace ends because of the time.
func (p Pace) expired(now time.Time) bool {
	quiet := maxQuiet
	if p.reason == ReasonBusy {
		quiet = maxQuietBusy
	}
	return now.Sub(p.quietSince) >= quiet || now.Sub(p.begun) >= maxTime
}
