package jayexperiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

const (
	// mixStep is the time between two steps of the mix.
	mixStep = 8 * time.Second
	// mixLeast and mixMost are the shares of prefill between which the mix moves.
	mixLeast, mixMost = 0.2, 0.7
	// mixHold and mixRamp are the steps for which the mix stays and in which it moves.
	mixHold, mixRamp = 4, 6
	// mixWork is the work of a request, in seconds of a mixed engine.
	mixWork = 0.25
	// mixLoad is the work offered, in seconds of a mixed engine, for each second of one.
	mixLoad = 1.55
	// mixDeadline is how long callers wait for the whole answer.
	mixDeadline = 6 * time.Second
	// steadyShare is the share of prefill of the steady mix, and steadySteps its length.
	steadyShare, steadySteps = 0.45, 6
	mixMinStay               = 8 * time.Second
	mixHorizon               = 20 * time.Second
	mixChangeCost            = 7 * time.Second
	mixLease                 = 4 * time.Second
)

// mixRates are the rates of an engine that does both.
func mixRates() jaystandin.Rates {
	return jaystandin.Rates{Prefill: 4000, Decode: 400, Stream: 50, Slots: 16, Blocks: 256}
}

// mixPlan is what the planner is told of the engines: what the stand-in does in each role.
func mixPlan() *jayconfig.Plan {
	rate := func(role jayconfig.Role) jayconfig.Rate {
		r := mixRates().InRole(string(role))
		return jayconfig.Rate{Prompt: r.Prefill, Output: r.Decode}
	}
	return &jayconfig.Plan{
		Model:   jaysite.Model,
		Mixed:   rate(jayconfig.RoleMixed),
		Prefill: rate(jayconfig.RolePrefill),
		Decode:  rate(jayconfig.RoleDecode),
		MinStay: mixMinStay, Horizon: mixHorizon, ChangeCost: mixChangeCost,
	}
}

// mixDocument returns the plan as operators publish it.
func mixDocument() string {
	p := mixPlan()
	rate := func(r jayconfig.Rate) string { return fmt.Sprintf("%g/%g", r.Prompt, r.Output) }
	return fmt.Sprintf("[plan assistant]\nmodel = %s\nmixed = %s\nprefill = %s\ndecode = %s\nstay = %s\nhorizon = %s\ncost = %s\n",
		p.Model, rate(p.Mixed), rate(p.Prefill), rate(p.Decode), p.MinStay, p.Horizon, p.ChangeCost)
}

// mixShares returns the share of prefill at each step: low, up, high, down, low.
func mixShares() []float64 {
	var shares []float64
	hold := func(share float64) {
		for range mixHold {
			shares = append(shares, share)
		}
	}
	ramp := func(from, to float64) {
		for n := range mixRamp {
			shares = append(shares, from+(to-from)*(float64(n)+0.5)/mixRamp)
		}
	}
	hold(mixLeast)
	ramp(mixLeast, mixMost)
	hold(mixMost)
	ramp(mixMost, mixLeast)
	hold(mixLeast)
	return shares
}

func steadyShares() []float64 {
	shares := make([]float64, steadySteps)
	for n := range shares {
		shares[n] = steadyShare
	}
	return shares
}

// workOfShare draws requests of equal work, of which prefill is a share.
func workOfShare(share float64) Work {
	r := mixRates()
	return func(source *rand.Rand) (class Class, prompt, output int) {
		size := mixWork * (0.5 + source.Float64())
		return ClassShort, 1 + int(share*size*r.Prefill), 1 + int((1-share)*size*r.Decode)
	}
}

// mixTrial offers a mix that moves by the steps given.
func mixTrial(shares []float64, planner plannerOf) Trial {
	trial := Trial{Callers: sixCallers(), Regions: regionNames(), Deadline: mixDeadline, Planner: planner, Roles: true}
	for _, share := range shares {
		trial.Phases = append(trial.Phases, Phase{Name: "step", Length: mixStep, Rate: steady(mixLoad * engines / mixWork), Work: workOfShare(share)})
	}
	trial.Adjust = func(plan *jaysite.Plan) {
		plan.Rates = mixRates()
		plan.Extra += mixDocument()
		plan.Adjust = func(s *jaysetting.Settings) { s.Lease, s.Margin = mixLease, mixLease/8 }
	}
	return trial
}

// mixRun is one way to plan roles under one load.
type mixRun struct {
	name     string
	shares   []float64
	planner  plannerOf
	observed Observed
	err      error
}

// mix moves the share of prefill up and down and compares ways to plan roles.
// The ways run side by side, each on a site of its own.
func mix(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error) {
	staticRoles := func(jaycontrol.Demands) jaycontrol.Planner { return jaycontrol.StaticRoles{} }
	runs := []*mixRun{
		{name: "planned", shares: mixShares()},
		{name: "future known", shares: mixShares(), planner: newFuture},
		{name: "threshold", shares: mixShares(), planner: newThreshold},
		{name: "always mixed", shares: mixShares(), planner: staticRoles},
		{name: "steady mix", shares: steadyShares()},
	}
	var wait sync.WaitGroup
	for _, r := range runs {
		wait.Go(func() { r.observed, r.err = mixTrial(r.shares, r.planner).run(ctx, policy, seed) })
	}
	wait.Wait()
	var metrics []Metric
	for _, r := range runs {
		if r.err != nil {
			return nil, r.err
		}
		metrics = append(metrics,
			Metric{r.name + ": done in time", "%", percentDone(r.observed.Outcomes, ClassShort), ""},
			Metric{r.name + ": role changes", "", float64(r.observed.Changes), ""},
			Metric{r.name + ": requests cut by changes", "", float64(r.observed.Cut), "0"},
			Metric{r.name + ": first token p50", "ms", millis(quantile(r.observed.Outcomes, 50, begun(ClassShort), first)), ""},
		)
	}
	planned, future := runs[0].observed, runs[1].observed
	return append(metrics,
		Metric{"planned goodput of future known", "%", 100 * float64(count(planned.Outcomes, isDone)) / float64(max(1, count(future.Outcomes, isDone))), ">= 95"},
		Metric{"planned changes over future known", "times", float64(planned.Changes) / float64(max(1, future.Changes)), "<= 1.25"},
		Metric{"changes in a steady mix", "", float64(runs[4].observed.Changes), "0"},
	), nil
}
