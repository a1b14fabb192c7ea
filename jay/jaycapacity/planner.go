package jaycapacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayprefix"
)

const (
	// peakWindow is how long a peak of the demand counts: longer than the waves, so that a trough lowers nothing.
	peakWindow = 20 * time.Second
	// evidence is how long demand has to be observed before it may lower the total, and confirmation how
	// long a lower number has to be enough.
	evidence     = 15 * time.Second
	confirmation = 10 * time.Second
	// fillTime is how long the first prompts fill empty caches. Their tokens are a peak that does not return, so it does
	// not count once the demand has been observed for long enough.
	fillTime = 5 * time.Second
	// idleUse is the utilisation up to which requests count as single ones, such as those of checks before a day.
	idleUse = 0.005
	// maxDemandAge is the age up to which the demand of a zone is used.
	maxDemandAge = 3 * time.Second
	// settleTime is how long an engine has served before another is given up in its place, and
	// idleSettleTime the same while there was no demand yet.
	settleTime, idleSettleTime = 4 * time.Second, time.Second
	// stepInterval is the time between two reductions, each of which takes at most one engine in
	// stepFraction, so that the prefix caches of those that remain refill in between.
	stepInterval = 2 * time.Second
	stepFraction = 12
	// idleFraction and idleInterval are the same while no demand was observed and the caches are empty.
	idleFraction = 4
	idleInterval = time.Second
	// Engines are given up if more than deadband of the needed ones are in excess, until reserve is left. The
	// peaks of windows differ by some hundredths, and the difference must not cause orders up and down.
	deadband = 0.15
	reserve  = 0.07
	// targetUse is the utilisation at the peak: a doubled class, a cold cache and the loss of a zone's
	// preemptible engines fit into the rest, and short answers find an idle engine. surgeUse is
	// tolerated for the time that substitutes take.
	targetUse = 0.33
	surgeUse  = 0.7
	// slotUse and cacheUse are the utilisations for the batch slots and the KV cache. Prefixes are spread by
	// hash, so some engines hold more of them than others, and running requests need room too.
	slotUse  = 0.5
	cacheUse = 0.5
	// More engines are ordered, to bring the utilisation to targetUse, once it has been above growUse for
	// sustained samples of the window, or at once above jumpUse. A class that doubles for 5 s has passed
	// before an engine has booted.
	growUse   = 0.4
	jumpUse   = 0.55
	sustained = 6
	// urgentShare is the share of the peak that on-demand engines alone can carry at surgeUse. With the rest
	// preemptible, engines of two zones that go within 3 s left a use of 0.75 for a second in the simulation.
	urgentShare = 0.3
	// prefixMargin is by how much the prefixes in use may exceed their estimate, whose standard error is 0.18.
	prefixMargin = 1.25
	// spare is how many engines replace one until the demand was observed for long enough, where preemptible ones
	// are to be had: their caches are empty at first, and those of a zone may go at once.
	spare = 1.5
	// minOfStage is the least number of engines of each stage.
	minOfStage = 2
	// lateShare is the share of late or refused requests above which the number of engines is raised by
	// boostStep, at most once in boostInterval and up to maxBoost.
	lateShare     = 0.05
	boostStep     = 1.15
	boostInterval = 5 * time.Second
	boostDecay    = 0.995
	maxBoost      = 1.6
	// priorPrefill and priorOutput are the assumed tokens per second of an engine that was not observed
	// yet: few, so that more engines are wanted.
	priorPrefill = 10_000
	priorOutput  = 500
)

// Planner decides how many engines of a service are wanted. It answers demand that follows waves with a
// period of 11 to 17 s and different phases by zone, a class of requests that doubles for 5 s, a mix that
// swings every 3 s, the reclamation of all preemptible engines of a zone with 2 s of notice and none to be
// had anywhere for 8 s, and engines that take 4 s to boot and begin with an empty prefix cache. Only one
// goroutine at a time uses it.
type Planner struct {
	wanted  Counts
	reasons map[Group]Reason
	// changed holds the groups whose number has been changed; the others follow the registry.
	changed map[Group]bool
	history []sample
	// figures are the latest ones of each stage.
	figures map[jayfleet.Stage]Figure
	// continues is set if the planner began with numbers that were ordered before: they contain the spare engines.
	continues bool
	// first is when there was the first request, began when demand was first observed, baseline the total while the
	// need is not known.
	first    time.Time
	began    time.Time
	baseline int
	// stepped is when engines were last given up, shrinking whether the excess is being given up.
	stepped   time.Time
	shrinking bool
	boost     float64
	boosted   time.Time
}

