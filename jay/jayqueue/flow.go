package jayqueue

import (
	"container/heap"
	"time"
)

// flow is the waiting work of one caller in one band, in order of arrival.
type flow[T any] struct {
	caller string
	weight int
	items  []*Item[T]
	// finish is the virtual time at which the flow's last item ends.
	finish float64
	// backlog is the cost of the items that wait.
	backlog float64
	index   int
}

// follow gives the items from an index on the virtual times after one, so that
// work that was never served takes nothing of the flow's share.
func (f *flow[T]) follow(start float64, from int) {
	for _, item := range f.items[from:] {
		item.start = start
		start += item.Cost / float64(f.weight)
	}
	f.finish = start
}

// flowHeap orders flows by the virtual start of their first item.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i].items[0], h[j].items[0]
	if a.start != b.start {
		return a.start < b.start
	}
	return h[i].caller < h[j].caller
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap only.
func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is called by container/heap only.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}

// band holds the waiting work of one priority and length, fair between callers.
type band[T any] struct {
	flows   map[string]*flow[T]
	order   flowHeap[T]
	virtual float64
	count   int
	backlog float64
	// asked are the callers that asked lately, and asking is the sum of their weights.
	asked  map[string]asked
	asking int
}

// asked is when a caller last asked.
type asked struct {
	weight int
	last   time.Time
}

// askedWindow is how long a caller that asked counts among those that share.
const askedWindow = 10 * time.Second

func newBand[T any]() *band[T] {
	return &band[T]{flows: make(map[string]*flow[T]), asked: make(map[string]asked)}
}

// above returns the newest item of the flow with the most waiting work for its
// weight, and that work.
func (b *band[T]) above() (newest *Item[T], share float64) {
	for _, f := range b.order {
		if own := f.backlog / float64(f.weight); own > share {
			newest, share = f.items[len(f.items)-1], own
		}
	}
	return newest, share
}

// own returns the waiting work of a caller.
func (b *band[T]) own(caller string) float64 {
	if f, ok := b.flows[caller]; ok {
		return f.backlog
	}
	return 0
}

// note records that a caller asks for the band's service.
func (b *band[T]) note(now time.Time, item *Item[T]) {
	weight := max(1, item.Weight)
	b.asking += weight - b.asked[item.Caller].weight
	b.asked[item.Caller] = asked{weight: weight, last: now}
}

// forget drops callers that no longer ask.
func (b *band[T]) forget(now time.Time) {
	for caller, a := range b.asked {
		if now.Sub(a.last) > askedWindow {
			b.asking -= a.weight
			delete(b.asked, caller)
		}
	}
}

// late returns the first items of flows that can no longer be in time.
func (b *band[T]) late(now time.Time) []*Item[T] {
	var list []*Item[T]
	for _, f := range b.order {
		for _, item := range f.items {
			if !item.late(now) {
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
	b.virtual = max(b.virtual, item.start)
	b.account(f, item)
	if len(f.items) == 0 {
		b.drop(f)
		return item
	}
	heap.Fix(&b.order, f.index)
	return item
}

func (b *band[T]) push(item *Item[T]) {
	f, ok := b.flows[item.Caller]
	if !ok {
		f = &flow[T]{caller: item.Caller, weight: max(1, item.Weight), finish: b.virtual}
		b.flows[item.Caller] = f
	}
	item.start = max(b.virtual, f.finish)
	f.finish = item.start + item.Cost/float64(f.weight)
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
		f.follow(item.start, i)
		b.account(f, item)
		break
	}
	if len(f.items) == 0 {
		b.drop(f)
		return
	}
	heap.Fix(&b.order, f.index)
}

func (b *band[T]) account(f *flow[T], item *Item[T]) {
	f.backlog -= item.Cost
	b.backlog -= item.Cost
	b.count--
}

func (b *band[T]) drop(f *flow[T]) {
	heap.Remove(&b.order, f.index)
	delete(b.flows, f.caller)
	if b.count == 0 {
		b.backlog = 0
	}
}
