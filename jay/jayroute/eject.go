package jayroute

import (
	"slices"
	"time"
)

const (
	// slowRatio is the multiple of the pool's median pace above which an upstream is ejected.
	slowRatio = 3
	// maxEjectedShare is the fraction of a pool that may be ejected at once.
	maxEjectedShare = 1.0 / 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// slowTTL is how long a sign of slowness counts. A slowed stream still produces
	// an occasional token, which is no sign that its upstream has recovered.
	slowTTL = time.Second
	// slowReportInterval is the least time between two reports of the same slow upstream,
	// by whichever instance.
	slowReportInterval = slowTTL / 2
	// minStalls is the least number of stalled streams that raise the slowness of an upstream,
	// by which it is ejected.
	minStalls = 2
	// failureThreshold is the number of consecutive failures after which an upstream is ejected.
	failureThreshold = 3
	// minObserved is the least number of observed upstreams from which a median is taken.
	minObserved = 3
)

// Fail records that an upstream failed to serve work: it could not be reached, was
// busy, broke the connection or timed out.
func (t *Table) Fail(now time.Time, u *Upstream) {
	u.failures++
	if u.failures >= failureThreshold {
		t.eject(now, u)
	}
}

// MarkSlow records that another instance reported an upstream as slow.
func (t *Table) MarkSlow(now time.Time, name string) {
	u, ok := t.upstreams[name]
	if !ok {
		return
	}
	u.slowReported = now
	u.slowUntil = now.Add(slowTTL)
}

// RecordLateFirstToken records that the first token of a stream is late.
func (t *Table) RecordLateFirstToken(now time.Time, u *Upstream) {
	u.slowUntil = now.Add(slowTTL)
}

// Resume records that a stalled stream produced a token again or ended.
func (t *Table) Resume(u *Upstream) {
	u.stalled = max(0, u.stalled-1)
}

// Stall records that a stream of the upstream produced no token for several times
// its pace. It reports whether the upstream should be reported as slow to the
// other instances.
func (t *Table) Stall(now time.Time, u *Upstream) bool {
	u.stalled++
	if 2*u.stalled < u.running {
		return false
	}
	u.slowUntil = now.Add(slowTTL)
	if now.Sub(u.slowReported) < slowReportInterval {
		return false
	}
	u.slowReported = now
	return true
}

// Sweep ejects the upstreams that are several times slower than the median of
// their pool, but never more than a third of the pool.
func (t *Table) Sweep(now time.Time) {
	for _, pool := range t.pools {
		t.sweepPool(now, pool)
	}
}

func (t *Table) sweepPool(now time.Time, pool *Pool) {
	var paces, prefillPaces []float64
	for i := range pool.Size() {
		if u := pool.at(i); u.observed {
			paces = append(paces, u.slowness())
			prefillPaces = append(prefillPaces, u.prefillPace)
		}
	}
	if len(paces) < minObserved {
		return
	}
	pool.medianPrefillPace = median(prefillPaces)
	medianPace := median(paces)
	for i := range pool.Size() {
		u := pool.at(i)
		slow := u.observed && u.slowness() > slowRatio*medianPace
		if slow && !now.Before(u.ejectedUntil) && pool.mayEject(now) {
			t.eject(now, u)
		}
		if !slow && !now.Before(u.ejectedUntil) {
			u.ejectionTime = 0
		}
	}
}

// slowness returns the figure by which upstreams are compared: the pace, multiplied by
// 1+slowRatio while the upstream is mostly stalled.
func (u *Upstream) slowness() float64 {
	if u.mostlyStalled() {
		return u.pace * (1 + slowRatio)
	}
	return u.pace
}

// slowed reports whether a recent sign of slowness, observed here or reported by another instance, counts.
func (u *Upstream) slowed(now time.Time) bool {
	return now.Before(u.slowUntil)
}

// mostlyStalled reports whether at least half of this instance's streams at the
// upstream have stalled. A single stalled stream is ignored: it may have causes
// of its own.
func (u *Upstream) mostlyStalled() bool {
	return u.stalled >= minStalls && 2*u.stalled >= u.running
}

func (t *Table) eject(now time.Time, u *Upstream) {
	u.ejectionTime = min(maxEjection, max(minEjection, 2*u.ejectionTime))
	u.ejectedUntil = now.Add(u.ejectionTime)
	u.failures = 0
	u.observed = false
	u.pace, u.prefillPace = initialPace.Seconds(), initialPrefillPace.Seconds()
}

// median returns the median of values, which it sorts in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// mayEject reports whether one more upstream of the pool may be ejected.
func (p *Pool) mayEject(now time.Time) bool {
	out := 1
	for i := range p.Size() {
		if now.Before(p.at(i).ejectedUntil) {
			out++
		}
	}
	return float64(out) <= maxEjectedShare*float64(p.Size())
}
