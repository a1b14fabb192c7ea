package jaylimit

import (
	"sync"
	"time"
)

// windowSlots is the number of parts that a window slides by.
const windowSlots = 50

// Window bounds further sends in each span of time to a part of the requests
// plus a fixed number, so that the sum over all instances keeps the bound. It is
// safe for concurrent use.
type Window struct {
	mu    sync.Mutex
	ratio float64
	// extra is the fixed number over all instances, share the part that is this instance's.
	extra, share float64
	slot         time.Duration
	began        time.Time
	slots        [windowSlots]usage
	at           int64
}

type usage struct {
	requests, further int
}

// NewWindow returns a window over a span, for an instance that has the whole of extra.
func NewWindow(span time.Duration, ratio, extra float64, now time.Time) *Window {
	return &Window{ratio: ratio, extra: extra, share: 1, slot: span / windowSlots, began: now}
}

// Bound sets other bounds.
func (w *Window) Bound(ratio, extra float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extra = ratio, extra
}

// Earn counts a request.
func (w *Window) Earn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now).requests++
}

// Share sets the part of the fixed number that is this instance's.
func (w *Window) Share(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share = share
}

// Spend takes a further send and reports whether the window allows it.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := w.slide(now)
	requests, further := 0, 0
	for _, u := range w.slots {
		requests += u.requests
		further += u.further
	}
	if float64(further+1) > w.ratio*float64(requests)+w.extra*w.share {
		return false
	}
	present.further++
	return true
}

// slide clears the parts that have left the window and returns the present one.
func (w *Window) slide(now time.Time) *usage {
	at := int64(now.Sub(w.began) / w.slot)
	for next := max(w.at+1, at-windowSlots+1); next <= at; next++ {
		w.slots[next%windowSlots] = usage{}
	}
	w.at = max(w.at, at)
	return &w.slots[w.at%windowSlots]
}
