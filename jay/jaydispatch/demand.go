package jaydispatch

import (
	"context"
	"maps"
	"math"
	"time"

	"jayfield.example/jay/jaymember"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 3 * time.Second

// meter measures the work that callers ask for, by model, whether it is served or refused.
type meter struct {
	rates map[string]jaymember.Demand
	// asked is the work since the last tick, in tokens.
	asked map[string]jaymember.Demand
	last  time.Time
}

func newMeter() *meter {
	return &meter{rates: make(map[string]jaymember.Demand), asked: make(map[string]jaymember.Demand)}
}

func (m *meter) count(r Request) {
	again := r.Avoid != "" || r.Prefer != "" || r.Now
	if r.Model == "" || again {
		return
	}
	work := jaymember.Demand{Prompt: float64(r.Work.Prompt), Output: float64(r.Work.Output)}
	m.asked[r.Model] = m.asked[r.Model].Plus(work)
}

// tick takes what was asked since the last tick into the averages.
func (m *meter) tick(now time.Time) {
	elapsed := now.Sub(m.last).Seconds()
	if m.last.IsZero() || elapsed <= 0 {
		m.last = now
		return
	}
	m.last = now
	part := 1 - math.Exp(-elapsed/demandWindow.Seconds())
	for model, rate := range m.rates {
		m.rates[model] = rate.Times(1 - part)
	}
	for model, work := range m.asked {
		m.rates[model] = m.rates[model].Plus(work.Times(part / elapsed))
	}
	clear(m.asked)
}

// Demand returns the work that callers ask of this instance, by model.
func (d *Dispatcher) Demand(ctx context.Context) map[string]jaymember.Demand {
	var demand map[string]jaymember.Demand
	_ = d.owner.Ask(ctx, func(s *state) { demand = maps.Clone(s.meter.rates) })
	return demand
}
