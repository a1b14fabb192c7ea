package jayedge

import (
	"testing"
	"time"
)

// Guards against reads of the store by every instance for every new policy: an
// instance may read it only if the watcher of its zone does not deliver the policy
// in time, and only once per version.
func TestLagReadsStoreOnlyIfWatcherIsLate(t *testing.T) {
	type observation struct {
		after           time.Duration
		inForce, newest int64
		due             bool
	}
	lagTolerance := lagTolerance(2500 * time.Millisecond)
	tests := map[string][]observation{
		"no read if the watcher delivers the policy":   {{0, 1, 1, false}, {0, 1, 2, false}, {500 * time.Millisecond, 2, 2, false}, {lagTolerance, 2, 2, false}},
		"one read if the watcher is cut off":           {{0, 1, 2, false}, {lagTolerance, 1, 2, true}, {2 * lagTolerance, 1, 2, false}},
		"a read for each newer version after the wait": {{0, 1, 2, false}, {lagTolerance / 2, 1, 3, false}, {lagTolerance, 1, 4, true}, {2 * lagTolerance, 1, 5, true}},
		"a read each time the instance falls behind":   {{0, 1, 2, false}, {lagTolerance, 1, 2, true}, {lagTolerance, 2, 2, false}, {2 * lagTolerance, 2, 3, false}, {3 * lagTolerance, 2, 3, true}},
	}
	for name, observations := range tests {
		t.Run(name, func(t *testing.T) {
			start, l := time.Unix(1000, 0), lag{tolerance: lagTolerance}
			for i, o := range observations {
				if due := l.due(start.Add(o.after), o.inForce, o.newest); due != o.due {
					t.Errorf("observation %d: due = %v, want %v", i, due, o.due)
				}
			}
		})
	}
}
