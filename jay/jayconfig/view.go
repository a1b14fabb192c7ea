package jayconfig

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// View is a state indexed for serving requests. It is immutable.
type View struct {
	state    *State
	salt     []byte
	callers  map[[sha256.Size]byte]NamedCaller
	routes   map[string][]NamedRoute
	services map[string]*Service
	// upstreams are by name.
	upstreams []NamedUpstream
	// planned are the plans of the engines that one is for, by the engine's name.
	planned map[string]NamedPlan
	// groups count the engines of each plan in each region.
	groups map[group]int
}

// group is the engines of a plan in a region.
type group struct {
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

// NamedCaller is an account with its name.
type NamedCaller struct {
	Name string
	*Caller
}

// NamedRoute is a route with the name of its object.
type NamedRoute struct {
	Name string
	*Route
}

// NewView returns the index of a state.
func NewView(state *State) *View {
	v := &View{
		state:    state,
		salt:     make([]byte, sha256.Size),
		callers:  make(map[[sha256.Size]byte]NamedCaller),
		routes:   make(map[string][]NamedRoute),
		services: make(map[string]*Service),
		planned:  make(map[string]NamedPlan),
		groups:   make(map[group]int),
	}
	var plans []NamedPlan
	_, _ = rand.Read(v.salt) // It never fails.
	for _, object := range state.Objects() {
		switch spec := object.Spec().(type) {
		case *Caller:
			v.callers[v.index(spec.Hash)] = NamedCaller{Name: object.Name.Name, Caller: spec}
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
	v.plan(plans)
	return v
}

// Caller returns the account that a key belongs to. Neither the look-up, which
// uses a hash under a secret salt, nor the comparison tells by its time how
// much of a wrong key is right.
func (v *View) Caller(key string) (NamedCaller, bool) {
	sum := sha256.Sum256([]byte(key))
	caller, ok := v.callers[v.index(sum)]
	if !ok || !caller.Matches(sum) {
		return NamedCaller{}, false
	}
	return caller, true
}

// Models returns the names of all models that a caller's work may use.
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

// Plan returns the plan for an engine by the engine's name: the first, by its own, that picks it.
func (v *View) Plan(engine string) (NamedPlan, bool) {
	plan, ok := v.planned[engine]
	return plan, ok
}

// Planned returns the number of a plan's engines in a region.
func (v *View) Planned(plan, region string) int {
	return v.groups[group{plan, region}]
}

// Route returns the route for work of a model and a caller's labels.
func (v *View) Route(model string, caller labels.Set) (NamedRoute, bool) {
	for _, route := range v.routes[model] {
		if route.Callers.Matches(caller) {
			return route, true
		}
	}
	return NamedRoute{}, false
}

// Service returns the plain service of a name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// State returns the state that the view indexes.
func (v *View) State() *State {
	return v.state
}

// plan evaluates the selectors of plans once for each engine.
func (v *View) plan(plans []NamedPlan) {
	for _, upstream := range v.upstreams {
		for _, plan := range plans {
			if plan.picks(upstream.Upstream) {
				v.planned[upstream.Name] = plan
				v.groups[group{plan.Name, upstream.Region}]++
				break
			}
		}
	}
}

func (v *View) index(sum [sha256.Size]byte) [sha256.Size]byte {
	mac := hmac.New(sha256.New, v.salt)
	mac.Write(sum[:])
	return [sha256.Size]byte(mac.Sum(nil))
}

// Upstreams returns all upstreams by name.
func (v *View) Upstreams() []NamedUpstream {
	return v.upstreams
}
