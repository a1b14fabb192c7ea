package jayroute

import (
	"math"
	"time"
)

const (
	// probes is the number of random upstreams checked before all are scanned.
	probes = 8
	// longShare is the fraction of slots that long work may hold.
	longShare = 0.4
	// prefixSlack is the multiple of the best candidate's predicted completion time within
	// which the upstream with the cached prefix is preferred.
	prefixSlack = 1.25
	// urgentSlots is the number of slots of the quota that are left free for urgent work,
	// urgentWindow the time after the last urgent request for which they are.
	urgentSlots  = 1
	urgentWindow = 10 * time.Second
	// minFreePerInstance is the number of free slots for each instance that must be observed
	// before one exceeds its quota: the observation is out of date, and other instances use the
	// same one.
	minFreePerInstance = 0.9
	// maxFarLoad is the fraction of a far upstream's slots in use by other instances above
	// which it is not picked.
	maxFarLoad = 0.4
	// maxFarShare is the fraction of a far upstream's slots that one instance may hold.
	maxFarShare = 0.125
)

// Pick returns the upstream that should serve the work now, or false where
// none of the pool may take it.
func (t *Table) Pick(now time.Time, pool *Pool, w Work) (*Upstream, bool) {
	switch t.policy {
	case PolicyRoundRobin:
		return pool.roundRobin()
	case PolicyLeastRequests:
		return pool.leastRunning()
	case PolicyPredict:
	}
	if w.Urgent {
		t.lastUrgent = now
	}
	a := t.allowance(now, pool, w)
	w.bestPrefill = a.bestPrefill
	if w.Long {
		return t.pickLong(now, pool, w, a)
	}
	u := t.best(now, pool.near, w, a)
	if u != nil && !u.slowed(now) {
		return u, true
	}
	if far := t.best(now, pool.far, w, allowance{anyRole: len(pool.near) == 0}); far != nil && (u == nil || !far.slowed(now)) {
		return far, true
	}
	return u, u != nil
}

// pickLong returns the upstream for long work, which goes to far upstreams only
// where none is near and holds only a fraction of the instance's share of slots.
func (t *Table) pickLong(now time.Time, pool *Pool, w Work, a allowance) (*Upstream, bool) {
	list := pool.longList()
	if t.longShareUsed(list) {
		return nil, false
	}
	u := t.best(now, list, w, a)
	return u, u != nil
}

// longList returns the upstreams that long work may go to.
func (p *Pool) longList() []*Upstream {
	if len(p.near) == 0 {
		return p.far
	}
	return p.near
}

// longShareUsed reports whether long work holds its fraction of the instance's share of slots.
func (t *Table) longShareUsed(list []*Upstream) bool {
	running, slots := 0, 0
	for _, u := range list {
		running += u.long
		slots += u.openSlots()
	}
	return float64(running) >= math.Max(1, longShare*float64(slots)/float64(t.instances))
}

// best draws two random upstreams that accept the work and returns the one with
// the earlier predicted completion, or the one that holds the work's prefix if its
// predicted time to completion is less than prefixSlack times that of the former.
func (t *Table) best(now time.Time, list []*Upstream, w Work, a allowance) *Upstream {
	if len(list) == 0 {
		return nil
	}
	first := t.draw(now, list, w, a, nil)
	if first == nil {
		return nil
	}
	choice, least := first, first.predict(now, w, false)
	if second := t.draw(now, list, w, a, first); second != nil {
		if seconds := second.predict(now, w, false); seconds < least {
			choice, least = second, seconds
		}
	}
	if holder := t.prefixHolder(now, list, w, a); holder != nil {
		if holder.predict(now, w, true) < least*prefixSlack {
			choice = holder
		}
	}
	return choice
}

// draw returns a random upstream that accepts the work, other than a given one.
func (t *Table) draw(now time.Time, list []*Upstream, w Work, a allowance, other *Upstream) *Upstream {
	for range probes {
		u := list[t.rng.IntN(len(list))]
		if u != other && t.accepts(u, now, w, a) {
			return u
		}
	}
	start := t.rng.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		if u != other && t.accepts(u, now, w, a) {
			return u
		}
	}
	return nil
}

// accepts reports whether the upstream may be assigned the work now under an allowance.
func (t *Table) accepts(u *Upstream, now time.Time, w Work, a allowance) bool {
	if !a.anyRole && !u.decodes() {
		return false
	}
	return t.allows(u, now, a) && t.eligible(u, now, w)
}

// allows reports whether an allowance permits one more slot of the upstream.
func (t *Table) allows(u *Upstream, now time.Time, a allowance) bool {
	slots := float64(u.spec.Slots)
	if !a.near {
		return float64(u.running) < maxFarShare*slots && float64(u.peerRunning(now)) <= maxFarLoad*slots
	}
	reserve := 0
	if a.reservePrefill {
		reserve = t.prefillReserve(u)
	}
	return t.slotAvailable(u, now, a.underQuota, reserve)
}

// eligible reports whether the upstream may be assigned the work once a slot is free.
func (t *Table) eligible(u *Upstream, now time.Time, w Work) bool {
	if u.Leaving() || u == w.Avoid || now.Before(u.ejectedUntil) || !u.fitsKV(now, w) {
		return false
	}
	return !w.Long || float64(u.long) < math.Max(1, math.Round(longShare*float64(u.spec.Slots)/float64(t.instances)))
}

// prefixHolder returns the upstream most likely to hold the work's prefix, by
// rendezvous hashing over the whole list, or nil where it does not accept the work.
func (t *Table) prefixHolder(now time.Time, list []*Upstream, w Work, a allowance) *Upstream {
	if w.Prefix == 0 {
		return nil
	}
	var best *Upstream
	var top uint64
	for _, u := range list {
		if score := mixBits(u.hash ^ w.Prefix); best == nil || score > top {
			best, top = u, score
		}
	}
	if !t.accepts(best, now, w, a) {
		return nil
	}
	return best
}

// mixBits spreads the bits of a hash with the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// roundRobin is the baseline that picks upstreams in rotation.
func (p *Pool) roundRobin() (*Upstream, bool) {
	for range p.Size() {
		p.tried++
		u := p.at(p.tried % p.Size())
		if !u.Leaving() {
			return u, true
		}
	}
	return nil, false
}

// leastRunning is the baseline that picks the upstream with the fewest running requests of this instance.
func (p *Pool) leastRunning() (*Upstream, bool) {
	var best *Upstream
	for i := range p.Size() {
		u := p.at(i)
		if !u.Leaving() && (best == nil || u.running < best.running) {
			best = u
		}
	}
	return best, best != nil
}

func (p *Pool) at(i int) *Upstream {
	if i < len(p.near) {
		return p.near[i]
	}
	return p.far[i-len(p.near)]
}
