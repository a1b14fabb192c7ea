// Package jayqueue implements the admission queue for work that waits for an
// upstream.
//
// Callers share capacity by weight (weighted fair queueing). Higher priorities
// are served first, except for a share that is reserved for lower ones. Long and
// short work wait separately, and work that could not be complete by its deadline
// is refused at once. The queue does no I/O and reads no clock: a single goroutine
// owns it and passes the time.
package jayqueue

import (
	"slices"
	"time"

	"jayfield.example/jay/jayconfig"
)

const (
	// DefaultLimit is the default maximum number of items in a queue.
	DefaultLimit = 4096
	// maxWaitFraction is the fraction of an item's slack that its predicted wait may
	// take. The rest is a margin, since work that arrives later may be served first.
	maxWaitFraction = 0.45
	// smoothingFactor is the weight of one served item in the moving averages of
	// served priorities.
	smoothingFactor = 0.05
	// reservedShare is the share of the served work that is reserved for lower
	// priorities.
	reservedShare = 0.2
)

// bandKey identifies a band.
type bandKey struct {
	priority jayconfig.Priority
	long     bool
}

// priorities returns the priorities from the highest to the lowest.
func priorities() [3]jayconfig.Priority {
	return [3]jayconfig.Priority{jayconfig.PriorityHigh, jayconfig.PriorityNormal, jayconfig.PriorityLow}
}

// Queue holds the work that waits for one set of upstreams.
type Queue[T any] struct {
	bands  map[bandKey]*band[T]
	limit  int
	count  int
	credit float64
	// capacity is the capacity of the upstreams in slot-seconds per second.
	capacity float64
	// higherShare is, for each priority, the moving average of the share of served
	// items that had a higher priority.
	higherShare map[jayconfig.Priority]float64
}

// New returns an empty queue of at most limit items.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{bands: make(map[bandKey]*band[T]), limit: limit, higherShare: make(map[jayconfig.Priority]float64)}
	for _, p := range priorities() {
		q.bands[bandKey{p, false}] = newBand[T]()
		q.bands[bandKey{p, true}] = newBand[T]()
	}
	return q
}

// Overtakes reports whether an item that Peek returned is served before waiting
// work of a higher priority, as the reserved share allows.
func (q *Queue[T]) Overtakes(item *Item[T]) bool {
	for _, p := range priorities() {
		if p == item.Priority {
			break
		}
		if q.hasWaiting(p) {
			return true
		}
	}
	return false
}

// Peek returns the item to serve next, or nil. Long items are skipped unless long
// is set. Items that can no longer meet their deadline are removed and returned
// as expired, for the caller to refuse.
func (q *Queue[T]) Peek(now time.Time, long bool) (next *Item[T], expired []*Item[T]) {
	for {
		b := q.nextBand(long)
		if b == nil {
			return nil, expired
		}
		item := b.head()
		if !item.expired(now) {
			return item, expired
		}
		q.popHead(b)
		expired = append(expired, item)
	}
}

// Push adds an item, or refuses it with a *RefusalError. If the queue is at its limit,
// or its backlog too long for the item's deadline, it evicts the newest items of the
// caller with the largest backlog relative to its weight, from the lowest priority up
// to the item's own. Those are then refused instead.
func (q *Queue[T]) Push(now time.Time, item *Item[T]) (evicted []*Item[T], err error) {
	b := q.bands[item.key()]
	b.recordActivity(now, item)
	if waitTime := q.predictWait(b, item); !item.meetsDeadline(now, waitTime) {
		return nil, refuse(KindDeadline, waitTime, "answer would be later than the deadline")
	}
	item.arrived = now
	b.push(item)
	q.count++
	for q.count > q.limit || q.backlogTooLong(item, now) {
		victim := q.victim(item)
		q.Remove(victim)
		if victim == item {
			return evicted, refuse(KindFull, q.waitTime(q.backlog()), "queue is full")
		}
		evicted = append(evicted, victim)
	}
	return evicted, nil
}

// EvictionError returns the refusal of an evicted item.
func (q *Queue[T]) EvictionError() error {
	return refuse(KindFull, q.waitTime(q.backlog()), "caller is above its share of a full queue")
}

// Remove removes an item whose caller has gone. It reports whether the item was
// still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.removed {
		return false
	}
	item.removed = true
	q.bands[item.key()].remove(item)
	q.count--
	return true
}

// Size returns the number of waiting items.
func (q *Queue[T]) Size() int {
	return q.count
}

