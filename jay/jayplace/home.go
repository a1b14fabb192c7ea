package jayplace

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
)

const (
	// prefillWeight is how many more shared parts have their home at an engine that
	// reads prompts for others: it reads twice as fast as one that also gives answers.
	prefillWeight = 2.0
	// largePrompt is the size in tokens from which that weight doubles, and below
	// a quarter of which it halves: decode engines read small prompts in smaller pieces.
	largePrompt = 8000
	// keepTrust is how long a shared part is believed to be kept after its last use.
	keepTrust = 30 * time.Second
)

// choosePrompt returns the home of the work's shared part.
func (t *Table) choosePrompt(now time.Time, candidates []*upstream, w Work) Choice {
	home := t.home(candidates, w)
	choice := Choice{Upstream: home.spec, Apart: home.spec.Stage == jayfleet.StagePrefill, Cached: home.keeps(now, w.Shared)}
	choice.Reading = w.OwnTokens
	if !choice.Cached {
		choice.Reading += w.SharedTokens
	}
	choice.Priority = priority(choice.Reading)
	return choice
}

// Host returns the decode engine that takes the KV cache of a prompt from its
// reader and gives the answer.
func (t *Table) Host(now time.Time, w Work, reader jayfleet.Upstream) (jayfleet.Upstream, error) {
	host := t.partner(now, t.candidates(now, w), reader)
	if host == nil {
		return jayfleet.Upstream{}, jayerror.New("host", KindNone, "no engine gives answers")
	}
	return host.spec, nil
}

// home returns the candidate with the highest weighted rendezvous score for
// the shared part, so that all instances agree without asking each other.
func (t *Table) home(candidates []*upstream, w Work) *upstream {
	var best *upstream
	top := 0.0
	for _, u := range candidates {
		if score := rendezvous(u.spec.ID, w.Shared, weight(u, w)); best == nil || score > top {
			best, top = u, score
		}
	}
	return best
}

// partner returns the decode engine that takes the KV cache from a reader:
// the least busy one of the reader's zone, or of all.
func (t *Table) partner(now time.Time, candidates []*upstream, reader jayfleet.Upstream) *upstream {
	var best *upstream
	least := math.Inf(1)
	for _, u := range candidates {
		if u.spec.Stage == jayfleet.StagePrefill {
			continue
		}
		cost := float64(u.busy(now)) + float64(u.queued())/tokensPerSlot
		if u.spec.Zone != reader.Zone {
			cost += farPartner
		}
		if cost < least {
			best, least = u, cost
		}
	}
	return best
}

const (
	// tokensPerSlot is how many prompt tokens in the queue of a decode engine delay a
	// further answer as much as one more running request does.
	tokensPerSlot = 1000.0
	// farPartner is what another zone adds: KV caches take from twice as long.
	farPartner = 64.0
)

// keeps reports whether a shared part is believed to be in the engine's memory.
func (u *upstream) keeps(now time.Time, shared string) bool {
	used, ok := u.kept[shared]
	return ok && now.Sub(used) < keepTrust
}

// queued returns the prompt tokens that wait at the engine as far as known.
func (u *upstream) queued() int {
	return u.reading + u.elsewhere.Reading
}

// weight returns how many shared parts of the work's size an engine is the home of.
func weight(u *upstream, w Work) float64 {
	if u.spec.Stage != jayfleet.StagePrefill {
		return 1
	}
	switch size := w.SharedTokens + w.OwnTokens; {
	case size >= largePrompt:
		return 2 * prefillWeight
	case size < largePrompt/4:
		return prefillWeight / 2
	default:
		return prefillWeight
	}
}

// rendezvous returns the weighted score of an id for a key: -w/ln(u) with u
// uniform by hash (Wang and Ravishankar, weighted rendezvous hashing).
func rendezvous(id, key string, weight float64) float64 {
	hash := xxhash.Sum64String(id + "\x00" + key)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// priority returns the engine's rank by the tokens to be read: short readings go first.
func priority(tokens int) int {
	rank := 1
	for bound := 512; tokens > bound && rank < lastPriority; bound *= 2 {
		rank++
	}
	return rank
}

// lastPriority is the last rank given to work.
const lastPriority = 8
