package jayconfig

import (
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayaccount"
)

// View is a state indexed for serving requests. It is immutable.
type View struct {
	state *State
	// accounts finds the names of callers by their keys.
	accounts *jayaccount.Table
	callers  map[string]NamedCaller
	routes   map[string][]NamedRoute
	services map[string]*Service
	// upstreams are sorted by name.
	upstreams []NamedUpstream
	// planByEngine maps the names of engines to the plan that applies to them.
	planByEngine map[string]NamedPlan
	// engineCounts holds the number of engines of each plan in each region.
	engineCounts map[planRegion]int
}

// planRegion identifies the engines of a plan in one region.
type planRegion struct {
	plan, region string
}

// NamedPlan is a plan with its name.
type NamedPlan struct {
	Name string
	*Plan
}

// NamedUpstream is an upstream with its name.
type NamedUpstream struct {
	Name string
	*Upstream
}

// NamedCaller is a client account with its name.
type NamedCaller struct {
	Name string
	*Caller
}

// NamedRoute is a route with the name of its object.
type NamedRoute struct {
	Name string
	*Route
}

// NewView builds the view of a state.
func NewView(state *State) *View {
	v := &View{
		state:        state,
		callers:      make(map[string]NamedCaller),
		routes:       make(map[string][]NamedRoute),
		services:     make(map[string]*Service),
		planByEngine: make(map[string]NamedPlan),
		engineCounts: make(map[planRegion]int),
	}
	var plans []NamedPlan
	var accounts []jayaccount.Entry
	for _, object := range state.Objects() {
		switch spec := object.Spec().(type) {
		case *Caller:
			name := object.Name.Name
			v.callers[name] = NamedCaller{Name: name, Caller: spec}
			accounts = append(accounts, jayaccount.Entry{Account: jayaccount.Account{Name: name}, Digests: []jayaccount.Digest{spec.Hash}})
		case *Route:
			v.routes[spec.Model] = append(v.routes[spec.Model], NamedRoute{Name: object.Name.String(), Route: spec})
		case *Upstream:
			v.upstreams = append(v.upstreams, NamedUpstream{Name: object.Name.Name, Upstream: spec})
		case *Plan:
			plans = append(plans, NamedPlan{Name: object.Name.Name, Plan: spec})
		case *Service:
			v.services[object.Name.Name] = spec
		}
	}
	for _, routes := range v.routes {
		slices.SortStableFunc(routes, func(a, b NamedRoute) int { return b.Rank - a.Rank })
	}
	v.accounts = jayaccount.NewTable(accounts...)
	v.assignPlans(plans)
	return v
}

// Caller returns the client account that a key belongs to.
func (v *View) Caller(key string) (NamedCaller, bool) {
	account, ok := v.accounts.Find(jayaccount.Key(key))
	if !ok {
		return NamedCaller{}, false
	}
	caller, ok := v.callers[account.Name]
	return caller, ok
}

// Models returns the names of all models that a caller with these labels may use, sorted.
func (v *View) Models(caller labels.Set) []string {
	var models []string
	for model := range v.routes {
		if _, ok := v.Route(model, caller); ok {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, strings.Compare)
	return models
}

// Plan returns the plan that applies to an engine. If several plans match, the first by name applies.
func (v *View) Plan(engine string) (NamedPlan, bool) {
	plan, ok := v.planByEngine[engine]
	return plan, ok
}

// EngineCount returns the number of engines in a region that a plan applies to.
func (v *View) EngineCount(plan, region string) int {
	return v.engineCounts[planRegion{plan, region}]
}

// Route returns the route for a model and a caller's labels: the matching one with the highest rank.
func (v *View) Route(model string, caller labels.Set) (NamedRoute, bool) {
	for _, route := range v.routes[model] {
		if route.Callers.Matches(caller) {
			return route, true
		}
	}
	return NamedRoute{}, false
}

// Service returns the plain service with a name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// State returns the state that the view was built from.
func (v *View) State() *State {
	return v.state
}

// assignPlans evaluates the selectors of plans once for each engine.
func (v *View) assignPlans(plans []NamedPlan) {
	for _, upstream := range v.upstreams {
		for _, plan := range plans {
			if plan.matches(upstream.Upstream) {
				v.planByEngine[upstream.Name] = plan
				v.engineCounts[planRegion{plan.Name, upstream.Region}]++
				break
			}
		}
	}
}

// Upstreams returns all upstreams sorted by name.
func (v *View) Upstreams() []NamedUpstream {
	return v.upstreams
}
