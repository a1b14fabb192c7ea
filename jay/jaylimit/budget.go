package jaylimit

import "sync"

// Budget limits extra requests, such as retries and hedges, to a ratio of the ordinary
// requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	limit  float64
	credit float64
}

// NewBudget returns a budget that starts with a credit of limit extra requests and grows
// by ratio with each ordinary request, up to limit.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, credit: limit}
}

// Earn adds the credit for one ordinary request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.limit, b.credit+b.ratio)
}

// Return gives back the credit for one extra request that was not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.limit, b.credit+1)
}

// Spend reports whether the budget allows an extra request, and takes its credit if so.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
