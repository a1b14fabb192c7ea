package jayroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayfield.example/jay/jayroute"
)

// slowTable returns a table of six engines, three of them near, and the pool of its route.
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

// Without a rate limit, every stalled stream of a slow upstream would send one
// more report to all other instances.
func TestStallReportsAreRateLimited(t *testing.T) {
	t.Parallel()
	type step struct {
		after    time.Duration
		received bool
		reported bool
	}
	tests := map[string]struct {
		running int
		steps   []step
	}{
		"most streams stalled":            {1, []step{{reported: true}}},
		"few streams stalled":             {4, []step{{reported: false}, {reported: true}}},
		"second stall at once":            {2, []step{{reported: true}, {after: 10 * time.Millisecond}}},
		"second stall after a second":     {2, []step{{reported: true}, {after: time.Second, reported: true}}},
		"another instance reported first": {1, []step{{received: true, reported: false}}},
		"another reported a second ago":   {2, []step{{received: true}, {after: time.Second, reported: true}}},
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
				if step.received {
					table.MarkSlow(now, "e0")
				}
				if reported := table.Stall(now, u); reported != step.reported {
					t.Errorf("step %d: reported = %t, want %t", n, reported, step.reported)
				}
			}
		})
	}
}

func TestUpstreamReportedSlowIsAvoided(t *testing.T) {
	t.Parallel()
	table, pool := slowTable(t)
	now := time.Unix(0, 0)
	table.MarkSlow(now, "e0")
	for range 100 {
		u, ok := table.Pick(now, pool, jayroute.Work{Prompt: 100, Output: 30})
		if !ok || u.Name() == "e0" {
			t.Fatalf("picked %v, want any upstream but e0", u)
		}
	}
	if u, _ := table.Upstream("e0"); !u.View(now).Slow || u.View(now.Add(time.Minute)).Slow {
		t.Error("report of slowness must count at once and expire within a minute")
	}
}

// If a slowed upstream's own pace set the expected time to the first token, work
// there would never count as late.
func TestSlowUpstreamIsExpectedAtMedianPace(t *testing.T) {
	t.Parallel()
	table, pool := slowTable(t)
	work := jayroute.Work{Prompt: 100, Output: 30}
	for range 50 {
		for _, u := range table.Upstreams() {
			took := 10 * time.Millisecond
			if u.Name() == "e0" {
				took *= 20
			}
			table.RecordFirstToken(u, work, table.Start(u, work), took)
			table.Finish(u, work)
		}
	}
	table.Sweep(time.Unix(0, 0))
	slow, _ := table.Upstream("e0")
	other, _ := table.Upstream("e2")
	if got, want := pool.ExpectedFirstToken(slow, work), pool.ExpectedFirstToken(other, work); got > want+want/10 {
		t.Errorf("expected first token after %v at the slow upstream, want about %v", got, want)
	}
}

// Instances use the same outdated load. If each borrowed all slots that it
// observes as free, together they would overload the upstream.
func TestBorrowedSlotsAreCountedForAllInstances(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		others int
		want   int
	}{
		// With four instances, the quota of each is 2 of the 8 slots.
		"all slots free":              {0, 3},
		"three slots observed free":   {3, 2},
		"quotas of all others in use": {6, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 2)))
			table.Configure(configOf(t, 1, 8))
			table.SetRanking(0, 4)
			table.SetPeerRunning(map[string]int{"e0": test.others})
			pool, _ := table.Pool("route r")
			work, got := jayroute.Work{Prompt: 100, Output: 30}, 0
			for range 8 {
				if u, ok := table.Pick(time.Unix(0, 0), pool, work); ok {
					table.Start(u, work)
					got++
				}
			}
			if got != test.want {
				t.Errorf("took %d slots before the next update from the others, want %d", got, test.want)
			}
		})
	}
}

func TestFarUpstreamIsPreferredToSlowNearOne(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		slow []string
		want string
	}{
		"none is slow":     {nil, "e0"},
		"near is slow":     {[]string{"e0"}, "e1"},
		"all are slow":     {[]string{"e0", "e1"}, "e0"},
		"only far is slow": {[]string{"e1"}, "e0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 2)))
			table.Configure(configOf(t, 2, 8))
			for _, name := range test.slow {
				table.MarkSlow(time.Unix(0, 0), name)
			}
			pool, _ := table.Pool("route r")
			u, ok := table.Pick(time.Unix(0, 0), pool, jayroute.Work{Prompt: 100, Output: 30})
			if !ok || u.Name() != test.want {
				t.Errorf("picked %v, want %s", u, test.want)
			}
		})
	}
}
