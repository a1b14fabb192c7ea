package jaylimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaylimit"
)

// Guards against a window that allows a retry beyond the limit set by the requests of the
// span that ends with it. The window advances by fiftieths of the span, so the test counts
// retries over a span that is shorter by two fiftieths.
func TestWindowAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, extra = 10 * time.Second, 0.2, 5.0
		start := time.Unix(1000, 0)
		now := start
		w := jaylimit.NewWindow(span, ratio, extra, start)
		var requests, retries []time.Time
		within := func(times []time.Time, period time.Duration) int {
			count := 0
			for _, at := range times {
				if now.Sub(at) < period {
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
			retries = append(retries, now)
			limit := ratio*float64(within(requests, span)) + extra
			if spent := within(retries, span-span/25); float64(spent) > limit {
				t.Fatalf("%d retries within a window, limit %.1f", spent, limit)
			}
		}
	})
}

func TestWindowShare(t *testing.T) {
	now := time.Unix(1000, 0)
	w := jaylimit.NewWindow(10*time.Second, 0, 8, now)
	w.SetShare(0.25)
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
		t.Error("no retry is allowed in the next window")
	}
}
