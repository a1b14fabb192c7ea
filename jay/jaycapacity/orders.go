package jaycapacity

import (
	"slices"
	"time"
)

const (
	// lateEffect is how long a call without an answer may still take effect.
	lateEffect = 10 * time.Second
	// minBlock and maxBlock bound the time for which a group is not asked after a refusal, and minBackoff
	// and maxBackoff the time until a call that was limited or not answered is repeated.
	minBlock   = 2 * time.Second
	maxBlock   = 16 * time.Second
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// maxDoublings bounds the exponent of both.
	maxDoublings = 5
	// showBoots is the number of boot times after which the registry has to show what was ordered.
	showBoots = 2
)

// Result is what became of an order.
type Result string

// Results of orders.
const (
	ResultDone Result = "done"
	// ResultRefused means that no engine is available there now.
	ResultRefused Result = "refused"
	ResultLimited Result = "limited"
	// ResultUnknown means that there was no answer, so the order may take effect later.
	ResultUnknown Result = "unknown"
	// ResultUnsent means that the order was not sent and never will be.
	ResultUnsent Result = "unsent"
)

// Limits bound the two wanted numbers of a zone together.
type Limits struct {
	Min, Max int
	Boot     time.Duration
}

// Order is an order to be sent.
type Order struct {
	Group

	Desired int
	// Repeated is set if the same number was ordered before.
	Repeated bool
}

// Orders decides when which number is ordered. Since numbers are absolute, the newest order is the one that
// counts, but a call without an answer may take effect after newer ones. So each group has a range of numbers
// that may be in force at the platform, and no order may break the limits of its zone with any of them. Only
// one goroutine at a time uses it.
type Orders struct {
	limits Limits
	groups map[Group]*groupOrders
}

type groupOrders struct {
	// ordered is the newest number that was ordered, -1 if none was; acknowledged is set if it was accepted.
	ordered      int
	acknowledged bool
	orderedAt    time.Time
	// inForce is the number that the platform accepted last, or the number of registered engines
	// if nothing was ordered.
	inForce int
	// shows is set while the registry shows the number in force, and since is when that last changed.
	shows bool
	since time.Time
	// attempts are the orders that may still take effect.
	attempts []attempt
	sending  bool
	// notBefore is when the group may be asked again, failures the failed calls in a row, and blocked
	// is set if the last call was refused.
	notBefore time.Time
	failures  int
	blocked   bool
}

type attempt struct {
	desired int
	until   time.Time
}

// NewOrders returns the state of a service for which nothing was ordered.
func NewOrders() *Orders {
	return &Orders{groups: make(map[Group]*groupOrders)}
}

// Restore continues from a recorded order. Whether it was sent is not known.
func (o *Orders) Restore(now time.Time, group Group, desired, present int) {
	o.groups[group] = &groupOrders{
		ordered: desired, orderedAt: now, acknowledged: present == desired, inForce: present,
		attempts: []attempt{{desired, now.Add(lateEffect)}},
	}
}

// Configure sets the limits.
func (o *Orders) Configure(limits Limits) {
	o.limits = limits
}

// Next returns the orders to be sent now, at most n. The caller reports the result of each with Record.
func (o *Orders) Next(now time.Time, wanted, present Counts, n int) []Order {
	for _, group := range wanted.Sorted() {
		o.group(now, group, present[group])
	}
	var orders []Order
	for _, group := range wanted.Sorted() {
		if len(orders) >= n {
			break
		}
		c := o.groups[group]
		c.settle(now, o.limits.Boot)
		if c.sending || now.Before(c.notBefore) {
			continue
		}
		desired, ok := o.bound(group, wanted[group])
		if !ok || !o.due(now, c, desired, present[group]) {
			continue
		}
		orders = append(orders, Order{Group: group, Desired: desired, Repeated: desired == c.ordered})
		c.ordered, c.orderedAt, c.acknowledged, c.sending = desired, now, false, true
		c.attempts = append(c.attempts, attempt{desired, now.Add(lateEffect)})
	}
	return orders
}

