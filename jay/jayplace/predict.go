package jayplace

import (
	"time"

	"jayfield.example/jay/jayfigure"
)

// maxWaiting bounds the waiting requests that an engine may state.
const maxWaiting = 1000

// estimate is a candidate engine for a prompt, with the expected prefill and latency there.
type estimate struct {
	u      *upstream
	cached bool
	// source is the engine to fetch the shared prefix from, nil if u has cached it or no engine
	// is known to have.
	source        *upstream
	prefillTokens int
	// rank is the priority of the prefill at the engine.
	rank int
	// ahead is the number of tokens prefilled before it, transfer the time to fetch the prefix.
	ahead    int
	transfer time.Duration
	// wait is the expected time to first token, without the hand-over to another engine.
	wait time.Duration
	// queue is the part of wait until the prefills that go first have ended.
	queue time.Duration
}

// estimate predicts the prefill of a prompt at an engine.
func (t *Table) estimate(now time.Time, u *upstream, w Work) estimate {
	prefix := hash32(w.Prefix)
	e := estimate{u: u, prefillTokens: w.OwnTokens, cached: u.cache.holds(now, prefix)}
	if !e.cached {
		if e.source = t.source(now, u, w, prefix); e.source != nil {
			e.transfer = transferTime(w.PrefixTokens, u, e.source)
		} else {
			e.prefillTokens += w.PrefixTokens
		}
	}
	e.rank = t.rank(now, w, e.prefillTokens)
	e.ahead = u.ahead(now, e.rank <= shortRank)
	e.wait = e.transfer + u.rtt + u.engineTime(u.figures.prefill, e.prefillTokens+e.ahead)
	e.queue = time.Duration(u.slowness() * float64(u.figures.prefill.Prefill(e.ahead)))
	return e
}

// full reports whether the engine has no free slot, as far as this instance knows. An engine that states no
// slots is never full.
func (u *upstream) full(now time.Time) bool {
	return u.spec.Slots > 0 && u.busy(now) >= u.spec.Slots
}

// handOver returns the expected time from the end of a prefill at an engine to the first token at
// the decode engine to be chosen.
func (t *Table) handOver(now time.Time, candidates []*upstream, w Work, prefillEngine *upstream) time.Duration {
	decoder := t.leastBusyDecoder(now, candidates, w, prefillEngine.spec)
	return decoder.rtt + decoder.engineTime(decoder.figures.handOver, 0)
}

// engineTime returns the time that the engine takes for tokens to prefill, by its own figures.
func (u *upstream) engineTime(model *jayfigure.Model, tokens int) time.Duration {
	return time.Duration(u.slowness() * float64(model.Fixed()+model.Prefill(tokens)))
}

// ahead returns the prompt tokens that are prefilled before a short or a long prefill sent now:
// those that instances report or, if it is more, what the latest reported load amounts to.
func (u *upstream) ahead(now time.Time, short bool) int {
	known, size := u.queuedTokens(), u.figures.size
	if short {
		known, size = u.queuedShortTokens(), u.figures.shortSize
	}
	age := now.Sub(u.loadAt)
	if age >= loadTTL {
		return known
	}
	waiting := float64(min(u.load.Waiting, maxWaiting))
	done := u.figures.prefill.Speed() / u.slowness() * float64(age) / float64(time.Millisecond)
	return max(known, int(waiting*size-done))
}

// queuedTokens returns the prompt tokens that wait at the engine, as far as this instance has
// observed.
func (u *upstream) queuedTokens() int {
	return u.own.PrefillTokens + u.peers.PrefillTokens
}

// queuedShortTokens returns the part of queuedTokens that belongs to short prefills, which run
// before longer ones.
func (u *upstream) queuedShortTokens() int {
	return u.own.ShortPrefillTokens + u.peers.ShortPrefillTokens
}

// fetchAddress returns the address to fetch the shared prefix from, or "" if none is needed or
// known.
func (e estimate) fetchAddress() string {
	if e.source == nil {
		return ""
	}
	return e.source.spec.Address
}

// source returns the engine of the same version from which another engine fetches a prefix the fastest, or nil
// if none is known to have cached it.
func (t *Table) source(now time.Time, to *upstream, w Work, prefix uint32) *upstream {
	var best *upstream
	for _, u := range t.services[w.Service] {
		if u == to || u.spec.Version != to.spec.Version || now.Before(u.ejectedUntil) || t.held(now, u) || !u.cache.holds(now, prefix) {
			continue
		}
		if best == nil || transferTime(w.PrefixTokens, to, u) < transferTime(w.PrefixTokens, to, best) {
			best = u
		}
	}
	return best
}

const (
	// transferOverhead is the fixed time of a KV cache transfer. transferSpeed is the tokens
	// transferred per ms within a zone: 18 KB each over 370 Gbit/s.
	transferOverhead = 5 * time.Millisecond
	transferSpeed    = 2500.0
	// crossZoneFactor and crossRegionFactor multiply the time per token of transfers between
	// zones and between regions.
	crossZoneFactor   = 2.0
	crossRegionFactor = 10.0
)

// transferTime returns the time to transfer tokens of KV cache between two engines.
func transferTime(tokens int, to, from *upstream) time.Duration {
	factor := 1.0
	switch {
	case to.spec.Zone == from.spec.Zone:
	case to.region == from.region && to.region != "":
		factor = crossZoneFactor
	default:
		factor = crossRegionFactor
	}
	return transferOverhead + time.Duration(factor*float64(tokens)/transferSpeed*float64(time.Millisecond))
}
