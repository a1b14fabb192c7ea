package jaydispatch

import (
	"context"
	"maps"
	"math"
	"time"

	"jayfield.example/jay/jaymember"
)

// demandWindow is the time constant of the moving averages of demand.
const demandWindow = 3 * time.Second

// meter measures the demand of callers by model, whether it is served or refused.
type meter struct {
	rates map[string]jaymember.Demand
	// pending is the work requested since the last tick, in tokens.
	pending map[string]jaymember.Demand
	last    time.Time
}

func newMeter() *meter {
	return &meter{rates: make(map[string]jaymember.Demand), pending: make(map[string]jaymember.Demand)}
}

// add counts the work of a request. Retries, resumed streams and hedges are left
// out: they repeat work that was counted already.
func (m *meter) add(r Request) {
	repeated := r.Avoid != "" || r.Prefer != "" || r.NoWait
	if r.Model == "" || repeated {
		return
	}
	work := jaymember.Demand{Prompt: float64(r.Work.Prompt), Output: float64(r.Work.Output)}
	m.pending[r.Model] = m.pending[r.Model].Plus(work)
}

// tick adds the work requested since the last tick to the moving averages.
func (m *meter) tick(now time.Time) {
	elapsed := now.Sub(m.last).Seconds()
	if m.last.IsZero() || elapsed <= 0 {
		m.last = now
		return
	}
	m.last = now
	alpha := 1 - math.Exp(-elapsed/demandWindow.Seconds())
	for model, rate := range m.rates {
		m.rates[model] = rate.Times(1 - alpha)
	}
	for model, work := range m.pending {
		m.rates[model] = m.rates[model].Plus(work.Times(alpha / elapsed))
	}
	clear(m.pending)
}

// Demand returns the work that callers request from this instance, by model.
func (d *Dispatcher) Demand(ctx context.Context) map[string]jaymember.Demand {
	var demand map[string]jaymember.Demand
	_ = d.owner.Call(ctx, func(s *state) { demand = maps.Clone(s.meter.rates) })
	return demand
}
