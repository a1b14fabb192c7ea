package jaylimit_test

import (
	"testing"
	"time"

	"jayfield.example/jay/jaylimit"
)

func TestLimiter(t *testing.T) {
	tests := map[string]struct {
		rate    int
		share   float64
		asks    int
		allowed int
	}{
		"first requests pass":  {rate: 50, share: 1, asks: 10, allowed: 10},
		"burst of a second":    {rate: 10, share: 1, asks: 30, allowed: 10},
		"share of an instance": {rate: 40, share: 0.25, asks: 30, allowed: 10},
		"least one":            {rate: 2, share: 0.125, asks: 5, allowed: 1},
		"no bound":             {rate: 0, share: 1, asks: 1000, allowed: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := jaylimit.New()
			limiter.Share(test.share)
			now := time.Unix(1000, 0)
			allowed := 0
			for range test.asks {
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
