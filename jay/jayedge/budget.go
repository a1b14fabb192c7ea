package jayedge

import (
	"sync"
	"time"

	"jayfield.example/jay/jaylimit"
)

const (
	// budgetFraction is the fraction of the budget that is used. The rest is a margin, since
	// instances may be unknown to each other for a moment, and each counts only the requests
	// that arrive at itself.
	budgetFraction = 0.7
)

// budgets holds the retry budgets of all services. It is safe for concurrent use.
type budgets struct {
	mu      sync.Mutex
	limits  Budget
	members int
	windows map[string]*jaylimit.Window
}

func newBudgets(limits Budget) *budgets {
	return &budgets{limits: limits, members: 1, windows: make(map[string]*jaylimit.Window)}
}

// setLimits changes the limits; retries sent so far still count.
func (b *budgets) setLimits(limits Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	for _, w := range b.windows {
		w.SetLimits(budgetFraction*limits.Ratio, budgetFraction*limits.Extra)
	}
}

// Earn counts a request for a service.
func (b *budgets) Earn(service string) {
	b.window(service).Earn(time.Now())
}

// Spend reports whether the budget allows a retry, and counts it if so.
func (b *budgets) Spend(service string) bool {
	return b.window(service).Spend(time.Now())
}

// setMembers divides the fixed number of retries by the number of known instances.
func (b *budgets) setMembers(members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if members == b.members {
		return
	}
	b.members = members
	for _, w := range b.windows {
		w.SetShare(1 / float64(members))
	}
}

func (b *budgets) window(service string) *jaylimit.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[service]
	if !ok {
		w = jaylimit.NewWindow(b.limits.Window, budgetFraction*b.limits.Ratio, budgetFraction*b.limits.Extra, time.Now())
		w.SetShare(1 / float64(b.members))
		b.windows[service] = w
	}
	return w
}
