package jaycall

import (
	"sync/atomic"
	"time"

	"jayfield.example/jay/jaydispatch"
)

const (
	// stallFactor and stallLeast say when a stream has stalled: after several
	// times the upstream's usual time between tokens, but not before the least.
	stallFactor = 6
	stallLeast  = 120 * time.Millisecond
)

// stallWatch tells the dispatcher when a stream stops giving tokens and when
// it goes on. This is known long before a load report shows it.
type stallWatch struct {
	dispatcher *jaydispatch.Dispatcher
	grant      jaydispatch.Grant
	timer      *time.Timer
	bound      time.Duration
	stalled    atomic.Bool
}

func newStallWatch(dispatcher *jaydispatch.Dispatcher, grant jaydispatch.Grant) *stallWatch {
	w := &stallWatch{dispatcher: dispatcher, grant: grant, bound: max(stallLeast, stallFactor*grant.Pace)}
	w.timer = time.AfterFunc(w.bound, func() {
		if !w.stalled.Swap(true) {
			dispatcher.Stall(grant, true)
		}
	})
	return w
}

// stop ends the watch.
func (w *stallWatch) stop() {
	w.timer.Stop()
	w.resume()
}

// token notes that the stream goes on.
func (w *stallWatch) token() {
	w.timer.Reset(w.bound)
	w.resume()
}

func (w *stallWatch) resume() {
	if w.stalled.Load() && w.stalled.Swap(false) {
		w.dispatcher.Stall(w.grant, false)
	}
}
