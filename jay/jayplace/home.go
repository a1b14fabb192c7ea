package jayplace

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
)

const (
	// prefillWeight is how many times as many shared prefixes have their home at a prefill
	// engine as at a decode engine: a prefill engine prefills over twice as fast.
	prefillWeight = 2.0
	// largePrompt is the size in tokens from which prefillWeight doubles, and below a quarter
	// of which it halves: large prompts gain the most from faster prefill.
	largePrompt = 8000
	// tokensPerSlot is how many queued prompt tokens at a decode engine delay a further answer
	// as much as one more running request does. The measured speed does not count: a slower
	// engine prefills and generates more slowly alike.
	tokensPerSlot = 1000.0
	// crossZonePenalty is added to the cost, in running requests, of a decode engine in another
	// zone: the transfer of a KV cache takes at least twice as long there.
	crossZonePenalty = 64.0
)

// choosePrompt returns the home engine of the request's shared prefix, even if another
// engine would be free sooner: at peak load, prefilling a shared prefix again there costs more
// than waiting.
func (t *Table) choosePrompt(now time.Time, candidates []*upstream, w Work) (Choice, error) {
	if candidates = withDecoder(candidates); len(candidates) == 0 {
		return Choice{}, jayerror.Wrap("choose", KindNone, t.none(now, w))
	}
	if !w.Held {
		t.mix.add(now, w)
	}
	e := t.estimate(now, home(candidates, w, t.offload(w.Service)), w)
	disaggregated := e.u.spec.Stage == jayfleet.StagePrefill
	if disaggregated {
		e.wait += t.handOver(now, candidates, w, e.u)
	}
	return Choice{
		Upstream: e.u.spec, Disaggregated: disaggregated, ahead: e.ahead, transfer: e.transfer,
		Cached: e.cached, PrefillTokens: e.prefillTokens, Wait: e.wait, Priority: e.rank, Fetch: e.fetchAddress(),
		Queue: e.queue, Full: e.u.full(now), Measured: e.u.figures.prefill.Samples() >= minFigureSamples,
	}, nil
}

// withDecoder returns the candidates without the prefill engines of versions that no candidate decodes.
func withDecoder(candidates []*upstream) []*upstream {
	decoded := make(map[string]bool, 1)
	for _, u := range candidates {
		if u.spec.Stage != jayfleet.StagePrefill {
			decoded[u.spec.Version] = true
		}
	}
	return slices.DeleteFunc(candidates, func(u *upstream) bool { return !decoded[u.spec.Version] })
}

// DecodeUpstream returns the decode engine that fetches the KV cache of a prompt from its
// prefill engine and generates the answer. Versions do not take over each other's KV caches.
func (t *Table) DecodeUpstream(now time.Time, w Work, prefillEngine jayfleet.Upstream) (jayfleet.Upstream, error) {
	if !w.Pinned {
		w.Pinned, w.Version = true, prefillEngine.Version
	}
	engine := t.leastBusyDecoder(now, t.candidates(now, w), w, prefillEngine)
	if engine == nil {
		return jayfleet.Upstream{}, jayerror.Wrap("host", KindNone, t.none(now, w))
	}
	// A decode engine caches the prefixes that it fetches like those that it prefills.
	t.markCached(now, engine, w.Prefix)
	return engine.spec, nil
}

// home returns the candidate with the highest weighted rendezvous score for the shared prefix,
// so that all instances agree without coordination. The weight of prefill engines grows with
// offload.
func home(candidates []*upstream, w Work, offload float64) *upstream {
	var best *upstream
	top, prefix := 0.0, xxhash.Sum64String(w.Prefix)
	for _, u := range candidates {
		if score := rendezvousScore(u.idHash, prefix, engineWeight(u, w, offload)); best == nil || score > top {
			best, top = u, score
		}
	}
	return best
}

// leastBusyDecoder returns the least busy decode engine of the prefill engine's version, of its zone or, if
// that one is too busy, of all zones.
func (t *Table) leastBusyDecoder(now time.Time, candidates []*upstream, w Work, prefillEngine jayfleet.Upstream) *upstream {
	var best *upstream
	least, id := math.Inf(1), xxhash.Sum64String(w.ID)
	for _, u := range candidates {
		if u.spec.Stage == jayfleet.StagePrefill || u.spec.Version != prefillEngine.Version {
			continue
		}
		cost := float64(u.busy(now)) + float64(u.queuedTokens())/tokensPerSlot + tieBreak(id, u)
		if slow := math.Exp2(float64(u.speed.step)); u.speed.step != 0 {
			// Requests in progress and the one to be placed take that many times as long there.
			cost = cost*slow + slow - 1
		}
		if u.spec.Zone != prefillEngine.Zone {
			cost += crossZonePenalty
		}
		if cost < least {
			best, least = u, cost
		}
	}
	return best
}

// tieBreak returns a number below 1, derived from the hash of the request ID, that orders
// equal upstreams differently for each request.
func tieBreak(id uint64, u *upstream) float64 {
	return fraction(hashPair(u.idHash, id))
}

// fraction returns a number from 0 to below 1 that is derived from a hash.
func fraction(hash uint64) float64 {
	return float64(hash>>1) / (1 << 63)
}

// hashPair returns the hash of two hashes. It does not allocate, since it runs for each
// upstream on each request.
func hashPair(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}

// rendezvousScore returns the weighted rendezvous hashing score of an ID for a key, both given
// by their hashes: -w/ln(u), where u is uniform and derived from the hash.
func rendezvousScore(id, key uint64, weight float64) float64 {
	const mantissa = 53
	uniform := (float64(hashPair(id, key)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(uniform)
}

// engineWeight returns the rendezvous weight of an engine, by its stage and measured speed, for
// prompts of the request's size.
func engineWeight(u *upstream, w Work, offload float64) float64 {
	weight := stageWeight(u, w, offload)
	if u.speed.step == 0 {
		return weight
	}
	return weight * u.speed.weight(w.PrefixTokens+w.OwnTokens >= largePrompt)
}

// stageWeight returns the rendezvous weight of an engine, by its stage, for prompts of the
// request's size.
func stageWeight(u *upstream, w Work, offload float64) float64 {
	if u.spec.Stage != jayfleet.StagePrefill {
		return 1
	}
	switch size := w.PrefixTokens + w.OwnTokens; {
	case size >= largePrompt:
		return 2 * prefillWeight * offload
	case size < largePrompt/4:
		return prefillWeight / 2 * offload
	default:
		return prefillWeight * offload
	}
}
