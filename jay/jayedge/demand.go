package jayedge

import (
	"context"
	"sync"
	"time"

	"jayfield.example/jay/jaycapacity"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jayusage"
)

// demandInterval is the time between two collections of the demand of all zones.
const demandInterval = time.Second

// demandCollector collects the demand of each availability zone while this instance holds the duties. It is
// safe for concurrent use.
type demandCollector struct {
	holder    dutyHolder
	collector usageCollector

	mu sync.Mutex
	// zones holds the demand by zone as of the latest reply with any, by the hash of the service.
	zones map[string]zoneDemand
}

// zoneDemand is the demand of a zone at a point in time.
type zoneDemand struct {
	at       time.Time
	services map[uint32]jaymember.ServiceDemand
}

func newDemandCollector(holder dutyHolder, collector usageCollector) *demandCollector {
	return &demandCollector{holder: holder, collector: collector, zones: make(map[string]zoneDemand)}
}

// collect asks the hubs of all zones.
func (c *demandCollector) collect(ctx context.Context) {
	if _, ok := c.holder.Holds(0); !ok {
		return
	}
	// The figures are as of the replies; the time before the request makes them older, never younger.
	now := time.Now()
	replies := c.collector.Collect(ctx, jayroster.CollectRequest{Demand: true})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reply := range replies {
		if reply.Answered == 0 {
			continue
		}
		zone := zoneDemand{at: now, services: make(map[uint32]jaymember.ServiceDemand, len(reply.Demand))}
		for _, d := range reply.Demand {
			zone.services[d.Service] = d
		}
		c.zones[reply.Zone] = zone
	}
}

// Demand returns the demand for a service by zone.
func (c *demandCollector) Demand(now time.Time, service string) map[string]jaycapacity.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := jayusage.ServiceHash(service)
	demand := make(map[string]jaycapacity.Demand, len(c.zones))
	for name, zone := range c.zones {
		d := zone.services[hash]
		demand[name] = jaycapacity.Demand{
			Prefill: float64(d.PrefillTokens), Output: float64(d.OutputTokens), Running: d.Running,
			Requests: float64(d.Ended), Late: float64(d.Missed), Prefixes: d.Prefixes, Age: now.Sub(zone.at),
		}
	}
	return demand
}

// measuredFigures supplies the planner with the figures of engines.
type measuredFigures struct {
	placer *placer
}

// Figures returns what engines of each stage of a service achieve.
func (f measuredFigures) Figures(service string) map[jayfleet.Stage]jaycapacity.Figure {
	ctx, cancel := context.WithTimeout(context.Background(), demandInterval)
	defer cancel()
	figures := make(map[jayfleet.Stage]jaycapacity.Figure)
	for stage, figure := range f.placer.engineFigures(ctx, service) {
		figures[stage] = jaycapacity.Figure(figure)
	}
	return figures
}
