package jayplace

import (
	"math"
	"time"
)

const (
	// pauseWindow is the time constant over which answers are averaged.
	pauseWindow = 10 * time.Second
	// pauseMinAnswers is the weight of answers that is needed before they have an effect. A single instance
	// sees a few answers a second, and with fewer of them chance would move homes.
	pauseMinAnswers = 30
	// pauseRaiseShare is the share of answers with a too long pause from which prefill moves away from
	// decode engines, and pauseLowerShare that below which it returns.
	pauseRaiseShare, pauseLowerShare = 0.1, 0.005
	// pauseStep is the factor by which the offload changes at once. Each change moves homes, whose prefixes
	// are prefilled again, so one large step costs less than several small ones.
	pauseStep = 16
	// maxPauseOffload is the offload at which decode engines prefill next to nothing.
	maxPauseOffload = 16
	// pauseRaiseAfter is the least time between two raises: answers that began before a change still
	// show its cause.
	pauseRaiseAfter = 2 * time.Second
	// pauseLowerAfter is the time without pauses until prefill returns to decode engines. It doubles with
	// each raise, up to maxPauseLowerAfter, since the pauses return too if the engines have not changed.
	pauseLowerAfter, maxPauseLowerAfter = time.Minute, 16 * time.Minute
)

// Answer is what a complete answer to a prompt showed about its engines.
type Answer struct {
	Service string
	// Target is the latency objective and First the time to first token.
	Target, First time.Duration
	// Gap is the objective for the longest pause between events, 0 if there is none, and Pause the longest pause.
	Gap, Pause time.Duration
}

// pauses moves prefill away from the decode engines of a service whose answers pause for too long. It handles
// engines that prefill in large chunks: each chunk delays the next token of all answers at the engine, so that
// an event of several tokens is late although first tokens are on time. What a chunk costs differs between
// engines and is not known in advance, so the decision follows the pauses themselves.
type pauses struct {
	// answers, paused and late are the decayed numbers of all answers, of those whose only fault was a pause,
	// and of those with a late first token.
	answers, paused, late float64
	updated, changed      time.Time
	// quietSince is since when the share of pauses is low, and lowerAfter how long it has to be.
	quietSince time.Time
	lowerAfter time.Duration
	factor     float64
}

// RecordAnswer records a complete answer and reports the new offload if it changes.
func (t *Table) RecordAnswer(now time.Time, a Answer) (offload float64, changed bool) {
	if a.Gap <= 0 || a.Target <= 0 {
		return 0, false
	}
	p, ok := t.pauses[a.Service]
	if !ok {
		p = &pauses{factor: 1, lowerAfter: pauseLowerAfter}
		t.pauses[a.Service] = p
	}
	before := p.factor
	p.add(now, a)
	return p.factor, p.factor != before
}

// add records an answer and adjusts the offload.
func (p *pauses) add(now time.Time, a Answer) {
	decay := 1.0
	if !p.updated.IsZero() {
		decay = math.Exp(-now.Sub(p.updated).Seconds() / pauseWindow.Seconds())
	}
	p.updated = now
	p.answers, p.paused, p.late = p.answers*decay+1, p.paused*decay, p.late*decay
	switch {
	case a.First > a.Target:
		p.late++
	case a.Pause > a.Gap:
		p.paused++
	}
	p.adjust(now)
}

// adjust raises the offload while pauses are frequent, and more frequent than late first tokens: prefill
// engines that are full already would only exchange one fault for the other.
func (p *pauses) adjust(now time.Time) {
	if p.answers < pauseMinAnswers {
		return
	}
	share := p.paused / p.answers
	if share >= pauseLowerShare {
		p.quietSince = now
	}
	switch {
	case share > pauseRaiseShare && p.paused > p.late && p.factor < maxPauseOffload && now.Sub(p.changed) >= pauseRaiseAfter:
		p.change(now, p.factor*pauseStep)
		p.lowerAfter = min(2*p.lowerAfter, maxPauseLowerAfter)
	case p.factor > 1 && now.Sub(p.quietSince) >= p.lowerAfter && now.Sub(p.changed) >= p.lowerAfter:
		p.change(now, p.factor/pauseStep)
	}
}

// change sets the offload. The answers so far show the effect of the former one.
func (p *pauses) change(now time.Time, factor float64) {
	p.factor, p.changed, p.quietSince = min(factor, maxPauseOffload), now, now
	p.answers, p.paused, p.late = 0, 0, 0
}

// offload returns the factor applied to the weight of the prefill engines of a service: the larger one of
// what long answers and what pauses ask for.
func (t *Table) offload(service string) float64 {
	factor := t.mix.offload()
	if p, ok := t.pauses[service]; ok {
		factor = max(factor, p.factor)
	}
	return factor
}
