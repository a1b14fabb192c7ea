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
	// safety is the part of a caller's time that waiting may take by prediction,
	// since work that comes later may go before.
	safety = 0.45
	// servedWeight is the share of one served item in the averages of what was served.
	servedWeight = 0.05
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
	// rate is the capacity in seconds of slots a second.
	rate float64
	// higher is the part of the served work, lately, that was of a priority above each.
	higher map[jayconfig.Priority]float64
}

// New returns a queue of at most limit items.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{bands: make(map[bandKey]*band[T]), limit: limit, higher: make(map[jayconfig.Priority]float64)}
	for _, p := range priorities() {
		q.bands[bandKey{p, false}] = newBand[T]()
		q.bands[bandKey{p, true}] = newBand[T]()
	}
	return q
}

// Passes reports whether an item that Peek returned goes before waiting work of a
// higher priority, by the floor.
func (q *Queue[T]) Passes(item *Item[T]) bool {
	for _, p := range priorities() {
		if p == item.Priority {
			break
		}
		if q.waits(p) {
			return true
		}
	}
	return false
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

// Push adds an item, or refuses it with a *RefusalError. An item of a caller
// below its share may push out the newest items of a caller above it, which
// are then refused in its place.
func (q *Queue[T]) Push(now time.Time, item *Item[T]) (pushedOut []*Item[T], err error) {
	b := q.bands[item.key()]
	b.note(now, item)
	if wait := q.predict(b, item); !item.inTime(now, wait) {
		return nil, refuse(KindDeadline, wait, "answer would be later than the deadline")
	}
	item.arrived = now
	b.push(item)
	q.count++
	for q.count > q.limit || q.full(item, now) {
		victim := q.victim(item)
		q.Remove(victim)
		if victim == item {
			return pushedOut, refuse(KindFull, q.wait(q.backlog()), "queue is full")
		}
		pushedOut = append(pushedOut, victim)
	}
	return pushedOut, nil
}

// PushedOut returns the refusal of an item that was pushed out.
func (q *Queue[T]) PushedOut() error {
	return refuse(KindFull, q.wait(q.backlog()), "caller is above its share of a full queue")
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
	late := make([]*Item[T], 0, len(q.bands))
	for _, b := range q.bands {
		b.forget(now)
		late = append(late, b.late(now)...)
	}
	for _, item := range late {
		q.Remove(item)
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
	above := 0.0
	for _, p := range priorities() {
		q.higher[p] += servedWeight * (above - q.higher[p])
		if p == item.Priority {
			above = 1
		}
	}
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

// full reports whether all that waits takes longer than the item may.
func (q *Queue[T]) full(item *Item[T], now time.Time) bool {
	return !item.inTime(now, q.wait(q.backlog()-item.Cost))
}

// victim returns the item to push out: the newest of the flow that is most
// above its share among those of the item's priority or a lower one.
func (q *Queue[T]) victim(item *Item[T]) *Item[T] {
	worst, most := item, -1.0
	for _, p := range below(item.Priority) {
		for _, b := range []*band[T]{q.bands[bandKey{p, false}], q.bands[bandKey{p, true}]} {
			if newest, share := b.above(); newest != nil && share > most {
				worst, most = newest, share
			}
		}
		if p != item.Priority && most >= 0 {
			return worst
		}
	}
	return worst
}

// below returns the priorities from the lowest up to one.
func below(priority jayconfig.Priority) []jayconfig.Priority {
	order := priorities()
	slices.Reverse(order[:])
	return order[:slices.Index(order[:], priority)+1]
}

// predict returns the expected wait of an item. A caller without waiting work
// waits for all that is before it; other work of a caller has the caller's
// share among those that asked lately, of what higher priorities leave.
func (q *Queue[T]) predict(b *band[T], item *Item[T]) time.Duration {
	ahead := 0.0
	for _, p := range priorities() {
		if p == item.Priority {
			break
		}
		ahead += (1 - floor) * (q.bands[bandKey{p, false}].backlog + q.bands[bandKey{p, true}].backlog)
	}
	if own := b.own(item.Caller); own > 0 {
		ahead += (own + item.Cost) * float64(b.asking) / float64(max(1, item.Weight))
	} else {
		ahead += b.backlog
	}
	return time.Duration(float64(q.wait(ahead)) / max(floor, 1-q.higher[item.Priority]))
}

// wait converts work to time by the capacity.
func (q *Queue[T]) wait(cost float64) time.Duration {
	return time.Duration(cost / max(1, q.rate) * float64(time.Second))
}

// waits reports whether work of a priority waits.
func (q *Queue[T]) waits(p jayconfig.Priority) bool {
	return q.bands[bandKey{p, false}].count+q.bands[bandKey{p, true}].count > 0
}

func (q *Queue[T]) waitsBelow(priority jayconfig.Priority) bool {
	below := false
	for _, p := range priorities() {
		if below && q.waits(p) {
			return true
		}
		below = below || p == priority
	}
	return false
}
