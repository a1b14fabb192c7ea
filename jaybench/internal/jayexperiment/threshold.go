package jayexperiment

import (
	"math"
	"time"

	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
)

// threshold is the plain rule: the part of the engines that reads prompts
// follows the part of prefill in the work, the others give output.
type threshold struct {
	demands jaycontrol.Demands
}

func newThreshold(demands jaycontrol.Demands) jaycontrol.Planner {
	return threshold{demands: demands}
}

// Plan returns the first change towards the rule's split.
func (t threshold) Plan(_ time.Time, input jaycontrol.PlanInput) (engine string, order jayengine.Order, ok bool) {
	demand := regionDemand(t.demands, input)
	plan := mixPlan()
	prompt, output := demand.Prompt/plan.Mixed.Prompt, demand.Output/plan.Mixed.Output
	if prompt+output == 0 {
		return "", jayengine.Order{}, false
	}
	all := len(input.Engines)
	reading := int(math.Round(float64(all) * prompt / (prompt + output)))
	return toward(input, split{prefill: reading, decode: all - reading})
}

// regionDemand returns the demand of the region of a cell's engines.
func regionDemand(demands jaycontrol.Demands, input jaycontrol.PlanInput) jaymember.Demand {
	return demands.Demand(input.Engines[0].Region)[mixPlan().Model]
}
