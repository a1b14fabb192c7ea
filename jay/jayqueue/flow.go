package jayqueue

import (
	"container/heap"
	"time"
)

// flow is the FIFO queue of one caller in one band.
type flow[T any] struct {
	caller string
	weight int
	items  []*Item[T]
	// virtualFinish is the virtual finish time of the flow's last item.
	virtualFinish float64
	// backlog is the total cost of the waiting items.
	backlog float64
	index   int
}

// recomputeStarts reassigns the virtual start times of the items from an index
// on, so that removed items, which were never served, do not count against the
// flow's share.
func (f *flow[T]) recomputeStarts(virtualStart float64, from int) {
	for _, item := range f.items[from:] {
		item.virtualStart = virtualStart
		virtualStart += item.Cost / float64(f.weight)
	}
	f.virtualFinish = virtualStart
}

// flowHeap orders flows by the virtual start time of their first item.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i].items[0], h[j].items[0]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return h[i].caller < h[j].caller
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface; only container/heap calls it.
func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface; only container/heap calls it.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}

// band holds the waiting items of one priority and of one length, long or short,
// with weighted fair queueing between callers.
type band[T any] struct {
	flows       map[string]*flow[T]
	order       flowHeap[T]
	virtualTime float64
	count       int
	backlog     float64
	// activity holds the callers with a request within activityWindow, and
	// activeWeight is the sum of their weights.
	activity     map[string]activity
	activeWeight int
}

// activity is the weight of a caller and the time of its last request.
type activity struct {
	weight int
	last   time.Time
}

// activityWindow is how long after its last request a caller counts among those
// that share a band.
const activityWindow = 10 * time.Second

func newBand[T any]() *band[T] {
	return &band[T]{flows: make(map[string]*flow[T]), activity: make(map[string]activity)}
}

// evictionCandidate returns the newest item of the flow with the largest backlog
// relative to its weight, and that normalized backlog.
func (b *band[T]) evictionCandidate() (newest *Item[T], normalized float64) {
	for _, f := range b.order {
		if n := f.backlog / float64(f.weight); n > normalized {
			newest, normalized = f.items[len(f.items)-1], n
		}
	}
	return newest, normalized
}

// callerBacklog returns the backlog of a caller.
func (b *band[T]) callerBacklog(caller string) float64 {
	if f, ok := b.flows[caller]; ok {
		return f.backlog
	}
	return 0
}

// recordActivity marks the item's caller as recently active in the band.
func (b *band[T]) recordActivity(now time.Time, item *Item[T]) {
	weight := max(1, item.Weight)
	b.activeWeight += weight - b.activity[item.Caller].weight
	b.activity[item.Caller] = activity{weight: weight, last: now}
}

// expireActivity drops callers without a request within activityWindow.
func (b *band[T]) expireActivity(now time.Time) {
	for caller, a := range b.activity {
		if now.Sub(a.last) > activityWindow {
			b.activeWeight -= a.weight
			delete(b.activity, caller)
		}
	}
}

// expired returns the items at the head of each flow that can no longer meet
// their deadline.
func (b *band[T]) expired(now time.Time) []*Item[T] {
	var list []*Item[T]
	for _, f := range b.order {
		for _, item := range f.items {
			if !item.expired(now) {
				break
			}
			list = append(list, item)
		}
	}
	return list
}

func (b *band[T]) head() *Item[T] {
	if len(b.order) == 0 {
		return nil
	}
	return b.order[0].items[0]
}

func (b *band[T]) pop() *Item[T] {
	f := b.order[0]
	item := f.items[0]
	f.items[0] = nil
	f.items = f.items[1:]
	b.virtualTime = max(b.virtualTime, item.virtualStart)
	b.subtract(f, item)
	if len(f.items) == 0 {
		b.removeFlow(f)
		return item
	}
	heap.Fix(&b.order, f.index)
	return item
}

func (b *band[T]) push(item *Item[T]) {
	f, ok := b.flows[item.Caller]
	if !ok {
		f = &flow[T]{caller: item.Caller, weight: max(1, item.Weight), virtualFinish: b.virtualTime}
		b.flows[item.Caller] = f
	}
	item.virtualStart = max(b.virtualTime, f.virtualFinish)
	f.virtualFinish = item.virtualStart + item.Cost/float64(f.weight)
	f.items = append(f.items, item)
	f.backlog += item.Cost
	b.backlog += item.Cost
	b.count++
	if len(f.items) == 1 {
		heap.Push(&b.order, f)
	}
}

func (b *band[T]) remove(item *Item[T]) {
	f, ok := b.flows[item.Caller]
	if !ok {
		return
	}
	for i, other := range f.items {
		if other != item {
			continue
		}
		f.items = append(f.items[:i], f.items[i+1:]...)
		f.recomputeStarts(item.virtualStart, i)
		b.subtract(f, item)
		break
	}
	if len(f.items) == 0 {
		b.removeFlow(f)
		return
	}
	heap.Fix(&b.order, f.index)
}

func (b *band[T]) subtract(f *flow[T], item *Item[T]) {
	f.backlog -= item.Cost
	b.backlog -= item.Cost
	b.count--
}

func (b *band[T]) removeFlow(f *flow[T]) {
	heap.Remove(&b.order, f.index)
	delete(b.flows, f.caller)
	if b.count == 0 {
		b.backlog = 0
	}
}