// group updates the state of a group. While nothing was ordered, the highest number of registered engines is in
// force: an engine that failed is registered again.
func (o *Orders) group(now time.Time, group Group, present int) {
	c, ok := o.groups[group]
	if !ok {
		c = &groupOrders{ordered: -1}
		o.groups[group] = c
	}
	if c.ordered < 0 {
		c.inForce = max(c.inForce, present)
	}
	if shows := present == c.inForce; shows != c.shows || c.since.IsZero() {
		c.shows, c.since = shows, now
	}
}

// bound returns the number next to the wanted one that keeps the limits of the zone whatever is in force for
// the other kind, and false if there is none.
func (o *Orders) bound(group Group, wanted int) (int, bool) {
	low, high := 0, 0
	if other, ok := o.groups[group.other()]; ok {
		low, high = other.possible()
	}
	// A zone that is below its least number already must not be kept there by raising the wrong kind.
	own, _ := o.groups[group].possible()
	least, most := min(own, max(0, o.limits.Min-low)), o.limits.Max-high
	if least > most {
		return 0, false
	}
	return min(max(wanted, least), most), true
}

// possible returns the least and the highest number that may be or come into force.
func (c *groupOrders) possible() (low, high int) {
	low, high = c.inForce, c.inForce
	for _, a := range c.attempts {
		low, high = min(low, a.desired), max(high, a.desired)
	}
	return low, high
}

// settle forgets attempts that cannot take effect any more if the registry shows that none of them did: it
// has shown the number in force for longer than engines take to boot. A shorter time may be a failed engine.
func (c *groupOrders) settle(now time.Time, boot time.Duration) {
	if !c.shows || now.Sub(c.since) < showBoots*boot {
		return
	}
	c.attempts = slices.DeleteFunc(c.attempts, func(a attempt) bool { return now.Sub(a.until) >= showBoots*boot })
}

// due reports whether a number has to be ordered.
func (o *Orders) due(now time.Time, c *groupOrders, desired, present int) bool {
	switch {
	case c.ordered < 0:
		return desired != c.inForce || !c.shows && now.Sub(c.since) >= showBoots*o.limits.Boot
	case desired != c.ordered, !c.acknowledged:
		return true
	default:
		return present != desired && now.Sub(c.orderedAt) >= showBoots*o.limits.Boot
	}
}

// Record records the result of an order.
func (o *Orders) Record(now time.Time, order Order, result Result) {
	c := o.groups[order.Group]
	c.sending, c.blocked = false, result == ResultRefused
	switch result {
	case ResultDone:
		c.inForce, c.acknowledged, c.failures = order.Desired, true, 0
		c.shows, c.since = false, now
		// Earlier attempts take effect before this one, unless they still may take effect after it.
		c.attempts = slices.DeleteFunc(c.attempts, func(a attempt) bool { return !c.orderedAt.Before(a.until) })
		c.endAttempt(order.Desired)
		return
	case ResultUnknown:
		// Whether it takes effect is known once its time has passed.
		c.attempts[len(c.attempts)-1].until = now.Add(lateEffect)
	case ResultRefused, ResultLimited, ResultUnsent:
		c.endAttempt(order.Desired)
	}
	pause, longest := minBackoff, maxBackoff
	if c.blocked {
		pause, longest = minBlock, maxBlock
	}
	c.notBefore = now.Add(min(longest, pause<<min(c.failures, maxDoublings)))
	c.failures++
}

// endAttempt removes the newest attempt, whose result is known.
func (c *groupOrders) endAttempt(desired int) {
	if last := len(c.attempts) - 1; last >= 0 && c.attempts[last].desired == desired {
		c.attempts = c.attempts[:last]
	}
}

// Ordered returns the newest numbers that were ordered.
func (o *Orders) Ordered() Counts {
	counts := make(Counts, len(o.groups))
	for group, c := range o.groups {
		if c.ordered >= 0 {
			counts[group] = c.ordered
		}
	}
	return counts
}

// Blocked returns the groups where the last order was refused since no engine was available.
func (o *Orders) Blocked() map[Group]bool {
	blocked := make(map[Group]bool)
	for group, c := range o.groups {
		if c.blocked {
			blocked[group] = true
		}
	}
	return blocked
}
