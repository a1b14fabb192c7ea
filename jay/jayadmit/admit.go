// Package jayadmit decides which requests wait before they are sent to an engine, in which order they
// are released, and which are refused early.
//
// The load that it answers: for some seconds callers want more than the engines can do. A class of
// requests doubles, the preemptible engines of a zone are reclaimed, or one large client account retries
// its requests immediately and often. Without admission all requests wait in the engines' queues, where
// an account with many requests delays all others, and engines prefill prompts whose callers have given up.
//
// A request is held only if the wait that remains at its engine, after the engine's own ordering by rank,
// is longer than its latency objective, or if the engine has no free slot. Below that load the queue is
// empty and every request is sent as it arrives. Held requests are released by priority, accounts below
// their fair share first, then by deadline; see Queue and Shares.
//
// The package does no I/O and reads no clock: one goroutine owns a Queue and passes it the time.
package jayadmit

import (
	"time"

	"jayfield.example/jay/jayerror"
)

// Kind classifies an error of the package.
type Kind string

// Kinds of refusals. A refused request was not sent and never will be.
const (
	// KindDeadline means that the request can't be served before its deadline.
	KindDeadline Kind = "deadline"
	// KindFull means that too many requests are held and this one is the last in the order.
	KindFull Kind = "full"
	// KindStopping means that the instance is stopping and another one takes the request.
	KindStopping Kind = "stopping"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

const (
	// minHoldWait is the shortest wait at an engine for which a request is held. Instances learn of each
	// other's work up to a second late: with a shorter queue, an engine could run out of work while
	// requests for it are held.
	minHoldWait = 500 * time.Millisecond
	// untargetedWait is the wait above which a request without a latency objective is held.
	untargetedWait = time.Second
	// plausiblePart is the part of a predicted time that is the shortest plausible one.
	plausiblePart = 0.5
	// belowShareFactor is how many times as long a wait at an engine is accepted for accounts below their fair share.
	belowShareFactor = 2
	// A held request is sent at the latest when the time left is sendMargin times its predicted time, or
	// minSendTime. In that prediction the engine's queue counts at most as its timeout divided by
	// queueDivisor. The second figures are for accounts above their share: in simulations of a large account that wants
	// twice the capacity, 18 in 100 fewer long requests of other accounts were served with the first ones.
	sendMargin, sendMarginAbove     = 2.0, 1.5
	queueDivisor, queueDivisorAbove = 3, 4
	minSendTime                     = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// outputWeight is the number of prefilled tokens that take as much of an engine as one output token.
	outputWeight = 10
)

// Request is a request that may be held.
type Request struct {
	Service string
	// Account is the name of the client account, empty for requests without a key on public routes.
	Account string
	// Priority is the priority of the account or of the route, 0 the most urgent.
	Priority int
	// Target is the latency objective, 0 if there is none.
	Target   time.Duration
	Deadline time.Time
	// Timeout is the time from the arrival to the deadline.
	Timeout time.Duration
	// Tokens is the work of the request as Cost returns it, Bytes the size of its body.
	Tokens, Bytes int
	// Caller is a hash of the account, the route and the prompt parts, by which a request is recognised
	// that is sent again after a refusal.
	Caller uint64
}

// Cost returns the work of a request in tokens.
func Cost(prefill, output int) int {
	return prefill + outputWeight*output
}

// Room is what an engine can do for a request now.
type Room struct {
	// Engine identifies the engine.
	Engine string
	// Queue is the expected time until the prefills that go first have ended, Own the expected time from
	// then to the first token.
	Queue, Own time.Duration
	// Full is set if the engine has no free slot.
	Full bool
	// Measured is set if the times rest on measurements. Without them nothing is held or refused.
	Measured bool
}

// Fits reports whether a request is sent at once rather than held, whatever its account has used. For one that is
// held, Pass counts its account's use too.
func (r Request) Fits(room Room) bool {
	return !room.Measured || !room.Full && room.Queue <= r.limit()
}

// limit returns the wait at an engine above which the request is held.
func (r Request) limit() time.Duration {
	if r.Target == 0 {
		return untargetedWait
	}
	return max(minHoldWait, r.Target)
}

// belowShareLimit returns the wait at an engine up to which a request of an account below its fair share is sent. It
// is longer than limit, so that such requests find room before those of accounts above their share.
func (r Request) belowShareLimit() time.Duration {
	return belowShareFactor * r.limit()
}

// tooLarge reports whether the body alone is larger than those of all held requests may be.
func (r Request) tooLarge() bool {
	return r.Bytes > MaxBytes
}

// hopeless reports whether even the shortest plausible time at the engine is longer than the time left. Held
// requests that go first don't count: how fast they are worked off is not known after a lull.
func (r Request) hopeless(now time.Time, room Room) bool {
	return !r.Deadline.After(now) || room.Measured && time.Duration(plausiblePart*float64(room.Queue+room.Own)) > r.Deadline.Sub(now)
}

// due reports whether a held request has to be sent now to be served before its deadline. Only a part of a
// long queue counts: otherwise no request would be held while the queue is longer than its deadline. Requests
// of accounts above their share are held longer, since they would fill the engines for all others.
func (r Request) due(now time.Time, room Room, above bool) bool {
	margin, maxQueue := sendMargin, r.Timeout/queueDivisor
	if above {
		margin, maxQueue = sendMarginAbove, r.Timeout/queueDivisorAbove
	}
	predicted := min(room.Queue, max(r.limit(), maxQueue)) + room.Own
	return r.Deadline.Sub(now) <= max(minSendTime, time.Duration(margin*float64(predicted)))
}

// RefusalError is the cause of an error of the package.
type RefusalError struct {
	reason string
	after  time.Duration
}

// Error returns the reason.
func (r *RefusalError) Error() string { return r.reason }

// RetryAfter returns the predicted time until there is room for the account.
func (r *RefusalError) RetryAfter() time.Duration { return r.after }

// refuse returns the error of a refused request.
func refuse(kind Kind, reason string, after time.Duration) error {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return jayerror.Wrap("admit", kind, &RefusalError{reason: reason, after: after})
}
