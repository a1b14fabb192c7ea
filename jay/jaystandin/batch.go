package jaystandin

import (
	"time"
)

const (
	// prefillRoleShare and decodeRoleShare are what an engine keeps of the
	// rate that its role does not serve.
	prefillRoleShare = 0.15
	decodeRoleShare  = 0.25
	// roleBoost is what an engine gains at the work of its role.
	roleBoost = 1.6
)

// Rates are how fast an engine works. A role trades one for the other.
type Rates struct {
	// Prefill and Decode are tokens a second over all requests.
	Prefill, Decode float64
	// Stream bounds the tokens a second of one request.
	Stream float64
	// Slots bounds the requests that run at once.
	Slots int
	// Blocks is the KV memory in blocks.
	Blocks int
}

// InRole returns the rates of an engine in a role.
func (r Rates) InRole(role string) Rates {
	switch role {
	case "prefill":
		r.Prefill *= roleBoost
		r.Decode *= prefillRoleShare
	case "decode":
		r.Prefill *= decodeRoleShare
		r.Decode *= roleBoost
	}
	return r
}

// sequence is one request in the batch.
type sequence struct {
	id       string
	prompt   int
	left     int
	tokens   []string
	emitted  int
	credit   float64
	priority string
	arrived  time.Time
	attached *attachment
	// gone is when the last attachment ended without a new one.
	gone time.Time
}

func (s *sequence) blocks() int {
	return (s.prompt + len(s.tokens) + blockTokens - 1) / blockTokens
}

const blockTokens = 2048

// batch is an engine's continuous batch: requests run together, share the
// rates, and wait by priority while slots or memory are taken.
type batch struct {
	rates   Rates
	running []*sequence
	waiting []*sequence
	slow    float64
	last    time.Time
	pre     float64
}

// rank orders priorities: the lowest goes first.
func rank(priority string) int {
	switch priority {
	case "high":
		return 0
	case "low":
		return 2
	default:
		return 1
	}
}

func (b *batch) add(s *sequence) {
	at := len(b.waiting)
	for at > 0 && rank(b.waiting[at-1].priority) > rank(s.priority) {
		at--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.rates.Slots {
		if b.used()+b.waiting[0].blocks() > b.rates.Blocks && len(b.running) > 0 {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// decode gives each sequence whose prompt is read its tokens.
func (b *batch) decode(elapsed float64) {
	var ready []*sequence
	for _, s := range b.running {
		if s.left == 0 && s.emitted < len(s.tokens) {
			ready = append(ready, s)
		}
	}
	if len(ready) == 0 {
		return
	}
	each := min(b.rates.Stream, b.rates.Decode/float64(len(ready))) * elapsed
	for _, s := range ready {
		s.credit += each
		for s.credit >= 1 && s.emitted < len(s.tokens) {
			s.credit--
			s.emitted++
		}
	}
}

// prefill reads prompts in order of admission.
func (b *batch) prefill(elapsed float64) {
	budget := b.rates.Prefill*elapsed + b.pre
	b.pre = 0
	for _, s := range b.running {
		part := min(s.left, int(budget))
		s.left -= part
		budget -= float64(part)
		if s.left > 0 {
			b.pre = budget
			return
		}
	}
}

func (b *batch) queued() int {
	total := 0
	for _, s := range b.running {
		total += s.left
	}
	for _, s := range b.waiting {
		total += s.left
	}
	return total
}

func (b *batch) remove(s *sequence) {
	b.running = without(b.running, s)
	b.waiting = without(b.waiting, s)
}

// step advances the batch to now.
func (b *batch) step(now time.Time) {
	elapsed := now.Sub(b.last).Seconds() / max(1, b.slow)
	b.last = now
	b.admit()
	b.prefill(elapsed)
	b.decode(elapsed)
}

func (b *batch) used() int {
	total := 0
	for _, s := range b.running {
		total += s.blocks()
	}
	return total
}

func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
