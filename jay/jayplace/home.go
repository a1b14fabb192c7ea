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
	// prefillWeight is how many more shared parts have their home at an engine that reads
	// prompts for others than at one that also gives answers: it reads over twice as fast.
	prefillWeight = 2.0
	// largePrompt is the size in tokens from which that weight doubles, and below a quarter
	// of which it halves: large prompts gain the most from the faster reading.
	largePrompt = 8000
	// tokensPerSlot is how many prompt tokens in the queue of a decode engine delay a
	// further answer as much as one more running request does.
	tokensPerSlot = 1000.0
	// farPartner is what another zone adds: KV caches take from twice as long.
	farPartner = 64.0
	// lastPriority is the last rank given to work.
	lastPriority = 8
)

// choosePrompt returns the home of the work's shared part, even where another
// engine would be free sooner: reading shared parts anew there costs more at the
// crest than waiting does.
func (t *Table) choosePrompt(now time.Time, candidates []*upstream, w Work) (Choice, error) {
	if !slices.ContainsFunc(candidates, func(u *upstream) bool { return u.spec.Stage != jayfleet.StagePrefill }) {
		return Choice{}, jayerror.New("choose", KindNone, "no engine gives answers")
	}
	t.mix.add(now, w)
	o := t.option(now, home(candidates, w, t.mix.offload()), w)
	return Choice{
		Upstream: o.u.spec, Apart: o.u.spec.Stage == jayfleet.StagePrefill,
		Cached: o.cached, Reading: o.reading, Wait: o.wait, Priority: priority(o.reading), Fetch: o.fetch(),
	}, nil
}

// Host returns the decode engine that takes the KV cache of a prompt from its
// reader and gives the answer.
func (t *Table) Host(now time.Time, w Work, reader jayfleet.Upstream) (jayfleet.Upstream, error) {
	host := t.partner(now, t.candidates(now, w), w, reader)
	if host == nil {
		return jayfleet.Upstream{}, jayerror.New("host", KindNone, "no engine gives answers")
	}
	// An engine keeps the parts that it fetches like those that it reads.
	t.keep(now, host, w.Shared)
	return host.spec, nil
}

// home returns the candidate with the highest weighted rendezvous score for
// the shared part, so that all instances agree without asking each other. The
// weight of engines that only read prompts grows with offload.
func home(candidates []*upstream, w Work, offload float64) *upstream {
	var best *upstream
	top, part := 0.0, xxhash.Sum64String(w.Shared)
	for _, u := range candidates {
		if score := rendezvous(u.name, part, stageWeight(u, w, offload)); best == nil || score > top {
			best, top = u, score
		}
	}
	return best
}

// partner returns the decode engine that takes the KV cache from a reader:
// the least busy one of the reader's zone, or of all.
func (t *Table) partner(now time.Time, candidates []*upstream, w Work, reader jayfleet.Upstream) *upstream {
	var best *upstream
	least, id := math.Inf(1), xxhash.Sum64String(w.ID)
	for _, u := range candidates {
		if u.spec.Stage == jayfleet.StagePrefill {
			continue
		}
		cost := float64(u.busy(now)) + float64(u.queued())/tokensPerSlot + draw(id, u)
		if u.spec.Zone != reader.Zone {
			cost += farPartner
		}
		if cost < least {
			best, least = u, cost
		}
	}
	return best
}

// draw returns a number below 1 that orders equal upstreams differently for
// each request, by the hash of its id.
func draw(id uint64, u *upstream) float64 {
	return float64(pair(u.name, id)>>1) / (1 << 63)
}

// pair returns the hash of two hashes. It allocates nothing, as it is taken of
// each upstream for each request.
func pair(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}

// priority returns the engine's rank by the tokens to be read: short readings go first.
func priority(tokens int) int {
	rank := 1
	for bound := 512; tokens > bound && rank < lastPriority; bound *= 2 {
		rank++
	}
	return rank
}

// rendezvous returns the weighted score of an id for a key, by their hashes:
// -w/ln(u) with u uniform by hash (weighted rendezvous hashing).
func rendezvous(id, key uint64, weight float64) float64 {
	const mantissa = 53
	uniform := (float64(pair(id, key)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(uniform)
}

// stageWeight returns how many shared parts of the work's size an engine is the home of.
func stageWeight(u *upstream, w Work, offload float64) float64 {
	if u.spec.Stage != jayfleet.StagePrefill {
		return 1
	}
	switch size := w.SharedTokens + w.OwnTokens; {
	case size >= largePrompt:
		return 2 * prefillWeight * offload
	case size < largePrompt/4:
		return prefillWeight / 2 * offload
	default:
		return prefillWeight * offload
	}
}
