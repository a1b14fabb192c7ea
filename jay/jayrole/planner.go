// Package jayrole decides which roles the engines of a cell should have.
//
// Decisions are pure: they depend on the time, the plan, the demand and what
// the planner has seen before. Roles follow slow drifts of the mix; fast
// swings are left to routing, since a change costs an engine for seconds.
package jayrole

import (
	"math"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
)

const (
	// window is the time over which demand is averaged.
	window = 4 * time.Second
	// settle is how long a change must have paid before it is made.
	settle = 2 * time.Second
	// leastGain is the least part by which a change must raise what is served.
	leastGain = 0.05
	// headroom is the capacity, as a multiple of the demand, above which more is worth nothing.
	headroom = 1.15
)

// Engine is an engine that answers and carries out no order.
type Engine struct {
	Name string
	Role jayconfig.Role
}

// Change is a role that an engine should take.
type Change struct {
	Engine string
	Role   jayconfig.Role
}

// Planner plans the roles of the engines of one plan in one cell. One task owns it.
type Planner struct {
	demand jaymember.Demand
	at     time.Time
	// since is when each engine took its role, or was first seen.
	since map[string]time.Time
	// pays is since when some change has paid without a break.
	pays time.Time
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner() *Planner {
	return &Planner{since: make(map[string]time.Time)}
}

// Plan returns the next change, if one pays: it serves more of the demand over
// the plan's horizon than the engine's absence costs. At most one change is
// made at a time; the caller asks again when it has been carried out.
func (p *Planner) Plan(now time.Time, plan *jayconfig.Plan, demand jaymember.Demand, engines []Engine) (Change, bool) {
	p.observe(now, demand, engines)
	change, ok := p.best(now, plan, engines)
	if !ok {
		p.pays = time.Time{}
		return Change{}, false
	}
	if p.pays.IsZero() {
		p.pays = now
	}
	if now.Sub(p.pays) < settle {
		return Change{}, false
	}
	p.pays = time.Time{}
	p.since[change.Engine] = now
	return change, true
}

// best returns the change that leaves the most capacity among those that pay.
func (p *Planner) best(now time.Time, plan *jayconfig.Plan, engines []Engine) (best Change, ok bool) {
	before := p.scale(plan, engines)
	most := 0.0
	for i, engine := range engines {
		if now.Sub(p.since[engine.Name]) < plan.Stay {
			continue
		}
		for _, role := range []jayconfig.Role{jayconfig.RoleMixed, jayconfig.RolePrefill, jayconfig.RoleDecode} {
			if role == engine.Role {
				continue
			}
			after := p.scale(plan, with(engines, i, role))
			if after > most && p.worth(plan, before, p.scale(plan, without(engines, i)), after) {
				best, most, ok = Change{Engine: engine.Name, Role: role}, after, true
			}
		}
	}
	return best, ok
}

// observe averages the demand and notes engines that are new.
func (p *Planner) observe(now time.Time, demand jaymember.Demand, engines []Engine) {
	part := 1 - math.Exp(-now.Sub(p.at).Seconds()/window.Seconds())
	if p.at.IsZero() {
		part = 1
	}
	p.at = now
	p.demand = p.demand.Times(1 - part).Plus(demand.Times(part))
	for _, engine := range engines {
		if _, known := p.since[engine.Name]; !known {
			p.since[engine.Name] = now
		}
	}
}

// scale returns what the engines can serve, as a multiple of the demand.
func (p *Planner) scale(plan *jayconfig.Plan, engines []Engine) float64 {
	return Scale(plan, p.demand, engines)
}

// worth reports whether a change pays.
func (p *Planner) worth(plan *jayconfig.Plan, before, during, after float64) bool {
	before, during, after = min(before, headroom), min(during, headroom), min(after, headroom)
	gain := (after - before) * plan.Horizon.Seconds()
	loss := (before - during) * plan.Cost.Seconds()
	return after >= before*(1+leastGain) && gain > loss
}

// Scale returns what engines can serve, as a multiple of a demand: the lesser
// of prompts and outputs. Nothing is served where no engine gives output.
func Scale(plan *jayconfig.Plan, demand jaymember.Demand, engines []Engine) float64 {
	var total jayconfig.Rate
	for _, engine := range engines {
		rate := plan.Rate(engine.Role)
		total.Prompt += rate.Prompt
		total.Output += rate.Output
	}
	if total.Output == 0 {
		return 0
	}
	return min(total.Prompt/max(1, demand.Prompt), total.Output/max(1, demand.Output))
}

func with(engines []Engine, at int, role jayconfig.Role) []Engine {
	changed := append([]Engine(nil), engines...)
	changed[at].Role = role
	return changed
}

func without(engines []Engine, at int) []Engine {
	return append(append([]Engine(nil), engines[:at]...), engines[at+1:]...)
}
