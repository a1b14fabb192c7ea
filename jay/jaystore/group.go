package jaystore

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// minRetryPause is the least time between two calls that a follower makes to an unavailable store while others are
// answered. A store may serve some calls only.
const minRetryPause = 500 * time.Millisecond

// RetryLimiter limits the rate of the calls that followers make to an unavailable store.
type RetryLimiter interface {
	// Limit returns the rate of the calls, Tokens how many are allowed now.
	Limit() rate.Limit
	Tokens() float64
	// Allow reports whether a call is allowed, and counts it.
	Allow() bool
}

// Group is the followers of an instance that read the same store. They share a limit on the rate of the calls that they
// make while it does not answer, in the order in which their calls failed. Once it answers one of them again, the others
// retry at once, and while it answers some they retry soon. A Group is safe for concurrent use.
type Group struct {
	// limiter is nil if only the backoff of each follower limits its retries.
	limiter   RetryLimiter
	mu        sync.Mutex
	followers []*Follower
	// waiting are the followers that wait for a retry, in the order in which they may make it.
	waiting []*Follower
}

// NewGroup returns an empty group with a limit on the rate of retries.
func NewGroup(limiter RetryLimiter) *Group {
	return &Group{limiter: limiter}
}

func (g *Group) add(f *Follower) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followers = append(g.followers, f)
}

// retry ends the pauses after calls that failed some time ago, since the store has answered.
func (g *Group) retry(ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.followers {
		if at := f.failedAt.Load(); at != nil && time.Since(*at) >= ago {
			f.ReadNow()
		}
	}
}

// enqueue makes a follower wait for a retry.
func (g *Group) enqueue(f *Follower) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter != nil {
		g.waiting = append(g.waiting, f)
	}
}

// dequeue ends the wait of a follower.
func (g *Group) dequeue(f *Follower) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(other *Follower) bool { return other == f })
}

// allow allows a call of a follower, or returns the time until it may be allowed: when the followers before it have
// made theirs, unless they no longer wait. A follower that does not wait for a retry may call at any time.
func (g *Group) allow(f *Follower) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.Index(g.waiting, f)
	if n < 0 {
		return 0
	}
	if missing := float64(n+1) - g.limiter.Tokens(); missing > 0 {
		return min(time.Duration(missing/float64(g.limiter.Limit())*float64(time.Second))+time.Millisecond, minRetryPause)
	}
	g.limiter.Allow()
	return 0
}
