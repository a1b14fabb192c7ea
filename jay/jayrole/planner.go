// Package jayrole decides which roles the engines of a cell should have.
//
// Decisions are pure: they depend on the time, the plan, the demand and what
// the planner has seen before. Roles follow slow drifts of the mix; fast
// swings are left to routing, since a change costs an engine for seconds.
package jayrole

import (
	"slices"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
)

const (
	// settle is how long a change must have paid without a break before it is made.
	settle = 2 * time.Second
	// payback is how many times its cost a change must gain over the horizon.
	payback = 1.5
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
	drift drift
	// since is when each engine took its role, or was first seen.
	since map[string]time.Time
	// pays is since when each kind of change has paid.
	pays map[move]time.Time
}

// move is a kind of change: from one role to another.
type move struct {
	from, to jayconfig.Role
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner() *Planner {
	return &Planner{since: make(map[string]time.Time), pays: make(map[move]time.Time)}
}

// Plan returns the next change, if one is due: by the drift of the demand it
// serves more over the plan's horizon than the engine's absence costs, with a
// margin, and has done so for some time. At most one change is made at a time; the caller asks
// again when it has been carried out.
func (p *Planner) Plan(now time.Time, plan *jayconfig.Plan, demand jaymember.Demand, engines []Engine) (Change, bool) {
	p.drift.observe(now, plan, demand)
	p.meet(now, engines)
	outlook := p.drift.outlook(plan)
	before := served(plan, outlook, engines)
	var best Change
	most := 0.0
	for _, m := range moves() {
		at := p.candidate(now, plan, engines, m.from)
		if at < 0 {
			delete(p.pays, m)
			continue
		}
		gain := (served(plan, outlook, with(engines, at, m.to)) - before) * plan.Horizon.Seconds()
		loss := (before - served(plan, outlook, without(engines, at))) * plan.Cost.Seconds()
		if p.settled(now, m, gain > payback*loss) && gain > most {
			best, most = Change{Engine: engines[at].Name, Role: m.to}, gain
		}
	}
	if most == 0 {
		return Change{}, false
	}
	clear(p.pays)
	p.since[best.Engine] = now
	return best, true
}

// candidate returns the first engine of a role that has stayed long enough, -1 for none.
func (p *Planner) candidate(now time.Time, plan *jayconfig.Plan, engines []Engine, role jayconfig.Role) int {
	return slices.IndexFunc(engines, func(e Engine) bool {
		return e.Role == role && now.Sub(p.since[e.Name]) >= plan.Stay
	})
}

// meet notes engines that are new.
func (p *Planner) meet(now time.Time, engines []Engine) {
	for _, engine := range engines {
		if _, known := p.since[engine.Name]; !known {
			p.since[engine.Name] = now
		}
	}
}

// settled notes whether a kind of change pays now, and reports whether it has for long enough.
func (p *Planner) settled(now time.Time, m move, pays bool) bool {
	if !pays {
		delete(p.pays, m)
		return false
	}
	if _, known := p.pays[m]; !known {
		p.pays[m] = now
	}
	return now.Sub(p.pays[m]) >= settle
}

// moves returns all kinds of changes.
func moves() []move {
	roles := []jayconfig.Role{jayconfig.RoleMixed, jayconfig.RolePrefill, jayconfig.RoleDecode}
	var list []move
	for _, from := range roles {
		for _, to := range roles {
			if from != to {
				list = append(list, move{from, to})
			}
		}
	}
	return list
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
	return min(total.Prompt/max(1, demand.Prompt), total.Output/max(1, demand.Output))
}

// served returns the part of the demand that engines serve, as the mean over
// an outlook. What they could serve above the demand is worth nothing.
func served(plan *jayconfig.Plan, outlook []jaymember.Demand, engines []Engine) float64 {
	total := 0.0
	for _, demand := range outlook {
		total += min(1, Scale(plan, demand, engines))
	}
	return total / float64(len(outlook))
}

func with(engines []Engine, at int, role jayconfig.Role) []Engine {
	changed := append([]Engine(nil), engines...)
	changed[at].Role = role
	return changed
}

func without(engines []Engine, at int) []Engine {
	return append(append([]Engine(nil), engines[:at]...), engines[at+1:]...)
}
