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
		MinStay: 8 * time.Second, Horizon: 2 * time.Minute, ChangeCost: 4 * time.Second,
	}
}

// demandOf returns the demand for a load, in seconds of a mixed engine per second, with a share of prefill.
func demandOf(load, share float64) jaymember.Demand {
	return jaymember.Demand{Prompt: share * load * 4000, Output: (1 - share) * load * 400}
}

// simulatedCell holds engines that are out of service for the plan's cost during a
// change of role, and that may be lost.
type simulatedCell struct {
	engines []jayrole.Engine
	// backAt is when each engine under change is back in service.
	backAt    map[string]time.Time
	lost      map[string]bool
	changedAt map[string]time.Time
	changes   int
}

func newCell(engines int) *simulatedCell {
	c := &simulatedCell{backAt: make(map[string]time.Time), lost: make(map[string]bool), changedAt: make(map[string]time.Time)}
	for n := range engines {
		c.engines = append(c.engines, jayrole.Engine{Name: fmt.Sprintf("engine-%d", n), Role: jayconfig.RoleMixed})
	}
	return c
}

func (c *simulatedCell) live(now time.Time) []jayrole.Engine {
	var list []jayrole.Engine
	for _, e := range c.engines {
		if !c.lost[e.Name] && !now.Before(c.backAt[e.Name]) {
			list = append(list, e)
		}
	}
	return list
}

// changing reports whether some engine is under change. Plan must not be called
// while it returns true.
func (c *simulatedCell) changing(now time.Time) bool {
	for _, backAt := range c.backAt {
		if now.Before(backAt) {
			return true
		}
	}
	return false
}

func (c *simulatedCell) change(now time.Time, change jayrole.Change, cost time.Duration) {
	c.changes++
	c.changedAt[change.Engine] = now
	c.backAt[change.Engine] = now.Add(cost)
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
		// minServed is the multiple of the demand that the final roles must be able to serve.
		minServed              float64
		minChanges, maxChanges int
		// horizon overrides the plan's horizon if it is not 0.
		horizon time.Duration
	}{
		"light load causes no change":                      {load: 2, share: 0.2, minServed: 1},
		"balanced mix causes no change":                    {load: 6, share: 0.5, minServed: 1},
		"output above capacity causes changes":             {load: 6, share: 0.2, minServed: 1, minChanges: 1, maxChanges: 3},
		"prompts above capacity cause changes":             {load: 6, share: 0.7, minServed: 1, minChanges: 1, maxChanges: 2},
		"small gain over a short horizon causes no change": {load: 6, share: 0.7, minServed: 0.95, horizon: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, p, now := newCell(4), jayrole.NewPlanner(), time.Unix(1000, 0)
			demand := demandOf(test.load, test.share)
			testPlan := plan()
			if test.horizon > 0 {
				testPlan.Horizon = test.horizon
			}
			for range 600 {
				now = now.Add(tick)
				if c.changing(now) {
					continue
				}
				if change, ok := p.Plan(now, testPlan, demand, c.live(now)); ok {
					c.change(now, change, plan().ChangeCost)
				}
			}
			if c.changes < test.minChanges || c.changes > test.maxChanges {
				t.Errorf("%d changes, want %d to %d", c.changes, test.minChanges, test.maxChanges)
			}
			if got := jayrole.CapacityRatio(plan(), demand, c.engines); got < test.minServed {
				t.Errorf("roles serve %.2f of the demand, want at least %.2f", got, test.minServed)
			}
		})
	}
}

// Under any sequence of demands and losses of engines, a change goes to a live
// engine, gives it another role, respects its minimum stay and leaves at least one
// live engine that decodes.
func TestPlannerChangesOnlyEligibleEngines(t *testing.T) {
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
			c.change(now, change, plan().ChangeCost)
		}
	})
}

func checkChange(t *rapid.T, c *simulatedCell, now time.Time, live []jayrole.Engine, change jayrole.Change) {
	t.Helper()
	known, decoders := false, 0
	for _, e := range live {
		if e.Name == change.Engine {
			known = true
			if e.Role == change.Role {
				t.Fatalf("%s has the role %s already", e.Name, e.Role)
			}
			e.Role = change.Role
		}
		if e.Role != jayconfig.RolePrefill {
			decoders++
		}
	}
	if !known {
		t.Fatalf("%s is not live", change.Engine)
	}
	if decoders == 0 {
		t.Fatal("no engine is left that decodes")
	}
	if last, ok := c.changedAt[change.Engine]; ok && now.Sub(last) < plan().MinStay {
		t.Fatalf("%s changed %s after its last change", change.Engine, now.Sub(last))
	}
}

// Swings of the mix that are faster than the planner's moving averages cause no
// change: each would cost an engine for seconds, and routing follows them anyway.
func TestPlannerIgnoresFastSwings(t *testing.T) {
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
