package jaycall

import (
	"sync/atomic"
	"time"

	"jayfield.example/jay/jaydispatch"
)

const (
	// stallFactor and minStallTimeout define when a stream counts as stalled: after stallFactor
	// times the upstream's observed time between tokens, but not before minStallTimeout.
	stallFactor     = 6
	minStallTimeout = 120 * time.Millisecond
)

// stallDetector reports to the dispatcher when a stream stops producing tokens and
// when it continues. It detects a stall long before a load report shows it.
type stallDetector struct {
	dispatcher *jaydispatch.Dispatcher
	grant      jaydispatch.Grant
	timer      *time.Timer
	timeout    time.Duration
	stalled    atomic.Bool
}

func newStallDetector(dispatcher *jaydispatch.Dispatcher, grant jaydispatch.Grant) *stallDetector {
	d := &stallDetector{dispatcher: dispatcher, grant: grant, timeout: max(minStallTimeout, stallFactor*grant.Pace)}
	d.timer = time.AfterFunc(d.timeout, func() {
		if !d.stalled.Swap(true) {
			dispatcher.SetStalled(grant, true)
		}
	})
	return d
}

// stop stops the timer and clears a reported stall.
func (d *stallDetector) stop() {
	d.timer.Stop()
	d.clearStall()
}

// reset restarts the timer after a token and clears a reported stall.
func (d *stallDetector) reset() {
	d.timer.Reset(d.timeout)
	d.clearStall()
}

func (d *stallDetector) clearStall() {
	if d.stalled.Load() && d.stalled.Swap(false) {
		d.dispatcher.SetStalled(d.grant, false)
	}
}
