// Package jaylimit limits the request rates of callers, the retries of an instance and the memory of
// what it buffers.
package jaylimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstPeriod sets the burst size: a caller's requests for this period may arrive at once.
const burstPeriod = time.Second

// Limiter limits the requests per second of each caller with a token bucket. A caller's
// rate is divided between the live instances. It is safe for concurrent use.
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

// New returns a limiter for an instance that has the full rate of each caller.
func New() *Limiter {
	return &Limiter{share: 1, callers: make(map[string]*bucket)}
}

// Allow reports whether a caller's request is within its rate, and takes a token if so;
// otherwise it returns the time until a token is available. The rate perSecond applies
// to all instances together; 0 means no limit.
func (l *Limiter) Allow(now time.Time, caller string, perSecond int) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	localRate := float64(perSecond) * l.share
	burst := max(1, int(localRate*burstPeriod.Seconds()))
	b, ok := l.callers[caller]
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(localRate), burst), rate: perSecond, share: l.share}
		l.callers[caller] = b
	}
	if b.rate != perSecond || b.share != l.share {
		b.rate, b.share = perSecond, l.share
		b.limiter.SetLimitAt(now, rate.Limit(localRate))
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

// SetShare sets this instance's share of each rate.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}
