package jayedge

import (
	"testing"
	"time"
)

// A policy is asked of the store only where the zone's watcher does not bring it.
func TestLag(t *testing.T) {
	type hearing struct {
		after          time.Duration
		inForce, heard int64
		due            bool
	}
	tests := map[string][]hearing{
		"watcher brings it":      {{0, 1, 1, false}, {0, 1, 2, false}, {500 * time.Millisecond, 2, 2, false}, {lagPause, 2, 2, false}},
		"watcher is cut off":     {{0, 1, 2, false}, {lagPause, 1, 2, true}, {2 * lagPause, 1, 2, false}},
		"newer ones keep coming": {{0, 1, 2, false}, {lagPause / 2, 1, 3, false}, {lagPause, 1, 4, true}, {2 * lagPause, 1, 5, true}},
		"behind a second time":   {{0, 1, 2, false}, {lagPause, 1, 2, true}, {lagPause, 2, 2, false}, {2 * lagPause, 2, 3, false}, {3 * lagPause, 2, 3, true}},
	}
	for name, hearings := range tests {
		t.Run(name, func(t *testing.T) {
			start, behind := time.Unix(1000, 0), lag{}
			for i, h := range hearings {
				if due := behind.due(start.Add(h.after), h.inForce, h.heard); due != h.due {
					t.Errorf("hearing %d: due = %v, want %v", i, due, h.due)
				}
			}
		})
	}
}
