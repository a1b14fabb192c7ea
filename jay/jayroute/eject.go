package jayroute

import (
	"slices"
	"time"
)

const (
	// slowRatio is how many times slower than the median an upstream is ejected.
	slowRatio = 3
	// ejectShare is the part of a pool that may be ejected at once.
	ejectShare = 1.0 / 3
	// ejectLeast and ejectMost bound how long an ejection lasts.
	ejectLeast = time.Second
	ejectMost  = 30 * time.Second
	// slowMemory is how long a sign of slowness counts. A slowed stream gives a token
	// now and then, which is no sign that it is fast again.
	slowMemory = time.Second
	// tellEvery is how long nothing is told of an upstream after an instance told of it.
	tellEvery = slowMemory / 2
	// stallsLeast is the least number of stalled streams that say anything of their upstream.
	stallsLeast = 2
	// failuresBound is the number of failures in a row after which an upstream is ejected.
	failuresBound = 3
	// observedLeast is the least number of observed upstreams that have a median.
	observedLeast = 3
)

// Fail records that an upstream broke a connection or could not be reached.
func (t *Table) Fail(now time.Time, u *Upstream) {
	u.failures++
	if u.failures >= failuresBound {
		t.eject(now, u)
	}
}

// Heard records that another instance saw signs of slowness at an upstream.
func (t *Table) Heard(now time.Time, name string) {
	u, ok := t.upstreams[name]
	if !ok {
		return
	}
	u.told = now
	u.slow = now.Add(slowMemory)
}

// Late records that the first token of a stream is late.
func (t *Table) Late(now time.Time, u *Upstream) {
	u.slow = now.Add(slowMemory)
}

// Resume records that a stalled stream gave a token again, or ended.
func (t *Table) Resume(u *Upstream) {
	u.stalled = max(0, u.stalled-1)
}

// Stall records that a stream of the upstream gave no token for several times
// its pace. It reports whether the other instances should be told.
func (t *Table) Stall(now time.Time, u *Upstream) bool {
	u.stalled++
	if 2*u.stalled < u.running {
		return false
	}
	u.slow = now.Add(slowMemory)
	if now.Sub(u.told) < tellEvery {
		return false
	}
	u.told = now
	return true
}

// Sweep ejects the upstreams that are several times slower than the median of
// their pool, but never more than a third of it.
func (t *Table) Sweep(now time.Time) {
	for _, pool := range t.pools {
		t.sweepPool(now, pool)
	}
}

func (t *Table) sweepPool(now time.Time, pool *Pool) {
	var paces, leads []float64
	for i := range pool.Size() {
		if u := pool.at(i); u.observed {
			paces = append(paces, u.slowness())
			leads = append(leads, u.lead)
		}
	}
	if len(paces) < observedLeast {
		return
	}
	pool.lead = median(leads)
	usual := median(paces)
	for i := range pool.Size() {
		u := pool.at(i)
		slow := u.observed && u.slowness() > slowRatio*usual
		if slow && !now.Before(u.ejected) && pool.mayEject(now) {
			t.eject(now, u)
		}
		if !slow && !now.Before(u.ejected) {
			u.ejection = 0
		}
	}
}

// slowness combines pace and stalls into one figure to compare upstreams by.
func (u *Upstream) slowness() float64 {
	if u.stalling() {
		return u.pace * (1 + slowRatio)
	}
	return u.pace
}

// slowed reports whether a sign of slowness, own or heard of, counts.
func (u *Upstream) slowed(now time.Time) bool {
	return now.Before(u.slow)
}

// stalling reports whether most of this instance's streams at the upstream
// have stalled. A single one may have causes of its own.
func (u *Upstream) stalling() bool {
	return u.stalled >= stallsLeast && 2*u.stalled >= u.running
}

func (t *Table) eject(now time.Time, u *Upstream) {
	u.ejection = min(ejectMost, max(ejectLeast, 2*u.ejection))
	u.ejected = now.Add(u.ejection)
	u.failures = 0
	u.observed = false
	u.pace, u.lead = firstPace.Seconds(), firstLead.Seconds()
}

// median returns the middle of some values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// mayEject reports whether one more upstream of the pool may be ejected.
func (p *Pool) mayEject(now time.Time) bool {
	out := 1
	for i := range p.Size() {
		if now.Before(p.at(i).ejected) {
			out++
		}
	}
	return float64(out) <= ejectShare*float64(p.Size())
}
