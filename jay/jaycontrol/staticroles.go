package jaycontrol

import (
	"time"

	"jayfield.example/jay/jayengine"
)

// StaticRoles is a planner that keeps engines at their configured roles.
type StaticRoles struct{}

// Plan returns an order for the first engine whose role differs from the configured one.
func (StaticRoles) Plan(_ time.Time, input PlanInput) (engine string, order jayengine.Order, ok bool) {
	for _, upstream := range input.Engines {
		current, known := input.Status[upstream.Name]
		if !known || current.Busy || current.Role == "" || current.Role == string(upstream.Role) {
			continue
		}
		return upstream.Name, jayengine.Order{Kind: jayengine.OrderRole, Value: string(upstream.Role)}, true
	}
	return "", jayengine.Order{}, false
}
