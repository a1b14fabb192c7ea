package jaycontrol

import (
	"maps"
	"slices"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayrole"
)

// Demands provides the callers' demand in a region, by model.
type Demands interface {
	Demand(region string) map[string]jaymember.Demand
}

// DemandRoles is a planner that sets the roles of engines by demand where a plan of
// the configuration covers them, and keeps all others at their configured roles.
type DemandRoles struct {
	demands  Demands
	planners map[string]*jayrole.Planner
}

// NewDemandRoles returns a planner without any demand history.
func NewDemandRoles(demands Demands) *DemandRoles {
	return &DemandRoles{demands: demands, planners: make(map[string]*jayrole.Planner)}
}

// Plan returns the next order of the cell.
func (r *DemandRoles) Plan(now time.Time, input PlanInput) (engine string, order jayengine.Order, ok bool) {
	groups := make(map[string][]jayconfig.NamedUpstream)
	plans := make(map[string]jayconfig.NamedPlan)
	unplanned := input
	unplanned.Engines = nil
	for _, upstream := range input.Engines {
		plan, planned := input.View.Plan(upstream.Name)
		if !planned {
			unplanned.Engines = append(unplanned.Engines, upstream)
			continue
		}
		plans[plan.Name] = plan
		groups[plan.Name] = append(groups[plan.Name], upstream)
	}
	if engine, order, ok = (StaticRoles{}).Plan(now, unplanned); ok {
		return engine, order, true
	}
	for _, name := range sortedNames(plans) {
		change, due := r.planner(name).Plan(now, plans[name].Plan, r.demand(input, plans[name], groups[name]), usable(groups[name], input.Status))
		if due {
			return change.Engine, jayengine.Order{Kind: jayengine.OrderRole, Value: string(change.Role)}, true
		}
	}
	return "", jayengine.Order{}, false
}

// demand returns the cell's share of the demand of its region, in proportion to
// its number of engines under the plan.
func (r *DemandRoles) demand(input PlanInput, plan jayconfig.NamedPlan, group []jayconfig.NamedUpstream) jaymember.Demand {
	region := group[0].Region
	share := float64(len(group)) / float64(input.View.EngineCount(plan.Name, region))
	return r.demands.Demand(region)[plan.Model].Times(share)
}

func (r *DemandRoles) planner(name string) *jayrole.Planner {
	planner, ok := r.planners[name]
	if !ok {
		planner = jayrole.NewPlanner()
		r.planners[name] = planner
	}
	return planner
}

// usable returns the engines that answered, have a role, are not carrying out an
// order and are not configured to drain.
func usable(group []jayconfig.NamedUpstream, status map[string]jayengine.Status) []jayrole.Engine {
	var list []jayrole.Engine
	for _, upstream := range group {
		current, known := status[upstream.Name]
		if !known || current.Busy || current.Role == "" || upstream.Drain {
			continue
		}
		list = append(list, jayrole.Engine{Name: upstream.Name, Role: jayconfig.Role(current.Role)})
	}
	return list
}

func sortedNames(plans map[string]jayconfig.NamedPlan) []string {
	return slices.Sorted(maps.Keys(plans))
}
