package jaylimit

import (
	"sync"
	"time"
)

// windowSlots is the number of slots of a sliding window; the window advances by whole
// slots.
const windowSlots = 50

// Window is a retry budget over a sliding time window: it limits the retries in the
// window to a ratio of the requests plus a fixed number. Each instance gets a share of
// the fixed number, so that the sum over all instances stays within the limit. It is
// safe for concurrent use.
type Window struct {
	mu    sync.Mutex
	ratio float64
	// extra is the fixed number for all instances together, share this instance's part of it.
	extra, share float64
	slotWidth    time.Duration
	began        time.Time
	slots        [windowSlots]usage
	slotIndex    int64
}

type usage struct {
	requests, retries int
}

// NewWindow returns a window of length span for an instance whose share of extra is 1.
func NewWindow(span time.Duration, ratio, extra float64, now time.Time) *Window {
	return &Window{ratio: ratio, extra: extra, share: 1, slotWidth: span / windowSlots, began: now}
}

// SetLimits sets the ratio and the fixed number.
func (w *Window) SetLimits(ratio, extra float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extra = ratio, extra
}

// Earn counts a request.
func (w *Window) Earn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
}

// SetShare sets this instance's share of the fixed number.
func (w *Window) SetShare(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share = share
}

// Spend reports whether the window allows a retry, and counts it if so.
func (w *Window) Spend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	requests, retries := 0, 0
	for _, u := range w.slots {
		requests += u.requests
		retries += u.retries
	}
	if float64(retries+1) > w.ratio*float64(requests)+w.extra*w.share {
		return false
	}
	current.retries++
	return true
}

// advance clears the slots that have left the window and returns the current slot.
func (w *Window) advance(now time.Time) *usage {
	slotIndex := int64(now.Sub(w.began) / w.slotWidth)
	for i := max(w.slotIndex+1, slotIndex-windowSlots+1); i <= slotIndex; i++ {
		w.slots[i%windowSlots] = usage{}
	}
	w.slotIndex = max(w.slotIndex, slotIndex)
	return &w.slots[w.slotIndex%windowSlots]
}
