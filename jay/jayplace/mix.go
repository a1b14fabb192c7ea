package jayplace

import (
	"math"
	"time"
)

const (
	// mixWindow is the time constant over which demand is averaged. It is several times the
	// length of a burst, so that homes do not move with each burst.
	mixWindow = 10 * time.Second
	// mixMinTokens is the number of prompt tokens that must have been requested before the mix
	// has an effect.
	mixMinTokens = 50_000
	// usualOutputRatio is the ratio of expected output tokens to prompt tokens outside the
	// shared prefix up to which decode engines prefill at their usual weight. Above it,
	// prefills between decode steps push the gaps between events over the targets of the
	// service requirements.
	usualOutputRatio = 0.1
	// mixHysteresis is the factor by which a threshold must be exceeded before the offload
	// changes.
	mixHysteresis = 1.2
	// maxOffload bounds the offload factor: beyond it, decode engines prefill next to nothing.
	maxOffload = 8
)

// mix tracks the ratio of expected output tokens to prompt tokens in recent requests. It handles
// workloads with long answers: decode engines that prefill between decode steps lengthen the
// gaps within answers.
type mix struct {
	promptTokens, outputTokens float64
	updated                    time.Time
	factor                     float64
}

// add records the demand of a request.
func (m *mix) add(now time.Time, w Work) {
	decay := 0.0
	if !m.updated.IsZero() {
		decay = math.Exp(-now.Sub(m.updated).Seconds() / mixWindow.Seconds())
	}
	m.updated = now
	m.promptTokens = m.promptTokens*decay + float64(w.OwnTokens)
	m.outputTokens = m.outputTokens*decay + float64(w.ExpectedOutputTokens)
	m.adjust()
}

// adjust doubles or halves the offload factor at most once.
func (m *mix) adjust() {
	m.factor = max(1, m.factor)
	if m.promptTokens < mixMinTokens {
		return
	}
	switch ratio := m.outputTokens / m.promptTokens; {
	case ratio > usualOutputRatio*m.factor*mixHysteresis && m.factor < maxOffload:
		m.factor *= 2
	case ratio < usualOutputRatio*m.factor/2/mixHysteresis && m.factor > 1:
		m.factor /= 2
	}
}

// offload returns the factor applied to the weight of prefill engines: 1 for the usual mix,
// else a power of two.
func (m *mix) offload() float64 {
	return max(1, m.factor)
}