// Sweep removes and returns the items at the head of each flow that can no longer
// meet their deadline.
func (q *Queue[T]) Sweep(now time.Time) []*Item[T] {
	expired := make([]*Item[T], 0, len(q.bands))
	for _, b := range q.bands {
		b.expireActivity(now)
		expired = append(expired, b.expired(now)...)
	}
	for _, item := range expired {
		q.Remove(item)
	}
	return expired
}

// Take removes the item that Peek returned and counts it as served.
func (q *Queue[T]) Take(item *Item[T]) {
	q.popHead(q.bands[item.key()])
	q.charge(item)
}

// SetCapacity sets the capacity of the upstreams in slot-seconds per second.
func (q *Queue[T]) SetCapacity(perSecond float64) {
	q.capacity = perSecond
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

// charge accounts for a served item. Serving an item while lower priorities wait
// adds reservedShare of its cost to their credit; other served items spend credit.
func (q *Queue[T]) charge(item *Item[T]) {
	above := 0.0
	for _, p := range priorities() {
		q.higherShare[p] += smoothingFactor * (above - q.higherShare[p])
		if p == item.Priority {
			above = 1
		}
	}
	if q.hasWaitingBelow(item.Priority) {
		q.credit += reservedShare * item.Cost
		return
	}
	q.credit = max(0, q.credit-item.Cost)
}

// nextBand returns the band to serve next, or nil if none has waiting items.
func (q *Queue[T]) nextBand(long bool) *band[T] {
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

// backlogTooLong reports whether the predicted time to serve all other waiting items
// exceeds the wait that the item's deadline allows.
func (q *Queue[T]) backlogTooLong(item *Item[T], now time.Time) bool {
	return !item.meetsDeadline(now, q.waitTime(q.backlog()-item.Cost))
}

// victim returns the item to evict: the newest item of the flow with the largest
// normalized backlog, in the lowest priority that has waiting work and is not
// above the item's own.
func (q *Queue[T]) victim(item *Item[T]) *Item[T] {
	candidate, largest := item, -1.0
	for _, p := range prioritiesUpTo(item.Priority) {
		for _, b := range []*band[T]{q.bands[bandKey{p, false}], q.bands[bandKey{p, true}]} {
			if newest, normalized := b.evictionCandidate(); newest != nil && normalized > largest {
				candidate, largest = newest, normalized
			}
		}
		if p != item.Priority && largest >= 0 {
			return candidate
		}
	}
	return candidate
}

// prioritiesUpTo returns the priorities from the lowest up to the given one.
func prioritiesUpTo(priority jayconfig.Priority) []jayconfig.Priority {
	order := priorities()
	slices.Reverse(order[:])
	return order[:slices.Index(order[:], priority)+1]
}

// predictWait returns the predicted wait of an item. The item of a caller without
// waiting work waits for the whole backlog ahead of it. Further items of a caller
// are served at the caller's share among recently active callers, of the capacity
// that higher priorities leave.
func (q *Queue[T]) predictWait(b *band[T], item *Item[T]) time.Duration {
	ahead := 0.0
	for _, p := range priorities() {
		if p == item.Priority {
			break
		}
		ahead += (1 - reservedShare) * (q.bands[bandKey{p, false}].backlog + q.bands[bandKey{p, true}].backlog)
	}
	if callerBacklog := b.callerBacklog(item.Caller); callerBacklog > 0 {
		ahead += (callerBacklog + item.Cost) * float64(b.activeWeight) / float64(max(1, item.Weight))
	} else {
		ahead += b.backlog
	}
	return time.Duration(float64(q.waitTime(ahead)) / max(reservedShare, 1-q.higherShare[item.Priority]))
}

// waitTime converts a cost to the time that the upstreams take to serve it.
func (q *Queue[T]) waitTime(cost float64) time.Duration {
	return time.Duration(cost / max(1, q.capacity) * float64(time.Second))
}

// hasWaiting reports whether items of a priority are waiting.
func (q *Queue[T]) hasWaiting(p jayconfig.Priority) bool {
	return q.bands[bandKey{p, false}].count+q.bands[bandKey{p, true}].count > 0
}

func (q *Queue[T]) hasWaitingBelow(priority jayconfig.Priority) bool {
	below := false
	for _, p := range priorities() {
		if below && q.hasWaiting(p) {
			return true
		}
		below = below || p == priority
	}
	return false
}
