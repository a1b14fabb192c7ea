package jayedge

import (
	"sync"
	"time"

	"jayfield.example/jay/jaylimit"
)

const (
	// budgetPart is the part of the budget that is used: members may be unknown for a
	// moment, and requests are counted where they arrive.
	budgetPart = 0.7
)

// budgets holds the windows of all services. It is safe for concurrent use.
type budgets struct {
	mu      sync.Mutex
	bounds  Budget
	members int
	windows map[string]*jaylimit.Window
}

func newBudgets(bounds Budget) *budgets {
	return &budgets{bounds: bounds, members: 1, windows: make(map[string]*jaylimit.Window)}
}

// bound sets other bounds; what has been sent again so far still counts.
func (b *budgets) bound(bounds Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
	for _, w := range b.windows {
		w.Bound(budgetPart*bounds.Ratio, budgetPart*bounds.Extra)
	}
}

// Earn counts a request for a service.
func (b *budgets) Earn(service string) {
	b.window(service).Earn(time.Now())
}

// Spend takes one further send and reports whether the budget allows it.
func (b *budgets) Spend(service string) bool {
	return b.window(service).Spend(time.Now())
}

// share divides the fixed number by the instances known.
func (b *budgets) share(members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if members == b.members {
		return
	}
	b.members = members
	for _, w := range b.windows {
		w.Share(1 / float64(members))
	}
}

func (b *budgets) window(service string) *jaylimit.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[service]
	if !ok {
		w = jaylimit.NewWindow(b.bounds.Window, budgetPart*b.bounds.Ratio, budgetPart*b.bounds.Extra, time.Now())
		w.Share(1 / float64(b.members))
		b.windows[service] = w
	}
	return w
}
