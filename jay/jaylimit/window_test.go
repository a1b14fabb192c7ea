package jaylimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaylimit"
)

// No further send is allowed beyond the bound by the requests of the window that
// ends with it. The window slides by fiftieths.
func TestWindowAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, extra = 10 * time.Second, 0.2, 5.0
		start := time.Unix(1000, 0)
		now := start
		w := jaylimit.NewWindow(span, ratio, extra, start)
		var requests, further []time.Time
		within := func(list []time.Time, back time.Duration) int {
			count := 0
			for _, at := range list {
				if now.Sub(at) < back {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Earn(now)
				requests = append(requests, now)
				continue
			}
			if !w.Spend(now) {
				continue
			}
			further = append(further, now)
			bound := ratio*float64(within(requests, span)) + extra
			if spent := within(further, span-span/25); float64(spent) > bound {
				t.Fatalf("%d further sends within a window, bound %.1f", spent, bound)
			}
		}
	})
}

func TestWindowShare(t *testing.T) {
	now := time.Unix(1000, 0)
	w := jaylimit.NewWindow(10*time.Second, 0, 8, now)
	w.Share(0.25)
	allowed := 0
	for range 20 {
		if w.Spend(now) {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("allowed = %d, want 2", allowed)
	}
	if !w.Spend(now.Add(11 * time.Second)) {
		t.Error("nothing is allowed in the next window")
	}
}
