// Package jaylimit bounds the requests of callers and the retries of an instance.
package jaylimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstPeriod is the time whose requests may come at once.
const burstPeriod = time.Second

// Limiter bounds callers' requests a second. A caller's rate is split over
// the live instances. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	share   float64
	callers map[string]*bucket
}

type bucket struct {
	limiter *rate.Limiter
	rate    int
	share   float64
}

// New returns a limiter of an instance that has the whole of each rate.
func New() *Limiter {
	return &Limiter{share: 1, callers: make(map[string]*bucket)}
}

// Allow takes one request of a caller. It returns how long to wait where the
// rate, in requests a second over all instances, is spent; 0 is no bound.
func (l *Limiter) Allow(now time.Time, caller string, perSecond int) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	own := float64(perSecond) * l.share
	burst := max(1, int(own*burstPeriod.Seconds()))
	b, ok := l.callers[caller]
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(own), burst), rate: perSecond, share: l.share}
		l.callers[caller] = b
	}
	if b.rate != perSecond || b.share != l.share {
		b.rate, b.share = perSecond, l.share
		b.limiter.SetLimitAt(now, rate.Limit(own))
		b.limiter.SetBurstAt(now, burst)
	}
	reservation := b.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > 0 {
		reservation.CancelAt(now)
		return delay, false
	}
	return 0, true
}

// Share sets the part of each rate that is this instance's.
func (l *Limiter) Share(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}
