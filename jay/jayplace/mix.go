package jayplace

import (
	"math"
	"time"
)

const (
	// mixWindow is the time over which demand is averaged: several times the span of a
	// burst, so that homes do not move with each of them.
	mixWindow = 10 * time.Second
	// mixEvidence is the prompt tokens that must have been asked for before the mix counts.
	mixEvidence = 50_000
	// usualAnswers is the expected answer tokens for each own prompt token up to which
	// decode engines read prompts at their usual weight. From there on the pauses between
	// events grow over the targets of the users' letter while prompts are read in between.
	usualAnswers = 0.1
	// mixSlack is the factor by which a bound must be passed before the answer changes.
	mixSlack = 1.2
	// mostOffload bounds the factor: beyond it prompts are as good as never read by decode engines.
	mostOffload = 8
)

// mix is a moving view of what is asked of the engines. The load that it
// answers is one of long answers: decode engines that read prompts in between
// make the pauses within answers longer.
type mix struct {
	prompts, answers float64
	seen             time.Time
	factor           float64
}

// add takes in the demand of a request.
func (m *mix) add(now time.Time, w Work) {
	decay := 0.0
	if !m.seen.IsZero() {
		decay = math.Exp(-now.Sub(m.seen).Seconds() / mixWindow.Seconds())
	}
	m.seen = now
	m.prompts = m.prompts*decay + float64(w.OwnTokens)
	m.answers = m.answers*decay + float64(w.AnswerTokens)
	m.judge()
}

// judge moves the factor by one step of two at most.
func (m *mix) judge() {
	m.factor = max(1, m.factor)
	if m.prompts < mixEvidence {
		return
	}
	switch share := m.answers / m.prompts; {
	case share > usualAnswers*m.factor*mixSlack && m.factor < mostOffload:
		m.factor *= 2
	case share < usualAnswers*m.factor/2/mixSlack && m.factor > 1:
		m.factor /= 2
	}
}

// offload returns how many times more prompts engines that only read them are
// the homes of than in the usual mix: 1 or a power of two.
func (m *mix) offload() float64 {
	return max(1, m.factor)
}
