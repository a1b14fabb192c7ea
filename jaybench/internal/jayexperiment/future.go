package jayexperiment

import (
	"slices"
	"time"

	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jayengine"
)

// future is the planner that knows the mix to come: it has computed beforehand
// the splits that lose the least work over the whole load, changes included.
type future struct {
	demands jaycontrol.Demands
	splits  []split
	// began is when the load was first seen.
	began time.Time
}

func newFuture(demands jaycontrol.Demands) jaycontrol.Planner {
	return &future{demands: demands, splits: bestSplits(mixShares(), engines/len(regionNames()))}
}

// Plan returns the first change towards the split that is to be in place once it is done.
func (f *future) Plan(now time.Time, input jaycontrol.PlanInput) (engine string, order jayengine.Order, ok bool) {
	if f.began.IsZero() {
		if regionDemand(f.demands, input).Prompt == 0 {
			return "", jayengine.Order{}, false
		}
		f.began = now
	}
	step := int((now.Sub(f.began) + mixChangeCost) / mixStep)
	return toward(input, f.splits[min(step, len(f.splits)-1)])
}

// path is a way to reach a split, with the work that it loses in seconds of all engines.
type path struct {
	lost   float64
	splits []split
}

// bestSplits returns the split for each step that loses the least work over
// all steps, beginning with engines that are all mixed.
func bestSplits(shares []float64, engines int) []split {
	paths := map[split]path{{mixed: engines}: {}}
	for _, share := range shares {
		next := make(map[split]path)
		for _, to := range splits(engines) {
			next[to] = bestPath(paths, to, share, engines)
		}
		paths = next
	}
	var best path
	for _, to := range splits(engines) {
		if p := paths[to]; best.splits == nil || p.lost < best.lost {
			best = p
		}
	}
	return best.splits
}

// bestPath extends the path to a split that loses the least.
func bestPath(paths map[split]path, to split, share float64, engines int) path {
	lost := (1 - to.served(share)) * mixStep.Seconds()
	var best path
	for _, from := range splits(engines) {
		p, reached := paths[from]
		if !reached {
			continue
		}
		total := p.lost + lost + float64(from.changes(to))*mixChangeCost.Seconds()/float64(engines)
		if best.splits == nil || total < best.lost {
			best = path{lost: total, splits: append(slices.Clone(p.splits), to)}
		}
	}
	return best
}
