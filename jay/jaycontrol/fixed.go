package jaycontrol

import (
	"time"

	"jayfield.example/jay/jayengine"
)

// Fixed plans the roles that the configuration gives.
type Fixed struct{}

// Plan returns the order for the first engine whose role is not the configured one.
func (Fixed) Plan(_ time.Time, scene Scene) (engine string, order jayengine.Order, ok bool) {
	for _, upstream := range scene.Engines {
		current, known := scene.Status[upstream.Name]
		if !known || current.Busy || current.Role == "" || current.Role == string(upstream.Role) {
			continue
		}
		return upstream.Name, jayengine.Order{Kind: jayengine.OrderRole, Value: string(upstream.Role)}, true
	}
	return "", jayengine.Order{}, false
}
