package jaylimit

import "sync"

// Budget bounds extra work to a part of the ordinary work. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	most   float64
	credit float64
}

// NewBudget returns a budget that grows by ratio with each ordinary request, up to most.
func NewBudget(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, credit: most}
}

// Earn adds the part of one ordinary request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.most, b.credit+b.ratio)
}

// Return gives one extra request back that was not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.most, b.credit+1)
}

// Spend takes one extra request and reports whether the budget allows it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
