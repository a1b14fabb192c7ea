package jayexperiment

import (
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayrole"
)

// split is how many engines of a cell have each role.
type split struct {
	mixed, prefill, decode int
}

// splits returns all ways to give roles to a number of engines.
func splits(engines int) []split {
	var list []split
	for prefill := range engines + 1 {
		for decode := range engines + 1 - prefill {
			list = append(list, split{engines - prefill - decode, prefill, decode})
		}
	}
	return list
}

// splitOf counts the roles that the engines of a cell have now.
func splitOf(input jaycontrol.PlanInput) split {
	var s split
	for _, status := range input.Status {
		*s.of(jayconfig.Role(status.Role))++
	}
	return s
}

// changes returns the least number of engines that change between two splits.
func (s split) changes(other split) int {
	return max(0, other.mixed-s.mixed) + max(0, other.prefill-s.prefill) + max(0, other.decode-s.decode)
}

// engines returns engines that have these roles.
func (s split) engines() []jayrole.Engine {
	var list []jayrole.Engine
	for _, role := range roles() {
		for range *s.of(role) {
			list = append(list, jayrole.Engine{Role: role})
		}
	}
	return list
}

func (s *split) of(role jayconfig.Role) *int {
	switch role {
	case jayconfig.RolePrefill:
		return &s.prefill
	case jayconfig.RoleDecode:
		return &s.decode
	case jayconfig.RoleMixed:
	}
	return &s.mixed
}

// served returns the part of the offered work that the engines can serve at a share of prefill.
func (s split) served(share float64) float64 {
	engines := s.engines()
	offered := mixLoad * float64(len(engines))
	r := mixRates()
	demand := jaymember.Demand{Prompt: share * offered * r.Prefill, Output: (1 - share) * offered * r.Decode}
	return min(1, jayrole.CapacityRatio(mixPlan(), demand, engines))
}

// toward returns the order for the first change from the roles of now to others.
func toward(input jaycontrol.PlanInput, target split) (string, jayengine.Order, bool) {
	current := splitOf(input)
	for _, to := range roles() {
		if *current.of(to) >= *target.of(to) {
			continue
		}
		for _, engine := range input.Engines {
			status, known := input.Status[engine.Name]
			from := jayconfig.Role(status.Role)
			if known && !status.Busy && *current.of(from) > *target.of(from) {
				return engine.Name, jayengine.Order{Kind: jayengine.OrderRole, Value: string(to)}, true
			}
		}
	}
	return "", jayengine.Order{}, false
}

func roles() []jayconfig.Role {
	return []jayconfig.Role{jayconfig.RoleMixed, jayconfig.RolePrefill, jayconfig.RoleDecode}
}
