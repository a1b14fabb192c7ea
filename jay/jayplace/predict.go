package jayplace

import (
	"time"

	"jayfield.example/jay/jayfleet"
)

const (
	// prefillSpeed and decodeSpeed are the prompt tokens that an engine of each stage prefills
	// per ms, with the step after each chunk counted in. By the engine's data sheet, a prefill
	// engine prefills chunks of 2,048 tokens at 112 tokens per ms and a decode engine chunks of
	// 512 at half of that, each followed by a step of some 4 ms.
	prefillSpeed = 94.0
	decodeSpeed  = 38.0
	// firstTokenTime is the time from the end of the prefill to the first token.
	firstTokenTime = 31 * time.Millisecond
	// handoffTime is the time to hand a KV cache over to its decode engine.
	handoffTime = 25 * time.Millisecond
	// longPrefillTokens is the number of tokens from which a prefill counts as long.
	longPrefillTokens = 4096
)

// estimate is a candidate engine for a prompt, with the expected prefill and latency there.
type estimate struct {
	u      *upstream
	cached bool
	// source is the engine to fetch the shared prefix from, nil if u has cached it or no engine
	// is known to have.
	source        *upstream
	prefillTokens int
	// wait is the expected time to first token.
	wait time.Duration
}

// estimate predicts the prefill of a prompt at an engine.
func (t *Table) estimate(now time.Time, u *upstream, w Work) estimate {
	prefix := hash32(w.Prefix)
	e := estimate{u: u, prefillTokens: w.OwnTokens, cached: u.cache.holds(now, prefix)}
	transfer := time.Duration(0)
	if !e.cached {
		if e.source = t.source(now, u, w, prefix); e.source != nil {
			transfer = transferTime(w.PrefixTokens, u, e.source)
		} else {
			e.prefillTokens += w.PrefixTokens
		}
	}
	ahead := u.queuedTokens()
	if e.prefillTokens < longPrefillTokens {
		ahead = u.queuedShortTokens()
	}
	e.wait = transfer + u.idleWait(e.prefillTokens) + time.Duration(float64(ahead)/u.speed()*float64(time.Millisecond))
	return e
}

// idleWait returns the time to first token of a prefill on an idle engine.
func (u *upstream) idleWait(prefillTokens int) time.Duration {
	wait := u.rtt + firstTokenTime + time.Duration(float64(prefillTokens)/u.speed()*float64(time.Millisecond))
	if u.spec.Stage == jayfleet.StagePrefill {
		wait += u.rtt + handoffTime
	}
	return wait
}

// speed returns the prompt tokens that the engine prefills per ms.
func (u *upstream) speed() float64 {
	if u.spec.Stage == jayfleet.StagePrefill {
		return prefillSpeed
	}
	return decodeSpeed
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

// source returns the engine from which another engine fetches a prefix the fastest, or nil if
// none is known to have cached it.
func (t *Table) source(now time.Time, to *upstream, w Work, prefix uint32) *upstream {
	var best *upstream
	for _, u := range t.services[w.Service] {
		if u == to || now.Before(u.ejectedUntil) || t.held(now, u) || !u.cache.holds(now, prefix) {
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
