package jaylimit_test

import (
	"testing"
	"time"

	"jayfield.example/jay/jaylimit"
)

func TestLimiter(t *testing.T) {
	tests := map[string]struct {
		rate     int
		share    float64
		requests int
		allowed  int
	}{
		"requests within the rate are allowed":       {rate: 50, share: 1, requests: 10, allowed: 10},
		"burst is limited to one second of the rate": {rate: 10, share: 1, requests: 30, allowed: 10},
		"instance allows its share of the rate":      {rate: 40, share: 0.25, requests: 30, allowed: 10},
		"at least one request is allowed":            {rate: 2, share: 0.125, requests: 5, allowed: 1},
		"rate 0 means no limit":                      {rate: 0, share: 1, requests: 1000, allowed: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := jaylimit.New()
			limiter.SetShare(test.share)
			now := time.Unix(1000, 0)
			allowed := 0
			for range test.requests {
				if _, ok := limiter.Allow(now, "caller", test.rate); ok {
					allowed++
				}
			}
			if allowed != test.allowed {
				t.Errorf("allowed = %d, want %d", allowed, test.allowed)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	budget := jaylimit.NewBudget(0.5, 2)
	spent := 0
	for range 10 {
		if budget.Spend() {
			spent++
		}
	}
	budget.Earn()
	budget.Earn()
	if spent != 2 || !budget.Spend() || budget.Spend() {
		t.Errorf("spent = %d; want 2, then one for two ordinary requests", spent)
	}
}
