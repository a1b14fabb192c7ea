package jaycapacity

import (
	"time"

	"jayfield.example/jay/jayfleet"
)

// exchange gives up a few on-demand engines for which preemptible ones serve. It does so also while more engines
// are wanted in all: that the preemptible ones of a zone are not to be had must not keep on-demand engines in the others.
func (p *Planner) exchange(in Input) {
	if !preemptible(in) || in.Now.Sub(p.stepped) < p.interval() {
		return
	}
	target, least := p.enough(in), 0
	for _, s := range p.history {
		if in.Now.Sub(s.at) <= confirmation {
			least = max(least, s.need.Least)
		}
	}
	excess := make(Counts)
	for group, n := range p.wanted {
		if group.Kind == KindOnDemand {
			excess[group] = max(0, n-target[group])
		}
	}
	effective := p.effective(in)
	p.giveUp(in, excess, min(excess.Total(), effective-least, max(1, effective/p.fraction())))
}

// effective returns how many of the wanted engines have served for long enough to count as substitutes.
func (p *Planner) effective(in Input) int {
	settled, effective := serving(in.Engines, p.settle()), 0
	for group, n := range p.wanted {
		effective += min(n, settled[group])
	}
	return effective
}

// interval returns the least time between two reductions, and fraction the part of the engines in each.
func (p *Planner) interval() time.Duration {
	if p.began.IsZero() {
		return idleInterval
	}
	return stepInterval
}

func (p *Planner) fraction() int {
	if p.began.IsZero() {
		return idleFraction
	}
	return stepFraction
}

// giveUp gives up the most expensive engines among the excess.
func (p *Planner) giveUp(in Input, excess Counts, step int) {
	present, stages := serving(in.Engines, 0), newStageTable(in.Engines)
	keeps := func(group Group) bool { return p.keepsStages(stages, present, group) }
	for ; step > 0; step-- {
		group, found := p.dearest(in, excess, keeps)
		if !found {
			return
		}
		excess[group]--
		p.set(group, p.wanted[group]-1, ReasonSurplus)
		p.stepped = in.Now
	}
}

// shrink gives up a few engines if fewer have been enough for some time.
func (p *Planner) shrink(in Input) {
	target := p.enough(in)
	excess := make(Counts)
	for group, n := range p.wanted {
		excess[group] = max(0, n-target[group])
	}
	surplus := p.wanted.Total() - target.Total()
	if in.Settings.Spend > 0 && Cost(in.Scaling, p.wanted) > in.Settings.Spend {
		// The ceiling has no deadband.
		p.shrinking = surplus > 0
	} else {
		surplus -= int(reserve * float64(target.Total()))
		p.shrinking = surplus > 0 && (p.shrinking || float64(surplus) >= (deadband-reserve)*float64(target.Total()))
	}
	if !p.shrinking {
		return
	}
	surplus -= p.cancel(in, excess, surplus)
	if in.Now.Sub(p.stepped) < p.interval() {
		return
	}
	effective := p.effective(in)
	p.giveUp(in, excess, min(surplus, effective-target.Total(), max(1, effective/p.fraction())))
}

// cancel gives up at most n preemptible engines of the excess that are not registered: most were reclaimed, and their
// substitutes would begin with empty caches while others are given up. No cache is lost by it, so it is not slowed
// down. On-demand engines that boot may be substitutes for preemptible ones that are not to be had.
func (p *Planner) cancel(in Input, excess Counts, n int) int {
	present, missing, cancelled := serving(in.Engines, 0), make(Counts), 0
	for group, over := range excess {
		if group.Kind == KindPreemptible {
			missing[group] = min(over, max(0, p.wanted[group]-present[group]))
		}
	}
	for ; cancelled < n; cancelled++ {
		group, found := p.dearest(in, missing, func(Group) bool { return true })
		if !found {
			break
		}
		missing[group]--
		excess[group]--
		p.set(group, p.wanted[group]-1, ReasonSurplus)
	}
	return cancelled
}

// settle returns how long substitutes have served before engines are given up for them. Without demand there
// are no caches to refill.
func (p *Planner) settle() time.Duration {
	if p.began.IsZero() {
		return idleSettleTime
	}
	return settleTime
}

// enough returns the numbers that have been enough for all of the confirmation time. Before that has passed,
// the need is not known, and the total is that of the beginning: with spare engines while the demand was not
// observed for long enough, without them afterwards.
func (p *Planner) enough(in Input) Counts {
	engines, onDemand := 0, 0
	learned := len(p.history) > 0 && p.history[len(p.history)-1].need.Learned
	for _, s := range p.history {
		switch {
		case in.Now.Sub(s.at) > confirmation:
		case learned && !s.need.Learned:
			engines, onDemand = max(engines, s.need.Least), max(onDemand, s.need.observed)
		default:
			engines, onDemand = max(engines, s.need.Engines), max(onDemand, s.need.OnDemand)
		}
	}
	return distribute(in, engines, onDemand)
}

// dearest returns the group of the most expensive engine that may be given up.
func (p *Planner) dearest(in Input, excess Counts, keeps func(Group) bool) (Group, bool) {
	var best Group
	found := false
	for _, group := range excess.Sorted() {
		switch {
		case excess[group] <= 0, p.wanted.ofZone(group.Zone) <= max(1, in.Scaling.Min), !keeps(group):
		case !found || Price(in.Scaling, group) > Price(in.Scaling, best):
			best, found = group, true
		}
	}
	return best, found
}

// stageTable is how many engines of each stage every group has.
type stageTable map[jayfleet.Stage]Counts

func newStageTable(engines []Engine) stageTable {
	table := make(stageTable)
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		if table[e.Stage] == nil {
			table[e.Stage] = make(Counts)
		}
		table[e.Stage][e.Group]++
	}
	return table
}

// keepsStages reports whether enough engines of each stage remain whichever engine of a group the platform
// takes, after those that were given up before.
func (p *Planner) keepsStages(table stageTable, present Counts, from Group) bool {
	for _, counts := range table {
		count := 0
		for group, n := range counts {
			given := max(0, present[group]-p.wanted[group])
			if group == from {
				given = max(given, present[group]-p.wanted[group]+1)
			}
			count += n - min(n, given)
		}
		if count < minOfStage && counts[from] > 0 {
			return false
		}
	}
	return true
}
