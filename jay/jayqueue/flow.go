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
	weights int
	backlog float64
}

func newBand[T any]() *band[T] {
	return &band[T]{flows: make(map[string]*flow[T])}
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

// ahead returns the work that fair sharing serves before an item that is pushed now.
func (b *band[T]) ahead(item *Item[T]) float64 {
	own := 0.0
	if f, ok := b.flows[item.Caller]; ok {
		own = f.backlog
	}
	reach := (own + item.Cost) / float64(max(1, item.Weight))
	total := own
	for _, f := range b.order {
		if f.caller != item.Caller {
			total += min(f.backlog, reach*float64(f.weight))
		}
	}
	return total
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
		b.weights += f.weight
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
	b.weights -= f.weight
	if b.count == 0 {
		b.backlog = 0
	}
}