// sample is the demand of all zones at a point in time and what followed from it.
type sample struct {
	at                      time.Time
	prefill, output, prefix float64
	running                 int
	need                    Need
}

// NewPlanner returns a planner that continues from the numbers that were ordered before.
func NewPlanner(ordered Counts) *Planner {
	p := &Planner{wanted: make(Counts), reasons: make(map[Group]Reason), changed: make(map[Group]bool), figures: make(map[jayfleet.Stage]Figure), boost: 1}
	p.continues = len(ordered) > 0
	for group, n := range ordered {
		p.wanted[group], p.reasons[group], p.changed[group] = n, ReasonOrdered, true
	}
	return p
}

// Plan returns the wanted numbers.
func (p *Planner) Plan(in Input) Plan {
	hold, age := p.hold(in)
	if hold != HoldNone {
		return Plan{Hold: hold, Wanted: maps.Clone(p.wanted), Reasons: maps.Clone(p.reasons), DemandAge: age}
	}
	// Figures that could not be read in time are those of the rounds before: without any, the need would be unknown
	// again, and the total of the beginning with spare engines be ordered.
	for stage, figure := range in.Figures {
		if figure.Prefill > 0 {
			p.figures[stage] = figure
		}
	}
	in.Figures = p.figures
	p.follow(in)
	p.observe(in)
	need, lasting := p.need(in, 1), p.need(in, sustained)
	p.history[len(p.history)-1].need = need
	p.grow(in, distribute(in, lasting.Engines, lasting.OnDemand), growUse, ReasonDemand)
	p.grow(in, distribute(in, need.Engines, need.OnDemand), jumpUse, ReasonDemand)
	p.cover(in, need)
	p.exchange(in)
	p.shrink(in)
	p.limit(in)
	return Plan{Wanted: maps.Clone(p.wanted), Reasons: maps.Clone(p.reasons), Need: need, DemandAge: age}
}

// hold returns why nothing may be ordered now, and the age of the oldest demand in use.
func (p *Planner) hold(in Input) (Hold, time.Duration) {
	recent, oldest := 0, time.Duration(0)
	for _, zone := range in.DemandZones {
		if d, ok := in.Demand[zone]; ok && d.Age < maxDemandAge {
			recent++
			oldest = max(oldest, d.Age)
		}
	}
	switch {
	case in.Settings.Freeze:
		return HoldFrozen, oldest
	case in.RegistryAge >= in.RegistryMaxAge:
		return HoldRegistry, oldest
	case 2*recent <= len(in.DemandZones):
		return HoldDemand, oldest
	case 2*in.Seen <= in.Listed:
		return HoldSplit, oldest
	default:
		return HoldNone, oldest
	}
}

// follow sets the number of the groups that were never ordered to the registered engines.
func (p *Planner) follow(in Input) {
	present := serving(in.Engines, 0)
	for _, zone := range in.Zones {
		for _, kind := range []Kind{KindOnDemand, KindPreemptible} {
			group := Group{zone, kind}
			if !p.changed[group] {
				p.wanted[group], p.reasons[group] = max(p.wanted[group], present[group]), ReasonPresent
			}
		}
	}
	switch {
	case len(p.changed) == 0 || p.baseline == 0:
		p.baseline = max(p.baseline, p.wanted.Total())
	case p.began.IsZero():
		// Engines that are there from the beginning register within some seconds.
		p.baseline = max(p.baseline, present.ofKind(KindOnDemand))
	}
}

// serving returns the engines that are not leaving and registered at least age ago.
func serving(engines []Engine, age time.Duration) Counts {
	counts := make(Counts)
	for _, e := range engines {
		if !e.Leaving && e.Age >= age {
			counts[e.Group]++
		}
	}
	return counts
}

// observe records the demand.
func (p *Planner) observe(in Input) {
	s := sample{at: in.Now}
	requests, failed, prefixes := 0.0, 0.0, jayprefix.Sample("")
	for _, zone := range in.DemandZones {
		d, ok := in.Demand[zone]
		if !ok || d.Age >= maxDemandAge {
			continue
		}
		s.prefill += d.Prefill
		s.output += d.Output
		s.running += d.Running
		prefixes = prefixes.Merge(d.Prefixes)
		requests += d.Requests
		failed += d.Late + d.Refused
	}
	// Zones share prefixes, and each has one home for all zones. A number that is too low shows as prompt
	// tokens that are prefilled again.
	s.prefix = float64(prefixes.Tokens())
	p.begin(in, s)
	p.history = append(slices.DeleteFunc(p.history, func(old sample) bool { return in.Now.Sub(old.at) > peakWindow }), s)
	p.raise(in.Now, failed > lateShare*max(requests, failed) && busy(in, s))
}

