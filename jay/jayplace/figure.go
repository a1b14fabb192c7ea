package jayplace

import (
	"math"
	"time"

	"jayfield.example/jay/jayfigure"
	"jayfield.example/jay/jayfleet"
)

// Figures before any sample, by the data sheet of one kind of engine.
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
)

// stageFigures is what this instance has measured of the engines of a service and stage.
type stageFigures struct {
	// prefill is the time to the response of a prefill-only request or to the first event of an
	// engine that prefills itself; handOver the time from the send to the first event at an
	// engine that fetches the KV cache.
	prefill, handOver *jayfigure.Model
	// size is a moving average of the tokens of a prefill, and shortSize of the same with 0 for
	// long prefills.
	size, shortSize float64
}

// figuresKey identifies the figures of a service and stage.
type figuresKey struct {
	service string
	stage   jayfleet.Stage
}

// stageFigures returns the figures of an upstream's service and stage.
func (t *Table) stageFigures(u jayfleet.Upstream) *stageFigures {
	key := figuresKey{u.Service, u.Stage}
	f, ok := t.figures[key]
	if !ok {
		speed := decodeSpeed
		if u.Stage == jayfleet.StagePrefill {
			speed = prefillSpeed
		}
		f = &stageFigures{
			prefill:  jayfigure.NewModel(jayfigure.Prior{Speed: speed, Fixed: firstTokenTime}),
			handOver: jayfigure.NewModel(jayfigure.Prior{Speed: speed, Fixed: handoffTime}),
		}
		t.figures[key] = f
	}
	return f
}

// addSize records the size of a prefill.
func (f *stageFigures) addSize(c Choice) {
	f.size += smoothingFactor * (float64(c.PrefillTokens) - f.size)
	f.shortSize += smoothingFactor * (float64(c.shortTokens()) - f.shortSize)
}

// recordPrefill records the time that the prefill of a choice took, if it was measured.
func (u *upstream) recordPrefill(now time.Time, c Choice) {
	if c.Took <= 0 || u.spec.Stage == jayfleet.StageNone || u.spec.Born != c.Upstream.Born || u.spec.Address != c.Upstream.Address {
		return
	}
	u.observe(now, u.figures.prefill, jayfigure.Sample{Took: c.Took - u.rtt - c.transfer, Tokens: c.PrefillTokens, Ahead: c.ahead})
}

// RecordHandOver records the time from the send of a request to a decode engine to its first
// event, for a prompt that another engine has prefilled.
func (t *Table) RecordHandOver(now time.Time, to jayfleet.Upstream, took time.Duration) {
	u, ok := t.upstreams[to.ID]
	if !ok || u.spec.Stage == jayfleet.StageNone || u.spec.Born != to.Born || u.spec.Address != to.Address {
		return
	}
	u.pace.Pace = u.pace.WithAnswer(now, took-u.rtt, u.figures.handOver.Fixed())
	u.observe(now, u.figures.handOver, jayfigure.Sample{Took: took - u.rtt})
}

// observe adds a sample to the figures of the engine and of its stage. Instances compare engines by
// samples of prefills with little queued work only: a queue, or the time of a hand-over, says more
// about the load than about the engine.
func (u *upstream) observe(now time.Time, model *jayfigure.Model, s jayfigure.Sample) {
	e, ok := model.Error(s)
	if !ok {
		return
	}
	model.Observe(s)
	u.factor.Observe(e)
	if model == u.figures.prefill && model.Samples() > minModelSamples && model.Prefill(s.Ahead) <= 2*(model.Fixed()+model.Prefill(s.Tokens)) {
		u.speed.window.Observe(now, e)
	}
}

// slowness returns how many times as long as its stage an engine takes, by its own factor within
// the class in which the samples of all instances are.
func (u *upstream) slowness() float64 {
	own := u.factor.Value()
	if u.speed.merged.Total() < minSpeedSamples {
		return own
	}
	merged := math.Exp2(u.speed.median)
	if u.factor.Samples() < minFactorSamples {
		return merged
	}
	return min(max(own, merged/math.Sqrt2), merged*math.Sqrt2)
}

const (
	// minFigureSamples is the number of samples from which the figures of a stage are reported.
	minFigureSamples = 16
	// outputWeight is the number of prefilled tokens that take as much of an engine as one output token.
	outputWeight = 10
)

// EngineFigure is what a typical engine of a stage achieves, in tokens per second.
type EngineFigure struct {
	Prefill, Output float64
}

// EngineFigures returns the figures of the stages of a service. Stages with few samples are left out.
func (t *Table) EngineFigures(service string) map[jayfleet.Stage]EngineFigure {
	figures := make(map[jayfleet.Stage]EngineFigure)
	for key, f := range t.figures {
		if key.service == service && f.prefill.Samples() >= minFigureSamples {
			perSecond := f.prefill.Speed() * float64(time.Second/time.Millisecond)
			figures[key.stage] = EngineFigure{Prefill: perSecond, Output: perSecond / outputWeight}
		}
	}
	return figures
}
