package jayroster_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jaystore"
)

// Guards against a policy that comes into force too late, since an instance takes its copy for current because
// the watcher of its zone does, while the watcher is cut off from the store: the age of the copy must be bounded by the time
// in which a policy has to be in force.
func TestPolicyIsInForceInTimeBehindCutWatcher(t *testing.T) {
	const seeds = 6
	tests := map[string]struct {
		instances int
		effect    time.Duration
		cut       []int
		// frozen is set if those that are cut off do not answer other instances either.
		frozen bool
	}{
		"full mesh":                      {3, 2500 * time.Millisecond, []int{0}, false},
		"full mesh, the next one is too": {4, 2500 * time.Millisecond, []int{0, 1}, false},
		"partial mesh":                   {16, 2500 * time.Millisecond, []int{0}, false},
		"partial mesh, both hubs":        {16, 2500 * time.Millisecond, []int{0, 1}, false},
		"frozen, full mesh":              {3, 2500 * time.Millisecond, []int{0}, true},
		"frozen, the only other one":     {2, 2500 * time.Millisecond, []int{0}, true},
		"frozen, partial mesh":           {16, 2500 * time.Millisecond, []int{0, 1}, true},
		"a longer time":                  {16, 5 * time.Second, []int{0}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					source := rand.New(rand.NewPCG(seed, 1))
					z := newPolicyZone(t.Context(), test.instances, jaystore.LongPolled(test.effect), nil)
					defer z.stop()
					z.topic.put(policyText(1))
					time.Sleep(10*time.Second + time.Duration(source.Int64N(int64(time.Second))))
					for _, n := range test.cut {
						z.instances[n].store.cut.Store(true)
						if test.frozen {
							z.instances[n].host.Pause(2 * test.effect)
						}
					}
					time.Sleep(time.Duration(source.Int64N(int64(200 * time.Millisecond))))
					acknowledged := time.Now()
					z.topic.put(policyText(2))
					time.Sleep(2 * test.effect)
					for n, i := range z.instances[len(test.cut):] {
						i.mu.Lock()
						at, ok := i.appliedAt[1]
						i.mu.Unlock()
						if took := at.Sub(acknowledged); !ok || took > test.effect {
							t.Errorf("seed %d: instance %d has the policy in force after %s (in force: %v), want at most %s", seed, n+len(test.cut), took, ok, test.effect)
						}
					}
				})
			}
		})
	}
}

// Guards against a copy that seems younger with each instance that passes it on, since a reply states
// the age as of its sender's latest round of exchanges: an instance whose watcher is cut off from the store acts on the
// copy beyond the highest age.
func TestCopyAgeCountsWhenReplyIsMade(t *testing.T) {
	const (
		effect = 2500 * time.Millisecond
		// answered is the time in which the store answers a read of an instance that is not cut off.
		answered = 100 * time.Millisecond
	)
	tests := map[string]int{"full mesh, two others": 3, "full mesh": 8, "largest full mesh": 13, "partial mesh": 16}
	for name, instances := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				synctest.Test(t, func(t *testing.T) {
					source, fresh := rand.New(rand.NewPCG(seed, 2)), jaystore.LongPolled(effect)
					z := newPolicyZone(t.Context(), instances, fresh, source)
					defer z.stop()
					z.topic.put(policyText(1))
					time.Sleep(10*time.Second + time.Duration(source.Int64N(int64(time.Second))))
					z.instances[0].store.cut.Store(true)
					acknowledged := time.Now()
					z.topic.put(policyText(2))
					time.Sleep(2 * effect)
					for n, i := range z.instances[1:] {
						i.mu.Lock()
						at, ok := i.appliedAt[1]
						i.mu.Unlock()
						if took := at.Sub(acknowledged); !ok || took > fresh.MaxAge+answered {
							t.Errorf("seed %d: instance %d has the policy in force after %s (in force: %v), want at most %s", seed, n+1, took, ok, fresh.MaxAge+answered)
						}
					}
				})
			}
		})
	}
}

// Guards against bounds that do not leave the time that an instance needs to read the store itself.
func TestFreshnessLeavesTimeToRead(t *testing.T) {
	// readTime is what a read takes while the store is slow.
	const readTime = 300 * time.Millisecond
	for _, effect := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 5 * time.Second, 12 * time.Second} {
		for name, fresh := range map[string]jaystore.Freshness{"long polled": jaystore.LongPolled(effect), "polled": jaystore.Polled(effect)} {
			if fresh.MaxAge+readTime > effect || fresh.Wait+fresh.Interval >= fresh.MaxAge {
				t.Errorf("%s within %s: %+v", name, effect, fresh)
			}
		}
	}
}
