// Package jayfigure estimates how fast engines are from the times of requests.
//
// A Model holds the figures of all engines of a service and stage: the prompt tokens that are
// prefilled per ms, and the fixed time beyond prefill in ms. A Factor holds how many times as
// long as the model predicts one engine takes. A Window counts recent samples of an engine by
// octave of that factor, so that instances which each send few requests to an engine can add
// their counts up.
//
// Samples come from two sources: the time from the send of a prefill-only request to its
// response, and the time from the send of a completion to its first event. The caller subtracts
// network round trips and transfers of KV cache. The package does no I/O and reads no clock.
package jayfigure

import (
	"math"
	"time"
)

const (
	// maxFactor bounds each figure to this multiple of its prior and to the inverse.
	maxFactor = 16.0
	// minStep is the part of the error of a sample by which figures move. It lets them follow a
	// change within some tens of samples, which is seconds under load.
	minStep = 0.08
	// maxError bounds the natural logarithm of the ratio of a sample to its prediction. It is
	// low, so that figures follow the median rather than the mean of samples.
	maxError = 0.5
	// maxTime is the longest time of a sample; longer ones are deadlines, not measurements.
	maxTime = time.Minute
	// maxTokens bounds the tokens of a sample.
	maxTokens = 10_000_000
)

// Prior is the figures that hold before any sample.
type Prior struct {
	// Speed is the number of prompt tokens prefilled per ms, Fixed the time beyond prefill.
	Speed float64
	Fixed time.Duration
}

// Sample is one measured request.
type Sample struct {
	// Took is the time that the engine took, queueing included.
	Took time.Duration
	// Tokens is the number of prompt tokens prefilled, Ahead the number queued before them.
	Tokens, Ahead int
}

// valid reports whether the sample can be a measurement at all.
func (s Sample) valid() bool {
	return s.Took > 0 && s.Took <= maxTime && s.Tokens >= 0 && s.Tokens <= maxTokens && s.Ahead >= 0 && s.Ahead <= maxTokens
}

// Model is the figures of a service and stage.
type Model struct {
	prior Prior
	// speed and fixed are the natural logarithms of the factors by which the figures differ
	// from their prior.
	speed, fixed float64
	samples      int
}

// NewModel returns a model without samples.
func NewModel(prior Prior) *Model {
	return &Model{prior: prior}
}

// Speed returns the number of prompt tokens prefilled per ms.
func (m *Model) Speed() float64 {
	return m.prior.Speed * math.Exp(m.speed)
}

// Fixed returns the time beyond prefill.
func (m *Model) Fixed() time.Duration {
	if m.fixed == 0 {
		return m.prior.Fixed
	}
	return time.Duration(float64(m.prior.Fixed) * math.Exp(m.fixed))
}

// Samples returns the number of samples observed.
func (m *Model) Samples() int {
	return m.samples
}

// Prefill returns the time in which an engine prefills tokens.
func (m *Model) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / m.Speed() * float64(time.Millisecond))
}

// Error returns the natural logarithm of the ratio of a sample to its prediction. It reports
// false for a sample that can't be a measurement.
func (m *Model) Error(s Sample) (float64, bool) {
	if !s.valid() {
		return 0, false
	}
	return math.Log(float64(s.Took) / float64(m.Fixed()+m.Prefill(s.Tokens+s.Ahead))), true
}

// Observe moves the figures towards a sample. Each figure moves by its part of the predicted
// time, so that short prefills determine the fixed time and long ones the speed.
func (m *Model) Observe(s Sample) {
	e, ok := m.Error(s)
	if !ok {
		return
	}
	fixed, prefill := float64(m.Fixed()), float64(m.Prefill(s.Tokens+s.Ahead))
	part := prefill / (fixed + prefill)
	// The number of queued tokens is approximate: the part that it makes up is discounted.
	weight := (fixed + float64(m.Prefill(s.Tokens))) / (fixed + prefill)
	move := step(m.samples) * weight * min(max(e, -maxError), maxError) / (part*part + (1-part)*(1-part))
	m.speed = bounded(m.speed - move*part)
	m.fixed = bounded(m.fixed + move*(1-part))
	m.samples++
}

// step returns the part of an error by which figures move after a number of samples.
func step(samples int) float64 {
	return max(minStep, 1/(2+float64(samples)/4))
}

func bounded(logFactor float64) float64 {
	limit := math.Log(maxFactor)
	return min(max(logFactor, -limit), limit)
}

// Factor is how many times as long as the model predicts an engine takes. The zero value is a
// factor of 1 without samples.
type Factor struct {
	log     float64
	samples int
}

// Observe moves the factor towards a sample's error against the model.
func (f *Factor) Observe(e float64) {
	f.log = bounded(f.log + step(f.samples)*min(max(e-f.log, -maxError), maxError))
	f.samples++
}

// Samples returns the number of samples observed.
func (f *Factor) Samples() int {
	return f.samples
}

// Value returns the factor.
func (f *Factor) Value() float64 {
	return math.Exp(f.log)
}
