package jaycapacity

import "math"

// distribute returns how many engines of each kind every zone gets. Each further engine goes to the zone
// whose share costs the least so far, so that cheap zones get more, all zones get some, and a higher total
// lowers no zone.
func distribute(in Input, engines, onDemand int) Counts {
	counts := make(Counts, 2*len(in.Zones))
	for _, zone := range in.Zones {
		counts[Group{zone, KindOnDemand}] = min(base(in), in.Scaling.Max)
		counts[Group{zone, KindPreemptible}] = 0
	}
	fill(in, counts, KindOnDemand, onDemand-counts.Total())
	if preemptible(in) {
		fill(in, counts, KindPreemptible, engines-counts.Total())
	}
	for _, zone := range in.Zones {
		if under := min(in.Scaling.Min, in.Scaling.Max) - counts.ofZone(zone); under > 0 {
			kind := KindOnDemand
			if preemptible(in) {
				kind = KindPreemptible
			}
			counts[Group{zone, kind}] += under
		}
	}
	restrict(in, counts)
	return counts
}

// base returns the least number of on-demand engines of a zone.
func base(in Input) int {
	return max(1, in.Settings.Floor)
}

// fill adds engines of a kind.
func fill(in Input, counts Counts, kind Kind, n int) {
	for ; n > 0; n-- {
		zone, ok := roomiest(in, counts, kind)
		if !ok {
			return
		}
		counts[Group{zone, kind}]++
	}
}

// roomiest returns the zone that gets the next engine of a kind, and false if all have reached their limit.
func roomiest(in Input, counts Counts, kind Kind) (string, bool) {
	best, least := "", math.Inf(1)
	for _, zone := range in.Zones {
		group := Group{zone, kind}
		cost := float64(counts[group]+1) * in.Scaling.ZonePrice(zone)
		if counts.ofZone(zone) < in.Scaling.Max && cost < least {
			best, least = zone, cost
		}
	}
	return best, !math.IsInf(least, 1)
}

// restrict removes the most expensive engines while the sum of the prices is above the ceiling. The least
// numbers of the zones remain.
func restrict(in Input, counts Counts) {
	for in.Settings.Spend > 0 && Cost(in.Scaling, counts) > in.Settings.Spend {
		var best Group
		found := false
		for _, group := range counts.Sorted() {
			switch {
			case counts[group] <= 0, group.Kind == KindOnDemand && counts[group] <= base(in), counts.ofZone(group.Zone) <= max(1, in.Scaling.Min):
			case !found || Price(in.Scaling, group) > Price(in.Scaling, best):
				best, found = group, true
			}
		}
		if !found {
			return
		}
		counts[best]--
	}
}
