package jayrole

import (
	"math"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
)

const (
	// fastWindow and slowWindow are the time constants of two moving averages of the
	// mix. The difference between the averages gives the direction and slope of the drift.
	fastWindow = 4 * time.Second
	slowWindow = 12 * time.Second
	// driftDecay is the time constant with which a drift is expected to fade.
	driftDecay = 25 * time.Second
	// forecastPoints is the number of points in time for which the demand is forecast.
	forecastPoints = 4
)

// drift estimates the mix of the demand and its trend. The mix is the share of
// prefill in the work. It is averaged separately from the load: a short-term
// variation in the number of requests changes the load, but hardly the mix.
type drift struct {
	// load is the average work per second, in seconds of a mixed engine.
	load                 float64
	fastShare, slowShare float64
	updated              time.Time
}

// observe updates the averages with the current demand. Without any demand only
// the load is updated, as there is no mix.
func (d *drift) observe(now time.Time, plan *jayconfig.Plan, demand jaymember.Demand) {
	prompt, output := demand.Prompt/plan.Mixed.Prompt, demand.Output/plan.Mixed.Output
	load := prompt + output
	if load == 0 {
		d.load = movingAverage(d.load, 0, now.Sub(d.updated), slowWindow)
		d.updated = now
		return
	}
	share := prompt / load
	if d.load == 0 {
		d.load, d.fastShare, d.slowShare, d.updated = load, share, share, now
		return
	}
	elapsed := now.Sub(d.updated)
	d.updated = now
	d.load = movingAverage(d.load, load, elapsed, slowWindow)
	d.fastShare = movingAverage(d.fastShare, share, elapsed, fastWindow)
	d.slowShare = movingAverage(d.slowShare, share, elapsed, slowWindow)
}

// forecast returns the demand expected at evenly spaced times from now to the
// plan's horizon. The drift is extrapolated with an exponentially decaying slope.
func (d *drift) forecast(plan *jayconfig.Plan) []jaymember.Demand {
	slope := (d.fastShare - d.slowShare) / (slowWindow - fastWindow).Seconds()
	points := make([]jaymember.Demand, forecastPoints)
	for n := range points {
		ahead := plan.Horizon.Seconds() * float64(n) / (forecastPoints - 1)
		effectiveAhead := driftDecay.Seconds() * (1 - math.Exp(-ahead/driftDecay.Seconds()))
		share := min(1, max(0, d.fastShare+slope*(fastWindow.Seconds()+effectiveAhead)))
		points[n] = jaymember.Demand{
			Prompt: share * d.load * plan.Mixed.Prompt,
			Output: (1 - share) * d.load * plan.Mixed.Output,
		}
	}
	return points
}

// movingAverage returns an exponential moving average updated with a new value.
func movingAverage(average, value float64, elapsed, window time.Duration) float64 {
	weight := 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
	return average + weight*(value-average)
}