// begin records when demand was first observed. Single requests do not count until they have come for some time: else
// engines would be given up slowly for the sake of caches that hold nothing yet.
func (p *Planner) begin(in Input, s sample) {
	if !p.began.IsZero() || s.prefill+s.output == 0 {
		return
	}
	if p.first.IsZero() {
		p.first = s.at
	}
	average, _, _ := averageEngine(in)
	if average.load(s) > idleUse*float64(serving(in.Engines, 0).Total()) || s.at.Sub(p.first) >= evidence {
		p.began = s.at
	}
}

// busy reports whether the engines that serve are used by half as much as intended or more, or their figures
// are not known. Otherwise more engines do not make late requests faster.
func busy(in Input, s sample) bool {
	average, _, learned := averageEngine(in)
	return !learned || average.load(s) >= targetUse/2*float64(serving(in.Engines, 0).Total())
}

// load returns the number of engines that a demand uses fully.
func (f Figure) load(s sample) float64 {
	return max(s.prefill/f.Prefill, s.output/f.Output)
}

// raise adapts the factor by which late requests raise the number of engines.
func (p *Planner) raise(now time.Time, late bool) {
	switch {
	case !late:
		p.boost = max(1, p.boost*boostDecay)
	case now.Sub(p.boosted) >= boostInterval:
		p.boost, p.boosted = min(maxBoost, p.boost*boostStep), now
	}
}

// need returns the engines that the recent demand needs, by the sample with the given rank, 1 for the peak.
func (p *Planner) need(in Input, rank int) Need {
	average, stages, learned := averageEngine(in)
	loads := make([]float64, 0, len(p.history))
	prefix, running, n := 0.0, 0, Need{Rate: average.Prefill, Boost: p.boost}
	n.Learned = learned && !p.began.IsZero() && in.Now.Sub(p.began) >= evidence
	for _, s := range p.history {
		if n.Learned && s.at.Sub(p.began) < fillTime {
			continue
		}
		loads = append(loads, average.load(s))
		n.Prefill, n.Output = max(n.Prefill, s.prefill), max(n.Output, s.output)
		prefix, running = max(prefix, s.prefix), max(running, s.running)
	}
	slices.Sort(loads)
	load, lasting := fromTop(loads, rank), fromTop(loads, min(sustained, len(loads)))
	engines := load / targetUse
	if in.Engine.Slots > 0 {
		engines = max(engines, float64(running)/(float64(in.Engine.Slots)*slotUse))
	}
	if in.Engine.KVTokens > 0 {
		engines = max(engines, prefix*prefixMargin/(float64(in.Engine.KVTokens)*cacheUse))
	}
	n.Prefixes = int(prefix)
	n.Engines = max(stages, len(in.Zones), int(math.Ceil(engines*p.boost)))
	n.Least = max(stages, len(in.Zones), int(math.Ceil(engines)))
	n.Surge = int(math.Ceil(load / surgeUse))
	n.OnDemand, n.observed = int(math.Ceil(load*urgentShare/surgeUse)), int(math.Ceil(lasting*urgentShare/surgeUse))
	if !n.Learned {
		n.OnDemand = n.observed
		p.assume(&n, learned, preemptible(in) && !p.continues)
	}
	if !preemptible(in) {
		n.OnDemand, n.observed = n.Engines, n.Least
	}
	n.OnDemand = min(n.Engines, max(n.OnDemand, len(in.Zones)*max(1, in.Settings.Floor)))
	return n
}

// fromTop returns the load with a rank from the highest, 0 if there are too few.
func fromTop(sorted []float64, rank int) float64 {
	if rank > len(sorted) {
		return 0
	}
	return sorted[len(sorted)-rank]
}

// assume keeps the total number while the need is not known. A sixth of the engines stays on-demand: with a
// quarter they were a third of the cost of a day, and with an eighth more preemptible ones had to be ordered
// after the on-demand ones had made room in their zones, and booted while the first prompts arrived. While the figures were not observed, late or refused requests raise it step by step, and the prior figures count
// only after that: they are so low that they ask for several times as many engines.
func (p *Planner) assume(n *Need, figures, cheap bool) {
	if !figures && p.boost < maxBoost {
		n.Engines, n.Surge, n.OnDemand = int(math.Ceil(float64(p.baseline)*p.boost)), 0, 0
	}
	n.Engines = max(n.Engines, p.baseline)
	n.Least = p.baseline
	if cheap {
		n.Engines = max(n.Engines, int(math.Ceil(float64(p.baseline)*spare)))
	}
	const part = 6
	n.OnDemand = max(n.OnDemand, min(p.wanted.ofKind(KindOnDemand), (p.baseline+part-1)/part))
}

