package jayadmit

import "time"

const (
	// maxReturns bounds the refusals that are remembered.
	maxReturns = 512
	// earlyPart is the part of the stated delay that a caller has to wait at least: one that comes back
	// at once must not go before those that wait for the stated time.
	earlyPart = 0.9
	// lateMargin is how long after the stated delay, and as long again, a caller is still recognised.
	lateMargin = time.Second
)

// returns holds the callers that were refused, with the stated retry delay.
type returns struct {
	windows map[uint64]window
}

type window struct{ from, until time.Time }

// add records a refusal.
func (r *returns) add(now time.Time, caller uint64, after time.Duration) {
	if r.windows == nil {
		r.windows = make(map[uint64]window)
	}
	if _, known := r.windows[caller]; !known && len(r.windows) >= maxReturns {
		r.makeRoom(now)
	}
	r.windows[caller] = window{from: now.Add(time.Duration(earlyPart * float64(after))), until: now.Add(2*after + lateMargin)}
}

// take reports whether a caller returns after the stated retry delay, and removes its refusal.
func (r *returns) take(now time.Time, caller uint64) bool {
	w, ok := r.windows[caller]
	if !ok || now.Before(w.from) {
		return false
	}
	delete(r.windows, caller)
	return !now.After(w.until)
}

// makeRoom drops the refusals that are over or, if there are none, the one that is over first.
func (r *returns) makeRoom(now time.Time) {
	first := uint64(0)
	var until time.Time
	for caller, w := range r.windows {
		if now.After(w.until) {
			delete(r.windows, caller)
			continue
		}
		if until.IsZero() || w.until.Before(until) {
			first, until = caller, w.until
		}
	}
	if len(r.windows) >= maxReturns {
		delete(r.windows, first)
	}
}
