package jayedge

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"jayfield.example/jay/jaycapacity"
	"jayfield.example/jay/jaymetric"
)

// ScaleReport is the newest decisions of the instance that holds the duty.
type ScaleReport struct {
	Fence    int64
	Services []ScaledServiceReport
}

// ScaledServiceReport is the newest decision for a service.
type ScaledServiceReport struct {
	Service string
	Hold    jaycapacity.Hold
	Need    jaycapacity.Need
	// DemandAge and RegistryAge are the ages of the inputs in ms.
	DemandAge, RegistryAge int64
	Groups                 []ScaledGroupReport
}

// ScaledGroupReport is the numbers of the engines of one kind in an availability zone. What is ordered and what
// has registered differ while engines boot, and when the platform has none.
type ScaledGroupReport struct {
	Zone    string
	Kind    jaycapacity.Kind
	Wanted  int
	Reason  jaycapacity.Reason
	Present int
	Leaving int
	// Ordered is the newest number that was ordered, -1 if none was.
	Ordered int
	Blocked bool
}

// gaugeKey identifies the gauges of a group.
type gaugeKey struct {
	service string
	group   jaycapacity.Group
}

// Report returns the newest decisions, nil if this instance does not hold the duty.
func (s *Scale) Report() *ScaleReport {
	return s.report.Load()
}

func (r *ScaleReport) add(service string, plan jaycapacity.Plan, ordered jaycapacity.Counts, in jaycapacity.Input) {
	report := ScaledServiceReport{
		Service: service, Hold: plan.Hold, Need: plan.Need, DemandAge: plan.DemandAge.Milliseconds(), RegistryAge: in.RegistryAge.Milliseconds(),
	}
	present, leaving := countEngines(in)
	all := maps.Clone(plan.Wanted)
	for _, e := range in.Engines {
		all[e.Group] += 0
	}
	for _, group := range all.Sorted() {
		c := ScaledGroupReport{
			Zone: group.Zone, Kind: group.Kind, Wanted: plan.Wanted[group], Reason: plan.Reasons[group], Present: present[group], Leaving: leaving[group],
			Ordered: -1, Blocked: in.Blocked[group],
		}
		if n, ok := ordered[group]; ok {
			c.Ordered = n
		}
		report.Groups = append(report.Groups, c)
	}
	r.Services = append(r.Services, report)
}

func countEngines(in jaycapacity.Input) (present, leaving jaycapacity.Counts) {
	present, leaving = make(jaycapacity.Counts), make(jaycapacity.Counts)
	for _, e := range in.Engines {
		if e.Leaving {
			leaving[e.Group]++
		} else {
			present[e.Group]++
		}
	}
	return present, leaving
}

// publish shows a report in the state dump and the metrics.
func (s *Scale) publish(report *ScaleReport) {
	s.report.Store(report)
	for _, service := range report.Services {
		for _, c := range service.Groups {
			s.gauge(gaugeKey{service.Service, jaycapacity.Group{Zone: c.Zone, Kind: c.Kind}})
		}
	}
}

// gauge adds the gauges of a group once.
func (s *Scale) gauge(key gaugeKey) {
	if s.gauges[key] {
		return
	}
	s.gauges[key] = true
	labels := []jaymetric.Label{{Name: "service", Value: key.service}, {Name: "zone", Value: key.group.Zone}, {Name: "kind", Value: string(key.group.Kind)}}
	show := func(name string, value func(ScaledGroupReport) int) {
		s.Series.Gauge(name, func() float64 { return float64(value(s.Report().group(key))) }, labels...)
	}
	show("engines_wanted", func(c ScaledGroupReport) int { return c.Wanted })
	show("engines_ordered", func(c ScaledGroupReport) int { return max(0, c.Ordered) })
	show("engines_present", func(c ScaledGroupReport) int { return c.Present })
	show("engines_leaving", func(c ScaledGroupReport) int { return c.Leaving })
}

// group returns the numbers of a group, zero if there is no report.
func (r *ScaleReport) group(key gaugeKey) ScaledGroupReport {
	if r == nil {
		return ScaledGroupReport{}
	}
	for _, service := range r.Services {
		for _, c := range service.Groups {
			if service.Service == key.service && c.Zone == key.group.Zone && c.Kind == key.group.Kind {
				return c
			}
		}
	}
	return ScaledGroupReport{}
}

// logPlan logs a decision that differs from the one before.
func (s *Scale) logPlan(service string, state *scaledService, plan jaycapacity.Plan, in jaycapacity.Input) {
	if state.hold == plan.Hold && maps.Equal(state.wanted, plan.Wanted) {
		return
	}
	state.hold, state.wanted = plan.Hold, plan.Wanted
	present, leaving := countEngines(in)
	s.Log.Info("engines wanted", "service", service, "hold", plan.Hold, "wanted", describe(plan.Wanted, plan.Reasons), "present", describe(present, nil),
		"leaving", leaving.Total(), "engines", plan.Need.Engines, "onDemand", plan.Need.OnDemand, "surge", plan.Need.Surge, "learned", plan.Need.Learned,
		"prefixes", plan.Need.Prefixes, "prefill", int(plan.Need.Prefill), "output", int(plan.Need.Output), "rate", int(plan.Need.Rate), "boost", plan.Need.Boost,
		"cost", jaycapacity.Cost(in.Scaling, present), "demandAge", plan.DemandAge.Round(time.Millisecond), "registryAge", in.RegistryAge.Round(time.Millisecond),
		"seen", in.Seen, "listed", in.Listed)
}

// describe returns numbers by group in one word each.
func describe(counts jaycapacity.Counts, reasons map[jaycapacity.Group]jaycapacity.Reason) string {
	words := make([]string, 0, len(counts))
	for _, group := range counts.Sorted() {
		word := fmt.Sprintf("%s/%s:%d", group.Zone, group.Kind, counts[group])
		if reason, ok := reasons[group]; ok {
			word += "(" + string(reason) + ")"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}
