package jayrole

import (
	"math"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
)

const (
	// fastWindow and slowWindow are the times of two averages of the mix; what
	// lies between them tells where it drifts.
	fastWindow = 4 * time.Second
	slowWindow = 12 * time.Second
	// driftMemory is the time in which a drift is expected to end.
	driftMemory = 25 * time.Second
	// outlookPoints is the number of times at which the demand is foreseen.
	outlookPoints = 4
)

// drift is where the mix is and where it goes. The mix is the share of prefill
// in the work. It is averaged apart from the load: that few requests more or
// less came in a moment changes the load, but hardly the mix.
type drift struct {
	// load is the work in seconds of a mixed engine for each second.
	load       float64
	fast, slow float64
	at         time.Time
}

// observe takes in the demand of now.
func (d *drift) observe(now time.Time, plan *jayconfig.Plan, demand jaymember.Demand) {
	prompt, output := demand.Prompt/plan.Mixed.Prompt, demand.Output/plan.Mixed.Output
	load := prompt + output
	if load == 0 {
		d.load = mean(d.load, 0, now.Sub(d.at), slowWindow)
		d.at = now
		return
	}
	share := prompt / load
	if d.load == 0 {
		d.load, d.fast, d.slow, d.at = load, share, share, now
		return
	}
	elapsed := now.Sub(d.at)
	d.at = now
	d.load = mean(d.load, load, elapsed, slowWindow)
	d.fast = mean(d.fast, share, elapsed, fastWindow)
	d.slow = mean(d.slow, share, elapsed, slowWindow)
}

// outlook returns the demand foreseen at even times from now to a horizon. A
// drift goes on, ever slower.
func (d *drift) outlook(plan *jayconfig.Plan) []jaymember.Demand {
	slope := (d.fast - d.slow) / (slowWindow - fastWindow).Seconds()
	points := make([]jaymember.Demand, outlookPoints)
	for n := range points {
		ahead := plan.Horizon.Seconds() * float64(n) / (outlookPoints - 1)
		way := driftMemory.Seconds() * (1 - math.Exp(-ahead/driftMemory.Seconds()))
		share := min(1, max(0, d.fast+slope*(fastWindow.Seconds()+way)))
		points[n] = jaymember.Demand{
			Prompt: share * d.load * plan.Mixed.Prompt,
			Output: (1 - share) * d.load * plan.Mixed.Output,
		}
	}
	return points
}

// mean moves an average towards a new value.
func mean(average, value float64, elapsed, window time.Duration) float64 {
	part := 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
	return average + part*(value-average)
}
