package jayroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayfield.example/jay/jayroute"
)

// slowTable returns a table of three engines of one region, and the pool of its route.
func slowTable(t *testing.T) (*jayroute.Table, *jayroute.Pool) {
	t.Helper()
	table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 2)))
	table.Configure(configOf(t, 6, 8))
	pool, ok := table.Pool("route r")
	if !ok {
		t.Fatal("route has no pool")
	}
	return table, pool
}

func TestStallIsToldOnceInAWhile(t *testing.T) {
	t.Parallel()
	type step struct {
		after time.Duration
		heard bool
		told  bool
	}
	tests := map[string]struct {
		running int
		steps   []step
	}{
		"most streams stalled":       {1, []step{{told: true}}},
		"few streams stalled":        {4, []step{{told: false}, {told: true}}},
		"again at once":              {2, []step{{told: true}, {after: 10 * time.Millisecond}}},
		"again later":                {2, []step{{told: true}, {after: time.Second, told: true}}},
		"another instance was first": {1, []step{{heard: true, told: false}}},
		"another was first long ago": {2, []step{{heard: true}, {after: time.Second, told: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table, _ := slowTable(t)
			u, _ := table.Upstream("e0")
			for range test.running {
				table.Start(u, jayroute.Work{Prompt: 100, Output: 30})
			}
			now := time.Unix(0, 0)
			for n, step := range test.steps {
				now = now.Add(step.after)
				if step.heard {
					table.Heard(now, "e0")
				}
				if told := table.Stall(now, u); told != step.told {
					t.Errorf("step %d: told = %t, want %t", n, told, step.told)
				}
			}
		})
	}
}

func TestWorkGoesRoundAnUpstreamHeardSlow(t *testing.T) {
	t.Parallel()
	table, pool := slowTable(t)
	now := time.Unix(0, 0)
	table.Heard(now, "e0")
	for range 100 {
		u, ok := table.Pick(now, pool, jayroute.Work{Prompt: 100, Output: 30})
		if !ok || u.Name() == "e0" {
			t.Fatalf("picked %v, want another than e0", u)
		}
	}
	if u, _ := table.Upstream("e0"); !u.View(now).Slow || u.View(now.Add(time.Minute)).Slow {
		t.Error("sign of slowness must count for a while")
	}
}

func TestSlowUpstreamIsExpectedToBeUsual(t *testing.T) {
	t.Parallel()
	table, pool := slowTable(t)
	work := jayroute.Work{Prompt: 100, Output: 30}
	for range 50 {
		for _, u := range table.Upstreams() {
			took := 10 * time.Millisecond
			if u.Name() == "e0" {
				took *= 20
			}
			table.First(u, work, table.Start(u, work), took)
			table.Finish(u, work)
		}
	}
	table.Sweep(time.Unix(0, 0))
	slow, _ := table.Upstream("e0")
	usual, _ := table.Upstream("e2")
	if got, want := pool.Expected(slow, work), pool.Expected(usual, work); got > want+want/10 {
		t.Errorf("expected %v at the slow upstream, want about %v", got, want)
	}
}

func TestBorrowedSlotsAreCountedForAll(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		others int
		want   int
	}{
		// Of 8 slots, 2 are the own part of the instance among four.
		"all free":             {0, 3},
		"three seen free":      {3, 2},
		"all of others in use": {6, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 2)))
			table.Configure(configOf(t, 1, 8))
			table.Share(0, 4)
			table.Others(map[string]int{"e0": test.others})
			pool, _ := table.Pool("route r")
			work, got := jayroute.Work{Prompt: 100, Output: 30}, 0
			for range 8 {
				if u, ok := table.Pick(time.Unix(0, 0), pool, work); ok {
					table.Start(u, work)
					got++
				}
			}
			if got != test.want {
				t.Errorf("took %d slots before it heard of the others again, want %d", got, test.want)
			}
		})
	}
}

func TestFarUpstreamGoesBeforeASlowNearOne(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		slow []string
		want string
	}{
		"near is well":      {nil, "e0"},
		"near is slow":      {[]string{"e0"}, "e1"},
		"all are slow":      {[]string{"e0", "e1"}, "e0"},
		"far alone is slow": {[]string{"e1"}, "e0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 2)))
			table.Configure(configOf(t, 2, 8))
			for _, name := range test.slow {
				table.Heard(time.Unix(0, 0), name)
			}
			pool, _ := table.Pool("route r")
			u, ok := table.Pick(time.Unix(0, 0), pool, jayroute.Work{Prompt: 100, Output: 30})
			if !ok || u.Name() != test.want {
				t.Errorf("picked %v, want %s", u, test.want)
			}
		})
	}
}
