package jayroute

import (
	"math"
	"time"
)

const (
	// probes is the number of random upstreams looked at before all are.
	probes = 8
	// longShare is the part of an upstream's slots that long work may hold.
	longShare = 0.4
	// prefixSlack is how much busier than the pool an upstream may be and still be
	// preferred for its cached prefix.
	prefixSlack = 1.25
	// urgentSlots is the number of own slots that are left free for urgent work, and
	// urgentWindow is how long after the last of it.
	urgentSlots  = 1
	urgentWindow = 10 * time.Second
	// seenSlots is how many slots for each instance must be seen free before one takes more
	// than its own part: what is seen is late, and others see the same.
	seenSlots = 0.9
	// guestLoad is the part of a far upstream's slots that others may use before guests stay away.
	guestLoad = 0.4
	// farPart is the part of a far upstream's slots that one instance may hold.
	farPart = 0.125
)

// Pick returns the upstream that should serve the work now, or false where
// none of the pool may take it.
func (t *Table) Pick(now time.Time, pool *Pool, w Work) (*Upstream, bool) {
	switch t.policy {
	case PolicyRound:
		return pool.round()
	case PolicyLeast:
		return pool.least()
	case PolicyPredict:
	}
	if w.Urgent {
		t.urgent = now
	}
	near := t.claim(now, pool, w)
	w.partner = near.reading
	if w.Long {
		return t.pickLong(now, pool, w, near)
	}
	u := t.best(now, pool.near, w, near)
	if u != nil && !u.slowed(now) {
		return u, true
	}
	if guest := t.best(now, pool.far, w, claim{any: len(pool.near) == 0}); guest != nil && (u == nil || !guest.slowed(now)) {
		return guest, true
	}
	return u, u != nil
}

// pickLong returns the upstream for long work, which stays near and holds only
// a part of the instance's own slots.
func (t *Table) pickLong(now time.Time, pool *Pool, w Work, c claim) (*Upstream, bool) {
	list := pool.near
	if len(list) == 0 {
		list = pool.far
	}
	running, slots := 0, 0
	for _, u := range list {
		running += u.long
		slots += u.open()
	}
	own := longShare * float64(slots) / float64(t.count)
	if float64(running) >= math.Max(1, own) {
		return nil, false
	}
	u := t.best(now, list, w, c)
	return u, u != nil
}

// best draws two upstreams that may take the work, adds the one that holds
// its prefix, and returns the one with the earliest predicted completion.
func (t *Table) best(now time.Time, list []*Upstream, w Work, c claim) *Upstream {
	if len(list) == 0 {
		return nil
	}
	first := t.draw(now, list, w, c, nil)
	if first == nil {
		return nil
	}
	choice, least := first, first.predict(now, w, false)
	if second := t.draw(now, list, w, c, first); second != nil {
		if seconds := second.predict(now, w, false); seconds < least {
			choice, least = second, seconds
		}
	}
	if holder := t.holder(now, list, w, c); holder != nil {
		if holder.predict(now, w, true) < least*prefixSlack {
			choice = holder
		}
	}
	return choice
}

// draw returns a random upstream that may take the work, other than one.
func (t *Table) draw(now time.Time, list []*Upstream, w Work, c claim, other *Upstream) *Upstream {
	for range probes {
		u := list[t.source.IntN(len(list))]
		if u != other && t.accepts(u, now, w, c) {
			return u
		}
	}
	start := t.source.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		if u != other && t.accepts(u, now, w, c) {
			return u
		}
	}
	return nil
}

// accepts reports whether the upstream may be given the work now under a claim.
func (t *Table) accepts(u *Upstream, now time.Time, w Work, c claim) bool {
	if !c.any && !u.hosts() {
		return false
	}
	slots := float64(u.spec.Slots)
	if !c.near {
		guest := float64(u.running) < farPart*slots && float64(u.elsewhere(now)) <= guestLoad*slots
		return guest && t.takes(u, now, w)
	}
	left := 0
	if c.shared {
		left = t.kept(u)
	}
	return t.room(u, now, c.own, left) && t.takes(u, now, w)
}

// takes reports whether the upstream may be given the work once it has a slot.
func (t *Table) takes(u *Upstream, now time.Time, w Work) bool {
	if u.Leaving() || u == w.Avoid || now.Before(u.ejected) || !u.fits(now, w) {
		return false
	}
	return !w.Long || float64(u.long) < math.Max(1, math.Round(longShare*float64(u.spec.Slots)/float64(t.count)))
}

// holder returns the upstream most likely to hold the work's prefix: the
// highest rendezvous score among those that may take the work.
func (t *Table) holder(now time.Time, list []*Upstream, w Work, c claim) *Upstream {
	if w.Prefix == 0 {
		return nil
	}
	var best *Upstream
	var top uint64
	for _, u := range list {
		if score := mix(u.hash ^ w.Prefix); best == nil || score > top {
			best, top = u, score
		}
	}
	if !t.accepts(best, now, w, c) {
		return nil
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// round is the baseline that takes all upstreams in turn.
func (p *Pool) round() (*Upstream, bool) {
	for range p.Size() {
		p.turn++
		u := p.at(p.turn % p.Size())
		if !u.Leaving() {
			return u, true
		}
	}
	return nil, false
}

// least is the baseline that takes the upstream with the least own work.
func (p *Pool) least() (*Upstream, bool) {
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