// preemptible reports whether preemptible engines may be ordered and cost less.
func preemptible(in Input) bool {
	return in.Scaling.SpotPrice > 0 && in.Scaling.SpotPrice < 1
}

// averageEngine returns the mean figures of the engines that serve, the least number of engines that holds
// enough of each stage, and whether the figures were observed.
func averageEngine(in Input) (average Figure, least int, learned bool) {
	stages, total := stageCounts(in.Engines), 0
	for _, n := range stages {
		total += n
	}
	least, learned = minOfStage, total > 0
	for _, stage := range slices.Sorted(maps.Keys(stages)) {
		share := float64(stages[stage]) / float64(total)
		figure := in.Figures[stage]
		learned = learned && figure.Prefill > 0
		if figure.Prefill <= 0 {
			figure.Prefill = priorPrefill
		}
		if figure.Output <= 0 {
			figure.Output = priorOutput
		}
		average.Prefill += share * figure.Prefill
		if stage != jayfleet.StagePrefill {
			average.Output += share * figure.Output
		}
		// A stage with a smaller share would need more engines than its work does.
		const leastShare = 0.1
		least = max(least, int(math.Ceil(minOfStage/max(share, leastShare))))
	}
	if average.Prefill <= 0 {
		average.Prefill = priorPrefill
	}
	if average.Output <= 0 {
		average.Output = priorOutput
	}
	return average, least, learned
}

func stageCounts(engines []Engine) map[jayfleet.Stage]int {
	stages := make(map[jayfleet.Stage]int)
	for _, e := range engines {
		if !e.Leaving {
			stages[e.Stage]++
		}
	}
	return stages
}

// grow raises numbers to a target at once. A kind of which there are enough in all zones together stays as it
// is: else a peak that is a little higher than the one before would move engines between zones.
func (p *Planner) grow(in Input, target Counts, use float64, reason Reason) {
	groups := target.Sorted()
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(Price(in.Scaling, a), Price(in.Scaling, b)) })
	for _, kind := range []Kind{KindOnDemand, KindPreemptible} {
		missing := target.ofKind(kind) - p.wanted.ofKind(kind)
		if float64(p.wanted.ofKind(kind)) >= float64(target.ofKind(kind))*targetUse/use {
			missing = 0
		}
		for _, group := range groups {
			if group.Kind != kind || in.Blocked[group] {
				continue
			}
			n := min(target[group], p.wanted[group]+max(0, missing))
			if kind == KindOnDemand {
				n = max(n, min(base(in), in.Scaling.Max))
			}
			if n = min(n, in.Scaling.Max-p.wanted[group.other()]); n > p.wanted[group] {
				missing -= n - p.wanted[group]
				p.set(group, n, reason)
			}
		}
	}
}

func (p *Planner) set(group Group, n int, reason Reason) {
	p.wanted[group], p.reasons[group], p.changed[group] = n, reason, true
}

// cover orders on-demand engines if the engines that serve and the on-demand ones that boot do not carry the
// peak for a while, and preemptible ones are not to be had.
func (p *Planner) cover(in Input, need Need) {
	if len(in.Blocked) == 0 || !preemptible(in) {
		return
	}
	now, coming := serving(in.Engines, 0), 0
	for group, n := range p.wanted {
		if group.Kind == KindOnDemand {
			coming += max(n, now[group])
		} else {
			coming += min(n, now[group])
		}
	}
	in.Zones = slices.DeleteFunc(slices.Clone(in.Zones), func(zone string) bool { return in.Blocked[Group{zone, KindOnDemand}] })
	for ; coming < need.Surge; coming++ {
		zone, ok := roomiest(in, p.wanted, KindOnDemand)
		if !ok {
			return
		}
		group := Group{zone, KindOnDemand}
		p.set(group, p.wanted[group]+1, ReasonSubstitute)
	}
}

// limit enforces the limits of the zones.
func (p *Planner) limit(in Input) {
	for _, zone := range in.Zones {
		demand, preempt := Group{zone, KindOnDemand}, Group{zone, KindPreemptible}
		if over := p.wanted.ofZone(zone) - in.Scaling.Max; over > 0 {
			rest := min(p.wanted[preempt], max(0, over-max(0, p.wanted[demand]-base(in))))
			p.set(demand, p.wanted[demand]-over+rest, ReasonLimit)
			p.set(preempt, p.wanted[preempt]-rest, ReasonLimit)
		}
		if under := in.Scaling.Min - p.wanted.ofZone(zone); under > 0 {
			p.set(demand, p.wanted[demand]+under, ReasonLimit)
		}
	}
}
