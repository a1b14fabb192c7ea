// Package jayrole decides which roles the engines of a cell should have.
//
// Decisions are deterministic: they depend only on the time, the plan, the demand
// and the planner's previous inputs. Roles follow slow drifts of the mix of prefill
// and decode. Fast swings are left to routing, since a change takes an engine out
// of service for seconds.
package jayrole

import (
	"slices"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
)

const (
	// minPayingTime is how long a change must pay without interruption before it is made.
	minPayingTime = 2 * time.Second
	// minGainRatio is the multiple of its cost that a change must gain over the horizon.
	minGainRatio = 1.5
)

// Engine is an engine that is reachable and executes no order.
type Engine struct {
	Name string
	Role jayconfig.Role
}

// Change is a role that an engine should take.
type Change struct {
	Engine string
	Role   jayconfig.Role
}

// Planner plans the roles of the engines of one plan in one cell. It is not safe
// for concurrent use: a single goroutine owns it.
type Planner struct {
	drift drift
	// roleSince is when each engine was assigned its role or was first observed.
	roleSince map[string]time.Time
	// payingSince is the time since which each transition pays without interruption.
	payingSince map[transition]time.Time
}

// transition is a change from one role to another, of whichever engine.
type transition struct {
	from, to jayconfig.Role
}

// NewPlanner returns a planner without any observations.
func NewPlanner() *Planner {
	return &Planner{roleSince: make(map[string]time.Time), payingSince: make(map[transition]time.Time)}
}

// Plan returns the next change, if one is due. A change is due if, by the forecast
// demand, its gain over the plan's horizon exceeds the cost of the engine's absence
// by a margin, and has done so for some time. At most one change is made at a time:
// the caller must not call Plan again before the change is complete.
func (p *Planner) Plan(now time.Time, plan *jayconfig.Plan, demand jaymember.Demand, engines []Engine) (Change, bool) {
	p.drift.observe(now, plan, demand)
	p.addNew(now, engines)
	forecast := p.drift.forecast(plan)
	before := served(plan, forecast, engines)
	var best Change
	bestGain := 0.0
	for _, tr := range transitions() {
		idx := p.candidate(now, plan, engines, tr.from)
		if idx < 0 {
			delete(p.payingSince, tr)
			continue
		}
		gain := (served(plan, forecast, withRole(engines, idx, tr.to)) - before) * plan.Horizon.Seconds()
		loss := (before - served(plan, forecast, without(engines, idx))) * plan.ChangeCost.Seconds()
		if p.paysLongEnough(now, tr, gain > minGainRatio*loss) && gain > bestGain {
			best, bestGain = Change{Engine: engines[idx].Name, Role: tr.to}, gain
		}
	}
	if bestGain == 0 {
		return Change{}, false
	}
	clear(p.payingSince)
	p.roleSince[best.Engine] = now
	return best, true
}

// candidate returns the index of the first engine of a role that has had it for the
// plan's minimum stay, or -1.
func (p *Planner) candidate(now time.Time, plan *jayconfig.Plan, engines []Engine, role jayconfig.Role) int {
	return slices.IndexFunc(engines, func(e Engine) bool {
		return e.Role == role && now.Sub(p.roleSince[e.Name]) >= plan.MinStay
	})
}

// addNew records the time at which new engines are first observed.
func (p *Planner) addNew(now time.Time, engines []Engine) {
	for _, engine := range engines {
		if _, known := p.roleSince[engine.Name]; !known {
			p.roleSince[engine.Name] = now
		}
	}
}

// paysLongEnough records whether a transition pays now, and reports whether it has
// paid for long enough.
func (p *Planner) paysLongEnough(now time.Time, tr transition, pays bool) bool {
	if !pays {
		delete(p.payingSince, tr)
		return false
	}
	if _, known := p.payingSince[tr]; !known {
		p.payingSince[tr] = now
	}
	return now.Sub(p.payingSince[tr]) >= minPayingTime
}

// transitions returns the transitions between any two roles.
func transitions() []transition {
	roles := []jayconfig.Role{jayconfig.RoleMixed, jayconfig.RolePrefill, jayconfig.RoleDecode}
	var list []transition
	for _, from := range roles {
		for _, to := range roles {
			if from != to {
				list = append(list, transition{from, to})
			}
		}
	}
	return list
}

// CapacityRatio returns the capacity of engines as a multiple of a demand: the lesser of
// the multiples for prompts and outputs. It is 0 where no engine decodes.
func CapacityRatio(plan *jayconfig.Plan, demand jaymember.Demand, engines []Engine) float64 {
	var total jayconfig.Rate
	for _, engine := range engines {
		rate := plan.Rate(engine.Role)
		total.Prompt += rate.Prompt
		total.Output += rate.Output
	}
	return min(total.Prompt/max(1, demand.Prompt), total.Output/max(1, demand.Output))
}

// served returns the fraction of the demand that engines can serve, as the mean over
// a forecast. Capacity beyond the demand does not count.
func served(plan *jayconfig.Plan, forecast []jaymember.Demand, engines []Engine) float64 {
	total := 0.0
	for _, demand := range forecast {
		total += min(1, CapacityRatio(plan, demand, engines))
	}
	return total / float64(len(forecast))
}

func withRole(engines []Engine, idx int, role jayconfig.Role) []Engine {
	changed := append([]Engine(nil), engines...)
	changed[idx].Role = role
	return changed
}

func without(engines []Engine, idx int) []Engine {
	return append(append([]Engine(nil), engines[:idx]...), engines[idx+1:]...)
}
