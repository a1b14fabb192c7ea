package jayrole_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayrole"
)

const tick = 250 * time.Millisecond

func plan() *jayconfig.Plan {
	return &jayconfig.Plan{
		Mixed:   jayconfig.Rate{Prompt: 4000, Output: 400},
		Prefill: jayconfig.Rate{Prompt: 6400},
		Decode:  jayconfig.Rate{Prompt: 1000, Output: 640},
		Stay:    8 * time.Second, Horizon: 2 * time.Minute, Cost: 4 * time.Second,
	}
}

// demandOf returns work of a load, in seconds of a mixed engine a second, of which prefill is a share.
func demandOf(load, share float64) jaymember.Demand {
	return jaymember.Demand{Prompt: share * load * 4000, Output: (1 - share) * load * 400}
}

// cell is an oracle: engines whose changes take the plan's cost, and may be lost.
type cell struct {
	engines []jayrole.Engine
	// back is when each engine under change serves again.
	back    map[string]time.Time
	lost    map[string]bool
	changed map[string]time.Time
	changes int
}

func newCell(engines int) *cell {
	c := &cell{back: make(map[string]time.Time), lost: make(map[string]bool), changed: make(map[string]time.Time)}
	for n := range engines {
		c.engines = append(c.engines, jayrole.Engine{Name: fmt.Sprintf("engine-%d", n), Role: jayconfig.RoleMixed})
	}
	return c
}

func (c *cell) live(now time.Time) []jayrole.Engine {
	var list []jayrole.Engine
	for _, e := range c.engines {
		if !c.lost[e.Name] && !now.Before(c.back[e.Name]) {
			list = append(list, e)
		}
	}
	return list
}

// changing reports whether an engine is under change: then the caller asks for no other.
func (c *cell) changing(now time.Time) bool {
	for _, back := range c.back {
		if now.Before(back) {
			return true
		}
	}
	return false
}

func (c *cell) change(now time.Time, change jayrole.Change, cost time.Duration) {
	c.changes++
	c.changed[change.Engine] = now
	c.back[change.Engine] = now.Add(cost)
	for i := range c.engines {
		if c.engines[i].Name == change.Engine {
			c.engines[i].Role = change.Role
		}
	}
}

func TestPlanner(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		load, share float64
		// least is the part of the demand that the roles must be able to serve in the end.
		least        float64
		fewest, most int
		// horizon replaces the plan's where it is not 0.
		horizon time.Duration
	}{
		"light load changes nothing":         {load: 2, share: 0.2, least: 1},
		"balanced mix changes nothing":       {load: 6, share: 0.5, least: 1},
		"output above capacity gets engines": {load: 6, share: 0.2, least: 1, fewest: 1, most: 3},
		"prompts above capacity get engines": {load: 6, share: 0.7, least: 1, fewest: 1, most: 2},
		"small lack in a short-lived mix":    {load: 6, share: 0.7, least: 0.95, horizon: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, p, now := newCell(4), jayrole.NewPlanner(), time.Unix(1000, 0)
			demand := demandOf(test.load, test.share)
			own := plan()
			if test.horizon > 0 {
				own.Horizon = test.horizon
			}
			for range 600 {
				now = now.Add(tick)
				if c.changing(now) {
					continue
				}
				if change, ok := p.Plan(now, own, demand, c.live(now)); ok {
					c.change(now, change, plan().Cost)
				}
			}
			if c.changes < test.fewest || c.changes > test.most {
				t.Errorf("%d changes, want %d to %d", c.changes, test.fewest, test.most)
			}
			if got := jayrole.Scale(plan(), demand, c.engines); got < test.least {
				t.Errorf("roles serve %.2f of the demand, want %.2f", got, test.least)
			}
		})
	}
}

// Whatever demand and losses come, an engine that answers is changed, to
// another role, not before its stay is over, and output is always given.
func TestPlannerKeepsItsRules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c, p, now := newCell(rapid.IntRange(1, 6).Draw(t, "engines")), jayrole.NewPlanner(), time.Unix(1000, 0)
		demand := demandOf(1, 0.5)
		for range rapid.IntRange(1, 400).Draw(t, "ticks") {
			now = now.Add(tick)
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				load := rapid.Float64Range(0, 12).Draw(t, "load")
				demand = demandOf(load, rapid.Float64Range(0, 1).Draw(t, "share"))
			case 1:
				engine := rapid.SampledFrom(c.engines).Draw(t, "engine").Name
				c.lost[engine] = !c.lost[engine]
			}
			if c.changing(now) {
				continue
			}
			before := c.live(now)
			change, ok := p.Plan(now, plan(), demand, before)
			if !ok {
				continue
			}
			checkChange(t, c, now, before, change)
			c.change(now, change, plan().Cost)
		}
	})
}

func checkChange(t *rapid.T, c *cell, now time.Time, live []jayrole.Engine, change jayrole.Change) {
	t.Helper()
	known, hosts := false, 0
	for _, e := range live {
		if e.Name == change.Engine {
			known = true
			if e.Role == change.Role {
				t.Fatalf("%s has the role %s already", e.Name, e.Role)
			}
			e.Role = change.Role
		}
		if e.Role != jayconfig.RolePrefill {
			hosts++
		}
	}
	if !known {
		t.Fatalf("%s does not answer", change.Engine)
	}
	if hosts == 0 {
		t.Fatal("no engine is left to give output")
	}
	if last, ok := c.changed[change.Engine]; ok && now.Sub(last) < plan().Stay {
		t.Fatalf("%s changed %s after its last change", change.Engine, now.Sub(last))
	}
}

// A demand that jumps up and down faster than the planner averages is left to routing.
func TestPlannerLeavesFastSwings(t *testing.T) {
	t.Parallel()
	c, p, now := newCell(4), jayrole.NewPlanner(), time.Unix(1000, 0)
	for n := range 600 {
		now = now.Add(tick)
		share := 0.35
		if n/4%2 == 0 {
			share = 0.65
		}
		if change, ok := p.Plan(now, plan(), demandOf(6, share), c.live(now)); ok {
			t.Fatalf("change %+v after %s", change, now.Sub(time.Unix(1000, 0)))
		}
	}
}
