package jayengine

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels a request that stays silent for longer than a bound.
type watchdog struct {
	cancel context.CancelFunc
	timer  *time.Timer
	bound  time.Duration
	fired  atomic.Bool
}

func newWatchdog(cancel context.CancelFunc, bound time.Duration) *watchdog {
	w := &watchdog{cancel: cancel, bound: bound}
	w.timer = time.AfterFunc(bound, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// feed starts the bound again.
func (w *watchdog) feed() {
	w.timer.Reset(w.bound)
}

// kind returns KindSilent if the watchdog cut the request, else the given kind.
func (w *watchdog) kind(other Kind) Kind {
	if w.fired.Load() {
		return KindSilent
	}
	return other
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}
