// Package jayqueue holds work that waits for an upstream.
//
// Callers share by weight, priorities go first above a reserved floor, long
// work waits apart from short work, and work that could not be complete in
// time is refused at once. The queue is pure: one task owns it and gives it
// the time.
package jayqueue

import (
	"slices"
	"time"

	"jayfield.example/jay/jayconfig"
)

const (
	// DefaultLimit bounds the items of a queue.
	DefaultLimit = 4096
	// callerShare is the part of the limit that one caller may fill.
	callerShare = 0.25
	// floor is the part of the drained work that is kept for lower priorities.
	floor = 0.2
)

// bandKey names a band.
type bandKey struct {
	priority jayconfig.Priority
	long     bool
}

// priorities returns the priorities in the order in which they are served.
func priorities() [3]jayconfig.Priority {
	return [3]jayconfig.Priority{jayconfig.PriorityHigh, jayconfig.PriorityNormal, jayconfig.PriorityLow}
}

// Queue is the waiting work of one pool.
type Queue[T any] struct {
	bands  map[bandKey]*band[T]
	limit  int
	count  int
	credit float64
	// rate is the capacity in seconds of slots drained in a second, from completions.
	rate float64
}

// New returns a queue of at most limit items.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{bands: make(map[bandKey]*band[T]), limit: limit}
	for _, p := range priorities() {
		q.bands[bandKey{p, false}] = newBand[T]()
		q.bands[bandKey{p, true}] = newBand[T]()
	}
	return q
}

// Peek returns the item that is served next, or nil. Long items are passed
// over unless long is set. Items that can no longer be in time are taken out
// and come back as late, to be refused.
func (q *Queue[T]) Peek(now time.Time, long bool) (next *Item[T], late []*Item[T]) {
	for {
		b := q.choose(long)
		if b == nil {
			return nil, late
		}
		item := b.head()
		if !item.late(now) {
			return item, late
		}
		q.popHead(b)
		late = append(late, item)
	}
}

// Push adds an item, or refuses it with a *RefusalError. Slots is the capacity
// of the pool in slots, used until a drain rate is known.
func (q *Queue[T]) Push(now time.Time, item *Item[T], slots int) error {
	if q.count >= q.limit {
		return refuse(KindFull, q.wait(q.backlog(), slots), "queue is full")
	}
	b := q.bands[item.key()]
	f := b.flows[item.Caller]
	if f != nil && float64(len(f.items)) >= callerShare*float64(q.limit) {
		return refuse(KindFull, q.wait(f.backlog, slots), "caller's part of the queue is full")
	}
	wait := q.predict(item, slots)
	need := time.Duration(item.Cost * float64(time.Second))
	if !item.Deadline.IsZero() && now.Add(wait+need).After(item.Deadline) {
		return refuse(KindDeadline, wait, "answer would be later than the deadline")
	}
	item.arrived = now
	b.push(item)
	q.count++
	return nil
}

// Remove takes out an item whose caller has gone. It reports whether the item still waited.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.removed {
		return false
	}
	item.removed = true
	q.bands[item.key()].remove(item)
	q.count--
	return true
}

// Size returns the number of items that wait.
func (q *Queue[T]) Size() int {
	return q.count
}

// Sweep takes out the first items of callers that can no longer be in time.
func (q *Queue[T]) Sweep(now time.Time) []*Item[T] {
	var late []*Item[T]
	for _, b := range q.bands {
		for item := b.head(); item != nil && item.late(now); item = b.head() {
			q.popHead(b)
			late = append(late, item)
		}
	}
	return late
}

// Take takes out the item that Peek returned, which is now served.
func (q *Queue[T]) Take(item *Item[T]) {
	q.popHead(q.bands[item.key()])
	q.charge(item)
}

// Capacity sets the capacity of the pool in seconds of slots a second.
func (q *Queue[T]) Capacity(perSecond float64) {
	q.rate = perSecond
}

func (i *Item[T]) key() bandKey {
	return bandKey{i.Priority, i.Long}
}

func (q *Queue[T]) backlog() float64 {
	total := 0.0
	for _, b := range q.bands {
		total += b.backlog
	}
	return total
}

// charge books a served item: what goes to a priority while lower ones wait
// earns the lower ones credit, which they spend when they are served.
func (q *Queue[T]) charge(item *Item[T]) {
	if q.waitsBelow(item.Priority) {
		q.credit += floor * item.Cost
		return
	}
	q.credit = max(0, q.credit-item.Cost)
}

// choose returns the band to serve next, nil where none waits.
func (q *Queue[T]) choose(long bool) *band[T] {
	first := q.firstBand(long, priorities())
	if first == nil {
		return nil
	}
	lower := q.lowestBand(long)
	if lower != first && lower.head().Cost <= q.credit {
		return lower
	}
	return first
}

func (q *Queue[T]) firstBand(long bool, order [3]jayconfig.Priority) *band[T] {
	for _, p := range order {
		if b := q.bands[bandKey{p, false}]; b.count > 0 {
			return b
		}
		if b := q.bands[bandKey{p, true}]; long && b.count > 0 {
			return b
		}
	}
	return nil
}

func (q *Queue[T]) lowestBand(long bool) *band[T] {
	order := priorities()
	slices.Reverse(order[:])
	return q.firstBand(long, order)
}

func (q *Queue[T]) popHead(b *band[T]) {
	item := b.pop()
	item.removed = true
	q.count--
}

// predict returns the expected wait of an item: the work of higher priorities
// and its caller's fair share of its own, but never more than all that waits ahead.
func (q *Queue[T]) predict(item *Item[T], slots int) time.Duration {
	ahead := 0.0
	for _, p := range priorities() {
		if p == item.Priority {
			break
		}
		ahead += (1 - floor) * (q.bands[bandKey{p, false}].backlog + q.bands[bandKey{p, true}].backlog)
	}
	b := q.bands[item.key()]
	own, weights := 0.0, b.weights
	if f := b.flows[item.Caller]; f != nil {
		own = f.backlog
	} else {
		weights += max(1, item.Weight)
	}
	fair := own * float64(weights) / float64(max(1, item.Weight))
	return q.wait(ahead+min(fair, b.backlog), slots)
}

// wait converts work to time by the drain rate.
func (q *Queue[T]) wait(cost float64, slots int) time.Duration {
	rate := q.rate
	if rate <= 0 {
		rate = float64(max(1, slots))
	}
	return time.Duration(cost / rate * float64(time.Second))
}

func (q *Queue[T]) waitsBelow(priority jayconfig.Priority) bool {
	below := false
	for _, p := range priorities() {
		if below && q.bands[bandKey{p, false}].count+q.bands[bandKey{p, true}].count > 0 {
			return true
		}
		below = below || p == priority
	}
	return false
}
