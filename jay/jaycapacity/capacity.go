// Package jaycapacity decides how many engines of a service are wanted in each availability zone, on-demand
// and preemptible, and which orders bring them about. It does no I/O and reads no clock.
package jaycapacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayprefix"
	"jayfield.example/jay/jaytraffic"
)

// Kind is the way in which an engine is paid for.
type Kind string

// Kinds of engines.
const (
	KindOnDemand Kind = "on-demand"
	// KindPreemptible engines cost less and may be reclaimed at short notice.
	KindPreemptible Kind = "preemptible"
)

// Group is the engines of one kind in an availability zone.
type Group struct {
	Zone string
	Kind Kind
}

// other returns the group of the other kind in the same zone.
func (c Group) other() Group {
	if c.Kind == KindOnDemand {
		return Group{c.Zone, KindPreemptible}
	}
	return Group{c.Zone, KindOnDemand}
}

// Compare orders groups by zone and kind.
func (c Group) Compare(other Group) int {
	return cmp.Or(cmp.Compare(c.Zone, other.Zone), cmp.Compare(c.Kind, other.Kind))
}

// Counts holds a number of engines by group.
type Counts map[Group]int

// Sorted returns the groups in a fixed order.
func (c Counts) Sorted() []Group {
	return slices.SortedFunc(maps.Keys(c), Group.Compare)
}

// Total returns the number of engines of all groups.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

func (c Counts) ofKind(kind Kind) int {
	total := 0
	for group, n := range c {
		if group.Kind == kind {
			total += n
		}
	}
	return total
}

func (c Counts) ofZone(zone string) int {
	return c[Group{zone, KindOnDemand}] + c[Group{zone, KindPreemptible}]
}

// Price returns the price of one engine of a group.
func Price(s jaytraffic.Scaling, c Group) float64 {
	if c.Kind == KindPreemptible {
		return s.ZonePrice(c.Zone) * s.SpotPrice
	}
	return s.ZonePrice(c.Zone)
}

// Cost returns the sum of the prices of engines.
func Cost(s jaytraffic.Scaling, engines Counts) float64 {
	cost := 0.0
	for group, n := range engines {
		cost += float64(n) * Price(s, group)
	}
	return cost
}

// Demand is the load that the instances of an availability zone put on a service.
type Demand struct {
	// Prefill is the prompt tokens that have to be prefilled per second, Output the output tokens per second.
	Prefill, Output float64
	// Running is the number of requests in progress at engines.
	Running int
	// Requests, Late and Refused are the requests per second that ended, missed their latency objective and
	// were refused.
	Requests, Late, Refused float64
	// Prefixes is a sample of the shared prompt prefixes that are in use.
	Prefixes jayprefix.Sample
	Age      time.Duration
}

// Engine is a registered engine.
type Engine struct {
	Group
	Stage   jayfleet.Stage
	Leaving bool
	// Age is the time since the engine registered.
	Age time.Duration
}

// Figure is what an engine of a stage achieves. A figure of 0 is not known yet.
type Figure struct {
	// Prefill and Output are tokens per second.
	Prefill, Output float64
}

// Settings limit what is wanted.
type Settings struct {
	// Floor is the least number of on-demand engines in each zone.
	Floor int
	// Spend is the ceiling on the sum of the prices of all engines, 0 for none.
	Spend float64
	// Freeze keeps all numbers.
	Freeze bool
}

// Input is what the planner decides on.
type Input struct {
	Now      time.Time
	Scaling  jaytraffic.Scaling
	Engine   jaytraffic.Engine
	Settings Settings
	// Zones holds the availability zones in which engines may run, DemandZones those with instances.
	Zones, DemandZones []string
	// Demand holds the demand by zone; a zone without an entry has not replied yet.
	Demand  map[string]Demand
	Engines []Engine
	Figures map[jayfleet.Stage]Figure
	// Blocked holds the groups where the platform has no engine to give now.
	Blocked map[Group]bool
	// RegistryAge is the age of the copy of the registry, RegistryMaxAge the age from which it counts as old.
	RegistryAge, RegistryMaxAge time.Duration
	// Seen is the number of instances that exchange heartbeats with this one, itself included, Listed the
	// number of listed ones.
	Seen, Listed int
}

// Hold is the reason for which no order may be sent.
type Hold string

// Reasons to send no order.
const (
	HoldNone     Hold = ""
	HoldFrozen   Hold = "orders are frozen by the settings"
	HoldRegistry Hold = "the copy of the registry is old"
	HoldDemand   Hold = "the demand of too few zones is known"
	HoldSplit    Hold = "too few instances are reachable"
)

// Reason is why a number is wanted.
type Reason string

// Reasons of wanted numbers.
const (
	ReasonPresent    Reason = "present"
	ReasonDemand     Reason = "demand grew"
	ReasonSubstitute Reason = "preemptible engines are not available"
	ReasonSurplus    Reason = "fewer engines were enough"
	ReasonLimit      Reason = "limit of the zone"
	ReasonOrdered    Reason = "ordered before"
)

// Need is the number of engines that the demand requires.
type Need struct {
	// Engines is the number of all engines at the target utilisation, OnDemand how many of them have to be
	// on-demand, Surge the least number at the highest utilisation that is tolerated for some seconds.
	// Least is the number below which no engine is given up for another.
	Least                    int
	Engines, OnDemand, Surge int
	// observed is OnDemand by the demand that lasts, whatever is assumed while the need is not known.
	observed int
	// Prefixes is the estimated size in tokens of the prefixes in use.
	Prefixes int
	// Prefill and Output are the peaks of the demand in tokens per second, Rate the tokens per second that
	// an average engine prefills.
	Prefill, Output, Rate float64
	// Boost is the factor by which late requests raise the number.
	Boost float64
	// Learned is set if the figures of engines are known and the demand was observed for long enough.
	Learned bool
}

// Plan is a decision.
type Plan struct {
	Hold    Hold
	Wanted  Counts
	Reasons map[Group]Reason
	Need    Need
	// DemandAge is the age of the oldest demand that the plan uses.
	DemandAge time.Duration
}
